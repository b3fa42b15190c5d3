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

TEST_CASE("load reports of an engine reach other instances through its home instance")
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
    report.engines = home.homeEngineLoads(Start + 200ms);
    REQUIRE(report.engines.size() == 1);
    other.applyHomeReport(report, Start + 300ms);
    const auto view = other.views(Start + 400ms).at(0);
    CHECK(view.report.kvTokensUsed == 51'200);
    CHECK(view.report.prefillTokensPerSecond == 8000);
    CHECK(view.report.decodeStepSeconds == Approx(0.03).margin(1e-4));
    CHECK(view.report.loaded == std::vector<std::string>{"yard@2"});
    CHECK(view.reportAgeMs == 300);
    CHECK(view.report.epoch == home.views(Start).at(0).report.epoch);
}

TEST_CASE("a server is leaving if the platform list or its own report says so, and gone after three failed reads")
{
    BackendTable table({"entry-1", 1}, "queensland");
    table.setDeclarations(twoEngines());
    table.setInstances({instance("entry-1")});
    table.setListedLeaving({BackendTable::backendNameHash("engine-1")});
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
    report.engines = table.homeEngineLoads(Start);
    other.applyHomeReport(report, Start);
    report.engines = table.homeEngineLoads(Start + 1s);
    other.applyHomeReport(report, Start + 1s);
    CHECK(other.views(Start).at(0).state == BackendState::Gone);
    table.reported(reportOf("engine-1"), Start + 1s);
    report.engines = table.homeEngineLoads(Start + 2s);
    other.applyHomeReport(report, Start + 2s);
    CHECK(other.views(Start).at(0).state == BackendState::Live);
}

TEST_CASE("tokens reserved for groups by all coordinators are added up in the backend views")
{
    BackendTable table({"entry-2", 1}, "queensland");
    table.setDeclarations(twoEngines());
    auto entries = BackendTable::compactReservedTokens({{"engine-1", 300'000}, {"engine-2", 0}});
    REQUIRE(entries.size() == 1);
    const auto again = BackendTable::compactReservedTokens({{"engine-1", 1}});
    entries.insert(entries.end(), again.begin(), again.end());
    table.setReservedTokens(entries);
    const auto views = table.views(Start);
    CHECK(views.at(0).reservedGroupTokens >= 300'001);
    CHECK(views.at(0).reservedGroupTokens <= 300'001 + 512);
    CHECK(views.at(1).reservedGroupTokens == 0);
    table.setReservedTokens({});
    CHECK(table.views(Start).at(0).reservedGroupTokens == 0);
}
