#include "pomeloport/coordination/rendezvous.h"

#include <algorithm>
#include <functional>
#include <utility>
#include <xxhash.h>

namespace pomeloport
{

namespace
{

// Returns the instance with the highest weight for the key among the alive instances that satisfy the condition, or
// null if there are none. Equal weights are decided by instance name.
const InstanceView *bestAlive(std::string_view key,
                              const std::vector<InstanceView> &instances,
                              const std::function<bool(const InstanceView &)> &condition)
{
    const InstanceView *best = nullptr;
    std::uint64_t bestWeight = 0;
    for (const auto &instance : instances) {
        if (instance.state != InstanceState::Alive || !condition(instance)) {
            continue;
        }
        const auto weight = rendezvousWeight(key, instance.id.instance);
        const bool better = best == nullptr || weight > bestWeight
            || (weight == bestWeight && instance.id.instance < best->id.instance);
        if (better) {
            best = &instance;
            bestWeight = weight;
        }
    }
    return best;
}

} // namespace

std::uint64_t rendezvousWeight(std::string_view key, std::string_view member)
{
    return XXH64(member.data(), member.size(), XXH64(key.data(), key.size(), 0));
}

std::vector<std::string> rendezvousOrder(std::string_view key, const std::vector<std::string> &members)
{
    std::vector<std::pair<std::uint64_t, std::string>> weighted;
    weighted.reserve(members.size());
    for (const auto &member : members) {
        weighted.emplace_back(rendezvousWeight(key, member), member);
    }
    std::ranges::sort(weighted, [](const auto &left, const auto &right) {
        return left.first != right.first ? left.first > right.first : left.second < right.second;
    });
    std::vector<std::string> order;
    order.reserve(weighted.size());
    for (auto &entry : weighted) {
        order.push_back(std::move(entry.second));
    }
    return order;
}

std::string rendezvousOwner(std::string_view key, const std::vector<std::string> &members)
{
    auto order = rendezvousOrder(key, members);
    return order.empty() ? std::string{} : std::move(order.front());
}

const InstanceView *homeOf(const BackendServer &backend, const std::vector<InstanceView> &instances)
{
    const auto sameDomain = [&backend](const InstanceView &instance) {
        return instance.region == backend.region && instance.failureDomain == backend.failureDomain;
    };
    if (const auto *best = bestAlive(backend.name, instances, sameDomain)) {
        return best;
    }
    const auto sameRegion = [&backend](const InstanceView &instance) {
        return instance.region == backend.region;
    };
    if (const auto *best = bestAlive(backend.name, instances, sameRegion)) {
        return best;
    }
    return bestAlive(backend.name, instances, [](const InstanceView &) { return true; });
}

const InstanceView *groupCoordinatorOf(std::string_view model,
                                       std::string_view region,
                                       const std::vector<InstanceView> &instances)
{
    const auto key = std::string("group/").append(model);
    const auto sameRegion = [region](const InstanceView &instance) {
        return instance.region == region;
    };
    if (const auto *best = bestAlive(key, instances, sameRegion)) {
        return best;
    }
    return bestAlive(key, instances, [](const InstanceView &) { return true; });
}

} // namespace pomeloport
