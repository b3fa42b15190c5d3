#include "flowcontext.h"

#include <algorithm>
#include <utility>

namespace pomeloport::detail
{

namespace
{

/// Minimum time between two queries to the route chooser.
constexpr Duration MinimumWait = std::chrono::milliseconds(1);

/// Time after which a caller may retry a request that was refused or whose action is in progress.
constexpr std::chrono::milliseconds RetryAfter{1000};

/// Limit on all attempts, including refused ones, as a multiple of FlowLimits::maximumAttempts. Refused attempts are
/// cheap, and the delay between them grows.
constexpr std::size_t TotalPerCountedAttempt = 4;

/// Interval at which a stalled attempt that can't be replaced yet tries again.
constexpr Duration StalledCheckInterval = std::chrono::milliseconds(200);

/// Retry delay from which backend servers that failed or refused the request earlier are tried again.
constexpr Duration AvoidanceDelayLimit = std::chrono::milliseconds(500);

/// Maximum wait for the reply to a cancel.
constexpr Duration CancelTimeout = std::chrono::seconds(2);

/// Returns the failure to report to the caller when the claim was not acquired. The action of an earlier request with
/// the same key may have run, so the verdict is NotRun only for a reused key or an unreachable store.
Failure claimFailure(event::ClaimResult result)
{
    switch (result) {
    case event::ClaimResult::InProgress:
        return {
            Verdict::MayHaveRun, ReasonCode::ActionInProgress, "another request with this key is running", RetryAfter};
    case event::ClaimResult::Uncertain:
        return {
            Verdict::MayHaveRun, ReasonCode::ActionUncertain, "it is not known whether the action ran", std::nullopt};
    case event::ClaimResult::KeyReused:
        return {Verdict::NotRun, ReasonCode::KeyReused, "the key was used with another body", std::nullopt};
    case event::ClaimResult::KeyExpired:
        return {Verdict::MayHaveRun,
                ReasonCode::KeyExpired,
                "the key's issue time is outside the retention window",
                std::nullopt};
    case event::ClaimResult::Acquired:
    case event::ClaimResult::Finished:
    case event::ClaimResult::Unavailable:
        break;
    }
    return {Verdict::NotRun, ReasonCode::StoreUnavailable, "the store could not confirm the claim in time", RetryAfter};
}

} // namespace

FlowContext::FlowContext(RequestSpec spec,
                         FlowLimits limits,
                         RouteChooser chooser,
                         RetryPermit permit,
                         std::uint64_t seed)
    : m_spec(std::move(spec))
    , m_limits(limits)
    , m_chooser(std::move(chooser))
    , m_permit(std::move(permit))
    , m_random(seed)
    // Only a claim records the answer; without one, keeping it would hold every stream in memory as a whole.
    , m_answer(m_spec.nonIdempotent && m_limits.claims)
{
}

void FlowContext::startEvent(Instant now)
{
    m_now = now;
    m_actions.clear();
}

std::vector<FlowAction> FlowContext::finishEvent()
{
    armTimer();
    return std::move(m_actions);
}

void FlowContext::begin()
{
    if (deadlineDue()) {
        giveUp(ReasonCode::DeadlinePassed, "the deadline passed");
        return;
    }
    if (!m_spec.nonIdempotent || !m_limits.claims) {
        choose();
        return;
    }
    if (m_spec.idempotencyKey.empty()) {
        fail({Verdict::NotRun,
              ReasonCode::MissingKey,
              "a non-idempotent request needs an idempotency key",
              std::nullopt});
        return;
    }
    m_claimPossible = true;
    emit(action::AcquireClaim{});
    m_phase = FlowPhase::Claiming;
}

void FlowContext::claimSettled(const event::ClaimSettled &settled)
{
    if (settled.result == event::ClaimResult::Acquired) {
        choose();
        return;
    }
    m_claimPossible = settled.result == event::ClaimResult::Unavailable;
    if (settled.result == event::ClaimResult::Finished) {
        deliverRecordedAnswer(settled.recordedAnswer);
        return;
    }
    Failure failure = claimFailure(settled.result);
    m_mayHaveRun = failure.verdict != Verdict::NotRun;
    fail(std::move(failure));
}

void FlowContext::capacityFreed()
{
    if (!m_backingOff) {
        choose();
    }
}

RouteQuery FlowContext::routeQuery() const
{
    RouteQuery query;
    query.request = &m_spec;
    query.attempt = static_cast<std::uint32_t>(m_routes.size()) + 1;
    query.avoid = m_avoidedBackends;
    query.answerBegun = m_answer.nextIndex() > 0;
    return query;
}

void FlowContext::choose()
{
    m_backingOff = false;
    const auto query = routeQuery();
    const RouteDecision decision = m_chooser(query, m_now);
    std::visit([this](const auto &chosen) { apply(chosen); }, decision);
}

void FlowContext::apply(const Route &route)
{
    if (route.members.empty()) {
        fail({Verdict::NotRun, ReasonCode::NoBackend, "the route has no members", std::nullopt});
        return;
    }
    m_routes.push_back(route);
    m_reservation = route.reservation;
    m_member = 0;
    m_answer.resetAttempt();
    ++m_countedAttempts;
    openMember();
}

void FlowContext::apply(const NeedsGroup &need)
{
    emit(action::ReserveGroup{need});
    m_phase = FlowPhase::Grouping;
}

void FlowContext::apply(const WaitUntil &wait)
{
    // When only backend servers that failed or refused the request earlier are left, these are tried again.
    m_avoidedBackends.clear();
    m_wakeUpAt = std::max(wait.at, m_now + MinimumWait);
    m_phase = FlowPhase::Waiting;
}

void FlowContext::apply(const Failure &failure)
{
    fail(failure);
}

void FlowContext::groupGranted(const event::GroupGranted &granted)
{
    apply(granted.route);
}

void FlowContext::groupRefused(const event::GroupRefused &refused)
{
    fail(refused.failure);
}

void FlowContext::deliverRecordedAnswer(const std::string &answer)
{
    m_ran = true;
    m_outcomeDelivered = true;
    m_answer.addChunk(0, answer, [this](std::uint64_t index, std::string text) {
        emit(action::DeliverChunk{index, std::move(text)});
    });
    emit(action::DeliverEnd{m_answer.nextIndex(), m_answer.digest()});
    emit(action::Close{});
    m_phase = FlowPhase::Closed;
}

void FlowContext::attemptBroken()
{
    if (!m_attemptSent) {
        attemptRefused({});
        return;
    }
    m_avoidedBackends.push_back(currentBackend());
    cancelMember();
    if (m_spec.nonIdempotent) {
        m_cancelDeadline = m_now + CancelTimeout;
        m_phase = FlowPhase::Cancelling;
        return;
    }
    m_mayHaveRun = true;
    m_attemptSent = false;
    closeMember(action::CloseAttempt::Outcome::Broken);
    if (m_answer.nextIndex() > 0 && !m_spec.deterministic) {
        fail({Verdict::MayHaveRun,
              ReasonCode::StreamBroken,
              "the answer cannot be resumed at another backend server",
              std::nullopt});
        return;
    }
    retry(false);
}

void FlowContext::attemptStalled()
{
    if (!m_limits.keepStalledAttempt) {
        attemptBroken();
        return;
    }
    const bool mayReplace = mayReplaceStalledAttempt();
    if (!mayReplace || !m_permit(m_now) || !replaceStalledAttempt()) {
        m_stallAt = m_now + (mayReplace ? StalledCheckInterval : m_limits.stallTimeout);
        m_sentAt = m_stallAt - m_routes.back().firstChunkTimeout;
    }
}

bool FlowContext::mayReplaceStalledAttempt() const
{
    return !m_spec.nonIdempotent && !attemptsExhausted() && (m_spec.deterministic || m_answer.nextIndex() == 0);
}

/// Moves the request from a stalled attempt to another one if there is a place for that now. The stalled backend server
/// may merely be slow, so the attempt is not given up for a wait. Returns whether the request was moved.
bool FlowContext::replaceStalledAttempt()
{
    auto query = routeQuery();
    query.mayWait = false;
    query.avoid.push_back(currentBackend());
    const RouteDecision decision = m_chooser(query, m_now);
    const auto *route = std::get_if<Route>(&decision);
    if (!route || route->members.empty()) {
        return false;
    }
    m_avoidedBackends = std::move(query.avoid);
    cancelMember();
    m_mayHaveRun = true;
    m_attemptSent = false;
    closeMember(action::CloseAttempt::Outcome::Broken);
    releaseGroupResources();
    apply(*route);
    return true;
}

void FlowContext::cancelSettled(bool neverRan)
{
    m_mayHaveRun = m_mayHaveRun || !neverRan;
    m_attemptSent = false;
    const bool abandoned = m_failure.has_value();
    closeMember(abandoned ? action::CloseAttempt::Outcome::Abandoned : action::CloseAttempt::Outcome::Broken);
    if (!abandoned && !m_mayHaveRun) {
        retry(false);
        return;
    }
    if (!abandoned) {
        m_failure = {Verdict::MayHaveRun, ReasonCode::BackendFailed, "the backend server failed", std::nullopt};
    }
    releaseGroupResources();
    settleClaim();
}

void FlowContext::claimReleased(bool held)
{
    m_claimPossible = !held;
    deliverFailure();
    emit(action::Close{});
    m_phase = FlowPhase::Closed;
}

void FlowContext::outcomeRecorded()
{
    emit(action::Close{});
    m_phase = FlowPhase::Closed;
}

void FlowContext::giveUp(ReasonCode reason, std::string detail, std::optional<std::chrono::milliseconds> retryAfter)
{
    const bool mayHaveRun = m_mayHaveRun || (m_attemptOpen && m_attemptSent);
    fail({Verdict::NotRun, reason, std::move(detail), mayHaveRun ? std::nullopt : retryAfter});
}

void FlowContext::abandon(ReasonCode reason, std::string detail)
{
    if (!m_failure) {
        m_failure = {Verdict::MayHaveRun, reason, std::move(detail), std::nullopt};
    }
}

void FlowContext::deliverFailureAtDeadline()
{
    deliverFailure();
}

bool FlowContext::attemptsExhausted() const
{
    return m_countedAttempts >= m_limits.maximumAttempts
        || m_routes.size() >= TotalPerCountedAttempt * m_limits.maximumAttempts;
}

void FlowContext::retry(bool withoutDelay)
{
    releaseGroupResources();
    if (attemptsExhausted()) {
        fail({Verdict::NotRun, ReasonCode::BackendFailed, "no attempt succeeded", RetryAfter});
        return;
    }
    if (withoutDelay) {
        choose();
        return;
    }
    if (!m_permit(m_now)) {
        fail({Verdict::NotRun, ReasonCode::Overloaded, "the retry budget is exhausted", RetryAfter});
        return;
    }
    const Duration delay = retryDelay();
    if (delay >= AvoidanceDelayLimit) {
        m_avoidedBackends.clear();
    }
    m_wakeUpAt = m_now + delay;
    m_backingOff = true;
    m_phase = FlowPhase::Waiting;
}

void FlowContext::fail(Failure failure)
{
    m_failure = std::move(failure);
    if (m_attemptOpen && m_attemptSent) {
        cancelMember();
        m_cancelDeadline = m_now + CancelTimeout;
        m_phase = FlowPhase::Cancelling;
    } else {
        if (m_attemptOpen) {
            closeMember(action::CloseAttempt::Outcome::Abandoned);
        }
        releaseGroupResources();
        settleClaim();
    }
    if (deadlineDue()) {
        deliverFailure();
    }
}

void FlowContext::settleClaim()
{
    if (m_claimPossible && !m_mayHaveRun) {
        emit(action::ReleaseClaim{});
        m_phase = FlowPhase::Releasing;
        return;
    }
    deliverFailure();
    emit(action::Close{});
    m_phase = FlowPhase::Closed;
}

void FlowContext::deliverFailure()
{
    if (m_outcomeDelivered) {
        return;
    }
    m_failure->verdict = verdict();
    emit(action::DeliverFailure{*m_failure});
    m_outcomeDelivered = true;
}

bool FlowContext::isCurrent(std::uint32_t attempt) const
{
    return m_attemptOpen && attempt == m_routes.size();
}

const RequestSpec &FlowContext::spec() const
{
    return m_spec;
}

FlowPhase FlowContext::phase() const
{
    return m_phase;
}

Verdict FlowContext::verdict() const
{
    if (m_ran) {
        return Verdict::Ran;
    }
    const bool notRun = !m_mayHaveRun && !m_attemptSent && !m_claimPossible;
    return notRun ? Verdict::NotRun : Verdict::MayHaveRun;
}

const std::string &FlowContext::currentBackend() const
{
    return m_routes.back().members[m_member].backend;
}

} // namespace pomeloport::detail
