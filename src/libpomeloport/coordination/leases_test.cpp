#include "pomelofake/platformmodel.h"
#include "pomeloport/coordination/leases.h"

#include <array>
#include <catch2/catch.hpp>

using namespace pomeloport;
using namespace std::chrono_literals;

namespace
{

/// Runs two lease holders against one store on a virtual clock. A paused holder neither advances nor receives replies.
/// Checks after each step that at most one holder may send orders to the engine.
class LeaseFixture
{
public:
    LeaseFixture()
        : store({})
    {
    }

    void run(Duration time)
    {
        const Instant end = now + time;
        for (; now < end; now += 100ms) {
            for (std::size_t i = 0; i < managers.size(); ++i) {
                if (!paused[i]) {
                    step(i);
                }
            }
            requireSingleOwner();
        }
    }

    std::size_t owners(bool checksFencing) const
    {
        std::size_t count = 0;
        for (const LeaseManager &manager : managers) {
            count += manager.orderFencingNumber("e1", checksFencing, now) ? 1 : 0;
        }
        return count;
    }

    void requireSingleOwner()
    {
        REQUIRE(owners(false) <= 1);
        REQUIRE(owners(true) <= 1);
    }

    pomelofake::PlatformModel store;
    std::array<LeaseManager, 2> managers{LeaseManager({"r1", 1}, "qld"), LeaseManager({"r2", 1}, "qld")};
    std::array<bool, 2> paused{};
    /// Pauses the second holder as soon as it has broken the lease of the first holder.
    bool pauseAfterBreak = false;
    Instant now{1h};

private:
    void step(std::size_t i)
    {
        for (int calls = 0; calls < 8; ++calls) {
            const auto call = managers[i].advance(now);
            if (!call) {
                return;
            }
            store.submit(*call, now);
            for (const auto &reply : store.advance(now)) {
                managers[i].answered(reply.reply, now);
            }
            if (pauseAfterBreak && i == 1 && call->value.find("broken_by") != std::string::npos) {
                paused[i] = true;
                return;
            }
        }
    }
};

} // namespace

TEST_CASE("lease is acquired, renewed, and handed over on a planned change of home")
{
    LeaseFixture fixture;
    fixture.managers[0].setHomeEngines({"e1"});
    fixture.run(5s);
    const auto first = fixture.managers[0].orderFencingNumber("e1", true, fixture.now);
    REQUIRE(first);
    CHECK_FALSE(fixture.managers[0].orderFencingNumber("e1", false, fixture.now));
    fixture.run(120s);
    CHECK(fixture.managers[0].orderFencingNumber("e1", false, fixture.now));
    fixture.managers[1].setHomeEngines({"e1"});
    fixture.managers[0].stop();
    fixture.run(5s);
    CHECK(fixture.managers[0].released());
    const auto second = fixture.managers[1].orderFencingNumber("e1", true, fixture.now);
    REQUIRE(second);
    CHECK(*second > *first);
}

TEST_CASE("lease of a paused holder is taken over, and the former holder sends no orders after it resumes")
{
    LeaseFixture fixture;
    pomelofake::PlatformFaults faults;
    faults.staleReads = GENERATE(0ms, 3000ms);
    fixture.store.setFaults(faults, fixture.now);
    fixture.managers[0].setHomeEngines({"e1"});
    fixture.run(40s);
    REQUIRE(fixture.managers[0].orderFencingNumber("e1", true, fixture.now));
    fixture.managers[1].setHomeEngines({"e1"});
    fixture.run(30s);
    CHECK_FALSE(fixture.managers[1].orderFencingNumber("e1", true, fixture.now));
    fixture.paused[0] = true;
    fixture.run(200s);
    CHECK(fixture.managers[1].orderFencingNumber("e1", false, fixture.now));
    CHECK_FALSE(fixture.managers[0].orderFencingNumber("e1", false, fixture.now));
    fixture.paused[0] = false;
    fixture.run(200s);
    CHECK(fixture.owners(true) == 1);
}

// Guards against two owners of an engine. An instance breaks the lease of a paused holder and is then paused itself.
// The holder resumes and takes its engine again. When the other instance resumes, the broken lease that it read
// before must no longer count; otherwise it would take over the engine and both would send orders.
TEST_CASE("holder that takes its engine again after its lease was broken keeps the engine")
{
    LeaseFixture fixture;
    fixture.managers[0].setHomeEngines({"e1"});
    fixture.run(40s);
    fixture.managers[1].setHomeEngines({"e1"});
    fixture.paused[0] = true;
    fixture.pauseAfterBreak = true;
    fixture.run(100s);
    REQUIRE(fixture.paused[1]);
    fixture.pauseAfterBreak = false;
    fixture.paused[0] = false;
    fixture.run(5s);
    REQUIRE(fixture.managers[0].orderFencingNumber("e1", true, fixture.now));
    fixture.paused[1] = false;
    fixture.run(200s);
    CHECK(fixture.managers[0].orderFencingNumber("e1", true, fixture.now));
}

TEST_CASE("lease expires during a store outage and is acquired again afterwards with a higher fencing number")
{
    LeaseFixture fixture;
    fixture.managers[0].setHomeEngines({"e1"});
    fixture.run(40s);
    const auto before = fixture.managers[0].orderFencingNumber("e1", true, fixture.now);
    REQUIRE(before);
    fixture.store.setFaults({.outage = true}, fixture.now);
    fixture.run(61s);
    CHECK_FALSE(fixture.managers[0].orderFencingNumber("e1", true, fixture.now));
    fixture.store.setFaults({.loseAnswers = 0.5}, fixture.now);
    fixture.run(60s);
    fixture.store.setFaults({}, fixture.now);
    fixture.run(10s);
    const auto after = fixture.managers[0].orderFencingNumber("e1", true, fixture.now);
    REQUIRE(after);
    CHECK(*after > *before);
}
