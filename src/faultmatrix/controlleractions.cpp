#include "controller.h"
#include "world.h"

/// Orders, sweep and group coordination of a run's controller.
namespace faultmatrix
{

using namespace pomeloport;

namespace
{

/// Loads that the weight store allows each minute; plenty, so that a run can be short.
constexpr double LoadsPerMinute = 600;
constexpr std::size_t FleetEngines = 4;

} // namespace

void Controller::order()
{
    std::vector<EngineTarget> targets;
    const std::set<std::string> engines = homes();
    for (const BackendServer &server : m_declarations.backends) {
        if (engines.contains(server.name)) {
            targets.push_back({server.name, server.load, "general", server.checksFencing});
        }
    }
    const Instant now = m_world.clock().now();
    m_orders.setTargets(std::move(targets), FleetEngines, LoadsPerMinute, now);
    const auto permit = [this](const EngineTarget &target, Instant at) {
        const auto number = m_leases.orderFencingNumber(target.engine, target.checksFencing, at);
        if (number) {
            m_lastFencing[target.engine] = *number;
        }
        return number;
    };
    for (const OrderToSend &order : m_orders.advance(permit, now)) {
        m_world.step(Step::Order, {m_instance, order.engine, {}, {}});
        m_process->post({}, [this, order] { send(order); });
    }
}

/// Sends an order, after the lease was checked once more: the process may have been paused since.
void Controller::send(const OrderToSend &order)
{
    BackendHost &backend = m_world.backend(order.engine);
    const bool checks = backend.engine().settings().checksFencing;
    const bool permitted = m_leases.orderFencingNumber(order.engine, checks, m_world.clock().now()).has_value();
    if (!permitted && !m_world.mutant(Mutant::SkipLeaseCheck)) {
        m_orders.answered(order.engine, OrderResult::Refused, m_world.clock().now());
        return;
    }
    for (const Instance &other : m_world.instances()) {
        const bool holds = other.name != m_instance && other.controller->process()->alive()
            && other.controller->leases().orderFencingNumber(order.engine, true, m_world.clock().now());
        if (holds) {
            m_world.truth().violate(m_instance + " orders " + order.engine + " although " + other.name
                                    + " holds its lease");
        }
    }
    const ConnectionFault fault = m_world.takeConnectionFault(m_instance);
    if (fault == ConnectionFault::BeforeSend || !backend.alive()) {
        m_orders.answered(order.engine, OrderResult::Lost, m_world.clock().now());
        return;
    }
    m_world.clock().after(NetworkDelay, [this, &backend, order, fault] {
        if (!backend.alive()) {
            return;
        }
        const auto refusal = backend.order(order.order);
        const OrderResult result = refusal ? OrderResult::Fenced : OrderResult::Accepted;
        if (fault == ConnectionFault::None) {
            m_process->post(NetworkDelay,
                            [this, order, result] { m_orders.answered(order.engine, result, m_world.clock().now()); });
        }
    });
}

void Controller::sweep()
{
    if (m_world.mutant(Mutant::SkipSweep)) {
        return;
    }
    for (const std::string &engine : homes()) {
        BackendHost &backend = m_world.backend(engine);
        if (!backend.alive()) {
            continue;
        }
        const EngineHoldings holdings = backend.engine().holdings();
        m_process->post(2 * NetworkDelay, [this, holdings] { feedSweep(sweepevent::HoldingsRead{holdings}); });
    }
}

void Controller::feedSweep(const SweepEvent &event)
{
    for (const SweepAction &action : m_sweep.handle(event, m_world.clock().now())) {
        std::visit([this](const auto &wanted) { perform(wanted); }, action);
    }
}

void Controller::perform(const sweepaction::AskOwner &action)
{
    const auto reply = std::make_shared<link::LiveStreamsReply>();
    reply->query = action.query.query;
    const bool spoiled = m_world.mutant(Mutant::SweepLiveOwners);
    const auto ask = [reply, spoiled, query = action.query](const Router &router) {
        *reply = router.liveStreams(query);
        if (spoiled) {
            reply->live.clear();
        }
    };
    const auto answer = [this, reply] {
        feedSweep(sweepevent::OwnerAnswered{*reply});
    };
    m_world.askRouter(m_process, m_instance, action.query.owner.instance, ask, answer, answer);
}

void Controller::perform(const sweepaction::CancelStream &action)
{
    BackendHost &backend = m_world.backend(action.engine);
    m_world.clock().trace(m_instance + " sweeps " + toString(action.stream) + " from " + action.engine);
    for (const Instance &instance : m_world.instances()) {
        if (instance.router->isOpen(action.stream) && backend.isConnected(action.stream)) {
            m_world.truth().violate("the sweep cancels a stream of the live owner " + instance.name);
        }
    }
    m_world.clock().after(NetworkDelay, [&backend, stream = action.stream] {
        if (backend.alive()) {
            backend.cancel(stream);
        }
    });
}

void Controller::perform(const sweepaction::FreeBlob &action)
{
    if (m_world.mutant(Mutant::ForgetBlobs)) {
        return;
    }
    BackendHost &backend = m_world.backend(action.engine);
    m_world.clock().after(NetworkDelay, [&backend, blob = action.blob] {
        if (backend.alive()) {
            backend.freeBlob(blob);
        }
    });
}

void Controller::reserveGroup(const groupevent::Reserve &event)
{
    feedGroups(event);
}

void Controller::releaseGroup(const StreamAddress &stream)
{
    feedGroups(groupevent::Release{stream});
}

void Controller::feedGroups(const GroupEvent &event)
{
    for (const GroupAction &action : m_groups.handle(event, m_world.clock().now())) {
        FlowEvent answer;
        StreamAddress stream;
        if (const auto *grant = std::get_if<groupaction::Grant>(&action)) {
            stream = grant->stream;
            answer = event::GroupGranted{grant->route};
        } else if (const auto *refusal = std::get_if<groupaction::Refuse>(&action)) {
            stream = refusal->stream;
            answer = event::GroupRefused{refusal->failure};
        } else {
            continue;
        }
        if (!m_world.reachable(m_instance, stream.owner.instance)) {
            continue;
        }
        const std::shared_ptr<Router> router = m_world.instance(stream.owner.instance).router;
        router->process()->post(2 * NetworkDelay, [router, stream, answer] { router->groupAnswered(stream, answer); });
    }
}

} // namespace faultmatrix
