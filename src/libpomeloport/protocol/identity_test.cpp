#include "pomeloport/protocol/identity.h"

#include <catch2/catch.hpp>

using namespace pomeloport;

TEST_CASE("stream addresses survive formatting and parsing")
{
    const StreamAddress address{{"entry-1", 42}, 7, 2};
    REQUIRE(toString(address) == "entry-1/42/7/2");
    REQUIRE(parseStreamAddress("entry-1/42/7/2") == address);
}

TEST_CASE("malformed stream addresses are rejected")
{
    for (const auto *text : {"", "a", "a/1", "a/1/2", "a/1/2/", "a/1/2/x", "/1/2/3", "a/b/2/3", "a/1/2/3/4"}) {
        REQUIRE_FALSE(parseStreamAddress(text));
    }
}
