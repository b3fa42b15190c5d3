#include "pomeloport/coordination/groupcoordinator.h"

#include <catch2/catch.hpp>

using namespace pomeloport;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint64_t EngineTokens = 400'000;

std::shared_ptr<Snapshot> enginesWithUse(const std::vector<std::uint64_t> &used)
{
    auto snapshot = std::make_shared<Snapshot>();
    for (std::size_t index = 0; index < used.size(); ++index) {
        BackendView view;
        view.server.name = "e";
        view.server.name += std::to_string(index);
        view.server.kvTokens = EngineTokens;
        view.server.load = {"reader"};
        view.report.kvTokensTotal = EngineTokens;
        view.report.kvTokensUsed = used[index];
        snapshot->backends.push_back(view);
    }
    return snapshot;
}

GroupNeed needOf(std::uint64_t sequence, std::uint64_t tokens, const std::string &owner = "entry-1")
{
    GroupNeed need;
    need.stream = {{owner, 1}, sequence, 1};
    need.pool.model = "reader";
    need.promptTokens = tokens - 1'000;
    need.tokens = tokens;
    need.deadline = Instant{} + 600s;
    return need;
}

std::vector<Route> grantedRoutes(const std::vector<GroupAction> &actions)
{
    std::vector<Route> routes;
    for (const auto &action : actions) {
        if (const auto *grant = std::get_if<groupaction::Grant>(&action)) {
            routes.push_back(grant->route);
        }
    }
    return routes;
}

const Failure *refusalIn(const std::vector<GroupAction> &actions)
{
    const auto *refuse = actions.empty() ? nullptr : std::get_if<groupaction::Refuse>(&actions.front());
    return refuse == nullptr ? nullptr : &refuse->failure;
}

} // namespace

