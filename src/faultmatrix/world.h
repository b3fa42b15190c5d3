#pragma once

#include "controller.h"
#include "hosts.h"
#include "mutants.h"
#include "router.h"
#include "truth.h"
#include "virtualclock.h"

#include "pomeloport/protocol/controlmessages.h"
#include "pomeloport/state/declarations.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace faultmatrix
{

/// Kind and name of the configuration in the platform's store.
constexpr std::string_view ConfigKind = "config";
constexpr std::string_view ConfigName = "declarations";

/// Name of the region.
constexpr std::string_view Region = "qld";

/// How long callers keep a discovery answer.
constexpr Duration DiscoveryLifetime = std::chrono::seconds(2);

/// One entry instance: a router and a controller.
struct Instance
{
    std::string name;
    std::string failureDomain;
    std::uint64_t incarnation = 0;
    std::shared_ptr<Router> router;
    std::shared_ptr<Controller> controller;
    std::optional<Instant> stoppingSince;
};

/// What happens at a step.
struct StepContext
{
    std::string instance;
    std::string backend;
    std::optional<std::size_t> sending;
    pomeloport::StreamAddress stream;
};

using StepHook = std::function<void(Step, const StepContext &)>;

/// Three instances, four engines and two plain services before one platform, on one virtual clock.
class World
{
public:
    World(std::uint64_t seed, Mutant mutant);
    ~World();
    World(const World &) = delete;
    World &operator=(const World &) = delete;

    VirtualClock &clock();
    Truth &truth();
    StoreHost &store();
    std::mt19937_64 &random();
    bool mutant(Mutant wanted) const;

    std::map<std::string, std::unique_ptr<BackendHost>> &backends();
    BackendHost &backend(const std::string &name);
    std::vector<Instance> &instances();
    Instance &instance(const std::string &name);
    /// The declarations of a configuration's text.
    pomeloport::Declarations declarations(const std::string &yaml) const;

    /// Announces a step to whoever watches.
    void step(Step step, const StepContext &context);
    void setStepHook(StepHook hook);

    /// Processes.
    void startRouter(Instance &instance);
    void startController(Instance &instance);
    void killRouter(Instance &instance);
    void killController(Instance &instance);
    void beginStop(Instance &instance);

    /// Connections.
    void setConnectionFault(const std::string &instance, ConnectionFault fault);
    ConnectionFault takeConnectionFault(const std::string &instance);
    void setPartition(const std::string &instance, bool cut);
    void setDatagramLoss(double share);
    /// Whether an instance is cut off from peers and platform; counts the attempt.
    bool blocked(const std::string &instance);
    bool reachable(const std::string &from, const std::string &to);
    void datagram(const pomeloport::OwnerId &from, const std::string &to, const pomeloport::ControlMessage &message);

    /// Asks the router of an instance by way of both controllers; the answer is missing after a timeout.
    void askRouter(const std::shared_ptr<Process> &process,
                   const std::string &from,
                   const std::string &to,
                   const std::function<void(Router &)> &ask,
                   const Task &answered,
                   const Task &unreachable);

    /// The one attempt whose chunks are late.
    std::optional<pomeloport::StreamAddress> &lateStream();

    /// Datagrams and messages that a fault touched.
    std::size_t disturbed() const;

private:
    void createBackends();
    void finishStop(Instance &instance);

    VirtualClock m_clock;
    Truth m_truth;
    std::mt19937_64 m_random;
    Mutant m_mutant;
    StoreHost m_store;
    std::map<std::string, std::unique_ptr<BackendHost>> m_backends;
    std::vector<Instance> m_instances;
    /// Ended processes stay in memory, as messages on their way may name them.
    std::vector<std::shared_ptr<Router>> m_routers;
    std::vector<std::shared_ptr<Controller>> m_controllers;
    StepHook m_stepHook;
    std::map<std::string, ConnectionFault> m_connectionFaults;
    std::map<std::string, bool> m_cut;
    std::optional<pomeloport::StreamAddress> m_lateStream;
    double m_datagramLoss = 0;
    std::size_t m_disturbed = 0;
};

} // namespace faultmatrix
