#include "pomeloentry/slotqueue.h"

#include <catch2/catch.hpp>

using namespace pomeloentry;
using namespace std::chrono_literals;

namespace
{

constexpr auto Now = Instant(1h);

WorkItem waiting(std::uint64_t key, Duration dueIn)
{
    WorkItem item;
    item.key = key;
    item.waitsFor = 1;
    item.due = Now + dueIn;
    return item;
}

} // namespace

TEST_CASE("prompts that can be in time come before those that are late", "[slotqueue]")
{
    const auto soon = waiting(1, 150ms);
    const auto later = waiting(2, 400ms);
    const auto late = waiting(3, 20ms);
    const std::vector<const WorkItem *> all{&soon, &later, &late};
    CHECK(waitingBefore(soon, all, 50ms, Now) == 0);
    CHECK(waitingBefore(later, all, 50ms, Now) == 1);
    CHECK(waitingBefore(late, all, 50ms, Now) == 2);
    CHECK(waitingBefore(waiting(4, 300ms), all, 50ms, Now) == 1);
}

TEST_CASE("free slots are dealt out to all that want one", "[slotqueue]")
{
    const std::vector<EngineCandidate> engines{{30, nullptr, 1, 0}, {10, nullptr, 1, 0}, {20, nullptr, 1, 0}};
    const std::vector<std::size_t> free{1, 2, 0};
    // Slots in order: 10, 30, 10 again.
    CHECK(dealtEngines(0, 1, engines, free).size() == 2);
    REQUIRE(dealtEngines(0, 5, engines, free).size() == 1);
    CHECK(dealtEngines(0, 5, engines, free).front().key == 10);
    CHECK(dealtEngines(1, 5, engines, free).front().key == 30);
    CHECK(dealtEngines(2, 5, engines, free).front().key == 10);
    CHECK(dealtEngines(3, 5, engines, free).empty());
    CHECK(dealtEngines(0, 1, {}, {}).empty());
}
