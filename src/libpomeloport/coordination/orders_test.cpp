#include "pomelofake/enginemodel.h"
#include "pomeloport/coordination/orders.h"

#include <catch2/catch.hpp>

using namespace pomeloport;
using namespace std::chrono_literals;

namespace
{

/// Orders one engine each second and counts the loads that the orders ask for.
class OrderBench
{
public:
    explicit OrderBench(bool checksFencing)
        : engine({.engine = "e1", .checksFencing = checksFencing, .loaded = {}})
    {
        keeper.setTargets({{"e1", {"m1", "m2"}, "general", checksFencing}}, fleet, 12, now);
    }

    void run(Duration time)
    {
        for (const Instant end = now + time; now < end; now += 1s) {
            engine.advance(now);
            keeper.reported(engine.loadReport(now), now);
            const auto permit = [this](const EngineTarget &, Instant) {
                return fencing;
            };
            for (const OrderToSend &sent : keeper.advance(permit, now)) {
                ++orders;
                const auto refusal = engine.order(sent.order, now);
                keeper.answered("e1", refusal ? OrderResult::Fenced : OrderResult::Accepted, now);
            }
        }
    }

    static constexpr std::size_t fleet = 12;
    Instant now{1h};
    pomelofake::EngineModel engine;
    OrderReconciler keeper;
    std::optional<std::uint64_t> fencing = 5;
    std::size_t orders = 0;
};

} // namespace

TEST_CASE("orders load the target one by one within the share of the weight store")
{
    OrderBench bench(true);
    bench.run(59s);
    CHECK(bench.engine.loadReport(bench.now).loaded.empty());
    bench.run(50s);
    CHECK(bench.engine.loadReport(bench.now).loaded.size() == 1);
    bench.run(120s);
    CHECK(bench.engine.loadReport(bench.now).loaded.size() == 2);
}

TEST_CASE("orders undo a late order of a former owner at an engine that ignores fencing numbers")
{
    OrderBench bench(false);
    bench.run(300s);
    REQUIRE(bench.engine.loadReport(bench.now).loaded.size() == 2);
    bench.engine.order({1, {"old"}, "general"}, bench.now);
    bench.run(400s);
    CHECK(bench.engine.loadReport(bench.now).loaded == std::vector<std::string>{"m1", "m2"});
}

TEST_CASE("orders are not sent without a lease, and a settled engine is left alone")
{
    OrderBench bench(true);
    bench.fencing.reset();
    bench.run(300s);
    CHECK(bench.orders == 0);
    bench.fencing = 9;
    bench.run(300s);
    const auto settled = bench.orders;
    bench.run(200s);
    CHECK(bench.orders <= settled + 1);
}
