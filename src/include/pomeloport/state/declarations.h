#pragma once

#include "pomeloport/clock.h"
#include "pomeloport/nametable.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// Declarations of operators: organisations, serving intents and backend servers. They form one object in the
/// platform's store, and the version of that object is the configuration version.
namespace pomeloport
{

/// Labels of requests and of backend servers.
using Labels = std::map<std::string, std::string>;

/// Matches labels that hold every listed name with the listed value. An empty selector matches everything.
struct Selector
{
    Labels matchLabels;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(matchLabels);
    }
};

bool matches(const Selector &selector, const Labels &labels);

/// An organisation. Its callers share one bearer token and one fair share of the fleet.
struct Organisation
{
    std::string name;
    std::string token;
    /// Relative share of the fleet under contention.
    double shareWeight = 1.0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(name, token, shareWeight);
    }
};

/// Scheduling priority that an intent gives to its requests.
enum class IntentPriority {
    Interactive,
    Standard,
    Background,
};

constexpr NameTable<IntentPriority, 3> nameTable(IntentPriority /*unused*/)
{
    return {{{IntentPriority::Interactive, "interactive"},
             {IntentPriority::Standard, "standard"},
             {IntentPriority::Background, "background"}}};
}

/// A serving intent: maps requests to a model and to the backend servers that may serve them. The first intent in order
/// that matches a request applies.
struct Intent
{
    std::string name;
    /// Organisations that it applies to; empty means all.
    std::vector<std::string> organisations;
    /// Request kinds that it applies to; empty means all.
    std::vector<std::string> kinds;
    /// Labels that the request must carry.
    Selector work;
    /// Labels that a backend server must carry.
    Selector engines;
    /// Model, adapter and version requested from the engine; empty for intents that are served by services.
    std::string model;
    std::string adapter;
    std::string version;
    IntentPriority priority = IntentPriority::Standard;
    /// Value of one answered request to its caller, relative to the default of 1.
    double worth = 1.0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(name, organisations, kinds, work, engines, model, adapter, version, priority, worth);
    }
};

enum class BackendKind {
    Engine,
    Service,
};

constexpr NameTable<BackendKind, 2> nameTable(BackendKind /*unused*/)
{
    return {{{BackendKind::Engine, "engine"}, {BackendKind::Service, "service"}}};
}

/// A backend server as declared by operators.
struct BackendServer
{
    std::string name;
    BackendKind kind = BackendKind::Engine;
    /// Numeric IP address and port, "127.0.0.1:9000".
    std::string address;
    std::string region;
    std::string failureDomain;
    Labels labels;
    /// KV memory in tokens; 0 for services.
    std::uint64_t kvTokens = 0;
    /// Whether it rejects orders with a fencing number lower than one it has seen.
    bool checksFencing = false;
    /// Models, adapters and versions that it should have loaded, written as in LoadReport::loaded.
    std::vector<std::string> load;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(name, kind, address, region, failureDomain, labels, kvTokens, checksFencing, load);
    }
};

/// Weights of the objective that routing and admission optimise together.
struct Objective
{
    /// Weight of the worth of answered requests.
    double worthWeight = 1.0;
    /// Weight of the slowdown of short requests.
    double shortSlowdownWeight = 1.0;
    /// Minimum share of engines that take no long requests, 0 to 1.
    double shortOnlyShare = 0.25;
    /// Prompts below this number of tokens count as short.
    std::uint64_t shortPromptTokens = 8192;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(worthWeight, shortSlowdownWeight, shortOnlyShare, shortPromptTokens);
    }
};

/// Time limits and rate limits of the deployment.
struct ServiceLimits
{
    /// Time for which callers may cache a discovery answer.
    std::uint32_t discoveryLifetimeMs = 10'000;
    /// Retention period for idempotency keys of non-idempotent requests.
    std::uint64_t keyRetentionMs = 24ULL * 3600 * 1000;
    /// Deadline for requests without one.
    std::uint32_t defaultDeadlineMs = 60'000;
    std::uint32_t maximumDeadlineMs = 3'600'000;
    /// Number of loads of model weights that the platform's weight store permits per minute for the whole fleet.
    std::uint32_t weightLoadsPerMinute = 12;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(discoveryLifetimeMs, keyRetentionMs, defaultDeadlineMs, maximumDeadlineMs, weightLoadsPerMinute);
    }
};

/// All declarations of operators; the content of one configuration version.
struct Declarations
{
    std::vector<Organisation> organisations;
    std::vector<Intent> intents;
    std::vector<BackendServer> backends;
    Objective objective;
    ServiceLimits limits;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(organisations, intents, backends, objective, limits);
    }
};

} // namespace pomeloport
