#include "suite.h"

#include "pomeloentry/decisions/serverpace.h"
#include "pomeloport/coordination/placement.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <memory>
#include <vector>

namespace benchdecisions
{

using namespace pomeloport;
using namespace std::chrono_literals;

namespace
{

constexpr std::array<std::size_t, 3> FleetSizes{20, 371, 2'600};
constexpr std::size_t Decisions = 20'000;
// Doubling the fleet may add at most as much as a logarithm does: log2(2600) / log2(20).
constexpr double LogarithmicGrowth = 2.63;

std::shared_ptr<const Snapshot> fleetOf(std::size_t engines)
{
    auto snapshot = std::make_shared<Snapshot>();
    snapshot->admitting = true;
    for (std::size_t index = 0; index < engines; ++index) {
        BackendView view;
        view.server.name = "engine-";
        view.server.name += std::to_string(index);
        view.server.kvTokens = 400'000;
        view.server.load = {"reader"};
        view.report.sequence = 1;
        view.report.epoch = 1;
        view.report.kvTokensTotal = view.server.kvTokens;
        view.report.loaded = view.server.load;
        snapshot->backends.push_back(std::move(view));
    }
    return snapshot;
}

struct Cost
{
    double seconds = 0;
    double examined = 0;
};

Cost costOf(std::size_t engines)
{
    Placement placement(1);
    placement.update(fleetOf(engines), Instant{});
    RequestSpec request;
    request.model = "reader";
    request.promptTokens = 2'000;
    request.maxTokens = 100;
    request.deadline = Instant{} + 60s;
    request.prefixBlocks = {1, 2, 3};
    // The first decision after a snapshot prepares the pool; its cost is spread over the snapshot's lifetime.
    placement.choose({&request, 1, {}}, Instant{});
    const auto examinedBefore = placement.candidatesExamined();
    const auto begin = std::chrono::steady_clock::now();
    for (std::size_t decision = 0; decision < Decisions; ++decision) {
        request.prefixBlocks = {decision, decision + 1, decision + 2};
        placement.choose({&request, 1, {}}, Instant{} + Duration(decision));
    }
    const std::chrono::duration<double> taken = std::chrono::steady_clock::now() - begin;
    const auto examined = placement.candidatesExamined() - examinedBefore;
    return {taken.count() / Decisions, static_cast<double>(examined) / Decisions};
}

constexpr std::array<std::size_t, 3> ServerCounts{19, 371, 2'600};
constexpr std::size_t PaceQuestions = 1'000'000;

/// Seconds that it takes to ask for a cold server whether it may get a request, and to record one.
double paceCostOf(std::size_t servers)
{
    pomeloentry::ServerPace pace;
    pomeloentry::SenderStanding standing;
    standing.known = true;
    standing.mayUseShare = true;
    standing.members = 300;
    standing.gateways = 8;
    pace.setSenders(standing, Instant{});
    std::vector<pomeloentry::ListedServer> listed;
    for (std::size_t key = 1; key <= servers; ++key) {
        listed.push_back({static_cast<std::uint32_t>(key), 12, 44, Instant{}, Duration(1h), {}});
    }
    pace.list(listed, Instant{});
    const auto begin = std::chrono::steady_clock::now();
    for (std::size_t question = 0; question < PaceQuestions; ++question) {
        const auto key = static_cast<std::uint32_t>(question % servers + 1);
        const auto now = Instant{} + Duration(question);
        if (pace.limitPermits(key, now)) {
            pace.sent(key, now);
        }
    }
    const std::chrono::duration<double> taken = std::chrono::steady_clock::now() - begin;
    return taken.count() / PaceQuestions;
}

} // namespace

void measureDecisionCost(Report &report)
{
    const auto paceBase = paceCostOf(ServerCounts.front());
    for (const auto count : ServerCounts) {
        const auto cost = paceCostOf(count);
        const auto fleet = std::to_string(count).append("_servers");
        report.info({"pace_microseconds", "cold", fleet, "ours", cost * 1e6, {}, "info"});
        Line time{"pace_time_ratio", "cold", fleet, "ours", cost / paceBase, {}, {}};
        report.atMost(std::move(time), LogarithmicGrowth, true);
    }
    const auto base = costOf(FleetSizes.front());
    for (const auto size : FleetSizes) {
        const auto cost = costOf(size);
        const auto fleet = std::to_string(size).append("_engines");
        report.info({"decision_microseconds", "any", fleet, "ours", cost.seconds * 1e6, {}, "info"});
        Line examined{"decision_candidates_ratio", "any", fleet, "ours", cost.examined / base.examined, {}, {}};
        Line time{"decision_time_ratio", "any", fleet, "ours", cost.seconds / base.seconds, {}, {}};
        report.atMost(std::move(examined), LogarithmicGrowth, true);
        report.atMost(std::move(time), LogarithmicGrowth, true);
    }
}

} // namespace benchdecisions
