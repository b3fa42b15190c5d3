#pragma once

#include "pomeloport/coordination/route.h"
#include "pomeloport/state/declarations.h"

#include <cstdint>
#include <string>
#include <vector>

/// Deployments, scenarios and the request traces made from them.
namespace benchdecisions
{

/// One of the two deployments.
struct Deployment
{
    std::string name;
    std::size_t engines = 16;
    std::size_t routers = 9;
    std::size_t failureDomains = 3;
    /// Network delay between instances, one way.
    pomeloport::Duration networkDelay{};
    pomeloport::Objective objective;
};

/// Returns the deployments as they are sized today.
std::vector<Deployment> deployments();

/// The requests per second and engine to which a load factor of 1 refers.
constexpr double RequestsPerEngineSecond = 1.6;

/// A stretch of time with a constant load.
struct Phase
{
    pomeloport::Duration length{};
    double load = 1;
};

/// What happens to engines and reports in a run.
struct Scenario
{
    std::string name;
    std::vector<Phase> phases;
    /// Phases that count as the crest, by index.
    std::size_t firstCrestPhase = 0;
    std::size_t endCrestPhase = 0;
    /// Age of a load report when it reaches the routers.
    pomeloport::Duration reportLag = std::chrono::milliseconds(200);
    bool longPrompts = true;
    /// Extra prompts above 100,000 tokens that arrive within five seconds from the middle of the trace on.
    std::size_t longBurst = 0;
    /// When one engine dies, and when it is back; never when both are zero.
    pomeloport::Duration engineDiesAt{};
    pomeloport::Duration engineReturnsAt{};
    /// When one engine slows to a tenth, and when it recovers.
    pomeloport::Duration engineSlowsAt{};
    pomeloport::Duration engineRecoversAt{};
    /// When the home of a third of the engines stops answering.
    pomeloport::Duration homeDiesAt{};
};

/// One request of a trace.
struct TraceRequest
{
    pomeloport::RequestSpec spec;
    /// Index of the router that receives it.
    std::size_t router = 0;
    bool inCrest = false;
};

using Trace = std::vector<TraceRequest>;

/// Returns the requests of a scenario. The same seed gives the same trace; leaving out long prompts leaves the others
/// unchanged.
Trace makeTrace(const Deployment &deployment, const Scenario &scenario, std::uint64_t seed);

/// Returns the end of a scenario's last phase.
pomeloport::Duration lengthOf(const Scenario &scenario);

} // namespace benchdecisions