TEST_CASE("a group covers the whole prompt with the fewest engines that can hold it")
{
    GroupCoordinator coordinator({}, 1);
    coordinator.handle(groupevent::EnginesChanged{enginesWithUse({0, 0, 0, 0, 0})}, Instant{});
    const auto routes = grantedRoutes(coordinator.handle(groupevent::Reserve{needOf(1, 1'000'000)}, Instant{}));
    REQUIRE(routes.size() == 1);
    REQUIRE(routes[0].members.size() == 3);
    std::uint64_t end = 0;
    for (const auto &member : routes[0].members) {
        REQUIRE(member.segmentBegin == end);
        REQUIRE(member.segmentEnd - member.segmentBegin <= EngineTokens);
        end = member.segmentEnd;
    }
    REQUIRE(end == 999'000);
}

TEST_CASE("reservations never exceed the memory of an engine, and waiting prompts are granted groups in order")
{
    GroupCoordinator coordinator({}, 1);
    coordinator.handle(groupevent::EnginesChanged{enginesWithUse({0, 0, 0, 0})}, Instant{});
    std::map<std::uint64_t, Route> held;
    std::vector<std::uint64_t> order;
    const auto recordGrants = [&](const std::vector<GroupAction> &actions) {
        for (const auto &action : actions) {
            const auto &grant = std::get<groupaction::Grant>(action);
            held[grant.stream.sequence] = grant.route;
            order.push_back(grant.stream.sequence);
        }
    };
    for (std::uint64_t sequence = 1; sequence <= 6; ++sequence) {
        recordGrants(coordinator.handle(groupevent::Reserve{needOf(sequence, 900'000)}, Instant{}));
    }
    for (int round = 0; round < 10 && !held.empty(); ++round) {
        std::map<std::string, std::uint64_t> taken;
        for (const auto &[sequence, route] : held) {
            for (const auto &member : route.members) {
                taken[member.backend] += member.segmentEnd - member.segmentBegin;
            }
        }
        for (const auto &[engine, tokens] : taken) {
            REQUIRE(tokens <= EngineTokens);
        }
        const auto ended = held.begin()->first;
        held.erase(ended);
        recordGrants(coordinator.handle(groupevent::Release{{{"entry-1", 1}, ended, 1}}, Instant{} + 1s));
    }
    REQUIRE(order == std::vector<std::uint64_t>{1, 2, 3, 4, 5, 6});
    REQUIRE(coordinator.setAside().empty());
}

TEST_CASE("a prompt that no group can hold is refused immediately as not run")
{
    GroupCoordinator coordinator({}, 1);
    coordinator.handle(groupevent::EnginesChanged{enginesWithUse({0, 0})}, Instant{});
    const auto *refusal = refusalIn(coordinator.handle(groupevent::Reserve{needOf(1, 900'000)}, Instant{}));
    REQUIRE(refusal != nullptr);
    REQUIRE(refusal->reason == ReasonCode::PromptTooLarge);
    REQUIRE(refusal->verdict == Verdict::NotRun);
    REQUIRE(coordinator.waiting() == 0);
}

TEST_CASE("memory is reserved for the oldest prompt while it waits, and later prompts do not starve it")
{
    GroupCoordinator coordinator({}, 1);
    coordinator.handle(groupevent::EnginesChanged{enginesWithUse({350'000, 350'000, 350'000, 0, 0, 0})}, Instant{});
    REQUIRE(grantedRoutes(coordinator.handle(groupevent::Reserve{needOf(1, 1'400'000)}, Instant{})).empty());
    REQUIRE_FALSE(coordinator.setAside().empty());
    REQUIRE(grantedRoutes(coordinator.handle(groupevent::Reserve{needOf(2, 1'000'000)}, Instant{})).empty());
    const auto routes =
        grantedRoutes(coordinator.handle(groupevent::EnginesChanged{enginesWithUse({0, 0, 0, 0, 0, 0})}, Instant{}));
    REQUIRE_FALSE(routes.empty());
    REQUIRE(routes.front().members.back().segmentEnd == 1'399'000);
}

TEST_CASE("a reservation ends when its owner ends, its deadline passes or a member is lost")
{
    GroupCoordinator coordinator({}, 1);
    coordinator.handle(groupevent::EnginesChanged{enginesWithUse({0, 0, 0, 0, 0, 0})}, Instant{});
    coordinator.handle(groupevent::Reserve{needOf(1, 900'000, "entry-1")}, Instant{});
    REQUIRE(coordinator.granted() == 1);
    coordinator.handle(groupevent::OwnerGone{{"entry-1", 1}}, Instant{});
    REQUIRE(coordinator.granted() == 0);
    coordinator.handle(groupevent::Reserve{needOf(2, 900'000)}, Instant{});
    const auto engineLost = enginesWithUse({0, 0, 0});
    engineLost->backends[0].state = BackendState::Gone;
    const auto actions = coordinator.handle(groupevent::EnginesChanged{engineLost}, Instant{});
    REQUIRE(std::holds_alternative<groupaction::Revoke>(actions.front()));
    REQUIRE(coordinator.granted() == 0);
    coordinator.handle(groupevent::EnginesChanged{enginesWithUse({0, 0, 0})}, Instant{});
    coordinator.handle(groupevent::Reserve{needOf(3, 900'000)}, Instant{});
    REQUIRE(coordinator.granted() == 1);
    coordinator.handle(groupevent::Tick{}, Instant{} + 601s);
    REQUIRE(coordinator.setAside().empty());
}

TEST_CASE("a new coordinator adopts grants, and refuses a waiting prompt once its deadline cannot be met")
{
    GroupCoordinator coordinator({}, 1);
    coordinator.handle(groupevent::EnginesChanged{enginesWithUse({0, 0, 0})}, Instant{});
    const auto granted = grantedRoutes(coordinator.handle(groupevent::Reserve{needOf(1, 1'000'000)}, Instant{}));
    GroupCoordinator successor({}, 1000);
    successor.handle(groupevent::EnginesChanged{enginesWithUse({0, 0, 0})}, Instant{});
    successor.handle(groupevent::Adopt{needOf(1, 1'000'000), granted.front()}, Instant{});
    REQUIRE(grantedRoutes(successor.handle(groupevent::Reserve{needOf(2, 1'000'000)}, Instant{})).empty());
    const auto *refusal = refusalIn(successor.handle(groupevent::Tick{}, Instant{} + 599s));
    REQUIRE(refusal != nullptr);
    REQUIRE(refusal->reason == ReasonCode::GroupUnavailable);
    REQUIRE(refusal->verdict == Verdict::NotRun);
}
