#pragma once

#include "pomeloentry/decisions/regionfilter.h"
#include "pomeloentry/knowledge/peertable.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

/// Selection of the gateways: the few instances of each failure domain that are announced to callers and that tell each
/// other about all work in flight.
///
/// Built for fleets with many more instances than the traffic needs. Were every instance to take calls, each would have
/// to tell all others about each call, so that the messages of the fleet would grow with the square of its size. The
/// other instances stay ready: they answer discovery, serve any call that reaches them, and take the place of a gateway
/// that falls silent. Pure functions.
namespace pomeloentry
{

/// Limits of the number of gateways.
struct GatewayPolicy
{
    /// Maximum number of gateways of the whole fleet while the load needs no more, shared evenly by the failure
    /// domains.
    std::size_t fleetGateways = 24;
    /// Minimum of that number in each failure domain: the sudden loss of half of them still leaves several.
    std::size_t minimumPerDomain = 4;
    /// Number of strong instances that carry the calls of a failure domain without weaker ones. Callers spread evenly
    /// over all gateways, so that a weak one would get as many calls as a strong one.
    std::size_t strongEnough = 2;
    /// Instances with at least this share of the strongest one's processor time are strong.
    double strongShare = 0.5;
    /// Rate of calls, per second, that one processor core carries while it has headroom for a burst.
    double callsPerCore = 250;
};

/// The properties of an instance that its rank depends on.
struct InstanceRank
{
    std::string instance;
    /// Processor time available to the instance, in thousandths of a core.
    std::uint32_t processorMilli = 0;
};

/// Whether one instance ranks ahead of another. Instances with more processor time rank first; instances that are equal
/// in that are ordered by the hash of their names, so that names that sort first are not favoured.
bool ranksAhead(const InstanceRank &left, const InstanceRank &right);

/// A ready instance of one failure domain.
struct GatewayCandidate
{
    InstanceRank rank;
    std::string callerAddress;
    /// Recent rate of calls that it admitted, per second.
    double callRate = 0;
};

/// Number of gateways in a failure domain before its load is considered.
std::size_t baseGateways(const GatewayPolicy &policy, std::size_t failureDomains);

/// Selects the gateways among the ready instances of one failure domain, in order of rank: the strong ones, or the base
/// number if there are too few of these, and more while the weakest of the selected ones cannot carry its share of the
/// domain's calls. Every instance of the domain makes the same selection from the same candidates.
std::vector<GatewayCandidate> selectGateways(std::vector<GatewayCandidate> ready,
                                             const GatewayPolicy &policy,
                                             std::size_t failureDomains);

/// An instance that is ready for callers.
struct ReadyInstance
{
    std::string failureDomain;
    GatewayCandidate candidate;
    /// Empty while it is unknown.
    std::string region;
};

/// Where a caller that asks for addresses is. Either may be empty.
struct CallerLocation
{
    std::string failureDomain;
    std::string region;
};

/// Determines the region of a caller from what it states: that of its failure domain according to the settings, the
/// region that it names itself if its failure domain is not among them, or that of the instance that answers if it
/// names none. Without regions in the settings, all instances are in the same one and the stated region is ignored.
CallerLocation locateCaller(CallerLocation stated, const RegionOfDomain &regions, const std::string &ownRegion);

/// Selects the addresses that are announced to a caller: the gateways of its failure domain, so that the traffic does
/// not cross domains. While fewer instances of that domain are ready than its base number, gateways of the other
/// domains of its region replace the missing ones in the same proportion, from at least two domains. More of them are
/// announced while the weakest could not carry its share of the region's calls, and all of them if none of its domain
/// is ready or more than half of them are needed. Those of other regions are announced only if no instance of its
/// region is ready. The selection changes little over time, since callers drop connections to addresses that are no
/// longer announced.
std::vector<std::string> announcedAddresses(const CallerLocation &caller,
                                            const std::vector<ReadyInstance> &ready,
                                            const GatewayPolicy &policy,
                                            std::size_t failureDomains);

} // namespace pomeloentry
