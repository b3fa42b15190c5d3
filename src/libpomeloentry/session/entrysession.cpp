#include "session/entrysession.h"

#include "pomeloport/logging.h"

#include <boost/asio/dispatch.hpp>

#include <algorithm>
#include <utility>

namespace pomeloentry
{

using namespace pomeloport;

namespace
{

constexpr unsigned StatusTooManyRequests = 429;
constexpr unsigned StatusBadGateway = 502;
constexpr unsigned StatusUnavailable = 503;
constexpr unsigned StatusGatewayTimeout = 504;

/// Reading from the backend server pauses while more bytes than this wait to be written to a slow caller.
constexpr std::size_t PauseThresholdBytes = 128 * 1024;
/// Reading goes on when no more than this waits, so that a server whose answer is read steadily sees it being read.
constexpr std::size_t ResumeThresholdBytes = 96 * 1024;
/// A server cuts an answer that nobody reads for some seconds, and holds it in memory until then.
constexpr std::chrono::milliseconds LongestPause{2000};
/// Longest idle time of a pooled connection that is reused, by whether the call can be repeated. A connection that was
/// idle for longer may be closed by the server just as the call is sent.
constexpr std::chrono::milliseconds MaximumIdleForNonRepeatable{300};
constexpr std::chrono::milliseconds MaximumIdleForRepeatable{30'000};
/// A stream counts as stalled after this multiple of its route's event gap, within these bounds.
constexpr int StallFactor = 4;
constexpr Duration MinimumStallTimeout = std::chrono::milliseconds(1650);
constexpr Duration MaximumStallTimeout = std::chrono::milliseconds(3000);
/// Part of a call's remaining time that is reserved for answering the caller.
constexpr std::chrono::milliseconds FailureReplyMargin{5};
/// Causes of waiting that are logged for one call, which may change with every check of a deferred prompt.
constexpr std::uint32_t MaximumLoggedWaits = 6;

RequestSpec specOf(const AdmittedCall &call)
{
    RequestSpec spec;
    spec.organisation = call.organisation;
    spec.kind = call.route->name;
    spec.backendKind = call.work.promptTokens > 0 ? BackendKind::Engine : BackendKind::Service;
    spec.promptTokens = call.work.promptTokens;
    spec.maxTokens = call.work.answerTokens;
    spec.arrival = call.work.arrival;
    spec.deadline = call.work.deadline;
    spec.nonIdempotent = !call.work.repeatable;
    spec.deterministic = call.route->resumable;
    return spec;
}

FlowLimits limitsOf(const AdmittedCall &call)
{
    FlowLimits limits;
    limits.claims = false;
    limits.keepStalledAttempt = true;
    limits.maximumAttempts = std::max(call.route->maximumAttempts, 1U);
    limits.firstRetryDelay = std::chrono::milliseconds(5);
    limits.maximumRetryDelay = std::chrono::milliseconds(200);
    const Duration gap = call.route->eventGap * StallFactor;
    limits.stallTimeout = std::clamp(gap, MinimumStallTimeout, MaximumStallTimeout);
    return limits;
}

unsigned statusOf(const Failure &failure)
{
    if (failure.verdict == Verdict::NotRun) {
        return failure.reason == ReasonCode::Overloaded ? StatusTooManyRequests : StatusUnavailable;
    }
    return failure.reason == ReasonCode::DeadlinePassed ? StatusGatewayTimeout : StatusBadGateway;
}

/// What a call lacks that was refused outside placement; nothing for failures of other kinds.
std::optional<ReturnCause> causeOf(const Failure &failure)
{
    switch (failure.reason) {
    case ReasonCode::Stopping:
        return ReturnCause::Stopping;
    case ReasonCode::NoBackend:
        return ReturnCause::NoServer;
    case ReasonCode::Overloaded:
        return ReturnCause::Memory;
    default:
        return std::nullopt;
    }
}

} // namespace

EntrySession::EntrySession(std::shared_ptr<EntryCore> core, std::shared_ptr<HttpExchange> exchange, AdmittedCall call)
    : m_core(std::move(core))
    , m_exchange(std::move(exchange))
    , m_call(std::move(call))
    , m_body(std::make_shared<const std::string>(m_exchange->takeBody()))
    , m_executor(m_exchange->executor())
    , m_timer(m_executor)
    , m_pauseTimer(m_executor)
    , m_flow(
          specOf(m_call),
          StreamAddress{m_core->self, m_call.work.sequence, 0},
          limitsOf(m_call),
          [this](const RouteQuery &query, Instant now) { return choose(query, now); },
          [this](Instant now) { return m_core->placement.permitRetry(m_call.work, now); },
          m_call.work.sequence)
    , m_metrics(m_core->metrics.series(m_call.organisation, promptClass(m_call.work.promptTokens)))
    , m_position(m_call.request.lastEvent)
{
    ++m_core->openCalls;
}

EntrySession::~EntrySession()
{
    if (m_attempt.number > 0 && !m_attempt.closed) {
        recordUnwritten(0);
        m_core->placement.closed(
            m_call.work, m_attempt.number, m_attempt.backend, action::CloseAttempt::Outcome::Abandoned, steadyNow());
    }
    releaseGroup();
    m_core->placement.removeFromQueue(m_call.work);
    m_core->sessions.remove(m_call.work.sequence);
    --m_core->openCalls;
}

void EntrySession::start()
{
    m_core->sessions.add(m_call.work.sequence, weak_from_this());
    m_exchange->setName(m_call.request.attemptId);
    // The stop may have begun since the call was admitted.
    m_call.work.stopsAt = m_core->stopsAt();
    // The callback keeps the session alive until the Close action replaces it.
    m_exchange->onClosed([self = shared_from_this()] { self->feed(event::CallerCancelled{}); });
    feed(event::Begin{});
}

void EntrySession::instanceStops(std::shared_ptr<EntrySession> session, Instant end)
{
    const auto executor = session->m_executor;
    boost::asio::dispatch(executor, [self = std::move(session), end] {
        if (self->m_finished) {
            return;
        }
        self->m_call.work.stopsAt = end;
        if (self->m_groupReservation) {
            self->m_groupReservation->instanceStops(end);
        }
        self->feed(event::CapacityFreed{});
    });
}

void EntrySession::quarantineBegan(std::shared_ptr<EntrySession> session, const std::vector<PromptPart> &parts)
{
    const auto isOwn = [&own = session->m_call.request.sharedParts](PromptPart part) {
        return std::ranges::find(own, part) != own.end();
    };
    if (!session->m_call.promptAtEngine || std::ranges::none_of(parts, isOwn)) {
        return;
    }
    const auto executor = session->m_executor;
    boost::asio::dispatch(executor, [self = std::move(session)] {
        const bool hasAttempt = self->m_attempt.number > 0 && !self->m_attempt.closed;
        if (self->m_finished || hasAttempt) {
            return;
        }
        const auto failure = self->quarantineFailure(steadyNow());
        if (failure && self->m_groupReservation) {
            self->feed(event::GroupRefused{*failure});
        } else {
            self->feed(event::CapacityFreed{});
        }
    });
}

void EntrySession::giveUp(std::shared_ptr<EntrySession> session)
{
    const auto executor = session->m_executor;
    boost::asio::dispatch(executor, [self = std::move(session)] {
        if (!self->m_finished) {
            self->feed(event::Abandoned{ReasonCode::Stopping, "this instance has stopped", RetryElsewhereDelay});
        }
    });
}

void EntrySession::feed(FlowEvent event)
{
    m_pendingEvents.push_back(std::move(event));
    if (std::exchange(m_handlingEvents, true)) {
        return;
    }
    const auto self = shared_from_this();
    while (!m_pendingEvents.empty()) {
        const auto next = std::move(m_pendingEvents.front());
        m_pendingEvents.pop_front();
        handle(next);
    }
    m_handlingEvents = false;
}

void EntrySession::handle(const FlowEvent &event)
{
    if (m_flow.closed()) {
        return;
    }
    for (auto &action : m_flow.handle(event, steadyNow())) {
        std::visit([this](auto &flowAction) { execute(flowAction); }, action);
    }
}

RouteDecision EntrySession::choose(const RouteQuery &query, Instant now)
{
    if (auto failure = quarantineFailure(now)) {
        return std::move(*failure);
    }
    RouteQuery queryWithFaulty = query;
    queryWithFaulty.avoid.insert(queryWithFaulty.avoid.end(), m_faultyBackends.begin(), m_faultyBackends.end());
    PlacementTrace trace;
    auto decision = m_core->placement.choose(m_call.work, queryWithFaulty, now, trace);
    m_returnCause = trace.returnCause;
    m_organisationUse = trace.organisationUse;
    m_standing = trace.standing;
    if (const auto *route = std::get_if<Route>(&decision)) {
        if (auto failure = beginAttempt(now)) {
            return std::move(*failure);
        }
        logEvent(LogLevel::Info,
                 "choice",
                 {{"id", m_call.request.attemptId},
                  {"attempt", query.attempt},
                  {"backend", route->members.front().backend},
                  {"helpers", route->helpers.size()},
                  {"candidates", trace.candidates},
                  {"excluded", trace.excluded},
                  {"predicted_ms", trace.predictedFirst.count() / 1000},
                  {"score", trace.score},
                  {"next", trace.nextBackend},
                  {"next_score", trace.nextScore},
                  {"loss", trace.loss},
                  {"damage", trace.costToOthers},
                  {"before", trace.queuePosition},
                  {"organisation_use", trace.organisationUse},
                  {"standing", nameOf(trace.standing)},
                  {"waited_ms", (now - m_call.work.arrival).count() / 1000}});
    } else if (query.mayWait && std::holds_alternative<WaitUntil>(decision)) {
        logWait(trace, now);
    }
    return decision;
}

/// Why the call may not be sent because of a quarantined part; nothing when it may.
std::optional<Failure> EntrySession::quarantineFailure(Instant now) const
{
    if (!m_call.promptAtEngine || m_isTrial) {
        return std::nullopt;
    }
    const auto &parts = m_call.request.sharedParts;
    // The crashes of one call are never simultaneous, however soon they follow each other.
    const bool crashedTooMany = m_suspectedCrashes >= m_core->settings.policy.quarantine.crashesBeforeRepeat;
    if (crashedTooMany || (m_suspectedCrashes > 0 && !m_core->quarantine.mayRepeat(parts, now))) {
        return Failure{Verdict::MayHaveRun,
                       ReasonCode::BackendFailed,
                       "engines crash on prompts with a part of this one, so it is not repeated",
                       std::nullopt};
    }
    const auto ruling = m_core->quarantine.rule(parts, now);
    return ruling.treatment == SharedQuarantine::Treatment::Refuse ? std::optional(refusalOf(ruling)) : std::nullopt;
}

/// Begins a trial if the prompt has a quarantined part. Returns a failure when another prompt is tried.
std::optional<Failure> EntrySession::beginAttempt(Instant now)
{
    if (!m_call.promptAtEngine || m_isTrial) {
        return std::nullopt;
    }
    const auto ruling = m_core->quarantine.beginAttempt(m_call.request.sharedParts, now);
    if (ruling.treatment == SharedQuarantine::Treatment::Refuse) {
        return refusalOf(ruling);
    }
    m_isTrial = ruling.treatment == SharedQuarantine::Treatment::Try;
    if (m_isTrial) {
        logEvent(
            LogLevel::Warning, "prompt_trial", {{"id", m_call.request.attemptId}, {"part", partText(ruling.part)}});
    }
    return std::nullopt;
}

Failure EntrySession::refusalOf(const SharedQuarantine::Ruling &ruling) const
{
    return {Verdict::NotRun,
            ReasonCode::PromptQuarantined,
            "engines crash on prompts with the part " + partText(ruling.part),
            std::chrono::ceil<std::chrono::milliseconds>(ruling.trialIn)};
}

/// Logs why the call waits whenever the cause changes, a limited number of times.
void EntrySession::logWait(const PlacementTrace &trace, Instant now)
{
    const std::string_view cause = trace.reason;
    if (std::exchange(m_waitCause, cause) == cause || m_loggedWaits == MaximumLoggedWaits) {
        return;
    }
    ++m_loggedWaits;
    logEvent(LogLevel::Info,
             "waiting",
             {{"id", m_call.request.attemptId},
              {"cause", cause},
              {"candidates", trace.candidates},
              {"excluded", trace.excluded},
              {"before", trace.queuePosition},
              {"price", trace.price},
              {"organisation_use", trace.organisationUse},
              {"standing", nameOf(trace.standing)},
              {"wait_limit_ms", (trace.waitLimit - now).count() / 1000},
              {"waited_ms", (now - m_call.work.arrival).count() / 1000},
              {"leaving", m_core->leaving.load()}});
}

void EntrySession::execute(action::OpenAttempt &action)
{
    const auto &backendId = action.route.members.front().backend;
    const auto now = steadyNow();
    const auto tickets = m_groupReservation ? m_groupReservation->ticketTokens() : std::vector<std::uint64_t>();
    const bool maySend = m_core->placement.opened(m_call.work, action.attempt, action.route, tickets, now);
    if (m_attemptCount++ == 0) {
        m_metrics->recordQueueWait(now - m_call.work.arrival);
    }
    std::exchange(m_attempt, {});
    m_attempt.number = action.attempt;
    m_attempt.backend = backendId;
    m_attempt.startedAt = now;
    m_attempt.memory = MemoryShare(m_core->answerMemory);
    m_attempt.chunks = action.resumeFrom;
    const auto fleet = m_core->fleet.current();
    const auto found = fleet->backends.find(backendId);
    // A group of engines is reserved for a while before the attempt is sent. A server may have come back with the same
    // id in another failure domain since it was chosen.
    const bool isAllowed = std::ranges::all_of(action.route.helpers, [this, &fleet](const auto &helper) {
        const auto known = fleet->backends.find(helper.backend);
        return known == fleet->backends.end() || m_call.work.regions.permits(known->second.failureDomain);
    });
    if (found == fleet->backends.end() || !maySend || !isAllowed
        || !m_call.work.regions.permits(found->second.failureDomain)
        || !m_core->placement.mayBeSent(action.route, now)) {
        m_pendingEvents.push_back(event::AttemptRefused{action.attempt, RefusalCode::Leaving});
        return;
    }
    m_attempt.backendKey = backendKey(found->second);
    wire::BackendCall call;
    call.expectedId = backendId;
    call.organisation = m_call.organisation;
    call.priority = m_call.priority;
    call.timeLeft = timeLeft();
    call.lastEvent = m_position.last();
    for (const auto &helper : action.route.helpers) {
        const auto known = fleet->backends.find(helper.backend);
        if (known != fleet->backends.end()) {
            call.helpers.push_back({known->second.address, helper.ticket});
        }
    }
    const auto &request = m_exchange->request();
    RelayedCall relayed;
    relayed.address = found->second.address;
    relayed.method = request.method;
    relayed.target = request.target;
    relayed.fields = wire::encodeCall(request.fields, call);
    relayed.body = m_body;
    relayed.unsentBodies = m_core->unsentBodies;
    relayed.limitsUnsent = m_core->settings.policy.serverUnreadBytes > 0;
    relayed.maximumIdle = maximumIdle(relayed.address);
    relayed.responseMatches = [id = m_call.request.attemptId](const HttpResponseHead &head) {
        return wire::decodeAnswer(head).attemptId == id;
    };
    m_attempt.stream =
        std::make_unique<CallStream>(m_core->client.pool(),
                                     m_executor,
                                     std::move(relayed),
                                     [weak = weak_from_this(), attempt = action.attempt](CallEvent event) {
                                         if (const auto self = weak.lock()) {
                                             self->dispatchStreamEvent(attempt, std::move(event));
                                         }
                                     });
}

/// Returns how long a pooled connection to a server may have been idle for this call to reuse it. A server that has got
/// an attempt of this call may have answered it twice, and all attempts have the same id, so the next one takes a new
/// connection.
std::chrono::milliseconds EntrySession::maximumIdle(const std::string &address)
{
    if (std::ranges::find(m_calledAddresses, address) != m_calledAddresses.end()) {
        return std::chrono::milliseconds::zero();
    }
    m_calledAddresses.push_back(address);
    return m_call.work.repeatable ? MaximumIdleForRepeatable : MaximumIdleForNonRepeatable;
}

void EntrySession::execute(action::ReserveGroup & /*action*/)
{
    m_groupReservation = std::make_shared<GroupReservation>(
        m_core,
        m_executor,
        GroupRequest{m_call.work, m_call.request.attemptId, m_attemptCount + 1, m_faultyBackends},
        [weak = weak_from_this()](const std::variant<Route, Failure> &settled) {
            const auto self = weak.lock();
            if (!self || self->m_finished) {
                return;
            }
            if (const auto *route = std::get_if<Route>(&settled)) {
                if (auto failure = self->beginAttempt(steadyNow())) {
                    self->feed(event::GroupRefused{std::move(*failure)});
                } else {
                    self->feed(event::GroupGranted{*route});
                }
            } else {
                self->feed(event::GroupRefused{std::get<Failure>(settled)});
            }
        },
        [weak = weak_from_this()](const std::string &backend) {
            const auto self = weak.lock();
            if (self && !self->m_finished && self->m_attempt.number > 0 && !self->m_attempt.closed) {
                self->failAttempt("the memory reserved at " + backend + " stays unused");
            }
        });
    m_groupReservation->start();
}

void EntrySession::execute(action::ReleaseGroup & /*action*/)
{
    releaseGroup();
}

void EntrySession::releaseGroup()
{
    if (m_groupReservation) {
        std::exchange(m_groupReservation, nullptr)->release();
    }
}

void EntrySession::execute(action::CancelAttempt &action)
{
    m_isTrial = false;
    if (m_attempt.stream) {
        m_attempt.stream->close();
    }
    // The connection is closed, so it can no longer be determined whether the call ran.
    m_pendingEvents.push_back(event::CancelSettled{action.attempt, false, false});
}

void EntrySession::execute(action::CloseAttempt &action)
{
    m_attempt.closed = true;
    if (m_attempt.stream) {
        m_attempt.stream->close();
    }
    recordUnwritten(0);
    auto end = AttemptEnd::Server;
    if (m_attempt.lacksMemory) {
        end = AttemptEnd::OwnMemory;
    } else if (m_attempt.connectTimedOut) {
        end = AttemptEnd::ConnectTimeout;
    }
    m_core->placement.closed(m_call.work, action.attempt, action.backend, action.outcome, steadyNow(), end);
}

void EntrySession::execute(action::DeliverChunk &action)
{
    const auto now = steadyNow();
    if (m_deliveredEvents++ == 0) {
        m_firstByteAt = now;
        m_metrics->recordTimeToFirstToken(now - m_call.work.arrival);
    } else {
        m_longestEventGap = std::max(m_longestEventGap, Duration(now - m_lastEventAt));
        m_metrics->recordInterTokenLatency(now - m_lastEventAt);
    }
    m_lastEventAt = now;
    m_position.delivered(m_pendingEventId);
    if (!isStreaming()) {
        m_headSent = true;
        m_exchange->reply({m_attempt.head.status, m_attempt.head.reason, endToEndFields(m_attempt.head.fields)},
                          std::move(action.text),
                          std::move(m_attempt.memory));
        return;
    }
    if (!std::exchange(m_headSent, true)) {
        m_exchange->beginStream({m_attempt.head.status, m_attempt.head.reason, endToEndFields(m_attempt.head.fields)});
    }
    deliver(std::move(action.text));
}

void EntrySession::deliver(std::string bytes)
{
    const auto size = bytes.size();
    m_unwrittenBytes += size;
    if (m_unwrittenBytes > PauseThresholdBytes && m_attempt.stream) {
        m_attempt.stream->pause();
        watchPause();
    }
    m_exchange->write(std::move(bytes), [weak = weak_from_this(), size](bool ok) {
        if (const auto self = weak.lock()) {
            self->onWritten(size, ok);
        }
    });
}

void EntrySession::onWritten(std::size_t bytes, bool ok)
{
    m_unwrittenBytes -= bytes;
    if (!ok || m_unwrittenBytes > ResumeThresholdBytes) {
        return;
    }
    m_pausedSince.reset();
    m_pauseTimer.cancel();
    if (m_attempt.stream && !m_attempt.closed) {
        m_attempt.stream->resume();
    }
}

/// Disconnects the caller if reading from the backend server stays paused, and ends the attempt, whose connection is
/// closed then.
void EntrySession::watchPause()
{
    if (m_pausedSince) {
        return;
    }
    const auto since = steadyNow();
    m_pausedSince = since;
    m_pauseTimer.expires_after(LongestPause);
    m_pauseTimer.async_wait([weak = weak_from_this(), since](boost::system::error_code error) {
        const auto self = weak.lock();
        // A pause that ended may have been followed by another one before this ran.
        if (error || !self || self->m_finished || self->m_pausedSince != since) {
            return;
        }
        ++self->m_core->pausedReaders;
        logEvent(LogLevel::Warning,
                 "slow_reader",
                 {{"id", self->m_call.request.attemptId},
                  {"cause", "paused"},
                  {"caller", self->m_exchange->request().remoteAddress},
                  {"unread_bytes", self->m_unwrittenBytes}});
        self->m_exchange->reset();
        self->feed(event::CallerCancelled{});
    });
}

void EntrySession::execute(action::DeliverEnd & /*action*/)
{
    if (isStreaming()) {
        if (!std::exchange(m_headSent, true)) {
            m_exchange->beginStream(
                {m_attempt.head.status, m_attempt.head.reason, endToEndFields(m_attempt.head.fields)});
        }
        m_exchange->endStream();
    }
    m_metrics->countVerdict(Verdict::Ran, std::nullopt);
    logOutcome("answered", {});
}

void EntrySession::execute(action::DeliverFailure &action)
{
    const auto &failure = action.failure;
    m_metrics->countVerdict(failure.verdict, failure.reason);
    if (failure.reason == ReasonCode::Cancelled) {
        logOutcome("cancelled", {});
        return;
    }
    if (m_headSent) {
        m_exchange->abort();
        logOutcome("cut", failure.detail);
        return;
    }
    if (m_failureHead && failure.verdict != Verdict::NotRun) {
        m_headSent = true;
        m_exchange->reply({m_failureHead->status, m_failureHead->reason, endToEndFields(m_failureHead->fields)},
                          std::move(m_failureBody),
                          std::move(m_failureMemory));
        logOutcome("failed_at_backend", failure.detail);
        return;
    }
    sendFailure(failure);
}

void EntrySession::sendFailure(const Failure &failure)
{
    m_headSent = true;
    const auto status = statusOf(failure);
    auto body = std::string(R"({"verdict":")") + std::string(nameOf(failure.verdict)) + R"(","reason":")"
        + std::string(nameOf(failure.reason)) + "\"}\n";
    const auto retryAfter = failure.verdict == Verdict::NotRun ? failure.retryAfter : std::nullopt;
    if (retryAfter) {
        m_retryAfter = retryAfter;
        m_returnCause = m_returnCause ? m_returnCause : causeOf(failure);
        if (m_returnCause) {
            m_core->returnMetrics.record(*m_returnCause, *retryAfter);
        }
    }
    m_exchange->reply(wire::encodeFailure(status, m_call.request.attemptId, retryAfter), std::move(body));
    logOutcome(nameOf(failure.verdict), std::string(nameOf(failure.reason)) + ": " + failure.detail);
}

void EntrySession::execute(action::ArmTimer &action)
{
    m_timer.expires_at(std::chrono::time_point_cast<std::chrono::steady_clock::duration>(action.at));
    m_timer.async_wait([weak = weak_from_this()](boost::system::error_code error) {
        const auto self = weak.lock();
        if (!error && self) {
            self->feed(event::TimerFired{});
        }
    });
}

void EntrySession::execute(action::Close & /*action*/)
{
    m_timer.cancel();
    m_pauseTimer.cancel();
    m_finished = true;
    m_core->placement.removeFromQueue(m_call.work);
    releaseGroup();
    m_exchange->onClosed([] {});
}

std::chrono::milliseconds EntrySession::timeLeft() const
{
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(m_call.work.deadline - steadyNow());
    return std::max(left - FailureReplyMargin, std::chrono::milliseconds(1));
}

void EntrySession::logOutcome(std::string_view outcome, const std::string &detail)
{
    const auto now = steadyNow();
    const auto first = m_deliveredEvents > 0 ? (m_firstByteAt - m_call.work.arrival).count() / 1000 : -1;
    logEvent(LogLevel::Info,
             "end",
             {{"id", m_call.request.attemptId},
              {"organisation", m_call.organisation},
              {"organisation_use", m_organisationUse},
              {"standing", nameOf(m_standing)},
              {"route", m_call.route->name},
              {"version", m_call.fleet->routing->version},
              {"prompt", m_call.work.promptTokens},
              {"outcome", outcome},
              {"detail", detail},
              {"attempts", m_attemptCount},
              {"backend", m_attempt.backend},
              {"first_ms", first},
              {"target_ms", m_call.work.target.count() / 1000},
              {"gap_ms", m_longestEventGap.count() / 1000},
              {"gap_aim_ms", m_call.work.eventGap.count() / 1000},
              {"events", m_deliveredEvents},
              {"total_ms", (now - m_call.work.arrival).count() / 1000},
              {"retry_after_ms", m_retryAfter ? m_retryAfter->count() : -1},
              {"cause", m_retryAfter && m_returnCause ? nameOf(*m_returnCause) : ""}});
}

} // namespace pomeloentry
