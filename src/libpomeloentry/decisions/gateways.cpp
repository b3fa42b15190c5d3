#include "pomeloentry/decisions/gateways.h"

#include <xxhash.h>

#include <algorithm>
#include <map>
#include <tuple>

namespace pomeloentry
{

namespace
{

/// Callers use at most this many addresses.
constexpr std::size_t MaximumAddresses = 64;
constexpr double MilliPerCore = 1000;

/// The overflow of a failure domain goes to at least this many gateways, which are in different domains.
constexpr std::size_t LeastOverflow = 2;
/// Factor by which calls may rise before gateways that take overflow are at their limit. In the replay of a lost part
/// of a domain, a factor of 1 let calls beyond the capacity of weak instances rise from 0.0020 to 0.0055 of all.
constexpr double OverflowHeadroom = 1.5;

using ByDomain = std::map<std::string, std::vector<GatewayCandidate>>;

std::uint64_t nameHash(const std::string &instance, std::uint64_t seed = 0)
{
    return XXH64(instance.data(), instance.size(), seed);
}

double sumOfRates(const std::vector<GatewayCandidate> &candidates)
{
    double result = 0;
    for (const auto &candidate : candidates) {
        result += candidate.callRate;
    }
    return result;
}

/// The gateways of other failure domains in the order in which they take the overflow of one: the domains in turn, in
/// each the strongest first. Equal ones are in an order that differs between the domains that overflow, so that these
/// do not all burden the same gateways. The loss of a gateway moves others of its own domain only.
std::vector<GatewayCandidate> overflowPool(const std::string &failureDomain,
                                           const ByDomain &others,
                                           const GatewayPolicy &policy,
                                           std::size_t failureDomains)
{
    const auto seed = nameHash(failureDomain);
    std::vector<std::tuple<std::size_t, std::uint64_t, GatewayCandidate>> turns;
    for (const auto &[domain, candidates] : others) {
        auto gateways = selectGateways(candidates, policy, failureDomains);
        std::ranges::sort(gateways, [seed](const auto &left, const auto &right) {
            return std::tuple(right.rank.processorMilli, nameHash(left.rank.instance, seed), left.rank.instance)
                < std::tuple(left.rank.processorMilli, nameHash(right.rank.instance, seed), right.rank.instance);
        });
        for (std::size_t turn = 0; turn < gateways.size(); ++turn) {
            turns.emplace_back(turn, nameHash(domain, seed), std::move(gateways[turn]));
        }
    }
    std::ranges::stable_sort(turns, [](const auto &left, const auto &right) {
        return std::tie(std::get<0>(left), std::get<1>(left)) < std::tie(std::get<0>(right), std::get<1>(right));
    });
    std::vector<GatewayCandidate> result;
    for (auto &[turn, hash, gateway] : turns) {
        result.push_back(std::move(gateway));
    }
    return result;
}

/// Calls per second, failure domains and gateways of a region.
struct RegionLoad
{
    double callRate = 0;
    std::size_t failureDomains = 1;
    std::size_t gateways = 1;
};

/// Number of gateways of the pool that are announced beside the local ones: the least number, and more while the
/// weakest of them could not carry its share of a domain's calls on top of its share of the region's. Considers the
/// calls of the whole region, which the announced addresses do not change, so that their number does not swing.
std::size_t overflowCount(const std::vector<GatewayCandidate> &local,
                          const std::vector<GatewayCandidate> &pool,
                          std::size_t least,
                          const RegionLoad &load,
                          const GatewayPolicy &policy)
{
    const double ownShare = load.callRate / static_cast<double>(load.gateways);
    const double domainRate = load.callRate / static_cast<double>(load.failureDomains);
    const auto canCarry = [&](std::size_t count) {
        const auto taken = pool.begin() + static_cast<std::ptrdiff_t>(count);
        const auto weakest = std::min_element(pool.begin(), taken, [](const auto &left, const auto &right) {
            return left.rank.processorMilli < right.rank.processorMilli;
        });
        const double rate = ownShare + domainRate / static_cast<double>(local.size() + count);
        return OverflowHeadroom * rate <= weakest->rank.processorMilli / MilliPerCore * policy.callsPerCore;
    };
    // Small fleets would only trade an even load of few gateways for little less traffic between domains.
    if (2 * least > pool.size()) {
        return pool.size();
    }
    auto count = least;
    while (count < pool.size() && !canCarry(count)) {
        ++count;
    }
    return count;
}

} // namespace

bool ranksAhead(const InstanceRank &left, const InstanceRank &right)
{
    if (left.processorMilli != right.processorMilli) {
        return left.processorMilli > right.processorMilli;
    }
    return std::pair(nameHash(left.instance), left.instance) < std::pair(nameHash(right.instance), right.instance);
}

std::size_t baseGateways(const GatewayPolicy &policy, std::size_t failureDomains)
{
    const auto domains = std::max<std::size_t>(failureDomains, 1);
    return std::max(policy.minimumPerDomain, (policy.fleetGateways + domains - 1) / domains);
}

std::vector<GatewayCandidate> selectGateways(std::vector<GatewayCandidate> ready,
                                             const GatewayPolicy &policy,
                                             std::size_t failureDomains)
{
    std::ranges::sort(ready, [](const auto &left, const auto &right) { return ranksAhead(left.rank, right.rank); });
    double callRate = 0;
    for (const auto &candidate : ready) {
        callRate += candidate.callRate;
    }
    const auto isStrong = [&](const GatewayCandidate &candidate) {
        return candidate.rank.processorMilli >= policy.strongShare * ready.front().rank.processorMilli;
    };
    const auto strong = static_cast<std::size_t>(std::ranges::count_if(ready, isStrong));
    const auto base = std::min(baseGateways(policy, failureDomains), ready.size());
    auto count = strong >= policy.strongEnough ? std::min(strong, base) : base;
    const auto canCarry = [&](std::size_t gateways) {
        const double weakest = ready[gateways - 1].rank.processorMilli / MilliPerCore;
        return callRate / static_cast<double>(gateways) <= weakest * policy.callsPerCore;
    };
    while (count > 0 && count < ready.size() && !canCarry(count)) {
        ++count;
    }
    ready.resize(count);
    return ready;
}

CallerLocation locateCaller(CallerLocation stated, const RegionOfDomain &regions, const std::string &ownRegion)
{
    if (const auto found = regions.find(stated.failureDomain); found != regions.end()) {
        stated.region = found->second;
    } else if (regions.empty() || stated.region.empty()) {
        stated.region = ownRegion;
    }
    return stated;
}

std::vector<std::string> announcedAddresses(const CallerLocation &caller,
                                            const std::vector<ReadyInstance> &ready,
                                            const GatewayPolicy &policy,
                                            std::size_t failureDomains)
{
    const auto isInside = [&caller](const ReadyInstance &instance) {
        return instance.failureDomain == caller.failureDomain || instance.region == caller.region;
    };
    const bool regionIsReady = std::ranges::any_of(ready, isInside);
    ByDomain remote;
    std::vector<GatewayCandidate> local;
    for (const auto &instance : ready) {
        if (instance.failureDomain == caller.failureDomain) {
            local.push_back(instance.candidate);
        } else if (!regionIsReady || isInside(instance)) {
            remote[instance.failureDomain].push_back(instance.candidate);
        }
    }
    auto announced = selectGateways(local, policy, failureDomains);
    const auto base = baseGateways(policy, failureDomains);
    if (local.size() < base) {
        double callRate = sumOfRates(local);
        for (const auto &[domain, candidates] : remote) {
            callRate += sumOfRates(candidates);
        }
        const auto pool = overflowPool(caller.failureDomain, remote, policy, failureDomains);
        auto count = pool.size();
        if (!local.empty()) {
            const auto missing = (announced.size() * (base - local.size()) + local.size() - 1) / local.size();
            const RegionLoad load{callRate, remote.size() + 1, announced.size() + pool.size()};
            count = overflowCount(announced, pool, std::max(missing, LeastOverflow), load, policy);
        }
        announced.insert(announced.end(), pool.begin(), pool.begin() + static_cast<std::ptrdiff_t>(count));
    }
    std::vector<std::string> result;
    for (const auto &gateway : announced) {
        if (result.size() < MaximumAddresses) {
            result.push_back(gateway.callerAddress);
        }
    }
    return result;
}

} // namespace pomeloentry
