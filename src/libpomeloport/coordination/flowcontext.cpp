#include "flowcontext.h"

#include <algorithm>
#include <utility>

namespace pomeloport::detail
{

namespace
{

/// Least time between two questions to the chooser.
constexpr Duration MinimumWait = std::chrono::milliseconds(1);

/// When a caller may ask again about an action in progress or a refused request.
constexpr std::chrono::milliseconds RetryAfter{1000};

/// Attempts in all for each one that may have run: refused ones are cheap, and their delay grows.
constexpr std::size_t RefusedPerAttempt = 4;

/// Delay from which servers that failed or refused before may be tried again.
constexpr Duration AvoidTime = std::chrono::milliseconds(500);

/// The longest wait for the answer to a cancel.
constexpr Duration CancelWait = std::chrono::seconds(2);

/// The failure that a claim that was not acquired means for the caller. The action of an earlier request with the key
/// may have run, so only a reused key and an unreachable store allow NotRun.
Failure claimFailure(event::ClaimResult result)
{
    switch (result) {
    case event::ClaimResult::InProgress:
        return {
            Verdict::MayHaveRun, ReasonCode::ActionInProgress, "another request with this key is running", RetryAfter};
    case event::ClaimResult::Uncertain:
        return {Verdict::MayHaveRun, ReasonCode::ActionUncertain, "nobody knows whether the action ran", std::nullopt};
    case event::ClaimResult::KeyReused:
        return {Verdict::NotRun, ReasonCode::KeyReused, "the key was used with another body", std::nullopt};
    case event::ClaimResult::KeyExpired:
        return {
            Verdict::MayHaveRun, ReasonCode::KeyExpired, "the key's issue time is outside the window", std::nullopt};
    case event::ClaimResult::Acquired:
    case event::ClaimResult::Finished:
    case event::ClaimResult::Unavailable:
        break;
    }
    return {Verdict::NotRun, ReasonCode::StoreUnavailable, "the store could not settle the claim", RetryAfter};
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
    , m_answer(m_spec.nonIdempotent)
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
        fail({Verdict::NotRun, ReasonCode::MissingKey, "a non-idempotent request needs a key", std::nullopt});
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
        deliverRecorded(settled.recordedAnswer);
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

void FlowContext::choose()
{
    m_backingOff = false;
    const RouteQuery query{&m_spec, static_cast<std::uint32_t>(m_routes.size()) + 1, m_avoid};
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
    m_answer.startAttempt();
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
    // When nothing is left but servers that failed or refused before, these are tried again.
    m_avoid.clear();
    m_wakeAt = std::max(wait.at, m_now + MinimumWait);
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

void FlowContext::deliverRecorded(const std::string &answer)
{
    m_ran = true;
    m_told = true;
    m_answer.take(0, answer, [this](std::uint64_t index, std::string text) {
        emit(action::DeliverChunk{index, std::move(text)});
    });
    emit(action::DeliverEnd{m_answer.next(), m_answer.digest()});
    emit(action::Close{});
    m_phase = FlowPhase::Closed;
}

void FlowContext::attemptBroken()
{
    if (!m_sent) {
        attemptRefused({});
        return;
    }
    m_avoid.push_back(currentBackend());
    cancelMember();
    if (m_spec.nonIdempotent) {
        m_cancelLimit = m_now + CancelWait;
        m_phase = FlowPhase::Cancelling;
        return;
    }
    m_mayHaveRun = true;
    m_sent = false;
    closeMember(action::CloseAttempt::Outcome::Broken);
    if (m_answer.next() > 0 && !m_spec.deterministic) {
        fail({Verdict::MayHaveRun, ReasonCode::StreamBroken, "the answer can't be resumed elsewhere", std::nullopt});
        return;
    }
    retry(false);
}

void FlowContext::attemptStalled()
{
    if (m_limits.keepStalledAttempt) {
        const bool another = !m_spec.nonIdempotent && m_countedAttempts < m_limits.maximumAttempts
            && (m_spec.deterministic || m_answer.next() == 0);
        if (!another || !m_permit(m_now)) {
            m_sentAt = m_now;
            m_stallAt = m_now + m_limits.stallTimeout;
            return;
        }
        m_retryPermitted = true;
    }
    attemptBroken();
}

void FlowContext::cancelSettled(bool neverRan)
{
    m_mayHaveRun = m_mayHaveRun || !neverRan;
    m_sent = false;
    const bool abandoned = m_failure.has_value();
    closeMember(abandoned ? action::CloseAttempt::Outcome::Abandoned : action::CloseAttempt::Outcome::Broken);
    if (!abandoned && !m_mayHaveRun) {
        retry(false);
        return;
    }
    if (!abandoned) {
        m_failure = {Verdict::MayHaveRun, ReasonCode::BackendFailed, "the backend server failed", std::nullopt};
    }
    freeGroup();
    settleClaim();
}

void FlowContext::claimReleased(bool held)
{
    m_claimPossible = !held;
    tellFailure();
    emit(action::Close{});
    m_phase = FlowPhase::Closed;
}

void FlowContext::outcomeRecorded()
{
    emit(action::Close{});
    m_phase = FlowPhase::Closed;
}

void FlowContext::giveUp(ReasonCode reason, std::string detail)
{
    fail({Verdict::NotRun, reason, std::move(detail), std::nullopt});
}

void FlowContext::abandon(ReasonCode reason, std::string detail)
{
    if (!m_failure) {
        m_failure = {Verdict::MayHaveRun, reason, std::move(detail), std::nullopt};
    }
}

void FlowContext::tellAtDeadline()
{
    tellFailure();
}

void FlowContext::retry(bool atOnce)
{
    freeGroup();
    const bool exhausted = m_countedAttempts >= m_limits.maximumAttempts
        || m_routes.size() >= RefusedPerAttempt * m_limits.maximumAttempts;
    if (exhausted) {
        fail({Verdict::NotRun, ReasonCode::BackendFailed, "no attempt succeeded", RetryAfter});
        return;
    }
    if (atOnce) {
        choose();
        return;
    }
    if (!std::exchange(m_retryPermitted, false) && !m_permit(m_now)) {
        fail({Verdict::NotRun, ReasonCode::Overloaded, "the retry budget is spent", RetryAfter});
        return;
    }
    const Duration delay = retryDelay();
    if (delay >= AvoidTime) {
        m_avoid.clear();
    }
    m_wakeAt = m_now + delay;
    m_backingOff = true;
    m_phase = FlowPhase::Waiting;
}

void FlowContext::fail(Failure failure)
{
    m_failure = std::move(failure);
    if (m_open && m_sent) {
        cancelMember();
        m_cancelLimit = m_now + CancelWait;
        m_phase = FlowPhase::Cancelling;
    } else {
        if (m_open) {
            closeMember(action::CloseAttempt::Outcome::Abandoned);
        }
        freeGroup();
        settleClaim();
    }
    if (deadlineDue()) {
        tellFailure();
    }
}

void FlowContext::settleClaim()
{
    if (m_claimPossible && !m_mayHaveRun) {
        emit(action::ReleaseClaim{});
        m_phase = FlowPhase::Releasing;
        return;
    }
    tellFailure();
    emit(action::Close{});
    m_phase = FlowPhase::Closed;
}

void FlowContext::tellFailure()
{
    if (m_told) {
        return;
    }
    m_failure->verdict = verdict();
    emit(action::DeliverFailure{*m_failure});
    m_told = true;
}

bool FlowContext::isCurrent(std::uint32_t attempt) const
{
    return m_open && attempt == m_routes.size();
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
    const bool notRun = !m_mayHaveRun && !m_sent && !m_claimPossible;
    return notRun ? Verdict::NotRun : Verdict::MayHaveRun;
}

const std::string &FlowContext::currentBackend() const
{
    return m_routes.back().members[m_member].backend;
}

} // namespace pomeloport::detail
