#include "pomeloentry/decisions/stopplan.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace pomeloentry;
using namespace std::chrono_literals;

namespace
{

constexpr auto Start = Instant(1h);

} // namespace

TEST_CASE("calls that are open at the end of a stop are given up before the process is killed", "[stopplan]")
{
    const StopPlan plan(Start, 8s, 1s);
    CHECK(plan.step(Start, 1) == StopStep::Serve);
    CHECK(plan.step(plan.end() - 1ms, 1) == StopStep::Serve);
    CHECK(plan.step(plan.end(), 1) == StopStep::GiveUp);
    CHECK(plan.step(plan.end() + 100ms, 0) == StopStep::Exit);
    CHECK(plan.step(plan.end() + 300ms, 1) == StopStep::Exit);
    CHECK(plan.end() + 300ms < Start + 8s);
}

TEST_CASE("an idle instance stays until callers no longer know its address", "[stopplan]")
{
    const StopPlan plan(Start, 8s, 1s);
    CHECK(plan.step(Start + 2900ms, 0) == StopStep::Serve);
    CHECK(plan.step(Start + 3s, 0) == StopStep::Exit);
    CHECK(plan.step(Start + 3s, 1) == StopStep::Serve);
}

// Guards against streams that arrive late in a planned stop, are passed on and are cut at its end.
TEST_CASE("calls that arrive when callers have left are late", "[stopplan]")
{
    const StopPlan plan(Start, 12s, 1s);
    CHECK(plan.callersLeftAt() > Start + 2500ms);
    // The request to stop was sent a moment before it was handled.
    CHECK(plan.callersLeftAt() < Start + 3s);
}

TEST_CASE("calls that are open at a second request to stop are given up at once", "[stopplan]")
{
    StopPlan plan(Start, 8s, 1s);
    plan.endNow(Start + 1s);
    CHECK(plan.end() == Start + 1s);
    CHECK(plan.step(Start + 1s, 1) == StopStep::GiveUp);
    CHECK(plan.step(Start + 1s, 0) == StopStep::Exit);
    CHECK(plan.step(Start + 1250ms, 1) == StopStep::Exit);
    plan.endNow(Start + 2s);
    CHECK(plan.end() == Start + 1s);
}

// Guards against calls that are cut in a short grace period although their servers could have ended in time: the
// reserve before the process is killed took a fixed part of it.
TEST_CASE("calls are given up in the last sixth of a grace period of any length, and before its end", "[stopplan]")
{
    for (Duration grace = 100ms; grace <= 30s; grace += 100ms) {
        CAPTURE(grace.count());
        const StopPlan plan(Start, grace, 1s);
        REQUIRE(plan.end() >= Start + grace * 5 / 6);
        REQUIRE(plan.step(plan.end() - 1ms, 1) == StopStep::Serve);
        REQUIRE(plan.step(plan.end(), 1) == StopStep::GiveUp);
        REQUIRE(plan.step(Start + grace - std::min<Duration>(grace / 32, 100ms), 1) == StopStep::Exit);
        REQUIRE(plan.step(plan.end(), 0) == StopStep::Exit);
    }
}
