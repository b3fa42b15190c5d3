#include "pomelofake/enginemodel.h"
#include "pomeloport/coordination/orders.h"

#include <catch2/catch.hpp>

using namespace pomeloport;
using namespace std::chrono_literals;

namespace
{

/// Reconciles one engine of a fleet of twelve every second and counts the orders sent.
class OrderFixture
{
public:
    explicit OrderFixture(bool checksFencing)
        : engine({.engine = "e1", .checksFencing = checksFencing, .loaded = {}})
    {
        reconciler.setTargets({{"e1", {"m1", "m2"}, "general", checksFencing}}, FleetEngines, 12, now);
    }

    void run(Duration time)
    {
        for (const Instant end = now + time; now < end; now += 1s) {
            engine.advance(now);
            reconciler.reported(engine.loadReport(now), now);
            const auto permit = [this](const EngineTarget &, Instant) {
                return fencing;
            };
            for (const OrderToSend &sent : reconciler.advance(permit, now)) {
                ++orders;
                const auto refusal = engine.order(sent.order, now);
                reconciler.answered("e1", refusal ? OrderResult::Fenced : OrderResult::Accepted, now);
            }
        }
    }

    static constexpr std::size_t FleetEngines = 12;
    Instant now{1h};
    pomelofake::EngineModel engine;
    OrderReconciler reconciler;
    std::optional<std::uint64_t> fencing = 5;
    std::size_t orders = 0;
};

} // namespace

TEST_CASE("items of the target are loaded one at a time within the instance's share of the weight store limit")
{
    OrderFixture fixture(true);
    fixture.run(59s);
    CHECK(fixture.engine.loadReport(fixture.now).loaded.empty());
    fixture.run(50s);
    CHECK(fixture.engine.loadReport(fixture.now).loaded.size() == 1);
    fixture.run(120s);
    CHECK(fixture.engine.loadReport(fixture.now).loaded.size() == 2);
}

TEST_CASE("a late order of a former owner is corrected at an engine that ignores fencing numbers")
{
    OrderFixture fixture(false);
    fixture.run(300s);
    REQUIRE(fixture.engine.loadReport(fixture.now).loaded.size() == 2);
    fixture.engine.order({1, {"old"}, "general"}, fixture.now);
    fixture.run(400s);
    CHECK(fixture.engine.loadReport(fixture.now).loaded == std::vector<std::string>{"m1", "m2"});
}

TEST_CASE("no orders are sent without a fencing number, and an engine at its target gets only periodic repeats")
{
    OrderFixture fixture(true);
    fixture.fencing.reset();
    fixture.run(300s);
    CHECK(fixture.orders == 0);
    fixture.fencing = 9;
    fixture.run(300s);
    const auto settled = fixture.orders;
    fixture.run(200s);
    CHECK(fixture.orders <= settled + 1);
}
