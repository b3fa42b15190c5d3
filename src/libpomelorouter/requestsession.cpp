#include "requestsession.h"

#include "claimrunner.h"

#include "pomeloport/logging.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace pomelorouter
{

using namespace pomeloport;

namespace
{

/// Traces explain each routing candidate only for fleets up to this size, since explaining makes a choice linear in the
/// number of backend servers.
constexpr std::size_t MaximumExplainedBackends = 64;

std::string requestId(const StreamAddress &address)
{
    return address.owner.instance + "." + std::to_string(address.owner.incarnation) + "."
        + std::to_string(address.sequence);
}

std::string formatExplanation(const RouteExplanation &explanation)
{
    std::string text = explanation.decision;
    for (const auto &candidate : explanation.candidates) {
        text += "; " + candidate.backend + " ";
        if (candidate.exclusion != Exclusion::None) {
            text += nameOf(candidate.exclusion);
            continue;
        }
        text += candidate.examined ? "score " + std::to_string(candidate.score) : "not sampled";
    }
    return text;
}

} // namespace

RequestSession::RequestSession(std::shared_ptr<RouterCore> core,
                               std::shared_ptr<HttpExchange> exchange,
                               RequestSpec specification,
                               std::string prompt,
                               bool stream,
                               std::uint64_t sequence)
    : m_core(std::move(core))
    , m_exchange(std::move(exchange))
    , m_executor(m_exchange->executor())
    , m_timer(m_executor)
    , m_address{m_core->owner, sequence, 0}
    , m_id(requestId(m_address))
    , m_prompt(std::move(prompt))
    , m_flow(
          std::move(specification),
          m_address,
          m_core->settings.flow,
          [this](const RouteQuery &query, Instant now) { return choose(query, now); },
          [this](Instant now) { return m_core->placement.permitRetry(now); },
          m_core->owner.incarnation ^ sequence)
    , m_writer(m_exchange, m_id, stream)
    , m_series(m_core->metrics.series(m_flow.spec().organisation, promptClass(m_flow.spec().promptTokens)))
    , m_trace(m_core->traces.start(m_id))
{
}

RequestSession::~RequestSession() = default;

const std::string &RequestSession::id() const
{
    return m_id;
}

const std::string &RequestSession::organisation() const
{
    return m_flow.spec().organisation;
}

void RequestSession::start()
{
    const auto &spec = m_flow.spec();
    m_core->registry.add(m_address.sequence, &spec, shared_from_this());
    const auto weak = weak_from_this();
    m_writer.onWriteCompleted([weak](bool ok) {
        if (const auto self = weak.lock()) {
            self->writeCompleted(ok);
        }
    });
    m_exchange->onClosed([weak] {
        if (const auto self = weak.lock()) {
            self->m_callerDisconnected = true;
            self->trace("the caller went away");
            self->feed(event::CallerCancelled{});
        }
    });
    trace("admitted for " + spec.organisation + " by intent " + spec.intent + ", " + std::to_string(spec.promptTokens)
          + " prompt tokens");
    logEvent(LogLevel::Debug,
             "request_admitted",
             {{"request", m_id},
              {"organisation", spec.organisation},
              {"intent", spec.intent},
              {"prompt_tokens", spec.promptTokens}});
    feed(event::Begin{});
}

void RequestSession::cancel()
{
    post(event::CallerCancelled{});
}

void RequestSession::abandon(std::chrono::milliseconds retryAfter)
{
    post(event::Abandoned{ReasonCode::Stopping, "this instance has stopped", retryAfter});
}

void RequestSession::capacityFreed()
{
    boost::asio::post(m_executor, [self = shared_from_this()] {
        const auto attempts = self->m_lastAttempt;
        self->feed(event::CapacityFreed{});
        if (self->m_lastAttempt != attempts) {
            self->m_core->notifyNextWaiting();
        }
    });
}

void RequestSession::queryClaimState(std::function<void(link::ClaimHolderState)> callback)
{
    boost::asio::post(m_executor, [self = shared_from_this(), callback = std::move(callback)] {
        callback(self->m_claim ? self->m_claim->holderState() : link::ClaimHolderState::Uncertain);
    });
}

void RequestSession::post(FlowEvent event)
{
    boost::asio::post(
        m_executor, [self = shared_from_this(), event = std::move(event)]() mutable { self->feed(std::move(event)); });
}

/// Feeds an event to the flow and carries out the resulting actions. Events that these actions raise are queued and fed
/// afterwards, in order, since the flow is not reentrant.
void RequestSession::feed(FlowEvent event)
{
    if (m_feeding) {
        m_pendingEvents.push_back(std::move(event));
        return;
    }
    const auto self = shared_from_this();
    m_feeding = true;
    handle(event);
    while (!m_pendingEvents.empty()) {
        const auto next = std::move(m_pendingEvents.front());
        m_pendingEvents.pop_front();
        handle(next);
    }
    m_feeding = false;
    if (!m_batching && !m_finished) {
        m_writer.flush();
    }
    finishIfDone();
}

void RequestSession::handle(const FlowEvent &event)
{
    if (m_flowClosed) {
        return;
    }
    for (auto &action : m_flow.handle(event, monotonicNow())) {
        std::visit([this](auto &value) { execute(value); }, action);
    }
}

RouteDecision RequestSession::choose(const RouteQuery &query, Instant now)
{
    const bool explained = m_core->snapshot.current()->backends.size() <= MaximumExplainedBackends;
    RouteExplanation explanation;
    auto decision = m_core->placement.choose(query, now, explained ? &explanation : nullptr);
    if (explained) {
        trace("attempt " + std::to_string(query.attempt) + ": " + formatExplanation(explanation));
    }
    return decision;
}

void RequestSession::trace(std::string text)
{
    m_trace->add(monotonicNow() - m_flow.spec().arrival, std::move(text));
}

StreamAddress RequestSession::address(std::uint32_t attempt) const
{
    auto address = m_address;
    address.attempt = attempt;
    return address;
}

void RequestSession::writeCompleted(bool ok)
{
    m_writer.writeCompleted(ok);
    if (m_paused && m_writer.pendingBytes() < m_core->settings.callerBufferBytes) {
        setPaused(false);
    }
}

void RequestSession::setPaused(bool paused)
{
    if (m_paused == paused) {
        return;
    }
    m_paused = paused;
    for (auto &open : m_streams) {
        paused ? open.stream->pause() : open.stream->resume();
    }
    const auto now = monotonicNow();
    if (!paused && m_timerDueAt <= now) {
        m_timerDueAt = std::min(std::max(m_flow.spec().deadline, now), now + m_core->settings.flow.stallTimeout);
        ensureTimer();
    }
}

void RequestSession::execute(action::ArmTimer &action)
{
    m_timerDueAt = action.at;
    ensureTimer();
}

/// Starts the timer unless it already expires early enough. Most calls of ArmTimer only move the due time later, so the
/// running timer is kept and checks the due time when it expires.
void RequestSession::ensureTimer()
{
    if (m_timerExpiresAt <= m_timerDueAt) {
        return;
    }
    startTimer(m_timerDueAt);
}

void RequestSession::startTimer(Instant at)
{
    m_timerExpiresAt = at;
    m_timer.expires_at(at);
    m_timer.async_wait([self = shared_from_this()](boost::system::error_code error) {
        if (!error) {
            self->m_timerExpiresAt = Instant::max();
            self->timerExpired();
        }
    });
}

/// Fires the flow's timer if it is due. While reading is paused for a slow caller, silence of the backend server is not
/// a stall, so only the deadline of the request applies.
void RequestSession::timerExpired()
{
    if (m_flowClosed) {
        return;
    }
    const auto now = monotonicNow();
    if (m_timerDueAt > now) {
        ensureTimer();
        return;
    }
    if (m_paused && now < m_flow.spec().deadline) {
        startTimer(m_flow.spec().deadline);
        return;
    }
    m_timerDueAt = Instant::max();
    feed(event::TimerFired{});
}

void RequestSession::reportOutcome(Verdict verdict, std::optional<ReasonCode> reason)
{
    const auto &spec = m_flow.spec();
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(monotonicNow() - spec.arrival);
    m_series->countVerdict(verdict, reason);
    const auto reasonName = reason ? nameOf(*reason) : std::string_view("none");
    trace("ended with verdict " + std::string(nameOf(verdict)) + ", reason " + std::string(reasonName));
    logEvent(LogLevel::Info,
             "request_ended",
             {{"request", m_id},
              {"organisation", spec.organisation},
              {"intent", spec.intent},
              {"verdict", nameOf(verdict)},
              {"reason", reasonName},
              {"attempts", m_lastAttempt},
              {"chunks", m_deliveredChunks},
              {"elapsed_ms", elapsed.count()}});
}

/// Ends the session once the flow is closed and no release or record of its claim is pending.
void RequestSession::finishIfDone()
{
    if (m_finished || !m_flowClosed || (m_claim && m_claim->settlementPending())) {
        return;
    }
    m_finished = true;
    m_timer.cancel();
    m_core->placement.abandoned(m_flow.spec());
    m_streams.clear();
    m_core->registry.remove(m_address.sequence, &m_flow.spec());
    m_core->requestEnded();
}

} // namespace pomelorouter
