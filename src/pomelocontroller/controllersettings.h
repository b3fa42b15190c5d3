#pragma once

#include "pomeloport/settings.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

/// Settings of the controller program.
namespace pomelocontroller
{

/// Contents of the settings file. Addresses are "IP:port".
struct ControllerSettings
{
    std::string instance;
    std::string region;
    std::string failureDomain;
    /// Address on which the instance's own router connects.
    std::string listen;
    /// The router's address for callers, announced to peers.
    std::string router;
    /// TCP address on which other controllers connect, for queries.
    std::string peers;
    /// UDP address for datagrams of other controllers, such as membership changes and reports.
    std::string datagrams;
    /// Datagram addresses of controllers to contact at start; may include this controller's own.
    std::vector<std::string> seeds;
    /// Key shared by all processes of the system, which authenticates their messages.
    std::string sharedKey;
    /// Address of the platform's object API.
    std::string platform;
    std::chrono::milliseconds platformTimeout{1000};
    /// Shortest interval between two polls of a backend server's load; longer with many servers.
    std::chrono::milliseconds pollInterval{500};
    /// Time after which a request to a backend server counts as failed.
    std::chrono::milliseconds pollTimeout{1000};
    /// Shortest interval between two readings of an engine's holdings for the orphan sweep; longer with many servers.
    std::chrono::milliseconds sweepInterval{5000};
    std::chrono::milliseconds leaseDuration{60'000};
    /// Time after which an order to an engine without an answer counts as lost. New owners of engines that do not check
    /// fencing tokens wait this long before their first order.
    std::chrono::milliseconds longestOrder{30'000};
    std::string logLevel = "info";
};

/// Reads and validates a settings file. On failure, adds every error to `errors` and returns nothing.
std::optional<ControllerSettings> loadControllerSettings(const std::string &fileName,
                                                         pomeloport::SettingsErrors &errors);

} // namespace pomelocontroller
