#include "pomeloentry/promptquarantine.h"

#include <catch2/catch.hpp>

using namespace pomeloentry;
using namespace std::chrono_literals;

namespace
{

constexpr auto Start = Instant(1h);
constexpr PromptPart Shared = 1;
constexpr PromptPart Crashing = 2;
using Treatment = PromptQuarantine::Treatment;

} // namespace

TEST_CASE("a part whose prompts keep crashing engines is served on and on", "[promptquarantine]")
{
    PromptQuarantine quarantine;
    for (std::uint32_t crash = 0; crash < 3; ++crash) {
        const auto now = Start + crash * 1s;
        CHECK(quarantine.rule({Shared, Crashing}, now).treatment == Treatment::Serve);
        quarantine.crashed(crash, {Shared, Crashing}, now);
        quarantine.answered(100, {Shared}, now, now + 200ms);
    }
    CHECK(quarantine.rule({Shared, Crashing}, Start + 3s).treatment == Treatment::Refuse);
    CHECK(quarantine.rule({Shared}, Start + 3s).treatment == Treatment::Serve);
}
