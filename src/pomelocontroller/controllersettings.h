#pragma once

#include "pomeloport/settings.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

/// Settings of one controller.
namespace pomelocontroller
{

/// Everything that a controller learns from its settings file. Addresses are "IP:port".
struct ControllerSettings
{
    std::string instance;
    std::string region;
    std::string failureDomain;
    /// Where the link of the instance's own router is accepted.
    std::string listen;
    /// The router's address for callers, as told to peers.
    std::string router;
    /// TCP address for other controllers.
    std::string peers;
    /// UDP address for other controllers.
    std::string datagrams;
    /// Datagram addresses of some controllers, the own one may be among them.
    std::vector<std::string> seeds;
    /// Key shared by all processes of the system.
    std::string sharedKey;
    std::string platform;
    std::chrono::milliseconds platformTimeout{1000};
    /// Time between two readings of a backend server's load.
    std::chrono::milliseconds pollInterval{500};
    /// Time after which a reading counts as failed.
    std::chrono::milliseconds pollTimeout{1000};
    /// Time between two readings of an engine's books for the orphan sweep.
    std::chrono::milliseconds sweepInterval{5000};
    std::chrono::milliseconds leaseDuration{60'000};
    std::chrono::milliseconds longestOrder{30'000};
    std::string logLevel = "info";
};

/// Reads and checks a settings file. Returns nothing when errors were added.
std::optional<ControllerSettings> loadControllerSettings(const std::string &fileName,
                                                         pomeloport::SettingsErrors &errors);

} // namespace pomelocontroller
