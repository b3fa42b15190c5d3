#include "pomeloport/coordination/fairshares.h"

#include <algorithm>

namespace pomeloport
{

namespace
{

constexpr Duration UsageTimeConstant = std::chrono::seconds(30);
constexpr Duration IdleCheckInterval = std::chrono::seconds(5);
// Organisations with a smaller fraction of the total use count as idle.
constexpr double IdleFraction = 1e-4;

} // namespace

void FairShares::recordUsage(const std::string &organisation, double weight, double cost, Instant now)
{
    removeIdle(now);
    const auto [entry, added] = m_usage.try_emplace(organisation, Usage{DecayingSum(UsageTimeConstant), weight});
    if (added) {
        m_activeWeight += weight;
    }
    entry->second.cost.add(cost, now);
    m_total.add(cost, now);
}

double FairShares::shareFactor(const std::string &organisation, double weight, Instant now)
{
    const auto entry = m_usage.find(organisation);
    const auto total = m_total.at(now);
    if (entry == m_usage.end() || total <= 0 || m_activeWeight <= 0) {
        return 1;
    }
    const auto usedFraction = entry->second.cost.at(now) / total;
    const auto fairFraction = weight / m_activeWeight;
    return usedFraction <= fairFraction ? 1 : fairFraction / usedFraction;
}

void FairShares::removeIdle(Instant now)
{
    if (now < m_checkedAt + IdleCheckInterval) {
        return;
    }
    m_checkedAt = now;
    const auto threshold = m_total.at(now) * IdleFraction;
    std::erase_if(m_usage, [&](const auto &entry) { return entry.second.cost.at(now) < threshold; });
    m_activeWeight = 0;
    for (const auto &[name, usage] : m_usage) {
        m_activeWeight += usage.weight;
    }
}

} // namespace pomeloport
