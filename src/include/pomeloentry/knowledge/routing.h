#pragma once

#include "pomeloport/clock.h"
#include "pomeloport/nametable.h"

#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

/// Configuration of relayed calls by the operators, and the backend servers that serve them. Values are immutable once
/// published; each call uses one version from start to end.
namespace pomeloentry
{

using pomeloport::Duration;
using pomeloport::Instant;

/// How the calls of a route may be executed and answered.
enum class CallKind {
    /// May be executed more than once.
    Idempotent,
    /// Executed at most once.
    NonIdempotent,
    /// Answered by a stream of events.
    Streaming,
};

constexpr pomeloport::NameTable<CallKind, 3> nameTable(CallKind /*unused*/)
{
    return {{{CallKind::Idempotent, "idempotent"},
             {CallKind::NonIdempotent, "non_idempotent"},
             {CallKind::Streaming, "streaming"}}};
}

/// A service that receives a share of a route's calls.
struct ServiceShare
{
    std::string service;
    std::uint32_t weight = 1;
};

/// Regions whose servers may be used; nothing if all may. An empty list allows none.
using AllowedRegions = std::optional<std::vector<std::string>>;

/// Which calls a route matches and how they are served.
struct CallRoute
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    CallKind kind = CallKind::NonIdempotent;
    /// Maximum duration of a call.
    Duration timeout = std::chrono::seconds(10);
    /// Target for the time to the first byte.
    Duration target = std::chrono::seconds(1);
    /// Target for the longest gap between events; zero when the route has none.
    Duration eventGap{};
    /// Lower is more urgent; 0 is the most urgent.
    std::uint32_t priority = 0;
    std::vector<ServiceShare> services;
    /// Maximum number of backend servers that one call is sent to.
    std::uint32_t maximumAttempts = 1;
    /// Whether calls need no API key.
    bool open = false;
    /// Whether an interrupted stream may be resumed at another backend server.
    bool resumable = false;
    AllowedRegions permittedRegions;
};

/// Cost model of an engine as declared by its operators. Times in milliseconds.
struct EngineCost
{
    /// Maximum number of concurrent requests.
    std::uint32_t slots = 1;
    std::uint64_t memoryTokens = 0;
    /// Duration of one decode step, and what each stream and each thousand tokens of context add to it.
    double stepMs = 0;
    double decodeMsPerSequence = 0;
    double contextMsPerThousand = 0;
    /// Decode steps in one pass of an engine that decodes at least one stream.
    double stepsPerPass = 1;
    double prefillTokensPerMs = 1;
    /// Prefill time per million pairs of a token and an earlier token (attention).
    double attentionMsPerMillionPairs = 0;
    /// Maximum number of prompt tokens prefilled in one step.
    double chunkTokens = 2048;
    /// Added to each decode step of a stream whose prompt is held in part by other engines.
    double hopMs = 0;
};

/// A service and, if it runs on model engines, their cost model.
struct CallService
{
    std::string name;
    std::uint32_t maximumConnections = 0;
    std::optional<EngineCost> engine;
    /// How long a server that has started during traffic is cold, and the requests per second that it tolerates while
    /// it is; zero without a limit.
    Duration coldTime{};
    double coldRate = 0;
};

/// An organisation, identified by any of its API keys.
struct CallOrganisation
{
    std::string name;
    /// Overrides the priority of the route.
    std::optional<std::uint32_t> priority;
    /// Binds beside that of the route.
    AllowedRegions permittedRegions;
};

/// Limits on the requests of callers.
struct CallLimits
{
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 4 * 1024 * 1024;
    std::chrono::milliseconds headerTimeout{3000};
    std::chrono::milliseconds idleTimeout{15000};
};

/// One version of the whole configuration by the operators.
struct RoutingTable
{
    std::uint64_t version = 0;
    /// By host, with the longest prefix first.
    std::unordered_map<std::string, std::vector<CallRoute>> routes;
    std::unordered_map<std::string, CallService> services;
    std::unordered_map<std::string, CallOrganisation> organisationsByKey;
    /// Whether routes that are not open require an API key.
    bool keysRequired = false;
    CallLimits limits;

    /// The route with the longest prefix of the path, or null.
    const CallRoute *match(std::string_view host, std::string_view path) const;

    /// The organisation that owns an API key, or null.
    const CallOrganisation *organisationOf(const std::string &key) const;

    /// Adds a route, keeping the routes of its host sorted by descending length of prefix.
    void add(CallRoute route);
};

/// Selects a service of a route by weight; draw is in [0, 1). Empty for a route without services.
std::string drawService(const CallRoute &route, double draw);

/// One incarnation of a backend server, as it announced itself.
struct BackendEntry
{
    /// Identity of the backend server, which may survive a restart.
    std::string id;
    /// Start time in milliseconds since the Unix epoch. Together with the id it identifies one incarnation.
    std::uint64_t startedAt = 0;
    std::string service;
    /// "IP:port".
    std::string address;
    std::string failureDomain;
    std::uint32_t slots = 1;
    bool leaving = false;
    /// How long the server was cold when the entry was learned, and when that was; nothing if the entry does not tell.
    std::optional<Duration> coldRemaining;
    Instant learnedAt{};

    /// The remaining cold time differs in each heartbeat of a server, which is no change of its entry.
    auto operator<=>(const BackendEntry &other) const
    {
        return compared() <=> other.compared();
    }
    bool operator==(const BackendEntry &other) const
    {
        return compared() == other.compared();
    }

private:
    std::tuple<const std::string &,
               const std::uint64_t &,
               const std::string &,
               const std::string &,
               const std::string &,
               const std::uint32_t &,
               const bool &>
    compared() const
    {
        return {id, startedAt, service, address, failureDomain, slots, leaving};
    }
};

/// Identifies an incarnation of a backend server in messages between instances.
std::uint32_t backendKey(const BackendEntry &backend);

/// Immutable snapshot of everything that the request path reads.
struct FleetState
{
    std::shared_ptr<const RoutingTable> routing;
    /// By id.
    std::map<std::string, BackendEntry> backends;
    /// Failure domains whose backend servers get nothing more.
    std::set<std::string> evacuatedDomains;
    /// Whether a complete list of backend servers has been available, from the store or from a peer.
    bool backendsListed = false;

    /// Whether a service can have servers, so that a call without one lacks it and not just the list.
    bool canServe() const
    {
        return routing && backendsListed;
    }
};

} // namespace pomeloentry
