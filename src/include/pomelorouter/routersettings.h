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

/// Settings of the router process.
namespace pomelorouter
{

/// The contents of a router's settings file.
struct RouterSettings
{
    /// Name of the instance; must match the settings of its controller.
    std::string instance;
    std::string region;
    std::string failureDomain;
    /// Address "IP:port" that callers and operators connect to.
    std::string listen;
    /// Address of the controller of this instance; empty only in unit tests and benchmarks.
    std::string controller;
    /// Secret key, shared by all processes of the system, that authenticates the link to the controller.
    std::string linkKey;
    /// Address of the platform's object API, which stores claims; empty only in unit tests and benchmarks.
    std::string platform;
    /// Time-out of one call to the platform.
    std::chrono::milliseconds platformTimeout{1000};
    /// Bearer token that the operator interface requires.
    std::string operatorToken;
    std::string logLevel = "info";
    std::size_t threads = 4;
    /// Limit of open requests; further ones are refused as overloaded.
    std::uint64_t maximumOpenRequests = 20'000;
    /// Number of organisations with metric series of their own; the others are counted together.
    std::size_t metricsOrganisations = 200;
    /// Number of recent requests whose traces are kept for the operator interface's "explain".
    std::size_t traceRequests = 4096;
    /// Bytes of a streamed answer buffered for a slow caller; beyond them, reading from the backend server pauses.
    std::size_t callerBufferBytes = 8 * 1024;
    /// Staleness limit: no request is admitted once the last snapshot is older, since the configuration may have
    /// changed.
    std::chrono::milliseconds controllerGrace{2500};
    /// Time until all peers have learned that this instance is leaving. A drain admits requests for this time plus the
    /// lifetime of discovery answers.
    std::chrono::milliseconds drainPropagation{3000};
    /// Time from the start of a drain after which requests that are still open are given up. Without it, a drain waits
    /// until all have ended.
    std::optional<std::chrono::milliseconds> drainLimit;
    pomeloport::HttpLimits http;
    pomeloport::RequestLimits request;
    pomeloport::FlowLimits flow;
};

/// Reads and validates a settings file. Returns nothing if it added errors.
std::optional<RouterSettings> loadRouterSettings(const std::string &fileName, pomeloport::SettingsErrors &errors);

} // namespace pomelorouter
