#pragma once

#include "pomeloport/state/snapshot.h"

#include <cstdint>
#include <string>
#include <vector>

/// Discovery: tells callers which instances to connect to.
namespace pomeloport
{

/// Address of one instance with its relative weight. Callers pick among the addresses in proportion to the weights.
struct DiscoveryEndpoint
{
    std::string address;
    std::string instance;
    std::string region;
    std::string failureDomain;
    std::uint32_t weight = 0;
};

/// Answer to a discovery query.
struct DiscoveryAnswer
{
    /// In order of preference.
    std::vector<DiscoveryEndpoint> endpoints;
    /// Time for which a caller may cache the answer.
    std::uint32_t lifetimeSeconds = 0;
};

/// Location and preferences of the caller. An empty region or failure domain states no preference.
struct DiscoveryQuery
{
    std::string region;
    std::string failureDomain;
    /// Orders instances of equal weight, so that callers with different seeds are distributed over all instances when
    /// there are more of them than an answer holds.
    std::uint64_t seed = 0;
    std::size_t maximumEndpoints = 16;
};

/// Returns the live instances that admit work. Leaving and dead instances are omitted; suspects are returned only if no
/// live instance admits work. Instances in the caller's failure domain have a higher weight, loaded instances a lower
/// one.
DiscoveryAnswer discover(const Snapshot &snapshot, const DiscoveryQuery &query);

} // namespace pomeloport
