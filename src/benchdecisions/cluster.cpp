#include "simulation.h"

#include <algorithm>

/// The engines' side of the simulation: steps, outputs, load reports, cache events and faults.
namespace benchdecisions
{

using namespace pomeloport;
using namespace std::chrono_literals;

namespace
{

constexpr Duration ReportInterval = 100ms;
constexpr Duration CacheEventInterval = 1s;
// Every so many cache events one is lost.
constexpr std::uint64_t LostCacheEvent = 20;
// How long a dead engine stays in the platform's list.
constexpr Duration ListLag = 3s;
constexpr Duration HomeFailoverTime = 3s;
constexpr double SlowdownFactor = 10;
constexpr Duration OracleResolution = 20ms;
constexpr std::uint64_t EngineKvTokens = 400'000;

} // namespace

void Simulation::startEngines()
{
    m_listed.assign(m_deployment.engines, BackendState::Live);
    m_engines.reserve(m_deployment.engines);
    for (std::size_t index = 0; index < m_deployment.engines; ++index) {
        std::string name = "engine-";
        name += std::to_string(index);
        pomelofake::EngineModelSettings settings;
        settings.engine = name;
        settings.kvTokens = EngineKvTokens;
        settings.loaded = {"reader"};
        settings.emission = pomelofake::EmissionMode::FirstAndLast;
        BackendServer server;
        server.name = name;
        server.region = "region";
        server.failureDomain = "domain-";
        server.failureDomain += std::to_string(index % m_deployment.failureDomains);
        server.kvTokens = settings.kvTokens;
        server.load = settings.loaded;
        m_engines.push_back({pomelofake::EngineModel(settings), server, Instant::max(), {}, {}});
        m_engineIndex[name] = index;
    }
}

std::shared_ptr<Snapshot> Simulation::observe()
{
    auto snapshot = std::make_shared<Snapshot>();
    snapshot->admitting = true;
    snapshot->region = "region";
    snapshot->declarations.objective = m_deployment.objective;
    for (std::size_t router = 0; router < m_routers.size(); ++router) {
        InstanceView instance;
        instance.id.instance = "entry-";
        instance.id.instance += std::to_string(router);
        snapshot->instances.push_back(std::move(instance));
    }
    const auto setAside = m_coordinator.setAside();
    const bool withCache = m_queue.now().time_since_epoch() % CacheEventInterval < ReportInterval;
    std::uint64_t used = 0;
    for (std::size_t index = 0; index < m_engines.size(); ++index) {
        auto &engine = m_engines[index];
        BackendView view;
        view.server = engine.server;
        view.state = m_listed[index];
        view.reportedAt = m_queue.now();
        const auto *old = m_snapshot ? &m_snapshot->backends[index] : nullptr;
        if (engine.model.alive()) {
            view.report = engine.model.loadReport(m_queue.now());
            used += view.report.kvTokensUsed;
        } else if (old != nullptr) {
            view.report = old->report;
            view.reportedAt = old->reportedAt;
        }
        if (old != nullptr) {
            view.cachedBlocks = old->cachedBlocks;
        }
        if (withCache && engine.model.alive()) {
            for (const auto &event : engine.model.cacheEvents(0).events) {
                if (event.sequence % LostCacheEvent == 0) {
                    continue;
                }
                if (event.stored) {
                    view.cachedBlocks.insert(event.block);
                } else {
                    view.cachedBlocks.erase(event.block);
                }
            }
        }
        const auto reserved = setAside.find(engine.server.name);
        view.reservedGroupTokens = reserved == setAside.end() ? 0 : reserved->second;
        snapshot->backends.push_back(std::move(view));
    }
    const auto memory = static_cast<double>(EngineKvTokens * m_engines.size());
    m_result.peakMemory = std::max(m_result.peakMemory, static_cast<double>(used) / memory);
    return snapshot;
}

void Simulation::publish()
{
    auto snapshot = observe();
    const auto lag = m_snapshot ? m_scenario.reportLag : Duration::zero();
    if (!m_snapshot) {
        m_snapshot = snapshot;
    }
    m_queue.after(lag, [this, snapshot] {
        m_snapshot = snapshot;
        coordinate(groupevent::EnginesChanged{snapshot});
        for (auto &router : m_routers) {
            if (auto *placement = std::get_if<std::unique_ptr<Placement>>(&router)) {
                (*placement)->update(snapshot, m_queue.now());
            }
        }
        for (std::size_t router = 0; router < m_routers.size(); ++router) {
            wakeWaiting(router);
        }
    });
}

void Simulation::refreshOracle()
{
    if (m_queue.now() < m_oracleSeen + OracleResolution) {
        return;
    }
    m_oracleSeen = m_queue.now();
    auto snapshot = observe();
    for (std::size_t index = 0; index < m_engines.size(); ++index) {
        snapshot->backends[index].state = m_engines[index].model.alive() ? BackendState::Live : BackendState::Gone;
    }
    m_snapshot = snapshot;
    std::get<std::unique_ptr<Placement>>(m_routers.front())->update(snapshot, m_queue.now());
}

void Simulation::scheduleReports()
{
    m_queue.after(ReportInterval, [this] {
        if (m_policy == PolicyKind::Oracle) {
            refreshOracle();
            coordinate(groupevent::EnginesChanged{m_snapshot});
            wakeWaiting(0);
        } else {
            publish();
        }
        scheduleReports();
    });
}

void Simulation::scheduleFaults()
{
    constexpr std::size_t Faulty = 0;
    if (m_scenario.engineDiesAt > Duration::zero()) {
        m_queue.after(m_scenario.engineDiesAt, [this] { killEngine(Faulty); });
        m_queue.after(m_scenario.engineDiesAt + ListLag, [this] { m_listed[Faulty] = BackendState::Gone; });
        m_queue.after(m_scenario.engineReturnsAt, [this] {
            m_engines[Faulty].model.restart(m_queue.now());
            m_listed[Faulty] = BackendState::Live;
        });
    }
    if (m_scenario.engineSlowsAt > Duration::zero()) {
        m_queue.after(m_scenario.engineSlowsAt, [this] { m_engines[Faulty].model.setSlowdown(SlowdownFactor); });
        m_queue.after(m_scenario.engineRecoversAt, [this] { m_engines[Faulty].model.setSlowdown(1); });
    }
    if (m_scenario.homeDiesAt > Duration::zero()) {
        const auto setHomes = [this](bool answers) {
            for (std::size_t index = 0; index < m_ledgers.size(); index += m_deployment.failureDomains) {
                m_ledgers[index].homeAnswers = answers;
            }
        };
        m_queue.after(m_scenario.homeDiesAt, [setHomes] { setHomes(false); });
        m_queue.after(m_scenario.homeDiesAt + HomeFailoverTime, [setHomes] { setHomes(true); });
    }
}

void Simulation::killEngine(std::size_t engine)
{
    m_engines[engine].model.kill(m_queue.now());
    const auto &name = m_engines[engine].server.name;
    for (std::size_t request = 0; request < m_states.size(); ++request) {
        const auto &state = m_states[request];
        if (state.closed || !state.route) {
            continue;
        }
        const bool member = std::ranges::any_of(state.route->members,
                                                [&name](const RouteMember &part) { return part.backend == name; });
        if (member) {
            m_queue.after(delay(), [this, request, attempt = state.attempt, name] { broken(request, attempt, name); });
        }
    }
}

void Simulation::scheduleWake(std::size_t engine)
{
    const auto at = m_engines[engine].model.nextEventAt();
    if (at == Instant::max() || m_engines[engine].wakeAt == at) {
        return;
    }
    m_engines[engine].wakeAt = at;
    m_queue.at(at, [this, engine, at] {
        if (m_engines[engine].wakeAt == at) {
            wakeEngine(engine);
        }
    });
}

void Simulation::wakeEngine(std::size_t engine)
{
    m_engines[engine].wakeAt = Instant::max();
    for (const auto &produced : m_engines[engine].model.advance(m_queue.now())) {
        std::visit([this, engine](const auto &concrete) { output(engine, concrete); }, produced);
    }
    scheduleWake(engine);
}

void Simulation::output(std::size_t /*engine*/, const pomelofake::ChunkOut &chunk)
{
    const auto request = chunk.stream.sequence;
    m_result.outcomes[request].ran = true;
    const auto &state = m_states[request];
    if (chunk.index != 0 || state.attempt != chunk.stream.attempt || !state.route) {
        return;
    }
    leaveLedger(request);
    m_queue.after(delay(), [this, request, attempt = chunk.stream.attempt] { firstChunk(request, attempt); });
}

void Simulation::output(std::size_t engine, const pomelofake::EndOut &end)
{
    const auto request = end.stream.sequence;
    m_result.outcomes[request].ran = true;
    if (!end.end.blob.empty()) {
        const auto &state = m_states[request];
        if (state.closed || state.attempt != end.stream.attempt || !state.route) {
            // The attempt is over; what it exported is not wanted.
            m_engines[engine].model.freeBlob(end.end.blob, m_queue.now());
            return;
        }
        leaveLedger(request);
    }
    m_queue.after(delay(), [this, request, attempt = end.stream.attempt, blob = end.end.blob] {
        memberEnded(request, attempt, blob);
    });
}

} // namespace benchdecisions
