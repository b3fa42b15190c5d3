#include "world.h"

#include <algorithm>
#include <array>

namespace faultmatrix
{

namespace
{

constexpr std::array<std::string_view, 4> EngineNames{"e1", "e2", "e3", "e4"};
constexpr std::array<std::string_view, 2> ServiceNames{"s1", "s2"};
constexpr std::array<std::string_view, 3> InstanceNames{"r1", "r2", "r3"};
constexpr std::array<std::string_view, 3> Domains{"d1", "d2", "d3"};

/// KV memory of an engine; a group prompt needs three of them.
constexpr std::uint64_t EngineTokens = 40'000;
constexpr Duration RestartTime = std::chrono::seconds(2);
constexpr Duration AskTimeout = std::chrono::milliseconds(500);
constexpr Duration StopPoll = std::chrono::milliseconds(100);

pomelofake::EngineModelSettings engineSettings(std::string_view name, bool checksFencing)
{
    pomelofake::EngineModelSettings settings;
    settings.engine = name;
    settings.kvTokens = EngineTokens;
    settings.checksFencing = checksFencing;
    settings.loaded = {"m"};
    settings.loadTime = std::chrono::milliseconds(500);
    return settings;
}

pomelofake::PlatformModelSettings platformSettings(std::uint64_t seed)
{
    pomelofake::PlatformModelSettings settings;
    settings.seed = seed;
    return settings;
}

} // namespace

World::World(std::uint64_t seed, Mutant mutant)
    : m_truth(m_clock)
    , m_random(seed)
    , m_mutant(mutant)
    , m_store(*this, platformSettings(seed))
{
    createBackends();
    pomeloport::StoreCall config;
    config.operation = pomeloport::StoreOperation::Create;
    config.kind = ConfigKind;
    config.name = ConfigName;
    config.value = R"({"token":"first","yaml":"m"})";
    m_store.model().submit(config, m_clock.now());
    m_store.model().advance(m_clock.now());
    m_truth.configAccepted(m_store.model().version());
    m_instances.resize(InstanceNames.size());
    for (std::size_t i = 0; i < InstanceNames.size(); ++i) {
        m_instances[i].name = InstanceNames[i];
        m_instances[i].failureDomain = Domains[i];
        startRouter(m_instances[i]);
        startController(m_instances[i]);
    }
}

World::~World() = default;

void World::createBackends()
{
    for (std::size_t i = 0; i < EngineNames.size(); ++i) {
        const std::string name(EngineNames[i]);
        const bool checksFencing = i < EngineNames.size() / 2;
        m_backends[name] = std::make_unique<BackendHost>(*this, name, engineSettings(name, checksFencing));
    }
    for (const std::string_view name : ServiceNames) {
        m_backends[std::string(name)] = std::make_unique<BackendHost>(*this, std::string(name), std::nullopt);
    }
}

pomeloport::Declarations World::declarations(const std::string &yaml) const
{
    pomeloport::Declarations declarations;
    pomeloport::Organisation organisation;
    organisation.name = "clipback";
    declarations.organisations.push_back(organisation);
    for (const auto &[name, host] : m_backends) {
        pomeloport::BackendServer server;
        server.name = name;
        server.kind = host->isEngine() ? pomeloport::BackendKind::Engine : pomeloport::BackendKind::Service;
        server.address = name;
        server.region = Region;
        server.failureDomain = "d1";
        if (host->isEngine()) {
            server.kvTokens = EngineTokens;
            server.checksFencing = host->engine().settings().checksFencing;
            server.load = {"m"};
            if (yaml != "m") {
                server.load.push_back(yaml);
            }
        }
        declarations.backends.push_back(std::move(server));
    }
    declarations.objective.shortOnlyShare = 0;
    return declarations;
}

VirtualClock &World::clock()
{
    return m_clock;
}

Truth &World::truth()
{
    return m_truth;
}

StoreHost &World::store()
{
    return m_store;
}

std::mt19937_64 &World::random()
{
    return m_random;
}

bool World::mutant(Mutant wanted) const
{
    return m_mutant == wanted;
}

std::map<std::string, std::unique_ptr<BackendHost>> &World::backends()
{
    return m_backends;
}

BackendHost &World::backend(const std::string &name)
{
    return *m_backends.at(name);
}

std::vector<Instance> &World::instances()
{
    return m_instances;
}

Instance &World::instance(const std::string &name)
{
    return *std::find_if(
        m_instances.begin(), m_instances.end(), [&name](const Instance &instance) { return instance.name == name; });
}

void World::step(Step step, const StepContext &context)
{
    if (m_stepHook) {
        m_stepHook(step, context);
    }
}

void World::setStepHook(StepHook hook)
{
    m_stepHook = std::move(hook);
}

void World::startRouter(Instance &instance)
{
    instance.router = std::make_shared<Router>(*this, instance.name, ++instance.incarnation);
    instance.stoppingSince.reset();
    m_routers.push_back(instance.router);
}

void World::startController(Instance &instance)
{
    instance.controller =
        std::make_shared<Controller>(*this, instance.name, instance.failureDomain, ++instance.incarnation);
    m_controllers.push_back(instance.controller);
    pomelofake::PlatformInstance entry;
    entry.name = instance.name;
    entry.address = instance.name;
    m_store.model().registerInstance(entry, m_clock.now());
}

void World::killRouter(Instance &instance)
{
    if (!instance.router->process()->alive()) {
        return;
    }
    const std::shared_ptr<Router> router = instance.router;
    router->process()->kill();
    m_clock.trace("router of " + instance.name + " is gone");
    m_clock.after(NetworkDelay, [this, router] {
        for (const std::size_t sending : router->sendings()) {
            m_truth.lost(sending);
        }
    });
    m_clock.after(RestartTime, [this, &instance] { startRouter(instance); });
}

void World::killController(Instance &instance)
{
    if (!instance.controller->process()->alive()) {
        return;
    }
    instance.controller->process()->kill();
    m_clock.trace("controller of " + instance.name + " is gone");
    m_clock.after(RestartTime, [this, &instance] { startController(instance); });
}

void World::beginStop(Instance &instance)
{
    if (instance.stoppingSince || !instance.router->process()->running()
        || !instance.controller->process()->running()) {
        return;
    }
    instance.stoppingSince = m_clock.now();
    m_clock.trace(instance.name + " begins to stop");
    instance.controller->leave();
    instance.router->drain();
    finishStop(instance);
}

void World::finishStop(Instance &instance)
{
    if (!instance.router->process()->alive() || !instance.stoppingSince) {
        return;
    }
    const bool controlled = instance.controller->process()->alive();
    if (controlled && !instance.controller->leaving()) {
        // A new controller learns from the router that the instance stops.
        instance.controller->leave();
    }
    if (!controlled) {
        m_clock.after(StopPoll, [this, &instance] { finishStop(instance); });
        return;
    }
    const bool cut = mutant(Mutant::CutOnStop);
    const bool drained = !instance.router->admitting() && instance.router->idle();
    if (drained || cut) {
        instance.controller->releaseLeases();
    }
    if (cut || (drained && instance.controller->leases().released())) {
        killController(instance);
        killRouter(instance);
        return;
    }
    m_clock.after(StopPoll, [this, &instance] { finishStop(instance); });
}

void World::setConnectionFault(const std::string &instance, ConnectionFault fault)
{
    m_connectionFaults[instance] = fault;
}

ConnectionFault World::takeConnectionFault(const std::string &instance)
{
    const auto found = m_connectionFaults.find(instance);
    if (found == m_connectionFaults.end() || found->second == ConnectionFault::None) {
        return ConnectionFault::None;
    }
    ++m_disturbed;
    m_clock.trace("connection of " + instance + " is reset");
    return std::exchange(found->second, ConnectionFault::None);
}

void World::setPartition(const std::string &instance, bool cut)
{
    m_cut[instance] = cut;
}

void World::setDatagramLoss(double share)
{
    m_datagramLoss = share;
}

bool World::blocked(const std::string &instance)
{
    const bool cut = m_cut[instance];
    m_disturbed += cut ? 1 : 0;
    return cut;
}

bool World::reachable(const std::string &from, const std::string &to)
{
    return from == to || (!blocked(from) && !blocked(to));
}

void World::datagram(const pomeloport::OwnerId &from, const std::string &to, const pomeloport::ControlMessage &message)
{
    if (!reachable(from.instance, to)) {
        return;
    }
    if (std::uniform_real_distribution<double>()(m_random) < m_datagramLoss) {
        ++m_disturbed;
        return;
    }
    const std::shared_ptr<Controller> receiver = instance(to).controller;
    receiver->process()->post(NetworkDelay, [receiver, from, message] { receiver->datagram(from, message); });
}

void World::askRouter(const std::shared_ptr<Process> &process,
                      const std::string &from,
                      const std::string &to,
                      const std::function<void(Router &)> &ask,
                      const Task &answered,
                      const Task &unreachable)
{
    const auto settled = std::make_shared<bool>(false);
    process->post(AskTimeout, [settled, unreachable] {
        if (!std::exchange(*settled, true)) {
            unreachable();
        }
    });
    Instance &asked = instance(to);
    const bool controllers = instance(from).controller->process()->running() && asked.controller->process()->running();
    if (!controllers || !reachable(from, to)) {
        return;
    }
    const std::shared_ptr<Router> router = asked.router;
    router->process()->post(2 * NetworkDelay, [process, router, ask, settled, answered] {
        ask(*router);
        process->post(2 * NetworkDelay, [settled, answered] {
            if (!std::exchange(*settled, true)) {
                answered();
            }
        });
    });
}

std::optional<pomeloport::StreamAddress> &World::lateStream()
{
    return m_lateStream;
}

std::size_t World::disturbed() const
{
    return m_disturbed;
}

} // namespace faultmatrix
