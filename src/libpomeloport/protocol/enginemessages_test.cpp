#include "pomeloport/protocol/enginemessages.h"

#include "pomeloport/lastreason.h"

#include <catch2/catch.hpp>

using namespace pomeloport;

TEST_CASE("generate calls survive encoding")
{
    GenerateCall call;
    call.stream = {{"entry-3", 9}, 12, 1};
    call.model = "ledger";
    call.promptDigest = 0xfedcba9876543210;
    call.promptTokens = 900'000;
    call.prefixBlocks = {1, 0xffffffffffffffff};
    call.maxTokens = 10;
    call.priority = EnginePriority::Bulk;
    call.imports = {{"engine-1", "blob-4", 300'000}};
    call.prompt = "line \"one\"\n";
    const auto decoded = decodeGenerateCall(encode(call));
    REQUIRE(decoded);
    CHECK(decoded->stream == call.stream);
    CHECK(decoded->promptDigest == call.promptDigest);
    CHECK(decoded->prefixBlocks == call.prefixBlocks);
    CHECK(decoded->priority == EnginePriority::Bulk);
    CHECK(decoded->imports.at(0).blob == "blob-4");
    CHECK(decoded->prompt == call.prompt);
}

TEST_CASE("malformed engine messages give a reason")
{
    CHECK_FALSE(decodeGenerateCall("{"));
    CHECK_FALSE(decodeGenerateCall(R"({"stream": 1})"));
    CHECK_FALSE(decodeStreamChunk(R"({"index": -1, "text": "a"})"));
    CHECK(lastReason() == "index must be a non-negative whole number");
    CHECK_FALSE(decodeStreamEnd(R"({"index": 0, "text": "a"})"));
    CHECK_FALSE(decodeRefusal(R"({"refused": "tired"})"));
}

TEST_CASE("cache events survive encoding")
{
    const CacheEvents events{"engine-2", 5, 9, {{8, 0xffffffffffffffff, true}, {9, 3, false}}};
    const auto decoded = decodeCacheEvents(encode(events));
    REQUIRE(decoded);
    CHECK(decoded->epoch == 5);
    CHECK(decoded->lastSequence == 9);
    REQUIRE(decoded->events.size() == 2);
    CHECK(decoded->events[0].block == 0xffffffffffffffff);
    CHECK_FALSE(decoded->events[1].stored);
    CHECK_FALSE(decodeCacheEvents(R"({"engine": "e", "last_sequence": 1, "events": [3]})"));
}
