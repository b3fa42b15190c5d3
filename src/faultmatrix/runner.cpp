#include "runner.h"

#include "injector.h"
#include "traffic.h"
#include "world.h"

#include <algorithm>
#include <atomic>
#include <thread>

namespace faultmatrix
{

using namespace pomeloport;

namespace
{

constexpr Duration WarmUp = std::chrono::seconds(5);
/// Time in which faults happen and heal.
constexpr Duration FaultyTime = std::chrono::seconds(28);
/// Time after the last fault in which everything has to be well again.
constexpr Duration QuietTime = std::chrono::seconds(15);
/// Time in which the last resends have to end.
constexpr Duration LastTime = std::chrono::seconds(25);
constexpr unsigned Threads = 4;

void checkMemory(World &world)
{
    for (const auto &[name, backend] : world.backends()) {
        if (!backend->isEngine()) {
            continue;
        }
        const EngineHoldings holdings = backend->engine().holdings();
        if (!holdings.holdings.empty() || backend->engine().kvTokensUsed() != 0) {
            world.truth().violate(name + " still holds memory for "
                                  + (holdings.holdings.empty() ? "nobody" : toString(holdings.holdings[0].stream)));
        }
    }
}

void checkInstances(World &world)
{
    for (const Instance &instance : world.instances()) {
        if (!instance.router->idle()) {
            world.truth().violate(instance.name + " still has open requests");
        }
        if (!instance.router->admitting()) {
            world.truth().violate(instance.name + " does not admit although all is well");
        }
        const std::uint64_t version = instance.controller->plane().config().version();
        if (version != world.truth().configVersion()) {
            world.truth().violate(instance.name + " has configuration " + std::to_string(version) + " at the end");
        }
    }
}

/// Engines show what the accepted configuration declares.
void checkOrders(World &world)
{
    const auto yaml = world.instances()[0].controller->plane().config().yaml();
    if (!yaml) {
        return;
    }
    for (const BackendServer &server : world.declarations(*yaml).backends) {
        if (server.kind != BackendKind::Engine) {
            continue;
        }
        std::vector<std::string> loaded = world.backend(server.name).engine().loadReport(world.clock().now()).loaded;
        std::vector<std::string> wanted = server.load;
        std::sort(loaded.begin(), loaded.end());
        std::sort(wanted.begin(), wanted.end());
        if (loaded != wanted) {
            world.truth().violate(server.name + " does not hold what is declared");
        }
    }
}

} // namespace

std::string Cell::name() const
{
    std::string text;
    for (const Fault fault : faults) {
        text += text.empty() ? "" : "+";
        text += nameOf(fault);
    }
    return text + '/' + std::string(nameOf(step)) + '/' + std::string(nameOf(work));
}

std::optional<Cell> parseCell(std::string_view text)
{
    const auto first = text.find('/');
    const auto second = text.find('/', first + 1);
    if (first == std::string_view::npos || second == std::string_view::npos) {
        return std::nullopt;
    }
    const auto step = valueOf<Step>(text.substr(first + 1, second - first - 1));
    const auto work = valueOf<Work>(text.substr(second + 1));
    if (!step || !work) {
        return std::nullopt;
    }
    Cell cell{{}, *step, *work};
    std::string_view names = text.substr(0, first);
    while (!names.empty()) {
        const auto end = std::min(names.find('+'), names.size());
        const auto fault = valueOf<Fault>(names.substr(0, end));
        if (!fault) {
            return std::nullopt;
        }
        cell.faults.push_back(*fault);
        names.remove_prefix(std::min(end + 1, names.size()));
    }
    return cell;
}

CellResult runCell(const Cell &cell, std::uint64_t seed, Mutant mutant)
{
    World world(seed, mutant);
    VirtualClock &clock = world.clock();
    clock.runUntil(clock.now() + WarmUp);
    if (cell.faults.size() > 1) {
        world.truth().allowLearningByRefusal();
    }
    Traffic traffic(world, cell.work, cell.step);
    Injector injector(world, traffic, cell.faults, cell.step, cell.work);
    world.setStepHook([&](Step step, const StepContext &context) {
        injector.stepReached(step, context);
        traffic.stepReached(step, context);
    });
    traffic.start();
    clock.runUntil(clock.now() + FaultyTime);
    injector.heal();
    clock.runUntil(clock.now() + QuietTime);
    traffic.settle();
    clock.runUntil(clock.now() + LastTime);
    world.truth().checkSendings();
    traffic.check(cell.faults);
    checkMemory(world);
    checkInstances(world);
    checkOrders(world);
    return {injector.acted(), world.truth().violations(), clock.lines()};
}

std::vector<Cell> runsOf(const std::vector<Fault> &faults, Step step)
{
    std::vector<Cell> cells;
    for (const Work work : worksAt(step)) {
        cells.push_back({faults, step, work});
    }
    return cells;
}

std::vector<CellResult> runCells(const std::vector<Cell> &cells, std::uint64_t seed, Mutant mutant)
{
    std::vector<CellResult> results(cells.size());
    std::atomic<std::size_t> next = 0;
    const auto work = [&] {
        for (std::size_t index = next++; index < cells.size(); index = next++) {
            results[index] = runCell(cells[index], seed, mutant);
        }
    };
    std::vector<std::jthread> threads;
    for (unsigned i = 0; i < Threads; ++i) {
        threads.emplace_back(work);
    }
    threads.clear();
    return results;
}

} // namespace faultmatrix
