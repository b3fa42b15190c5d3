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

/// Fleets up to this size get every candidate explained in traces.
constexpr std::size_t ExplainedBackends = 64;

std::string requestId(const StreamAddress &address)
{
    return address.owner.instance + "." + std::to_string(address.owner.incarnation) + "."
        + std::to_string(address.sequence);
}

std::string explain(const RouteExplanation &explanation)
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
    m_writer.onWritten([weak](bool ok) {
        if (const auto self = weak.lock()) {
            self->pieceWritten(ok);
        }
    });
    m_exchange->onClosed([weak] {
        if (const auto self = weak.lock()) {
            self->m_callerGone = true;
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

void RequestSession::capacityFreed()
{
    boost::asio::post(m_executor, [self = shared_from_this()] {
        const auto attempts = self->m_attempts;
        self->feed(event::CapacityFreed{});
        if (self->m_attempts != attempts) {
            self->m_core->wakeNext();
        }
    });
}

void RequestSession::askClaim(std::function<void(link::ClaimHolderState)> callback)
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

/// Feeds one event and carries out the actions. Events that arise meanwhile are fed afterwards, in order.
void RequestSession::feed(FlowEvent event)
{
    if (m_feeding) {
        m_events.push_back(std::move(event));
        return;
    }
    const auto self = shared_from_this();
    m_feeding = true;
    handle(event);
    while (!m_events.empty()) {
        const auto next = std::move(m_events.front());
        m_events.pop_front();
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
    const bool explained = m_core->snapshot.current()->backends.size() <= ExplainedBackends;
    RouteExplanation explanation;
    auto decision = m_core->placement.choose(query, now, explained ? &explanation : nullptr);
    if (explained) {
        trace("attempt " + std::to_string(query.attempt) + ": " + explain(explanation));
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

void RequestSession::pieceWritten(bool ok)
{
    m_writer.pieceWritten(ok);
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
    if (!paused && m_timerAt <= now) {
        m_timerAt = std::min(std::max(m_flow.spec().deadline, now), now + m_core->settings.flow.stallTimeout);
        waitForTimer();
    }
}

void RequestSession::execute(action::ArmTimer &action)
{
    m_timerAt = action.at;
    waitForTimer();
}

/// Starts the timer unless it is going to look early enough: most armings only move the time further away.
void RequestSession::waitForTimer()
{
    if (m_timerLooks <= m_timerAt) {
        return;
    }
    lookAt(m_timerAt);
}

void RequestSession::lookAt(Instant at)
{
    m_timerLooks = at;
    m_timer.expires_at(at);
    m_timer.async_wait([self = shared_from_this()](boost::system::error_code error) {
        if (!error) {
            self->m_timerLooks = Instant::max();
            self->timerDue();
        }
    });
}

/// While reading is paused for a slow caller, only the deadline counts: the backend server does not stall then.
void RequestSession::timerDue()
{
    if (m_flowClosed) {
        return;
    }
    const auto now = monotonicNow();
    if (m_timerAt > now) {
        waitForTimer();
        return;
    }
    if (m_paused && now < m_flow.spec().deadline) {
        lookAt(m_flow.spec().deadline);
        return;
    }
    m_timerAt = Instant::max();
    feed(event::TimerFired{});
}

void RequestSession::ended(Verdict verdict, std::optional<ReasonCode> reason)
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
              {"attempts", m_attempts},
              {"chunks", m_chunks},
              {"elapsed_ms", elapsed.count()}});
}

/// Ends the session once the flow is closed and its claim needs no more work.
void RequestSession::finishIfDone()
{
    if (m_finished || !m_flowClosed || (m_claim && m_claim->settling())) {
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
