#include "pomelofake/controlnetwork.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace pomelofake;
using namespace pomeloport;
using namespace std::chrono_literals;

namespace
{

ControlNetworkSettings small(double loss = 0, std::uint64_t seed = 1)
{
    ControlNetworkSettings settings;
    settings.loss = loss;
    settings.seed = seed;
    return settings;
}

bool allAdmit(ControlNetwork &network)
{
    return std::ranges::all_of(network.nodes(),
                               [](const auto &node) { return node.running && node.plane->config().admitting(); });
}

/// Starts nine instances with a configuration and waits until all admit and know each other.
std::uint64_t bringUp(ControlNetwork &network)
{
    const auto version = network.writeConfig("organisations: []\n");
    network.startAll(100ms);
    REQUIRE(network.runUntil([&] { return allAdmit(network) && network.agreed(); }, 10s));
    return version;
}

InstanceState stateOf(const ControlNetwork::Node &observer, const std::string &name)
{
    const auto *record = observer.plane->membership().find(name);
    return record ? record->state : InstanceState::Dead;
}

} // namespace

TEST_CASE("instances find each other and a change is in force everywhere within three seconds")
{
    const double loss = GENERATE(0.0, 0.1);
    const std::uint64_t seed = GENERATE(1, 2, 3);
    CAPTURE(loss, seed);
    ControlNetwork network(small(loss, seed));
    bringUp(network);
    for (int edit = 0; edit < 5; ++edit) {
        network.run(2s);
        const auto version = network.writeConfig("organisations: []\n# edit " + std::to_string(edit) + "\n");
        REQUIRE(version != 0);
        CHECK(network.runUntil([&] { return network.inForce(version); }, 3s));
    }
    for (const auto &node : network.nodes()) {
        CHECK(std::ranges::is_sorted(node.adopted, std::less_equal<>()));
    }
}

TEST_CASE("a dead instance is detected, a live one is not buried by datagram loss")
{
    ControlNetwork network(small(0.1, 4));
    bringUp(network);
    const bool buried = network.runUntil(
        [&] {
            return std::ranges::any_of(network.nodes(), [&](const auto &observer) {
                return std::ranges::any_of(network.nodes(), [&](const auto &other) {
                    return stateOf(observer, other.record.id.instance) == InstanceState::Dead;
                });
            });
        },
        120s);
    CHECK_FALSE(buried);
    network.kill(4);
    CHECK(network.runUntil(
        [&] {
            return std::ranges::all_of(network.nodes(), [&](const auto &node) {
                return !node.running || stateOf(node, "entry-4") == InstanceState::Dead;
            });
        },
        10s));
    network.start(4);
    CHECK(network.runUntil([&] { return network.agreed(); }, 10s));
}

TEST_CASE("the parts of a partition find each other again")
{
    ControlNetwork network(small());
    bringUp(network);
    for (auto &node : network.nodes()) {
        node.island = node.record.failureDomain.ends_with("0") ? 1 : 0;
    }
    network.run(10min);
    CHECK(stateOf(network.nodes()[0], "entry-1") == InstanceState::Dead);
    for (auto &node : network.nodes()) {
        node.island = 0;
    }
    CHECK(network.runUntil([&] { return network.agreed(); }, 30s));
}

TEST_CASE("a store outage stops nobody, and a fresh instance starts from its peers")
{
    ControlNetwork network(small());
    bringUp(network);
    const auto version = network.writeConfig("organisations: []\n# latest\n");
    REQUIRE(network.runUntil([&] { return network.inForce(version); }, 3s));
    PlatformFaults outage;
    outage.outage = true;
    network.platform().setFaults(outage, network.now());
    CHECK_FALSE(network.runUntil([&] { return !allAdmit(network); }, 10min));
    network.start(3);
    CHECK(network.runUntil([&] { return network.nodes()[3].plane->config().admitting(); }, 10s));
    CHECK(network.nodes()[3].adopted == std::vector<std::uint64_t>{version});
}

