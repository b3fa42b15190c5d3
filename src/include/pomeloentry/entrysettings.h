#pragma once

#include "pomeloentry/entryplacement.h"

#include "pomeloport/settings.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace pomeloentry
{

/// Settings of one entry instance.
struct EntrySettings
{
    std::string instance;
    std::string region;
    std::string failureDomain;
    /// Addresses to listen on, "IP:port".
    std::string callerAddress;
    std::string readinessAddress;
    std::string discoveryAddress;
    /// Datagrams between instances, and their state interface, use this address.
    std::string peerAddress;
    std::string metricsAddress;
    /// Addresses of a few other instances; they may be gone.
    std::vector<std::string> seeds;
    /// The platform's store.
    std::string storeAddress;
    /// Threads that serve requests.
    std::uint32_t threads = 1;
    /// Time from SIGTERM until the process is killed.
    std::chrono::milliseconds stopGracePeriod{8000};
    /// How long callers may keep an answer about addresses.
    std::chrono::seconds addressLifetime{1};
    /// Retries that all instances may send beyond the shared share of requests, in the budget's window.
    double retrySlack = 100;
    double retryRatio = 0.2;
    std::chrono::seconds retryWindow{10};
    /// How long memory set aside may stay so after its last use.
    std::chrono::milliseconds reservationTimeout{4000};
    std::string logLevel = "info";
    /// How calls are placed.
    EntryPolicy policy;
};

} // namespace pomeloentry
