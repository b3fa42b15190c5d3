#include "pomeloport/coordination/rendezvous.h"

#include <catch2/catch.hpp>

using namespace pomeloport;

TEST_CASE("rendezvous hashing moves only the keys of a member that leaves")
{
    const std::vector<std::string> all{"entry-1", "entry-2", "entry-3", "entry-4"};
    const std::vector<std::string> fewer{"entry-1", "entry-2", "entry-4"};
    std::size_t moved = 0;
    for (int key = 0; key < 1'000; ++key) {
        const auto name = "engine-" + std::to_string(key);
        const auto before = rendezvousOwner(name, all);
        const auto after = rendezvousOwner(name, fewer);
        if (before != "entry-3") {
            REQUIRE(before == after);
        } else {
            ++moved;
        }
    }
    REQUIRE(moved > 150);
    REQUIRE(moved < 350);
    REQUIRE(rendezvousOwner("engine-1", {}).empty());
}

TEST_CASE("the home of an engine is an alive instance of its failure domain, else of its region, else any")
{
    BackendServer engine;
    engine.name = "engine-1";
    engine.region = "west";
    engine.failureDomain = "west-a";
    std::vector<InstanceView> instances(3);
    instances[0].id.instance = "far";
    instances[0].region = "east";
    instances[1].id.instance = "near";
    instances[1].region = "west";
    instances[1].failureDomain = "west-b";
    instances[2].id.instance = "same";
    instances[2].region = "west";
    instances[2].failureDomain = "west-a";
    REQUIRE(homeOf(engine, instances)->id.instance == "same");
    instances[2].state = InstanceState::Suspect;
    REQUIRE(homeOf(engine, instances)->id.instance == "near");
    instances[1].state = InstanceState::Dead;
    REQUIRE(homeOf(engine, instances)->id.instance == "far");
    instances[0].state = InstanceState::Leaving;
    REQUIRE(homeOf(engine, instances) == nullptr);
}
