#include "pomeloport/coordination/fairshares.h"

#include <algorithm>
#include <cstdint>

namespace pomeloport
{

namespace
{

// Organisations with a smaller fraction of the total use count as idle.
constexpr double IdleFraction = 1e-4;

} // namespace

template<typename Key>
BasicFairShares<Key>::BasicFairShares(const FairShareTimes &times)
    : m_times(times)
    , m_total(times.timeConstant)
{
}

template<typename Key>
void BasicFairShares<Key>::recordUsage(const Key &organisation, double weight, double cost, Instant now)
{
    removeIdle(now);
    const auto [entry, added] = m_usage.try_emplace(
        organisation, Usage{DecayingSum(m_times.timeConstant), DecayingSum(m_times.timeConstant), weight, now});
    if (added) {
        m_activeWeight += weight;
    }
    entry->second.cost.add(cost, now);
    entry->second.count.add(1, now);
    entry->second.usedAt = now;
    m_total.add(cost, now);
}

template<typename Key>
double BasicFairShares<Key>::shareFactor(const Key &organisation, double weight, Instant now) const
{
    const auto used = usedFraction(organisation, now);
    const auto fair = fairFraction(weight);
    return used <= fair || fair <= 0 ? 1 : fair / used;
}

template<typename Key>
double BasicFairShares<Key>::usedFraction(const Key &organisation, Instant now) const
{
    const auto entry = m_usage.find(organisation);
    const auto total = m_total.at(now);
    return entry == m_usage.end() || total <= 0 ? 0 : entry->second.cost.at(now) / total;
}

template<typename Key>
double BasicFairShares<Key>::fairFraction(double weight) const
{
    return m_activeWeight <= 0 ? 0 : weight / m_activeWeight;
}

template<typename Key>
double BasicFairShares<Key>::recentCount(const Key &organisation, Instant now) const
{
    const auto entry = m_usage.find(organisation);
    return entry == m_usage.end() ? 0 : entry->second.count.at(now);
}

template<typename Key>
void BasicFairShares<Key>::removeIdle(Instant now)
{
    if (now < m_checkedAt + m_times.idleCheckInterval) {
        return;
    }
    m_checkedAt = now;
    const auto threshold = m_total.at(now) * IdleFraction;
    std::erase_if(m_usage, [&](const auto &entry) {
        const auto &usage = entry.second;
        return m_times.idleAfter ? now - usage.usedAt > *m_times.idleAfter : usage.cost.at(now) < threshold;
    });
    m_activeWeight = 0;
    for (const auto &[name, usage] : m_usage) {
        m_activeWeight += usage.weight;
    }
}

template class BasicFairShares<std::string>;
template class BasicFairShares<std::uint16_t>;

} // namespace pomeloport
