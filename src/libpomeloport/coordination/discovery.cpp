#include "pomeloport/coordination/discovery.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace pomeloport
{

namespace
{

/// Weight of an idle instance outside the caller's failure domain.
constexpr double IdleWeight = 100;
/// Factor on the weight of instances in the caller's failure domain.
constexpr double SameDomainFactor = 4;
/// Lower bound of the idle share, so that fully loaded instances keep a weight above zero.
constexpr double MinimumIdleShare = 0.05;
constexpr std::uint32_t MillisecondsPerSecond = 1000;

struct Candidate
{
    const InstanceView *instance = nullptr;
    std::uint32_t weight = 0;
    bool sameRegion = true;
    std::uint64_t order = 0;
};

bool admits(const InstanceView &instance, const Snapshot &snapshot)
{
    if (instance.httpAddress.empty()) {
        return false;
    }
    // This instance knows its own admission state; what the membership reports about it may be older.
    const bool self = instance.id.instance == snapshot.self.instance;
    return self ? snapshot.admitting : instance.configVersion > 0;
}

std::uint32_t weightOf(const InstanceView &instance, const DiscoveryQuery &query)
{
    const double idle = std::clamp(1.0 - instance.load, MinimumIdleShare, 1.0);
    const bool near = !query.failureDomain.empty() && instance.failureDomain == query.failureDomain;
    return static_cast<std::uint32_t>(std::lround(IdleWeight * idle * (near ? SameDomainFactor : 1)));
}

std::vector<Candidate> candidatesIn(const Snapshot &snapshot, const DiscoveryQuery &query, InstanceState state)
{
    std::vector<Candidate> result;
    for (const auto &instance : snapshot.instances) {
        if (instance.state != state || !admits(instance, snapshot)) {
            continue;
        }
        const auto order = XXH64(instance.id.instance.data(), instance.id.instance.size(), query.seed);
        const bool sameRegion = query.region.empty() || instance.region == query.region;
        result.push_back({&instance, weightOf(instance, query), sameRegion, order});
    }
    return result;
}

/// Orders candidates by preference: the caller's region first, then higher weights, then an order that depends on the
/// seed of the query.
bool preferred(const Candidate &left, const Candidate &right)
{
    return std::tuple(!left.sameRegion, right.weight, left.order)
        < std::tuple(!right.sameRegion, left.weight, right.order);
}

} // namespace

DiscoveryAnswer discover(const Snapshot &snapshot, const DiscoveryQuery &query)
{
    auto candidates = candidatesIn(snapshot, query, InstanceState::Alive);
    if (candidates.empty()) {
        candidates = candidatesIn(snapshot, query, InstanceState::Suspect);
    }
    std::ranges::sort(candidates, preferred);
    candidates.resize(std::min(candidates.size(), query.maximumEndpoints));
    DiscoveryAnswer answer;
    answer.lifetimeSeconds = std::max(1U, snapshot.declarations.limits.discoveryLifetimeMs / MillisecondsPerSecond);
    for (const auto &[instance, weight, sameRegion, order] : candidates) {
        answer.endpoints.push_back({instance->httpAddress,
                                    instance->id.instance,
                                    instance->region,
                                    instance->failureDomain,
                                    sameRegion ? weight : 1});
    }
    return answer;
}

} // namespace pomeloport
