#include "pomeloport/protocol/linkmessages.h"

#include <catch2/catch.hpp>

using namespace pomeloport;

namespace
{

link::SnapshotUpdate sampleUpdate()
{
    link::SnapshotUpdate update;
    update.declarationsIncluded = true;
    update.madeAtUs = 7;
    update.snapshot.self = {"entry-1", 1'700'000'000'000};
    update.snapshot.configVersion = 300;
    update.snapshot.declarations.organisations.push_back({"clipback", "secret", 2.5});
    BackendView backend;
    backend.server.name = "engine-1";
    backend.server.labels = {{"tier", "large"}};
    backend.state = BackendState::Leaving;
    backend.report.decodeStepSeconds = 0.03;
    backend.cachedBlocks = {1, 0xffffffffffffffff};
    update.snapshot.backends.push_back(backend);
    return update;
}

} // namespace

TEST_CASE("link messages survive encoding")
{
    const auto decoded = decodeLinkMessage(encode(LinkMessage(sampleUpdate())));
    REQUIRE(decoded);
    const auto &snapshot = std::get<link::SnapshotUpdate>(*decoded).snapshot;
    CHECK(std::get<link::SnapshotUpdate>(*decoded).madeAtUs == 7);
    CHECK(snapshot.self.incarnation == 1'700'000'000'000);
    CHECK(snapshot.declarations.organisations.at(0).shareWeight == 2.5);
    CHECK(snapshot.backends.at(0).state == BackendState::Leaving);
    CHECK(snapshot.backends.at(0).report.decodeStepSeconds == 0.03);
    CHECK(snapshot.backends.at(0).cachedBlocks.contains(0xffffffffffffffff));
}

TEST_CASE("truncated, extended and forged link messages are rejected")
{
    const auto whole = encode(LinkMessage(sampleUpdate()));
    for (std::size_t size = 0; size < whole.size(); ++size) {
        REQUIRE_FALSE(decodeLinkMessage(std::string_view(whole).substr(0, size)));
    }
    REQUIRE_FALSE(decodeLinkMessage(whole + "x"));
    std::string hugeLength = encode(LinkMessage(link::CacheUpdate{}));
    hugeLength.resize(1);
    hugeLength += "\xff\xff\xff\xff\x0f";
    REQUIRE_FALSE(decodeLinkMessage(hugeLength));
    REQUIRE_FALSE(decodeLinkMessage("\x63"));
}
