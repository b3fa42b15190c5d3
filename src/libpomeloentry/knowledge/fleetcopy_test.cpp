#include "pomeloentry/knowledge/fleetcopy.h"

#include <catch2/catch.hpp>

using namespace pomeloentry;

TEST_CASE("a repetitive copy is compressed and decoded without loss", "[fleetcopy]")
{
    FleetCopy copy;
    copy.routing =
        DocumentCopy{{1, 9}, {1, 8}, {{"main", {{1, 8}, std::string(100'000, 'r')}}}, {{"old", 1500}}, {}, {}};
    const auto bytes = encodeFleetCopy(copy);
    CHECK(bytes.size() < 10'000);
    const auto decoded = decodeFleetCopy(bytes);
    REQUIRE(decoded);
    CHECK_FALSE(decoded->backends);
    REQUIRE(decoded->routing);
    CHECK(decoded->routing->documents.at("main").text.size() == 100'000);
    CHECK(decoded->routing->removalDelaysMs.at("old") == 1500);
}

// Copies of instances that read no evacuations, and of earlier versions, end after the backend servers.
TEST_CASE("evacuations follow the other documents of a copy", "[fleetcopy]")
{
    FleetCopy copy;
    copy.backends = DocumentCopy{{1, 9}, {1, 8}, {{"i-1", {{1, 8}, "first"}}}, {}, {}, {}};
    const auto without = encodeFleetCopy(copy);
    CHECK_FALSE(decodeFleetCopy(without)->evacuations);
    copy.evacuations = DocumentCopy{{1, 12}, {1, 11}, {{"zone-a", {{1, 11}, "{}"}}}, {}, {}, {}};
    const auto decoded = decodeFleetCopy(encodeFleetCopy(copy));
    REQUIRE(decoded);
    CHECK(decoded->backends->documents.contains("i-1"));
    REQUIRE(decoded->evacuations);
    CHECK(decoded->evacuations->documents.at("zone-a").version == StoreVersion{1, 11});
    // An empty list is told apart from none: it says that nothing is evacuated.
    copy.evacuations = DocumentCopy{{1, 12}, {}, {}, {}, {}, {}};
    REQUIRE(decodeFleetCopy(encodeFleetCopy(copy))->evacuations);
    CHECK(decodeFleetCopy(encodeFleetCopy(copy))->evacuations->asOf == StoreVersion{1, 12});
}

TEST_CASE("a copy holds what its sender retains after a restore, with the remaining times", "[fleetcopy][restore]")
{
    DocumentCopy routing{{2, 47}, {2, 47}, {{"main", {{2, 41}, "v19"}}}, {}, {}, {}};
    routing.withheld["main"] = {{{2, 41}, "v10"}, 0};
    routing.withheld["other"] = {{{2, 42}, "v11"}, 900};
    routing.removed["gone"] = {{{2, 44}, "v9"}, 500};
    routing.removalDelaysMs["main"] = 300;
    routing.subtractAge(std::chrono::milliseconds(400));
    const auto decoded = decodeFleetCopy(encodeFleetCopy({routing, {}, {}}));
    REQUIRE((decoded && decoded->routing));
    CHECK(decoded->routing->asOf == StoreVersion{2, 47});
    CHECK(decoded->routing->removalDelaysMs.at("main") == 0);
    // Without a limit.
    CHECK(decoded->routing->withheld.at("main").remainingMs == 0);
    CHECK(decoded->routing->withheld.at("main").document.text == "v10");
    CHECK(decoded->routing->withheld.at("other").remainingMs == 500);
    CHECK(decoded->routing->removed.at("gone").remainingMs == 100);
    routing.subtractAge(std::chrono::seconds(9));
    CHECK(routing.withheld.at("other").remainingMs == 1);
    CHECK(routing.removed.at("gone").remainingMs == 0);
}

TEST_CASE("foreign, truncated and corrupted bytes are rejected", "[fleetcopy]")
{
    auto bytes = encodeFleetCopy({DocumentCopy{{1, 9}, {1, 8}, {{"main", {{1, 8}, "text"}}}, {}, {}, {}}, {}, {}});
    CHECK_FALSE(decodeFleetCopy("not a copy"));
    CHECK_FALSE(decodeFleetCopy(bytes.substr(0, bytes.size() / 2)));
    bytes[bytes.size() / 2] = static_cast<char>(bytes[bytes.size() / 2] + 1);
    CHECK_FALSE(decodeFleetCopy(bytes));
}
