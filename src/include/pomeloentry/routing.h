#pragma once

#include "pomeloport/clock.h"
#include "pomeloport/nametable.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

/// What operators configure for relayed calls, and the backend servers that serve them. Values are immutable once
/// published; each call uses one version from its start to its end.
namespace pomeloentry
{

using pomeloport::Duration;
using pomeloport::Instant;

/// What a route's calls allow.
enum class CallKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// Answered by a series of events.
    Streaming,
};

constexpr pomeloport::NameTable<CallKind, 3> nameTable(CallKind /*unused*/)
{
    return {{{CallKind::Idempotent, "idempotent"},
             {CallKind::NonIdempotent, "non_idempotent"},
             {CallKind::Streaming, "streaming"}}};
}

/// A service that gets a part of a route's calls.
struct ServiceShare
{
    std::string service;
    std::uint32_t weight = 1;
};

/// One route: which calls it takes, and how they are served.
struct CallRoute
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    CallKind kind = CallKind::NonIdempotent;
    /// The longest time that a call may be kept waiting.
    Duration timeout = std::chrono::seconds(10);
    /// The time to the first byte that callers hope for.
    Duration target = std::chrono::seconds(1);
    /// The longest pause between events that callers hope for; zero where the route has none.
    Duration eventGap{};
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    std::vector<ServiceShare> services;
    /// Backend servers that one call may be sent to.
    std::uint32_t maximumAttempts = 1;
    /// Whether callers need no key.
    bool open = false;
    /// Whether a stream may go on at another backend server.
    bool resumable = false;
};

/// What an engine's work costs, as its operators declare it. Times in milliseconds.
struct EngineCost
{
    /// Requests that run at once.
    std::uint32_t slots = 1;
    std::uint64_t memoryTokens = 0;
    /// One token step, and what each writer and each thousand tokens of context add to it.
    double stepMs = 0;
    double decodeMsPerSequence = 0;
    double contextMsPerThousand = 0;
    /// Steps of a pass that has writers.
    double stepsPerPass = 1;
    double prefillTokensPerMs = 1;
    /// Reading time for each million pairs of a token and an earlier one.
    double attentionMsPerMillionPairs = 0;
    /// Prompt tokens read in one step at most.
    double chunkTokens = 2048;
    /// Added to each step of a stream whose prompt other engines hold.
    double hopMs = 0;
};

/// A service and, for model engines, its cost.
struct CallService
{
    std::string name;
    std::uint32_t maximumConnections = 0;
    std::optional<EngineCost> engine;
};

/// An organisation, named by any of its keys.
struct CallOrganisation
{
    std::string name;
    /// Goes before the route's priority.
    std::optional<std::uint32_t> priority;
};

/// Limits on what callers may send.
struct CallLimits
{
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 4 * 1024 * 1024;
    std::chrono::milliseconds headerTimeout{3000};
    std::chrono::milliseconds idleTimeout{15000};
};

/// One version of all that operators configure.
struct RoutingTable
{
    std::uint64_t version = 0;
    /// By host; the longest prefix first.
    std::unordered_map<std::string, std::vector<CallRoute>> routes;
    std::unordered_map<std::string, CallService> services;
    std::unordered_map<std::string, CallOrganisation> organisationsByKey;
    /// Whether routes that are not open ask for a key.
    bool keysRequired = false;
    CallLimits limits;

    /// The route with the longest prefix that begins the path, or null.
    const CallRoute *match(std::string_view host, std::string_view path) const;

    /// The organisation that holds a key, or null.
    const CallOrganisation *organisationOf(const std::string &key) const;

    /// Adds a route; routes of a host stay ordered by length of prefix.
    void add(CallRoute route);
};

/// Draws a service of a route by weight; draw is in [0, 1). Empty for a route without services.
std::string drawService(const CallRoute &route, double draw);

/// One incarnation of a backend server, as it announced itself.
struct BackendEntry
{
    /// Identity of the backend server; a restart may keep it.
    std::string id;
    /// Calendar time of its start in milliseconds; with the id it names one incarnation.
    std::uint64_t startedAt = 0;
    std::string service;
    /// "IP:port".
    std::string address;
    std::string failureDomain;
    std::uint32_t slots = 1;
    bool leaving = false;

    auto operator<=>(const BackendEntry &) const = default;
};

/// Identifies an incarnation of a backend server in messages between instances.
std::uint32_t backendKey(const BackendEntry &backend);

/// Everything that the request path reads, as one value.
struct FleetState
{
    std::shared_ptr<const RoutingTable> routing;
    /// By id.
    std::map<std::string, BackendEntry> backends;
};

} // namespace pomeloentry
