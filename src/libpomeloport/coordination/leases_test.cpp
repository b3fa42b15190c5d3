#include "pomelofake/platformmodel.h"
#include "pomeloport/coordination/leases.h"

#include <array>
#include <catch2/catch.hpp>

using namespace pomeloport;
using namespace std::chrono_literals;

namespace
{

/// Holders before one store on a virtual clock; a paused one neither moves nor hears replies.
class LeaseBench
{
public:
    LeaseBench()
        : store({})
    {
    }

    void run(Duration time)
    {
        const Instant end = now + time;
        for (; now < end; now += 100ms) {
            for (std::size_t i = 0; i < keepers.size(); ++i) {
                if (!paused[i]) {
                    step(i);
                }
            }
            checkOneOwner();
        }
    }

    std::size_t owners(bool checksFencing) const
    {
        std::size_t count = 0;
        for (const LeaseManager &keeper : keepers) {
            count += keeper.orderFencingNumber("e1", checksFencing, now) ? 1 : 0;
        }
        return count;
    }

    void checkOneOwner()
    {
        REQUIRE(owners(false) <= 1);
        REQUIRE(owners(true) <= 1);
    }

    pomelofake::PlatformModel store;
    std::array<LeaseManager, 2> keepers{LeaseManager({"r1", 1}, "qld"), LeaseManager({"r2", 1}, "qld")};
    std::array<bool, 2> paused{};
    /// Pauses the second holder as soon as it has broken the lease of the first.
    bool pauseAfterBreak = false;
    Instant now{1h};

private:
    void step(std::size_t i)
    {
        for (int calls = 0; calls < 8; ++calls) {
            const auto call = keepers[i].advance(now);
            if (!call) {
                return;
            }
            store.submit(*call, now);
            for (const auto &reply : store.advance(now)) {
                keepers[i].answered(reply.reply, now);
            }
            if (pauseAfterBreak && i == 1 && call->value.find("broken_by") != std::string::npos) {
                paused[i] = true;
                return;
            }
        }
    }
};

} // namespace

TEST_CASE("lease is taken, kept and given back on a planned change of home")
{
    LeaseBench bench;
    bench.keepers[0].setHomeEngines({"e1"});
    bench.run(5s);
    const auto first = bench.keepers[0].orderFencingNumber("e1", true, bench.now);
    REQUIRE(first);
    CHECK_FALSE(bench.keepers[0].orderFencingNumber("e1", false, bench.now));
    bench.run(120s);
    CHECK(bench.keepers[0].orderFencingNumber("e1", false, bench.now));
    bench.keepers[1].setHomeEngines({"e1"});
    bench.keepers[0].stop();
    bench.run(5s);
    CHECK(bench.keepers[0].released());
    const auto second = bench.keepers[1].orderFencingNumber("e1", true, bench.now);
    REQUIRE(second);
    CHECK(*second > *first);
}

TEST_CASE("lease of a paused holder passes on, and the holder that wakes gives no order")
{
    LeaseBench bench;
    pomelofake::PlatformFaults faults;
    faults.staleReads = GENERATE(0ms, 3000ms);
    bench.store.setFaults(faults, bench.now);
    bench.keepers[0].setHomeEngines({"e1"});
    bench.run(40s);
    REQUIRE(bench.keepers[0].orderFencingNumber("e1", true, bench.now));
    bench.keepers[1].setHomeEngines({"e1"});
    bench.run(30s);
    CHECK_FALSE(bench.keepers[1].orderFencingNumber("e1", true, bench.now));
    bench.paused[0] = true;
    bench.run(200s);
    CHECK(bench.keepers[1].orderFencingNumber("e1", false, bench.now));
    CHECK_FALSE(bench.keepers[0].orderFencingNumber("e1", false, bench.now));
    bench.paused[0] = false;
    bench.run(200s);
    CHECK(bench.owners(true) == 1);
}

// Seen in the fault matrix (seed 1, instance_pauses+datagram_loss/end/engine_action): an instance that had read a break
// took the engine after its woken holder had taken it again, and both gave orders.
TEST_CASE("holder that takes its engine again after a break keeps it")
{
    LeaseBench bench;
    bench.keepers[0].setHomeEngines({"e1"});
    bench.run(40s);
    bench.keepers[1].setHomeEngines({"e1"});
    bench.paused[0] = true;
    bench.pauseAfterBreak = true;
    bench.run(100s);
    REQUIRE(bench.paused[1]);
    bench.pauseAfterBreak = false;
    bench.paused[0] = false;
    bench.run(5s);
    REQUIRE(bench.keepers[0].orderFencingNumber("e1", true, bench.now));
    bench.paused[1] = false;
    bench.run(200s);
    CHECK(bench.keepers[0].orderFencingNumber("e1", true, bench.now));
}

TEST_CASE("lease ends for its holder during an outage and is taken again afterwards")
{
    LeaseBench bench;
    bench.keepers[0].setHomeEngines({"e1"});
    bench.run(40s);
    const auto before = bench.keepers[0].orderFencingNumber("e1", true, bench.now);
    REQUIRE(before);
    bench.store.setFaults({.outage = true}, bench.now);
    bench.run(61s);
    CHECK_FALSE(bench.keepers[0].orderFencingNumber("e1", true, bench.now));
    bench.store.setFaults({.loseAnswers = 0.5}, bench.now);
    bench.run(60s);
    bench.store.setFaults({}, bench.now);
    bench.run(10s);
    const auto after = bench.keepers[0].orderFencingNumber("e1", true, bench.now);
    REQUIRE(after);
    CHECK(*after > *before);
}
