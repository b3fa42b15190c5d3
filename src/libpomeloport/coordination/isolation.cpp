#include "pomeloport/coordination/isolation.h"

#include "pomeloport/coordination/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace pomeloport
{

namespace
{

// Seconds.
constexpr double DemandTimeConstant = 10;
constexpr std::string_view OrderKey = "short-only";

} // namespace

ShortOnlyShare::ShortOnlyShare(IsolationLimits limits)
    : m_limits(limits)
{
}

std::size_t ShortOnlyShare::observe(std::size_t engines,
                                    std::size_t enginesWithLongWork,
                                    double minimumShare,
                                    Instant now)
{
    const auto size = static_cast<double>(engines);
    const auto minimum = static_cast<std::size_t>(std::ceil(minimumShare * size));
    const auto maximum = std::max(minimum, static_cast<std::size_t>(m_limits.maximumShare * size));
    const auto observed = static_cast<double>(enginesWithLongWork);
    if (!m_started) {
        m_started = true;
        m_longEngines = observed;
        m_count = minimum;
    }
    const auto weight = 1 - std::exp(-seconds(now - m_observedAt) / DemandTimeConstant);
    m_longEngines += weight * (observed - m_longEngines);
    m_observedAt = now;

    const auto neededForLongWork = std::ceil(m_longEngines * m_limits.longHeadroom) + 1;
    const auto wanted = std::clamp(static_cast<std::size_t>(std::max(0.0, size - neededForLongWork)), minimum, maximum);
    const int direction = wanted > m_count ? 1 : (wanted < m_count ? -1 : 0);
    if (direction != m_wantedDirection) {
        m_wantedDirection = direction;
        m_changeWantedSince = now;
    }
    if (direction != 0 && now - m_changeWantedSince >= m_limits.settleTime) {
        m_count += direction > 0 ? 1 : -1;
        m_changeWantedSince = now;
    }
    m_count = std::clamp(m_count, std::min(minimum, engines), std::min(maximum, engines));
    return m_count;
}

std::vector<std::uint32_t> shortOnlyOrder(const std::vector<std::string> &members)
{
    std::vector<std::uint32_t> order(members.size());
    std::iota(order.begin(), order.end(), 0U);
    std::ranges::sort(order, [&members](std::uint32_t left, std::uint32_t right) {
        const auto leftWeight = rendezvousWeight(OrderKey, members[left]);
        const auto rightWeight = rendezvousWeight(OrderKey, members[right]);
        return leftWeight != rightWeight ? leftWeight > rightWeight : members[left] < members[right];
    });
    return order;
}

} // namespace pomeloport
