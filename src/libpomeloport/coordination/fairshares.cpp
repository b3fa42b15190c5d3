#include "pomeloport/coordination/fairshares.h"

#include <algorithm>

namespace pomeloport
{

namespace
{

constexpr Duration UsageTimeConstant = std::chrono::seconds(30);
constexpr Duration IdleCheckInterval = std::chrono::seconds(5);
// Organisations below this part of all usage count as idle.
constexpr double IdlePart = 1e-4;

} // namespace

void FairShares::used(const std::string &organisation, double weight, double cost, Instant now)
{
    forgetIdle(now);
    const auto [entry, added] = m_usage.try_emplace(organisation, Usage{DecayingSum(UsageTimeConstant), weight});
    if (added) {
        m_activeWeight += weight;
    }
    entry->second.cost.add(cost, now);
    m_total.add(cost, now);
}

double FairShares::standing(const std::string &organisation, double weight, Instant now)
{
    const auto entry = m_usage.find(organisation);
    const auto total = m_total.at(now);
    if (entry == m_usage.end() || total <= 0 || m_activeWeight <= 0) {
        return 1;
    }
    const auto usedPart = entry->second.cost.at(now) / total;
    const auto fairPart = weight / m_activeWeight;
    return usedPart <= fairPart ? 1 : fairPart / usedPart;
}

void FairShares::forgetIdle(Instant now)
{
    if (now < m_checkedAt + IdleCheckInterval) {
        return;
    }
    m_checkedAt = now;
    const auto least = m_total.at(now) * IdlePart;
    std::erase_if(m_usage, [&](const auto &entry) { return entry.second.cost.at(now) < least; });
    m_activeWeight = 0;
    for (const auto &[name, usage] : m_usage) {
        m_activeWeight += usage.weight;
    }
}

} // namespace pomeloport
