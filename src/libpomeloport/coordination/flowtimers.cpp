#include "flowcontext.h"

#include <algorithm>

/// The times that one request's lifecycle waits for: deadline, settling of the claim, retry, stall and cancel.
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
    if (!m_told) {
        consider(m_spec.deadline);
        consider(settleTime());
    }
    if (m_phase == FlowPhase::Waiting) {
        consider(m_wakeAt);
    }
    if (const auto stall = stallTime()) {
        consider(*stall);
    }
    if (m_phase == FlowPhase::Cancelling) {
        consider(m_cancelLimit);
    }
    if (next && next != m_armed) {
        emit(action::ArmTimer{*next});
    }
    m_armed = next;
}

Instant FlowContext::settleTime() const
{
    const bool settling = m_phase == FlowPhase::Claiming || m_phase == FlowPhase::Waiting
        || m_phase == FlowPhase::Grouping || m_phase == FlowPhase::Attempting;
    const bool cancellable = !m_sent || (m_spec.backendKind == BackendKind::Engine && !m_chunkSeen);
    if (!settling || !m_claimPossible || !cancellable) {
        return m_spec.deadline;
    }
    const Duration span = m_spec.deadline - m_spec.arrival;
    return m_spec.deadline - std::min(m_limits.settleTime, span / 4);
}

bool FlowContext::deadlineDue() const
{
    return !m_told && m_now >= m_spec.deadline;
}

bool FlowContext::settleDue() const
{
    return !m_told && m_now >= settleTime();
}

bool FlowContext::wakeUpDue() const
{
    return m_phase == FlowPhase::Waiting && m_now >= m_wakeAt;
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
    if (!m_sent || lastAttempt || m_spec.nonIdempotent || firstChunkTimeout == Duration::zero()) {
        return std::nullopt;
    }
    return m_sentAt + firstChunkTimeout;
}

bool FlowContext::cancelLimitDue() const
{
    return m_phase == FlowPhase::Cancelling && m_now >= m_cancelLimit;
}

} // namespace pomeloport::detail
