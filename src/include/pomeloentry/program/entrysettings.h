#pragma once

#include "pomeloentry/decisions/entryplacement.h"
#include "pomeloentry/decisions/regionfilter.h"

#include "pomeloport/settings.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pomeloentry
{

struct EntrySettings
{
    std::string instance;
    std::string region;
    std::string failureDomain;
    /// Listening addresses, "IP:port".
    std::string callerAddress;
    std::string readinessAddress;
    std::string discoveryAddress;
    /// UDP address for peer messages and TCP address of the interface through which peers fetch state.
    std::string peerAddress;
    std::string metricsAddress;
    /// Number of failure domains of the deployment.
    std::size_t failureDomainCount = 1;
    /// Index of the own failure domain in the order of their names; not below the count if it is not among them.
    std::size_t failureDomainIndex = 0;
    RegionOfDomain regionOfDomain;
    /// Processor time available to this instance, in thousandths of a core.
    std::uint32_t processorMilli = 1000;
    /// Peer addresses of a few other instances, some of which may no longer exist.
    std::vector<std::string> seeds;
    /// Whether the other instances have this one among their seeds.
    bool isSeed = false;
    /// Address of the platform's store.
    std::string storeAddress;
    /// Memory that the process may use, in bytes; zero if there is no limit.
    std::size_t memoryBytes = 0;
    /// Threads that serve requests.
    std::uint32_t threads = 1;
    /// Time between SIGTERM and SIGKILL.
    std::chrono::milliseconds stopGracePeriod{8000};
    /// Time after a disturbance of its connections within which an instance has to know again what the store has.
    std::chrono::milliseconds stableTime{3000};
    /// How long callers may cache a discovery answer.
    std::chrono::seconds addressLifetime{1};
    /// Retry budget of all instances together within the window: a fixed allowance plus a ratio of the requests.
    double retrySlack = 100;
    double retryRatio = 0.2;
    std::chrono::seconds retryWindow{10};
    /// Engine memory must be free again this long after the last use of its reservation.
    std::chrono::milliseconds reservationTimeout{4000};
    /// Engine memory may stay reserved for this long without a request that uses it.
    std::chrono::milliseconds reservationIdleLimit{9000};
    /// Time within which no instance may send anything more to the servers of an evacuated failure domain. Without it
    /// the platform has no evacuations, and the kind is not read.
    std::optional<std::chrono::milliseconds> evacuationBound;
    /// A cold server gets its service's cold rate times the first plus the second number of requests a second at most.
    double coldRateFactor = 1;
    double coldRateMargin = 0;
    std::string logLevel = "info";
    /// Placement policy.
    EntryPolicy policy;
};

} // namespace pomeloentry
