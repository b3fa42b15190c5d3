#pragma once

#include "pomeloentry/knowledge/routing.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

/// Restricts calls to the regions that their route and their organisation allow.
namespace pomeloentry
{

/// Region of each failure domain whose region the settings state.
using RegionOfDomain = std::map<std::string, std::string>;

/// The failure domains whose servers a call may be sent to. A value never changes, so that a call is held to the
/// configuration that it was admitted under. Pure.
class RegionFilter
{
public:
    /// Permits all failure domains.
    RegionFilter() = default;

    /// Permits the failure domains whose region both lists have; an absent list allows all regions. If either list is
    /// present, a failure domain of unknown region is not permitted.
    RegionFilter(const AllowedRegions &route, const AllowedRegions &organisation, const RegionOfDomain &regions);

    /// Whether any failure domain may be excluded.
    bool restricts() const;

    bool permits(const std::string &failureDomain) const;
    bool permitsNone() const;

    /// Name of the queue for slots in which the calls of a service wait. Calls that may be sent to the same failure
    /// domains share one, since a prompt must not wait behind one that cannot use the slot that is free.
    std::string queueName(const std::string &service) const;

private:
    /// In ascending order; nothing if all are permitted.
    std::optional<std::vector<std::string>> m_domains;
};

} // namespace pomeloentry
