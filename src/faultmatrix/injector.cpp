#include "injector.h"

#include <algorithm>

namespace faultmatrix
{

using pomeloport::nameOf;

namespace
{

constexpr Duration FaultTime = std::chrono::seconds(8);
constexpr Duration BackendRestart = std::chrono::seconds(4);
constexpr Duration LeavingTime = std::chrono::seconds(12);
/// Greatest time between the two faults of a pair.
constexpr std::uint64_t PairSpreadMs = 500;
constexpr Duration SlowStore = std::chrono::milliseconds(1500);
constexpr double LossShare = 0.4;
constexpr std::uint64_t LostAnswers = 2;
constexpr std::string_view FirstInstance = "r1";

} // namespace

Injector::Injector(World &world, Traffic &traffic, std::vector<Fault> faults, Step step, Work work)
    : m_world(world)
    , m_traffic(traffic)
    , m_faults(std::move(faults))
    , m_step(step)
    , m_work(work)
{
}

/// Faults of chunks are armed one step earlier, as they show in the chunks that follow.
Step Injector::triggerOf(Fault fault) const
{
    const bool chunks = fault == Fault::ChunkLate || fault == Fault::ChunkDuplicated || fault == Fault::ChunkOutOfOrder;
    if (!chunks) {
        return m_step;
    }
    if (m_step == Step::End) {
        return m_work == Work::Action ? Step::Send : Step::MidStream;
    }
    return m_step == Step::Cancel || m_step == Step::FirstToken ? Step::Send : m_step;
}

void Injector::stepReached(Step step, const StepContext &context)
{
    const bool observed = !context.sending || context.sending == m_traffic.observed();
    if (m_fired || m_faults.empty() || !observed || step != triggerOf(m_faults.front())) {
        return;
    }
    m_fired = true;
    fire(m_faults.front(), context);
    for (std::size_t i = 1; i < m_faults.size(); ++i) {
        const Duration delay = std::chrono::milliseconds(m_world.random()() % PairSpreadMs);
        m_world.clock().after(delay, [this, i, context] { fire(m_faults[i], context); });
    }
}

bool Injector::acted() const
{
    return m_evidence.size() == m_faults.size()
        && std::all_of(m_evidence.begin(), m_evidence.end(), [](const auto &evidence) { return evidence(); });
}

void Injector::heal()
{
    for (const Task &heal : m_heals) {
        heal();
    }
    m_heals.clear();
}

std::size_t Injector::disturbed() const
{
    std::size_t sum = m_world.disturbed() + m_world.store().disturbed();
    for (const auto &[name, backend] : m_world.backends()) {
        sum += backend->disturbed();
    }
    return sum;
}

std::string Injector::backendFor(const StepContext &context) const
{
    if (!context.backend.empty()) {
        return context.backend;
    }
    return m_work == Work::Action ? "s1" : "e1";
}

std::string Injector::instanceFor(const StepContext &context) const
{
    const auto &instances = m_world.instances();
    const bool known = std::any_of(instances.begin(), instances.end(), [&context](const Instance &instance) {
        return instance.name == context.instance;
    });
    return known ? context.instance : std::string(FirstInstance);
}

void Injector::fire(Fault fault, const StepContext &context)
{
    m_world.clock().trace("FAULT " + std::string(nameOf(fault)) + " at " + std::string(nameOf(m_step)));
    const std::size_t before = disturbed();
    m_evidence.emplace_back([this, before] { return disturbed() > before; });
    switch (fault) {
    case Fault::BackendDies:
    case Fault::BackendStalls:
    case Fault::BackendRefuses:
    case Fault::BackendLeaves:
    case Fault::ChunkLate:
    case Fault::ChunkDuplicated:
    case Fault::ChunkOutOfOrder:
        return fireAtBackend(fault, m_world.backend(backendFor(context)), context);
    case Fault::RouterDies:
    case Fault::InstancePauses:
    case Fault::ControllerDies:
    case Fault::InstanceStops:
    case Fault::LeaseLapses:
        return fireAtInstance(fault, m_world.instance(instanceFor(context)));
    case Fault::StoreDown:
    case Fault::StoreSlow:
    case Fault::StoreAnswerLost:
    case Fault::StaleList:
        return fireAtStore(fault);
    case Fault::ResetBeforeSend:
    case Fault::ResetAfterSend:
    case Fault::DatagramLoss:
    case Fault::Partition:
        return fireAtNetwork(fault, context);
    case Fault::ConflictingEdits:
        m_traffic.editConflictingly();
        m_evidence.back() = [] {
            return true;
        };
        return;
    }
}

void Injector::fireAtBackend(Fault fault, BackendHost &backend, const StepContext &context)
{
    const auto restart = [&backend] {
        if (!backend.alive() || backend.leaving()) {
            backend.setLeaving(false);
            backend.restart();
        }
    };
    switch (fault) {
    case Fault::BackendDies:
        backend.kill();
        m_world.clock().after(BackendRestart, restart);
        return;
    case Fault::BackendStalls:
        backend.setStalled(true);
        m_heals.emplace_back([&backend] { backend.setStalled(false); });
        m_world.clock().after(FaultTime, [&backend] { backend.setStalled(false); });
        return;
    case Fault::BackendRefuses:
        // All servers of the kind refuse, as a rush would make them.
        for (const auto &[name, host] : m_world.backends()) {
            if (host->isEngine() == backend.isEngine()) {
                const auto heal = [refusing = host.get()] {
                    refusing->setRefusing(false);
                };
                host->setRefusing(true);
                m_heals.emplace_back(heal);
                m_world.clock().after(FaultTime, heal);
            }
        }
        return;
    case Fault::BackendLeaves:
        backend.setLeaving(true);
        m_world.clock().after(LeavingTime, [&backend, restart] {
            backend.kill();
            restart();
        });
        return;
    default:
        if (context.sending) {
            for (const auto &[name, host] : m_world.backends()) {
                host->armChunkFault(fault, *context.sending);
            }
        }
        return;
    }
}

void Injector::pause(const std::shared_ptr<Process> &process)
{
    process->pause();
    m_heals.emplace_back([process] { process->resume(); });
    m_world.clock().after(FaultTime, [process] { process->resume(); });
}

void Injector::fireAtInstance(Fault fault, Instance &instance)
{
    const bool running = instance.router->process()->running() && instance.controller->process()->running();
    m_evidence.back() = [running] {
        return running;
    };
    switch (fault) {
    case Fault::RouterDies:
        m_world.killRouter(instance);
        return;
    case Fault::InstancePauses:
        pause(instance.router->process());
        pause(instance.controller->process());
        return;
    case Fault::ControllerDies:
        m_world.killController(instance);
        return;
    case Fault::InstanceStops:
        m_world.beginStop(instance);
        return;
    default:
        pause(instance.controller->process());
        return;
    }
}

void Injector::fireAtStore(Fault fault)
{
    pomelofake::PlatformFaults faults = m_world.store().model().faults();
    switch (fault) {
    case Fault::StoreDown:
        faults.outage = true;
        break;
    case Fault::StoreSlow:
        // Either the replies are late, or the calls themselves, which then take effect after the caller gave up.
        if (m_world.random()() % 2 == 0) {
            faults.delay = SlowStore;
        } else {
            m_world.store().setRequestDelay(SlowStore);
        }
        break;
    case Fault::StoreAnswerLost:
        faults.loseNextAnswers = LostAnswers;
        break;
    default:
        faults.staleReads = FaultTime / 2;
        break;
    }
    m_world.store().setFaults(faults);
    const auto heal = [this] {
        m_world.store().setFaults({});
        m_world.store().setRequestDelay({});
    };
    m_heals.emplace_back(heal);
    m_world.clock().after(FaultTime, heal);
}

void Injector::fireAtNetwork(Fault fault, const StepContext &context)
{
    const std::string instance = instanceFor(context);
    switch (fault) {
    case Fault::ResetBeforeSend:
        m_world.setConnectionFault(context.instance, ConnectionFault::BeforeSend);
        return;
    case Fault::ResetAfterSend:
        if (m_step == Step::FirstToken || m_step == Step::MidStream || m_step == Step::End) {
            m_world.backend(context.backend).breakConnection(context.stream);
        } else {
            m_world.setConnectionFault(context.instance, ConnectionFault::AfterSend);
        }
        return;
    case Fault::DatagramLoss: {
        const auto heal = [this] {
            m_world.setDatagramLoss(0);
        };
        m_world.setDatagramLoss(LossShare);
        m_heals.emplace_back(heal);
        m_world.clock().after(FaultTime, heal);
        return;
    }
    default: {
        const auto heal = [this, instance] {
            m_world.setPartition(instance, false);
        };
        m_world.setPartition(instance, true);
        m_heals.emplace_back(heal);
        m_world.clock().after(FaultTime, heal);
        return;
    }
    }
}

} // namespace faultmatrix
