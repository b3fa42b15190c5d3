#include "pomeloport/coordination/orphansweep.h"

#include <catch2/catch.hpp>

using namespace pomeloport;
using namespace std::chrono_literals;

namespace
{

const OwnerId LiveOwner{"r1", 4};

/// Returns holdings of an engine: two streams and a blob, all of one owner.
EngineHoldings sampleHoldings()
{
    EngineHoldings holdings;
    holdings.engine = "e1";
    for (std::uint64_t sequence = 1; sequence <= 3; ++sequence) {
        Holding holding;
        holding.stream = StreamAddress{LiveOwner, sequence, 1};
        holding.blob = sequence == 3 ? "b3" : "";
        holding.tokens = 10;
        holdings.holdings.push_back(holding);
    }
    return holdings;
}

std::uint64_t singleQueryNumber(const std::vector<SweepAction> &actions)
{
    REQUIRE(actions.size() == 1);
    return std::get<sweepaction::AskOwner>(actions[0]).query.query;
}

} // namespace

TEST_CASE("orphan sweep frees holdings that the owner does not report as open and keeps the others")
{
    OrphanSweep sweep;
    const auto query = singleQueryNumber(sweep.handle(sweepevent::HoldingsRead{sampleHoldings()}, Instant(1h)));
    const auto actions = sweep.handle(sweepevent::OwnerAnswered{{query, true, false, {2}}}, Instant(1h));
    REQUIRE(actions.size() == 2);
    CHECK(std::get<sweepaction::CancelStream>(actions[0]).stream.sequence == 1);
    CHECK(std::get<sweepaction::FreeBlob>(actions[1]).blob == "b3");
    CHECK(sweep.handle(sweepevent::OwnerAnswered{{query, true, false, {}}}, Instant(1h)).empty());
}

TEST_CASE("orphan sweep frees all holdings of an owner that is gone")
{
    OrphanSweep sweep;
    const auto query = singleQueryNumber(sweep.handle(sweepevent::HoldingsRead{sampleHoldings()}, Instant(1h)));
    CHECK(sweep.handle(sweepevent::OwnerAnswered{{query, false, true, {}}}, Instant(1h)).size() == 3);
}

TEST_CASE("orphan sweep frees holdings of an unreachable owner after the longest request lifetime")
{
    OrphanSweep sweep;
    const auto query = singleQueryNumber(sweep.handle(sweepevent::HoldingsRead{sampleHoldings()}, Instant(1h)));
    CHECK(sweep.handle(sweepevent::OwnerAnswered{{query, false, false, {}}}, Instant(1h)).empty());
    singleQueryNumber(sweep.handle(sweepevent::HoldingsRead{sampleHoldings()}, Instant(2h)));
    CHECK(sweep.handle(sweepevent::HoldingsRead{sampleHoldings()}, Instant(2h + 6min)).size() == 3);
}
