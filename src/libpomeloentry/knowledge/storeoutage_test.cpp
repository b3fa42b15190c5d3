#include "pomeloentry/knowledge/storeoutage.h"

#include <catch2/catch.hpp>

using namespace pomeloentry;
using namespace std::chrono_literals;

namespace
{

constexpr auto Now = Instant(1h);

} // namespace

// Guards against requests to a backend server that has left: the store cuts off the watch of an instance just as the
// server leaves, and the instance takes that for an outage and goes on using the server.
TEST_CASE("a single failed call delays no removals", "[storeoutage]")
{
    StoreOutage outage;
    CHECK(outage.removalTime(Now) == Now);
    outage.failed(Now, Now);
    CHECK(outage.removalTime(Now + 60ms) == Now + 60ms);
    outage.failed(Now + 60ms, Now + 60ms);
    CHECK(outage.removalTime(Now + 180ms) == Now + 180ms);
    CHECK(outage.lastFailure() == Now + 60ms);
}

TEST_CASE("removals during and shortly after an outage are delayed", "[storeoutage]")
{
    StoreOutage outage;
    SECTION("calls are refused for some time")
    {
        for (auto failedAt = Now; failedAt <= Now + 3s; failedAt += 300ms) {
            outage.failed(failedAt, failedAt);
        }
    }
    SECTION("a call is not answered")
    {
        outage.failed(Now, Now + 3s);
    }
    SECTION("some calls are answered meanwhile")
    {
        outage.failed(Now, Now);
        outage.failed(Now + 3s, Now + 3s);
    }
    outage.answered(Now + 3100ms);
    CHECK(outage.removalTime(Now + 3100ms) == Now + 5350ms);
    CHECK(outage.removalTime(Now + 4s) == Now + 5350ms);
    CHECK(outage.removalTime(Now + 6s) == Now + 6s);
    CHECK(outage.removalTime(Now + 8s) == Now + 8s);
}

TEST_CASE("failures long after an outage begin another one", "[storeoutage]")
{
    StoreOutage outage;
    outage.failed(Now, Now + 3s);
    outage.failed(Now + 8s, Now + 8s);
    CHECK(outage.removalTime(Now + 8100ms) == Now + 8100ms);
}

// Guards against requests to a backend server that has left: a call that was lost before the store returned is given up
// long after, and removals are delayed as if the store had been out until then.
TEST_CASE("a call that is given up after the store has returned prolongs no outage", "[storeoutage]")
{
    StoreOutage outage;
    outage.failed(Now, Now + 1s);
    outage.answered(Now + 1500ms);
    outage.answered(Now + 2500ms);
    CHECK_FALSE(outage.isOpen());
    CHECK(outage.removalTime(Now + 2600ms) == Now + 3750ms);
    SECTION("it was lost before the failure that is known")
    {
        outage.failed(Now - 200ms, Now + 800ms);
        CHECK(outage.removalTime(Now + 2600ms) == Now + 3750ms);
    }
    SECTION("it was lost before the first answer after that failure")
    {
        outage.failed(Now + 100ms, Now + 1400ms);
        CHECK(outage.removalTime(Now + 2600ms) == Now + 3750ms);
    }
    SECTION("it may have been lost after the first answer, but before the second")
    {
        outage.failed(Now + 100ms, Now + 2100ms);
        CHECK(outage.removalTime(Now + 2600ms) == Now + 4750ms);
    }
    CHECK_FALSE(outage.isOpen());
    outage.failed(Now + 2600ms, Now + 2600ms);
    CHECK(outage.isOpen());
    CHECK(outage.removalTime(Now + 3s) == Now + 5250ms);
}
