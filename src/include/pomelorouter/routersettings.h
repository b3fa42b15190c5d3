#pragma once

#include "pomeloport/coordination/requestadmission.h"
#include "pomeloport/coordination/requestflow.h"
#include "pomeloport/settings.h"
#include "pomeloport/transport/httpserver.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

/// Settings of one router.
namespace pomelorouter
{

/// Everything that a router learns from its settings file.
struct RouterSettings
{
    /// Name of the instance, the same as in its controller's settings.
    std::string instance;
    std::string region;
    std::string failureDomain;
    /// Address "IP:port" that callers and operators connect to.
    std::string listen;
    /// Address of the link to the instance's controller; empty only in unit tests and benches.
    std::string controller;
    /// Key shared by all processes of the system.
    std::string linkKey;
    /// Address of the platform's object API, for claims; empty only in unit tests and benches.
    std::string platform;
    /// Time for one call to the platform.
    std::chrono::milliseconds platformTimeout{1000};
    /// Bearer token of operators.
    std::string operatorToken;
    std::string logLevel = "info";
    std::size_t threads = 4;
    /// Requests beyond this number are refused as overloaded.
    std::uint64_t maximumOpenRequests = 20'000;
    /// Organisations with series of their own in the metrics.
    std::size_t metricsOrganisations = 200;
    /// Requests whose traces are kept for "explain".
    std::size_t traceRequests = 4096;
    /// Bytes of a streamed answer that may wait for a slow caller before reading from the backend server pauses.
    std::size_t callerBufferBytes = 8 * 1024;
    /// Age of the last snapshot after which no request is admitted, since the configuration may be stale.
    std::chrono::milliseconds controllerGrace{2500};
    /// Time that peers need to learn that this instance leaves, added to the lifetime of discovery answers.
    std::chrono::milliseconds drainPropagation{3000};
    pomeloport::HttpLimits http;
    pomeloport::RequestLimits request;
    pomeloport::FlowLimits flow;
};

/// Reads and checks a settings file. Returns nothing when errors were added.
std::optional<RouterSettings> loadRouterSettings(const std::string &fileName, pomeloport::SettingsErrors &errors);

} // namespace pomelorouter
