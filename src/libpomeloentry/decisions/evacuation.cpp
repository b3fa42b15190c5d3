#include "pomeloentry/decisions/evacuation.h"

#include <algorithm>
#include <iterator>

namespace pomeloentry
{

namespace
{

/// A process that has not run for this share of the bound counts as stopped. The rest is left for the instance to learn
/// of an evacuation, and for requests on their way.
constexpr int GapDivisor = 2;

} // namespace

bool isEvacuated(const FleetState &state, const BackendEntry &backend)
{
    return state.evacuatedDomains.contains(backend.failureDomain);
}

bool allEvacuated(std::size_t evacuated, std::size_t others)
{
    return evacuated > 0 && others == 0;
}

EvacuationChanges evacuationChanges(const std::set<std::string> &before, const std::set<std::string> &next)
{
    EvacuationChanges result;
    std::ranges::set_difference(next, before, std::back_inserter(result.began));
    std::ranges::set_difference(before, next, std::back_inserter(result.ended));
    return result;
}

EvacuationFreshness::EvacuationFreshness(std::optional<Duration> bound)
    : m_longestGap(bound ? std::optional<Duration>(*bound / GapDivisor) : std::nullopt)
{
}

bool EvacuationFreshness::running(Instant now)
{
    if (!m_longestGap) {
        return false;
    }
    if (m_lastRun != Instant{} && now - m_lastRun > *m_longestGap) {
        m_unconfirmedSince = now;
    } else if (m_unconfirmedSince && now - *m_unconfirmedSince >= AskTime) {
        m_unconfirmedSince.reset();
    }
    m_lastRun = now;
    return m_unconfirmedSince.has_value();
}

void EvacuationFreshness::answered(Instant askedAt)
{
    if (m_unconfirmedSince && askedAt >= *m_unconfirmedSince) {
        m_unconfirmedSince.reset();
    }
}

bool EvacuationFreshness::maySend(Instant now) const
{
    const bool stopped = m_longestGap && m_lastRun != Instant{} && now - m_lastRun > *m_longestGap;
    return !stopped && !m_unconfirmedSince;
}

} // namespace pomeloentry
