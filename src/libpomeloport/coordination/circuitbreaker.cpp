#include "pomeloport/coordination/circuitbreaker.h"

#include <algorithm>

namespace pomeloport
{

namespace
{

constexpr double MinimumShare = 0.1;

} // namespace

CircuitBreaker::CircuitBreaker(BreakerLimits limits)
    : m_limits(limits)
{
}

bool CircuitBreaker::isOpen() const
{
    return m_openTime > Duration::zero();
}

bool CircuitBreaker::permits(Instant now) const
{
    return !isOpen() || now >= m_probeAt;
}

void CircuitBreaker::sent(Instant now)
{
    if (isOpen()) {
        m_probing = true;
        m_probeAt = now + m_openTime;
    }
}

void CircuitBreaker::succeeded(Instant now)
{
    m_failures = 0;
    if (isOpen()) {
        m_openTime = Duration::zero();
        m_probing = false;
        m_recovered = true;
        m_recoveredAt = now;
    }
}

void CircuitBreaker::failed(Instant now)
{
    if (m_failures == 0 || now - m_firstFailure > m_limits.window) {
        m_failures = 0;
        m_firstFailure = now;
    }
    ++m_failures;
    if (isOpen()) {
        // Only a failed probe extends the open time: attempts sent before the circuit opened tell nothing new.
        if (m_probing) {
            m_probing = false;
            m_openTime = std::min(2 * m_openTime, m_limits.longestOpenTime);
            m_probeAt = now + m_openTime;
        }
    } else if (m_failures >= m_limits.failures) {
        m_openTime = m_limits.firstOpenTime;
        m_probeAt = now + m_openTime;
    }
}

double CircuitBreaker::share(Instant now) const
{
    if (!m_recovered || now >= m_recoveredAt + m_limits.slowStart) {
        return 1;
    }
    const auto progress = seconds(now - m_recoveredAt) / seconds(m_limits.slowStart);
    return std::clamp(progress, MinimumShare, 1.0);
}

} // namespace pomeloport
