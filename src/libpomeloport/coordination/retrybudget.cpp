#include "pomeloport/coordination/retrybudget.h"

#include <algorithm>

namespace pomeloport
{

RetryBudget::RetryBudget(RetryBudgetLimits limits)
    : m_limits(limits)
    , m_retries(limits.capacity)
{
}

void RetryBudget::requestStarted()
{
    m_retries = std::min(m_limits.capacity, m_retries + m_limits.perRequest);
}

bool RetryBudget::take(Instant now)
{
    if (m_started) {
        const auto earned = seconds(now - m_filledAt) * m_limits.perSecond;
        m_retries = std::min(m_limits.capacity, m_retries + std::max(0.0, earned));
    }
    m_started = true;
    m_filledAt = now;
    if (m_retries < 1) {
        return false;
    }
    m_retries -= 1;
    return true;
}

} // namespace pomeloport
