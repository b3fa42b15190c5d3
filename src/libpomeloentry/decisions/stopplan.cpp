#include "pomeloentry/decisions/stopplan.h"

#include <algorithm>

namespace pomeloentry
{

namespace
{

/// Callers may use a discovery answer for three times its lifetime; after that, no new caller arrives.
constexpr int AddressLifetimesInUse = 3;
/// Allows for the time between the request to stop and its handling: callers count from the former.
constexpr Duration SignalMargin = std::chrono::milliseconds(200);
/// Reserve between the end of the stop and the moment at which the platform kills the process, at most.
constexpr Duration ExitMargin = std::chrono::milliseconds(400);
/// The reserve is no more than one part in so many of a short grace period: a call that a server still works on may be
/// given up in the last sixth of it only.
constexpr int ExitMarginDivisor = 8;
/// Part of the longest reserve in which the final answers are written.
constexpr Duration FinalAnswerTime = std::chrono::milliseconds(250);

Duration exitMargin(Duration gracePeriod)
{
    return std::min(ExitMargin, gracePeriod / ExitMarginDivisor);
}

} // namespace

StopPlan::StopPlan(Instant begin, Duration gracePeriod, Duration addressLifetime)
    : m_end(begin + gracePeriod - exitMargin(gracePeriod))
    , m_exitAt(m_end + exitMargin(gracePeriod) * FinalAnswerTime.count() / ExitMargin.count())
    , m_callersLeftAt(begin + addressLifetime * AddressLifetimesInUse - SignalMargin)
    , m_idleExitAt(std::min(m_callersLeftAt + SignalMargin, m_end))
{
}

void StopPlan::endNow(Instant now)
{
    m_end = std::min(m_end, now);
    m_exitAt = std::min(m_exitAt, now + FinalAnswerTime);
    m_idleExitAt = std::min(m_idleExitAt, m_end);
}

Instant StopPlan::end() const
{
    return m_end;
}

Instant StopPlan::callersLeftAt() const
{
    return m_callersLeftAt;
}

StopStep StopPlan::step(Instant now, std::uint64_t open) const
{
    if ((open == 0 && now >= m_idleExitAt) || now >= m_exitAt) {
        return StopStep::Exit;
    }
    return now >= m_end ? StopStep::GiveUp : StopStep::Serve;
}

} // namespace pomeloentry
