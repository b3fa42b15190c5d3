#include "pomeloport/coordination/discovery.h"

#include <catch2/catch.hpp>

using namespace pomeloport;

namespace
{

InstanceView instance(const std::string &name, const std::string &domain, InstanceState state, double load)
{
    InstanceView view;
    view.id = {name, 1};
    view.region = std::string("r");
    view.failureDomain = domain;
    view.httpAddress = std::string("127.42.0.1:").append(name);
    view.state = state;
    view.load = load;
    view.configVersion = 1;
    return view;
}

std::vector<std::string> names(const DiscoveryAnswer &answer)
{
    std::vector<std::string> result;
    for (const auto &endpoint : answer.endpoints) {
        result.push_back(endpoint.instance);
    }
    return result;
}

} // namespace

TEST_CASE("discovery omits instances that admit no work and returns suspects only as a last resort")
{
    Snapshot snapshot;
    snapshot.admitting = true;
    snapshot.self = {"1", 1};
    snapshot.instances = {instance("1", "a", InstanceState::Alive, 0),
                          instance("2", "a", InstanceState::Leaving, 0),
                          instance("3", "a", InstanceState::Dead, 0),
                          instance("4", "a", InstanceState::Suspect, 0),
                          instance("5", "a", InstanceState::Alive, 0)};
    snapshot.instances.back().configVersion = 0;
    REQUIRE(names(discover(snapshot, {})) == std::vector<std::string>{"1"});
    snapshot.admitting = false;
    REQUIRE(names(discover(snapshot, {})) == std::vector<std::string>{"4"});
}

TEST_CASE("discovery prefers the caller's region, then instances in its failure domain and idle ones")
{
    Snapshot snapshot;
    snapshot.declarations.limits.discoveryLifetimeMs = 7000;
    snapshot.instances = {instance("1", "a", InstanceState::Alive, 0.9),
                          instance("2", "b", InstanceState::Alive, 0),
                          instance("3", "a", InstanceState::Alive, 0),
                          instance("4", "a", InstanceState::Alive, 0)};
    snapshot.instances.back().region = std::string("far-away");
    const auto answer = discover(snapshot, {"r", "a"});
    REQUIRE(names(answer) == std::vector<std::string>{"3", "2", "1", "4"});
    REQUIRE(answer.endpoints[0].weight == 400);
    REQUIRE(answer.endpoints[1].weight == 100);
    REQUIRE(answer.endpoints[2].weight == 40);
    REQUIRE(answer.lifetimeSeconds == 7);
    REQUIRE(discover(snapshot, {"r", "a", 0, 2}).endpoints.size() == 2);
}
