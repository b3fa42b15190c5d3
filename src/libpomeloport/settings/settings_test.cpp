#include "pomeloport/settings.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace pomeloport;
using namespace std::chrono_literals;

namespace
{

bool containsMessage(const SettingsErrors &errors, const std::string &part)
{
    return std::ranges::any_of(errors.messages(),
                               [&](const auto &message) { return message.find(part) != std::string::npos; });
}

} // namespace

TEST_CASE("reading settings reports every error with its line")
{
    SettingsErrors errors;
    auto reader =
        SettingsReader::parse("listen: localhost:80\nlimit: 12s\nlimit: 13s\ncount: 9\nstray: 1\n", "a.yaml", errors);
    REQUIRE(reader);
    reader->address("listen");
    CHECK(reader->duration("limit", 1s, 1ms, 1min) == 12s);
    CHECK(reader->number("count", 3, 1, 8) == 3);
    reader->requiredText("name");
    reader->finish();
    CHECK(containsMessage(errors, "a.yaml:1: listen: expected a numeric address"));
    CHECK(containsMessage(errors, "a.yaml:3: key \"limit\" is given more than once"));
    CHECK(containsMessage(errors, "a.yaml:4: count: expected a whole number from 1 to 8"));
    CHECK(containsMessage(errors, "a.yaml:5: unknown key \"stray\""));
    CHECK(containsMessage(errors, "name: is required"));
    CHECK(errors.messages().size() == 5);
}

TEST_CASE("durations without a valid unit and whole number are rejected")
{
    CHECK(parseDuration("250ms") == 250ms);
    CHECK(parseDuration("24h") == 24h);
    for (const auto *text : {"250", "-1s", "s", "1 s", "1d", "99999999999999999h"}) {
        CHECK_FALSE(parseDuration(text));
    }
}

TEST_CASE("valid declarations are parsed with all their sections")
{
    SettingsErrors errors;
    const auto declarations = parseDeclarations(R"(
organisations:
  - {name: clipback, token: t1, share_weight: 2}
intents:
  - name: questions
    organisations: [clipback]
    kinds: [ask]
    engines: {pool: general}
    model: ledger
    priority: interactive
backends:
  - {name: engine-1, address: "127.0.0.1:9000", region: r, failure_domain: a, kv_tokens: 400000, checks_fencing: yes}
limits: {key_retention: 24h}
)",
                                                "d.yaml",
                                                errors);
    for (const auto &message : errors.messages()) {
        UNSCOPED_INFO(message);
    }
    REQUIRE(declarations);
    CHECK(declarations->intents.at(0).priority == IntentPriority::Interactive);
    CHECK(declarations->backends.at(0).checksFencing);
    CHECK(declarations->limits.keyRetentionMs == 86'400'000);
}

TEST_CASE("declarations with duplicates, unknown references or missing fields are rejected")
{
    SettingsErrors errors;
    const auto declarations = parseDeclarations(R"(
organisations:
  - {name: a, token: t}
  - {name: b, token: t}
intents:
  - {name: i, organisations: [c], priority: soon}
backends:
  - {name: e1, address: "127.0.0.1:9000", region: r, failure_domain: a, kv_tokens: 1, checks_fencing: yes}
  - {name: e2, address: "127.0.0.1:9000", region: r, failure_domain: a}
)",
                                                "d.yaml",
                                                errors);
    CHECK_FALSE(declarations);
    CHECK(containsMessage(errors, "d.yaml:4: token: \"t\" stands twice"));
    CHECK(containsMessage(errors, "d.yaml:6: priority: expected one of interactive, standard, background"));
    CHECK(containsMessage(errors, "no organisation is named \"c\""));
    CHECK(containsMessage(errors, "address: \"127.0.0.1:9000\" stands twice"));
    CHECK(containsMessage(errors, "kv_tokens: is required for an engine"));
    CHECK(containsMessage(errors, "checks_fencing: is required for an engine"));
}
