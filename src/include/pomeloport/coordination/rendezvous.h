#pragma once

#include "pomeloport/state/snapshot.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// Rendezvous hashing: every instance that knows the same members names the same owner of a key, and a member that
/// leaves moves only its own keys.
namespace pomeloport
{

/// Returns the weight of a member for a key. The member with the highest weight owns the key.
std::uint64_t rendezvousWeight(std::string_view key, std::string_view member);

/// Returns the members in the order in which they would own the key, best first. Equal weights are ordered by name.
std::vector<std::string> rendezvousOrder(std::string_view key, const std::vector<std::string> &members);

/// Returns the owner of the key, or an empty string when there are no members.
std::string rendezvousOwner(std::string_view key, const std::vector<std::string> &members);

/// Returns the instance that is home of a backend server: among instances that are alive, one in the server's failure
/// domain if there is any, else one in its region, else any. Returns null when no instance is alive.
const InstanceView *homeOf(const BackendServer &backend, const std::vector<InstanceView> &instances);

/// Returns the instance that coordinates the engine groups of a model in a region, or null when no instance is alive.
/// Instances of the region go first.
const InstanceView *groupCoordinatorOf(std::string_view model,
                                       std::string_view region,
                                       const std::vector<InstanceView> &instances);

} // namespace pomeloport
