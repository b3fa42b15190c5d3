#include "pomeloport/protocol/jsonslices.h"

#include <catch2/catch.hpp>

#include <string>

using namespace pomeloport;

TEST_CASE("an object is cut into the texts of its members", "[jsonslices]")
{
    const auto members = sliceObject(R"( {"a" : 1.5e9 , "b":"x\"},{", "c":[{"d":[]},"]"] ,"e":{}, "f":null} )");
    REQUIRE(members);
    REQUIRE(members->size() == 5);
    CHECK(sliceOf(*members, "a") == "1.5e9");
    CHECK(sliceOf(*members, "b") == R"("x\"},{")");
    CHECK(sliceOf(*members, "c") == R"([{"d":[]},"]"])");
    CHECK(sliceOf(*members, "e") == "{}");
    CHECK(sliceOf(*members, "f") == "null");
    CHECK(sliceOf(*members, "g").empty());
    CHECK(sliceObject("{}")->empty());
    CHECK(sliceArray(" [ ] ")->empty());
}

// Guards against a list that is unreadable as a whole because a parser rejects one of its elements.
TEST_CASE("a value that a parser rejects does not hide its siblings", "[jsonslices]")
{
    constexpr std::size_t Depth = 200'000;
    const auto nested = std::string(Depth, '[') + std::string(Depth, ']');
    for (const auto &odd :
         {nested, std::string(R"("\udce9")"), std::string("1e99999999999"), std::string("\"\xff\"")}) {
        const auto text = "[1," + odd + ",2]";
        const auto elements = sliceArray(text);
        REQUIRE(elements);
        REQUIRE(elements->size() == 3);
        CHECK(elements->at(1) == odd);
        CHECK(elements->at(2) == "2");
    }
}

TEST_CASE("text that is no object or array is rejected", "[jsonslices]")
{
    for (const auto *text :
         {"",           "{",         "}",   "[", "{\"a\"}", "{\"a\":}", "{\"a\":1,}", "{a:1}", "{\"a\":1", "{\"a\":1}}",
          "{\"a\":\"}", "{\"a\":[}", "{,}", "1", "[1 2]",   "[1,]",     "[,1]",       "[1]]",  "[\"]",     "\"\\"}) {
        CHECK_FALSE(sliceObject(text));
        CHECK_FALSE(sliceArray(text));
    }
}
