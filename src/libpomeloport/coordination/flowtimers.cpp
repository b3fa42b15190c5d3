#include "flowcontext.h"

#include <algorithm>

/// The timers of FlowContext: deadline, release of the claim, retry, stall and cancel.
namespace pomeloport::detail
{

Duration FlowContext::retryDelay()
{
    Duration delay = m_limits.firstRetryDelay;
    for (std::size_t attempt = 1; attempt < m_routes.size() && delay < m_limits.maximumRetryDelay; ++attempt) {
        delay *= 2;
    }
    delay = std::min(delay, m_limits.maximumRetryDelay);
    std::uniform_real_distribution<double> jitter(0.5, 1.0);
    return fromSeconds(seconds(delay) * jitter(m_random));
}

void FlowContext::armTimer()
{
    std::optional<Instant> next;
    const auto consider = [&next](Instant at) {
        next = next ? std::min(*next, at) : at;
    };
    if (m_phase == FlowPhase::Closed) {
        return;
    }
    if (!m_outcomeDelivered) {
        consider(m_spec.deadline);
        consider(claimReleaseTime());
    }
    if (m_phase == FlowPhase::Waiting) {
        consider(m_wakeUpAt);
    }
    if (const auto stall = stallTime()) {
        consider(*stall);
    }
    if (m_phase == FlowPhase::Cancelling) {
        consider(m_cancelDeadline);
    }
    if (next && next != m_armedTimer) {
        emit(action::ArmTimer{*next});
    }
    m_armedTimer = next;
}

Instant FlowContext::claimReleaseTime() const
{
    const bool beforeOutcome = m_phase == FlowPhase::Claiming || m_phase == FlowPhase::Waiting
        || m_phase == FlowPhase::Grouping || m_phase == FlowPhase::Attempting;
    // An attempt that was not sent, or one at an engine that returned no chunk yet, may still be cancelled before it
    // runs.
    const bool cancellable = !m_attemptSent || (m_spec.backendKind == BackendKind::Engine && !m_chunkSeen);
    if (!beforeOutcome || !m_claimPossible || !cancellable) {
        return m_spec.deadline;
    }
    const Duration span = m_spec.deadline - m_spec.arrival;
    return m_spec.deadline - std::min(m_limits.claimReleaseReserve, span / 4);
}

bool FlowContext::deadlineDue() const
{
    return !m_outcomeDelivered && m_now >= m_spec.deadline;
}

bool FlowContext::claimReleaseDue() const
{
    return !m_outcomeDelivered && m_now >= claimReleaseTime();
}

bool FlowContext::wakeUpDue() const
{
    return m_phase == FlowPhase::Waiting && m_now >= m_wakeUpAt;
}

bool FlowContext::stallDue() const
{
    const auto at = stallTime();
    return at && m_now >= *at;
}

std::optional<Instant> FlowContext::stallTime() const
{
    if (m_phase != FlowPhase::Attempting) {
        return std::nullopt;
    }
    if (m_chunkSeen) {
        return m_stallAt;
    }
    const Duration firstChunkTimeout = m_routes.back().firstChunkTimeout;
    const bool lastAttempt = m_countedAttempts >= m_limits.maximumAttempts;
    if (!m_attemptSent || lastAttempt || m_spec.nonIdempotent || firstChunkTimeout == Duration::zero()) {
        return std::nullopt;
    }
    return m_sentAt + firstChunkTimeout;
}

bool FlowContext::cancelTimeoutDue() const
{
    return m_phase == FlowPhase::Cancelling && m_now >= m_cancelDeadline;
}

} // namespace pomeloport::detail
