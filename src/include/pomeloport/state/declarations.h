#pragma once

#include "pomeloport/clock.h"
#include "pomeloport/nametable.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// What operators declare: organisations, serving intents and backend servers. The declarations form one object in the
/// platform's store; its version there is the configuration version.
namespace pomeloport
{

/// Labels on work and on backend servers.
using Labels = std::map<std::string, std::string>;

/// Requires each listed label to have the listed value. An empty selector matches everything.
struct Selector
{
    Labels matchLabels;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(matchLabels);
    }
};

/// Returns whether the labels fulfil the selector.
bool matches(const Selector &selector, const Labels &labels);

/// An organisation whose callers share a token and a fair share.
struct Organisation
{
    std::string name;
    /// Bearer token of its callers.
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

/// A serving intent: which requests go to which models on which backend servers. The first match in order applies.
struct Intent
{
    std::string name;
    /// Organisations it applies to; empty means all.
    std::vector<std::string> organisations;
    /// Request kinds it applies to; empty means all.
    std::vector<std::string> kinds;
    /// Labels that the request must carry.
    Selector work;
    /// Labels that a backend server must carry.
    Selector engines;
    /// What is asked of the engine; empty for intents of plain services.
    std::string model;
    std::string adapter;
    std::string version;
    IntentPriority priority = IntentPriority::Standard;
    /// Value of one answered request to its caller, relative to 1.
    double worth = 1.0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(name, organisations, kinds, work, engines, model, adapter, version, priority, worth);
    }
};

/// Kinds of backend servers.
enum class BackendKind {
    Engine,
    Service,
};

constexpr NameTable<BackendKind, 2> nameTable(BackendKind /*unused*/)
{
    return {{{BackendKind::Engine, "engine"}, {BackendKind::Service, "service"}}};
}

/// A backend server as declared: where it is and what it can do.
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
    /// Whether it refuses orders that carry an old fencing number.
    bool checksFencing = false;
    /// Models, adapters and versions that it should hold, as in LoadReport::loaded.
    std::vector<std::string> load;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(name, kind, address, region, failureDomain, labels, kvTokens, checksFencing, load);
    }
};

/// Weights of the one objective that routing and admission serve.
struct Objective
{
    /// Weight of the worth of answered requests.
    double worthWeight = 1.0;
    /// Weight of the slowdown of short requests.
    double shortSlowdownWeight = 1.0;
    /// Least share of engines kept free of long work, 0 to 1.
    double shortOnlyShare = 0.25;
    /// Prompts below this number of tokens count as short.
    std::uint64_t shortPromptTokens = 8192;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(worthWeight, shortSlowdownWeight, shortOnlyShare, shortPromptTokens);
    }
};

/// Timing promises of the deployment, in milliseconds.
struct ServiceLimits
{
    /// How long callers may keep a discovery answer.
    std::uint32_t discoveryLifetimeMs = 10'000;
    /// How long keys of non-idempotent requests are remembered.
    std::uint64_t keyRetentionMs = 24ULL * 3600 * 1000;
    /// Deadline for requests that state none.
    std::uint32_t defaultDeadlineMs = 60'000;
    std::uint32_t maximumDeadlineMs = 3'600'000;
    /// Weight loads that the platform's weight store allows each minute, over the whole fleet.
    std::uint32_t weightLoadsPerMinute = 12;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(discoveryLifetimeMs, keyRetentionMs, defaultDeadlineMs, maximumDeadlineMs, weightLoadsPerMinute);
    }
};

/// All declarations together.
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