TEST_CASE("a fresh instance with a stale read of the store does not admit with an old version")
{
    ControlNetwork network(small());
    bringUp(network);
    network.run(5s);
    const auto version = network.writeConfig("organisations: []\n# new\n");
    REQUIRE(network.runUntil([&] { return network.inForce(version); }, 3s));
    PlatformFaults stale;
    stale.staleReads = 4s;
    network.platform().setFaults(stale, network.now());
    network.start(5);
    auto &fresh = *network.nodes()[5].plane;
    REQUIRE(network.runUntil([&] { return fresh.config().admitting(); }, 10s));
    CHECK(fresh.config().version() == version);
}

TEST_CASE("an instance without word from store and peers stops admitting within three seconds")
{
    ControlNetwork network(small());
    bringUp(network);
    auto &alone = network.nodes()[7];
    alone.island = 1;
    network.run(1s);
    CHECK(alone.plane->config().admitting());
    alone.reachesStore = false;
    CHECK(network.runUntil([&] { return !alone.plane->config().admitting(); }, 3s));
    const auto version = network.writeConfig("organisations: []\n# unseen\n");
    network.run(10s);
    CHECK_FALSE(alone.plane->config().admitting());
    alone.island = 0;
    alone.reachesStore = true;
    CHECK(network.runUntil([&] { return alone.plane->config().admitting(); }, 15s));
    CHECK(alone.plane->config().version() == version);
}

TEST_CASE("an instance that only reaches the store goes on and hears of changes")
{
    ControlNetwork network(small());
    bringUp(network);
    network.nodes()[7].island = 1;
    network.run(10s);
    CHECK(network.nodes()[7].plane->config().admitting());
    const auto version = network.writeConfig("organisations: []\n# by store\n");
    CHECK(network.runUntil([&] { return network.inForce(version); }, 3s));
}

TEST_CASE("regions know each other by summaries only")
{
    auto settings = small();
    settings.regions = 3;
    settings.instances = 27;
    ControlNetwork network(settings);
    bringUp(network);
    const auto known = [&] {
        return std::ranges::all_of(network.nodes(), [](const auto &node) {
            const auto regions = node.plane->membership().regions();
            return regions.size() == 2 && std::ranges::all_of(regions, [](const auto &region) {
                       return region.liveInstances == 9 && region.contacts.size() == 3;
                   });
        });
    };
    CHECK(network.runUntil(known, 60s));
    CHECK(network.nodes()[0].plane->instances().size() == 9);
}

TEST_CASE("an urgent report reaches every instance without waiting for a round")
{
    ControlNetwork network(small());
    bringUp(network);
    control::InstanceReport report;
    report.configVersion = 77;
    const auto &sender = network.nodes()[0];
    auto actions = sender.plane->handle(controlevent::OwnReport{report, true}, network.now());
    std::size_t sent = 0;
    for (const auto &action : actions) {
        const auto *message = std::get_if<controlaction::Send>(&action);
        const auto *share = message ? std::get_if<control::LoadExchange>(&message->message) : nullptr;
        sent += share && share->reports.at(0).configVersion == 77 ? 1 : 0;
    }
    CHECK(sent == 8);
}

TEST_CASE("load reports of all instances reach all instances, also when datagrams are lost")
{
    ControlNetwork network(small(0.1, 5));
    const auto version = bringUp(network);
    const auto informed = [&] {
        return std::ranges::all_of(network.nodes(), [&](const auto &node) {
            const auto views = node.plane->instances();
            return views.size() == 9 && std::ranges::all_of(views, [&](const auto &view) {
                       return view.configVersion == version && view.load > 0;
                   });
        });
    };
    REQUIRE(network.runUntil(informed, 10s));
    network.run(10s);
    for (const auto &node : network.nodes()) {
        for (const auto &[name, held] : node.plane->load().reports()) {
            CHECK(network.now() - held.madeAt < 3s);
        }
    }
}
