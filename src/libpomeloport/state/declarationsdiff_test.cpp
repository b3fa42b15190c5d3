#include "pomeloport/state/declarationsdiff.h"

#include <catch2/catch.hpp>

using namespace pomeloport;

TEST_CASE("the difference lists added and changed fields by path and shows tokens only as digests")
{
    Declarations before;
    before.organisations = {{"kandy", "secret-one", 1}};
    before.intents.push_back({.name = "questions", .priority = IntentPriority::Standard});
    Declarations after = before;
    after.organisations[0].token = "secret-two";
    after.intents[0].priority = IntentPriority::Interactive;
    after.intents[0].model = "ledger";
    const auto changes = difference(before, after);
    REQUIRE(changes.size() == 3);
    CHECK(changes[0].path == "intents/questions/model");
    CHECK(changes[0].before.empty());
    CHECK(changes[1].after == "interactive");
    CHECK(changes[2].path == "organisations/kandy/token");
    CHECK(changes[2].after.find("secret") == std::string::npos);
    CHECK(difference(after, after).empty());
}
