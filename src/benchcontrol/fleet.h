#pragma once

#include "pomelofake/controlnetwork.h"

#include <cstddef>
#include <string>
#include <vector>

/// The fleets that the bench runs and the declarations that they serve.
namespace benchcontrol
{

/// Shape of one fleet.
struct Fleet
{
    std::size_t nodes = 0;
    std::size_t regions = 1;
    std::size_t enginesPerNode = 2;
    std::size_t organisations = 10;
    /// All backend servers of all regions.
    std::size_t backends = 19;
};

/// Today's fleet, one of 90 nodes, and the target.
std::vector<Fleet> allFleets();

/// Network settings of a fleet.
pomelofake::ControlNetworkSettings networkSettings(const Fleet &fleet,
                                                   double loss,
                                                   std::uint64_t seed,
                                                   pomeloport::SpreadPolicy policy);

/// Declarations of a fleet as operators write them; the edit changes one organisation's share.
std::string declarationsText(const Fleet &fleet, std::size_t edit);

/// Starts a fleet with its configuration and runs until all nodes admit and agree. Returns false when they don't.
bool bringUp(pomelofake::ControlNetwork &network, const Fleet &fleet);

} // namespace benchcontrol
