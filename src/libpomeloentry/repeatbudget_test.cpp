#include "pomeloentry/repeatbudget.h"

#include <catch2/catch.hpp>

using namespace pomeloentry;
using namespace std::chrono_literals;
using pomeloport::Instant;

namespace
{

constexpr auto Start = Instant(1h);
constexpr RepeatLimits Limits{0.1, 20, 10s};

/// Takes as many repeats as are permitted at a moment.
int takeAll(RepeatBudget &budget, double share, Instant now)
{
    int taken = 0;
    while (taken < 1000 && budget.permits("llm", share, now)) {
        budget.note("llm", true, now);
        ++taken;
    }
    return taken;
}

} // namespace

TEST_CASE("one instance may use what the others leave", "[repeatbudget]")
{
    RepeatBudget budget(Limits);
    budget.note("llm", false, Start);
    CHECK(takeAll(budget, 1, Start + 20s) == 20);
    CHECK(takeAll(budget, 1, Start + 25s) == 0);
    // The window slides.
    CHECK(takeAll(budget, 1, Start + 31s) == 20);
}

TEST_CASE("requests earn repeats, for their own service", "[repeatbudget]")
{
    RepeatBudget budget(Limits);
    budget.note("llm", false, Start);
    for (int i = 0; i < 100; ++i) {
        budget.note("llm", false, Start + 20s);
        budget.note("app", false, Start + 20s);
    }
    CHECK(takeAll(budget, 1, Start + 21s) == 30);
}

TEST_CASE("repeats of other instances count", "[repeatbudget]")
{
    RepeatBudget budget(Limits);
    budget.note("llm", false, Start);
    for (int i = 0; i < 15; ++i) {
        budget.note("llm", true, Start + 20s);
    }
    CHECK(takeAll(budget, 1, Start + 21s) == 5);
}

TEST_CASE("an instance that hears a part of the others uses that part of the slack", "[repeatbudget]")
{
    RepeatBudget budget(Limits);
    budget.note("llm", false, Start);
    CHECK(takeAll(budget, 0.25, Start + 20s) == 5);
}

TEST_CASE("a process that has just started does not know what was sent before", "[repeatbudget]")
{
    RepeatBudget budget(Limits);
    CHECK(takeAll(budget, 1, Start) == 10);
}
