#include "controller.h"

#include "world.h"

#include "pomeloport/coordination/rendezvous.h"

#include <boost/json.hpp>

namespace faultmatrix
{

using namespace pomeloport;

namespace
{

constexpr Duration TickInterval = std::chrono::milliseconds(50);
constexpr Duration PollInterval = std::chrono::milliseconds(250);
constexpr Duration PublishInterval = std::chrono::milliseconds(100);
constexpr Duration SweepInterval = std::chrono::seconds(2);
constexpr Duration OrderInterval = std::chrono::milliseconds(500);
constexpr Duration ListInterval = std::chrono::milliseconds(500);
constexpr Duration FetchTimeout = std::chrono::milliseconds(300);
/// How long a watch of the store waits.
constexpr Duration WatchTime = std::chrono::seconds(10);
constexpr int ReservationShift = 20;

/// Lease times shortened alike, so that a run can be short.
LeaseLimits leaseLimits()
{
    LeaseLimits limits;
    limits.duration = std::chrono::seconds(6);
    limits.renewalInterval = std::chrono::seconds(2);
    limits.clockDriftMargin = std::chrono::milliseconds(300);
    limits.longestOrder = std::chrono::seconds(2);
    limits.retryDelay = std::chrono::milliseconds(200);
    return limits;
}

OrderLimits orderLimits()
{
    OrderLimits limits;
    limits.longestOrder = std::chrono::seconds(2);
    limits.settleTime = std::chrono::seconds(3);
    return limits;
}

control::MemberRecord memberRecord(const OwnerId &id, const std::string &failureDomain)
{
    control::MemberRecord record;
    record.id = id;
    record.region = Region;
    record.failureDomain = failureDomain;
    record.httpAddress = id.instance;
    record.peerAddress = id.instance;
    record.datagramAddress = id.instance;
    return record;
}

} // namespace

Controller::Controller(World &world, std::string instance, std::string failureDomain, std::uint64_t incarnation)
    : m_world(world)
    , m_instance(std::move(instance))
    , m_failureDomain(std::move(failureDomain))
    , m_id{m_instance, incarnation}
    , m_process(std::make_shared<Process>(world.clock()))
    , m_plane(controlSettings(memberRecord(m_id, m_failureDomain), world.random()()), world.clock().now())
    , m_leases(m_id, std::string(Region), leaseLimits())
    , m_orders(orderLimits())
    , m_groups(GroupLimits{.minimumSegmentTokens = 8'192}, incarnation << ReservationShift)
{
    m_process->post({}, [this] { learnInstances(); });
    m_process->repeat(TickInterval, [this] { tick(); });
    m_process->repeat(PollInterval, [this] { poll(); });
    m_process->repeat(PublishInterval, [this] { publish(); });
    m_process->repeat(SweepInterval, [this] { sweep(); });
    m_process->repeat(OrderInterval, [this] { order(); });
    m_process->repeat(ListInterval, [this] { learnInstances(); });
}

const std::shared_ptr<Process> &Controller::process() const
{
    return m_process;
}

const OwnerId &Controller::id() const
{
    return m_id;
}

const ControlPlane &Controller::plane() const
{
    return m_plane;
}

const LeaseManager &Controller::leases() const
{
    return m_leases;
}

std::string Controller::processName() const
{
    return m_instance + '/' + std::to_string(m_id.incarnation);
}

void Controller::feed(const ControlEvent &event)
{
    for (const ControlAction &action : m_plane.handle(event, m_world.clock().now())) {
        std::visit([this](const auto &wanted) { perform(wanted); }, action);
    }
}

void Controller::tick()
{
    feed(controlevent::Tick{});
    driveLeases();
}

void Controller::datagram(const OwnerId &sender, const ControlMessage &message)
{
    feed(controlevent::Datagram{sender, sender.instance, message});
}

void Controller::leave()
{
    m_leaving = true;
    feed(controlevent::Leaving{});
}

void Controller::releaseLeases()
{
    if (!m_stopping) {
        m_stopping = true;
        m_leases.stop();
    }
}

bool Controller::leaving() const
{
    return m_leaving;
}

void Controller::perform(const controlaction::Send &action)
{
    m_world.datagram(m_id, action.address, action.message);
}

void Controller::perform(const controlaction::InstancesChanged & /*action*/)
{
    if (!m_stopping) {
        m_leases.setHomeEngines(homes());
    }
}

void Controller::perform(const configspread::CallStore &action)
{
    const bool watch = action.call.operation == StoreOperation::Watch;
    m_world.store().call(
        m_process,
        m_instance,
        action.call,
        [this](const StoreReply &reply) { feed(configspread::StoreAnswered{reply}); },
        watch ? WatchTime : Duration::zero());
}

void Controller::perform(const configspread::Fetch &action)
{
    const std::shared_ptr<Controller> peer = m_world.instance(action.peerAddress).controller;
    if (!peer->process()->running() || !m_world.reachable(m_instance, action.peerAddress)) {
        m_process->post(FetchTimeout, [this] { feed(configspread::FetchFailed{}); });
        return;
    }
    m_process->post(4 * NetworkDelay, [this, peer] {
        const ConfigSpread &config = peer->plane().config();
        if (config.yaml()) {
            feed(configspread::Fetched{config.version(), config.token(), *config.yaml()});
        } else {
            feed(configspread::FetchFailed{});
        }
    });
}

void Controller::perform(const configspread::Adopt &action)
{
    m_world.truth().adopted(processName(), action.version);
    m_version = action.version;
    m_declarations = m_world.declarations(*action.yaml);
    m_world.clock().trace(m_instance + " has configuration " + std::to_string(action.version) + " in force");
}

void Controller::perform(const configspread::AdmissionChanged &action)
{
    m_admitting = action.admitting;
    m_world.clock().trace(m_instance + (action.admitting ? " admits" : " does not admit: " + action.reason));
}

void Controller::learnInstances()
{
    if (m_world.blocked(m_instance) || m_world.store().model().faults().outage) {
        return;
    }
    membership::AddressesLearned learned;
    for (const pomelofake::PlatformInstance &entry : m_world.store().model().instances(m_world.clock().now())) {
        if (entry.kind == pomelofake::PlatformInstanceKind::Entry) {
            learned.addresses.push_back(entry.address);
        } else if (entry.state == pomelofake::PlatformInstanceState::Leaving) {
            m_leavingBackends.insert(entry.name);
        } else {
            m_leavingBackends.erase(entry.name);
        }
    }
    if (learned.addresses.empty()) {
        learned.addresses = {"r1", "r2", "r3"};
    }
    feed(learned);
}

/// Reads the load of all engines.
void Controller::poll()
{
    for (const auto &[name, host] : m_world.backends()) {
        if (!host->isEngine() || !host->alive()) {
            continue;
        }
        const LoadReport report = host->engine().loadReport(m_world.clock().now());
        m_process->post(NetworkDelay, [this, report] {
            m_reports[report.engine] = report;
            m_reportedAt[report.engine] = m_world.clock().now();
            m_orders.reported(report, m_world.clock().now());
        });
    }
}

void Controller::publish()
{
    // After a pause the silence has to be noticed before old state is published as fresh.
    tick();
    auto snapshot = std::make_shared<Snapshot>();
    snapshot->self = m_id;
    snapshot->region = Region;
    snapshot->failureDomain = m_failureDomain;
    snapshot->configVersion = m_version;
    snapshot->declarations = m_declarations;
    snapshot->instances = m_plane.instances();
    snapshot->admitting = m_admitting;
    for (const BackendServer &server : m_declarations.backends) {
        BackendView view;
        view.server = server;
        view.report = m_reports[server.name];
        view.reportedAt = m_reportedAt[server.name];
        const bool hidden = m_world.mutant(Mutant::IgnoreLeaving);
        view.report.leaving = view.report.leaving && !hidden;
        if (m_leavingBackends.contains(server.name) && !hidden) {
            view.state = BackendState::Leaving;
        }
        snapshot->backends.push_back(std::move(view));
    }
    if (m_world.mutant(Mutant::ApplyLowerVersion) && m_version > 1) {
        snapshot->configVersion = 1;
    }
    feedGroups(groupevent::EnginesChanged{snapshot});
    feedGroups(groupevent::Tick{});
    const std::shared_ptr<Router> router = m_world.instance(m_instance).router;
    router->process()->post(NetworkDelay,
                            [router, snapshot, madeAt = m_world.clock().now()] { router->update(snapshot, madeAt); });
}

std::set<std::string> Controller::homes() const
{
    std::set<std::string> engines;
    const std::vector<InstanceView> instances = m_plane.instances();
    for (const BackendServer &server : m_declarations.backends) {
        const InstanceView *home = homeOf(server, instances);
        if (server.kind == BackendKind::Engine && home && home->id.instance == m_instance) {
            engines.insert(server.name);
        }
    }
    return engines;
}

void Controller::driveLeases()
{
    if (!m_stopping) {
        m_leases.setHomeEngines(homes());
    }
    const auto call = m_leases.advance(m_world.clock().now());
    if (!call) {
        return;
    }
    m_world.store().call(m_process, m_instance, *call, [this](const StoreReply &reply) {
        m_leases.answered(reply, m_world.clock().now());
        driveLeases();
    });
}

} // namespace faultmatrix
