#pragma once

#include "pomeloport/state/snapshot.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// Rendezvous hashing: all instances that know the same members agree on the owner of a key, and when a member leaves,
/// only the keys that it owned move to other members.
namespace pomeloport
{

/// Returns the weight of a member for a key. The member with the highest weight owns the key.
std::uint64_t rendezvousWeight(std::string_view key, std::string_view member);

/// Returns the members by descending weight for the key: each takes over the key if all before it have left. Members
/// of equal weight are ordered by name.
std::vector<std::string> rendezvousOrder(std::string_view key, const std::vector<std::string> &members);

/// Returns the owner of the key, or an empty string when there are no members.
std::string rendezvousOwner(std::string_view key, const std::vector<std::string> &members);

/// Returns the home instance of a backend server: the instance that polls it and sends it orders. Alive instances in
/// the server's failure domain are preferred, then alive instances in its region, then any alive instance. Returns null
/// if no instance is alive.
const InstanceView *homeOf(const BackendServer &backend, const std::vector<InstanceView> &instances);

/// Returns the instance that coordinates the engine groups of a model in a region, or null if no instance is alive.
/// Alive instances in the region are preferred over those in other regions.
const InstanceView *groupCoordinatorOf(std::string_view model,
                                       std::string_view region,
                                       const std::vector<InstanceView> &instances);

} // namespace pomeloport
