#include "pomeloentry/decisions/stopplan.h"

#include <catch2/catch.hpp>

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

TEST_CASE("a stop shorter than its margins gives up at once and exits before the process is killed", "[stopplan]")
{
    const StopPlan plan(Start, 200ms, 1s);
    CHECK(plan.end() == Start);
    CHECK(plan.step(Start, 0) == StopStep::Exit);
    CHECK(plan.step(Start, 1) == StopStep::GiveUp);
    CHECK(plan.step(Start + 150ms, 1) == StopStep::Exit);
}
