#include "pomeloport/protocol/snapshotassembler.h"

#include <catch2/catch.hpp>

using namespace pomeloport;

TEST_CASE("snapshots are put together from updates and never go back to a lower configuration version")
{
    SnapshotAssembler assembler;
    const Instant now{std::chrono::seconds(10)};
    link::SnapshotUpdate update;
    update.snapshot.configVersion = 5;
    CHECK_FALSE(assembler.apply(update, now));

    update.declarationsIncluded = true;
    update.snapshot.declarations.organisations.push_back({"clipback", "token", 1.0});
    REQUIRE(assembler.apply(update, now));

    link::SnapshotUpdate later;
    later.snapshot.configVersion = 5;
    later.snapshot.backends.resize(1);
    later.snapshot.backends[0].server.name = "engine-1";
    later.snapshot.backends[0].reportAgeMs = 250;
    assembler.apply(link::CacheUpdate{"engine-1", true, {1, 2, 3}, {}});
    assembler.apply(link::CacheUpdate{"engine-1", false, {4}, {2}});
    const auto snapshot = assembler.apply(later, now);
    REQUIRE(snapshot);
    CHECK(snapshot->declarations.organisations.size() == 1);
    CHECK(snapshot->backends[0].reportedAt == now - std::chrono::milliseconds(250));
    CHECK(snapshot->backends[0].cachedBlocks == std::unordered_set<std::uint64_t>{1, 3, 4});

    link::SnapshotUpdate older;
    older.snapshot.configVersion = 4;
    older.declarationsIncluded = true;
    const auto kept = assembler.apply(older, now);
    REQUIRE(kept);
    CHECK(kept->configVersion == 5);
    CHECK(kept->declarations.organisations.size() == 1);
}
