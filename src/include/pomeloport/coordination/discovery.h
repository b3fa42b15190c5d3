#pragma once

#include "pomeloport/state/snapshot.h"

#include <cstdint>
#include <string>
#include <vector>

/// Answers to callers who ask which entry instances to connect to.
namespace pomeloport
{

/// One address with its relative weight; a caller picks among addresses in proportion to the weights.
struct DiscoveryEndpoint
{
    std::string address;
    std::string instance;
    std::string region;
    std::string failureDomain;
    std::uint32_t weight = 0;
};

/// Addresses in order of preference, and how long a caller may keep them.
struct DiscoveryAnswer
{
    std::vector<DiscoveryEndpoint> endpoints;
    std::uint32_t lifetimeSeconds = 0;
};

/// Who asks. An empty region or failure domain states no preference.
struct DiscoveryQuery
{
    std::string region;
    std::string failureDomain;
    /// Spreads callers when there are more instances than an answer holds.
    std::uint64_t seed = 0;
    std::size_t maximumEndpoints = 16;
};

/// Returns the live instances that admit work. Leaving and dead ones are left out, suspect ones too while others are
/// there. Near instances weigh more, loaded ones less.
DiscoveryAnswer discover(const Snapshot &snapshot, const DiscoveryQuery &query);

} // namespace pomeloport
