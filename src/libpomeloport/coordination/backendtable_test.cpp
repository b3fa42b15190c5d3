#include "pomeloport/coordination/backendtable.h"

#include <catch2/catch.hpp>

using namespace pomeloport;
using namespace std::chrono_literals;

namespace
{

const Instant Start{100s};

Declarations twoEngines()
{
    Declarations declarations;
    for (const auto *name : {"engine-1", "engine-2"}) {
        BackendServer server;
        server.name = name;
        server.kvTokens = 100'000;
        server.load = {"ledger@1", "yard@2"};
        declarations.backends.push_back(server);
    }
    BackendServer elsewhere;
    elsewhere.name = "engine-3";
    elsewhere.region = "western";
    declarations.backends.push_back(elsewhere);
    return declarations;
}

InstanceView instance(const std::string &name)
{
    InstanceView view;
    view.id = {name, 1};
    return view;
}

LoadReport reportOf(const std::string &engine)
{
    LoadReport report;
    report.engine = engine;
    report.sequence = 9;
    report.epoch = 1'700'000'000'123;
    report.kvTokensUsed = 51'200;
    report.queuedPrefillTokens = 25'600;
    report.runningStreams = 3;
    report.prefillTokensPerSecond = 8000;
    report.decodeStepSeconds = 0.03;
    report.loaded = {"yard@2", "unknown@7"};
    return report;
}

} // namespace

TEST_CASE("reports travel from an engine's home to the other instances")
{
    BackendTable home({"entry-1", 1}, "queensland");
    BackendTable other({"entry-2", 1}, "queensland");
    for (auto *table : {&home, &other}) {
        table->setDeclarations(twoEngines());
        table->setInstances({instance("entry-1")});
    }
    REQUIRE(home.homeServers().size() == 2);
    CHECK(other.homeServers().empty());
    home.reported(reportOf("engine-1"), Start);
    control::InstanceReport report;
    report.engines = home.ownLoads(Start + 200ms);
    REQUIRE(report.engines.size() == 1);
    other.heard(report, Start + 300ms);
    const auto view = other.views(Start + 400ms).at(0);
    CHECK(view.report.kvTokensUsed == 51'200);
    CHECK(view.report.prefillTokensPerSecond == 8000);
    CHECK(view.report.decodeStepSeconds == Approx(0.03).margin(1e-4));
    CHECK(view.report.loaded == std::vector<std::string>{"yard@2"});
    CHECK(view.reportAgeMs == 300);
    CHECK(view.report.epoch == home.views(Start).at(0).report.epoch);
}

TEST_CASE("a server leaves by list or by its own report, and is gone when it does not answer")
{
    BackendTable table({"entry-1", 1}, "queensland");
    table.setDeclarations(twoEngines());
    table.setInstances({instance("entry-1")});
    table.setListedLeaving({BackendTable::listedName("engine-1")});
    CHECK(table.views(Start).at(0).state == BackendState::Leaving);
    CHECK(table.takeStateChange());
    auto leaving = reportOf("engine-2");
    leaving.leaving = true;
    table.reported(leaving, Start);
    CHECK(table.views(Start).at(1).state == BackendState::Leaving);
    table.setListedLeaving({});
    CHECK(table.views(Start).at(0).state == BackendState::Live);
    for (int i = 0; i < 3; ++i) {
        CHECK(table.views(Start).at(0).state == BackendState::Live);
        table.unreachable("engine-1");
    }
    CHECK(table.views(Start).at(0).state == BackendState::Gone);
    BackendTable other({"entry-2", 1}, "queensland");
    other.setDeclarations(twoEngines());
    other.setInstances({instance("entry-1")});
    control::InstanceReport report;
    report.engines = table.ownLoads(Start);
    other.heard(report, Start);
    report.engines = table.ownLoads(Start + 1s);
    other.heard(report, Start + 1s);
    CHECK(other.views(Start).at(0).state == BackendState::Gone);
    table.reported(reportOf("engine-1"), Start + 1s);
    report.engines = table.ownLoads(Start + 2s);
    other.heard(report, Start + 2s);
    CHECK(other.views(Start).at(0).state == BackendState::Live);
}

TEST_CASE("memory set aside for groups reaches the views of other instances")
{
    BackendTable table({"entry-2", 1}, "queensland");
    table.setDeclarations(twoEngines());
    auto entries = BackendTable::compactSetAside({{"engine-1", 300'000}, {"engine-2", 0}});
    REQUIRE(entries.size() == 1);
    const auto again = BackendTable::compactSetAside({{"engine-1", 1}});
    entries.insert(entries.end(), again.begin(), again.end());
    table.setSetAside(entries);
    const auto views = table.views(Start);
    CHECK(views.at(0).reservedGroupTokens >= 300'001);
    CHECK(views.at(0).reservedGroupTokens <= 300'001 + 512);
    CHECK(views.at(1).reservedGroupTokens == 0);
    table.setSetAside({});
    CHECK(table.views(Start).at(0).reservedGroupTokens == 0);
}
