#include "pomeloentry/workledger.h"

#include <catch2/catch.hpp>

using namespace pomeloentry;
using namespace std::chrono_literals;
using pomeloport::OwnerId;

namespace
{

constexpr auto Start = Instant(1h);

WorkItem item(std::uint64_t key, std::uint32_t backend, float readMs = 100)
{
    WorkItem result;
    result.key = key;
    result.startedAt = Start;
    result.due = Start + 300ms;
    result.eventGap = 250ms;
    result.worth = 1;
    result.parts = {{backend, readMs, 5000}};
    return result;
}

} // namespace

TEST_CASE("work told by another instance counts until it ends", "[workledger]")
{
    WorkLedger teller;
    WorkLedger hearer;
    const OwnerId sender{"a", 1};
    teller.open(item(1, 7));
    hearer.take(sender, teller.takeChanges(Start), Start);
    REQUIRE(hearer.byBackend().at(7).size() == 1);
    CHECK_FALSE(hearer.byBackend().at(7).front().item->writing);
    teller.firstEvent(1, Start + 50ms);
    hearer.take(sender, teller.takeChanges(Start + 50ms), Start + 51ms);
    CHECK(hearer.byBackend().at(7).front().item->writing);
    teller.close(1);
    hearer.take(sender, teller.takeChanges(Start + 60ms), Start + 61ms);
    CHECK_FALSE(hearer.byBackend().contains(7));
}

TEST_CASE("a whole list drops what a lost datagram ended", "[workledger]")
{
    WorkLedger teller;
    WorkLedger hearer;
    const OwnerId sender{"a", 1};
    for (std::uint64_t key = 1; key <= 40; ++key) {
        teller.open(item(key, static_cast<std::uint32_t>(key)));
    }
    for (const auto &piece : teller.fullReports(Start)) {
        hearer.take(sender, piece, Start);
    }
    CHECK(hearer.byBackend().size() == 40);
    teller.close(3);
    teller.takeChanges(Start);
    for (const auto &piece : teller.fullReports(Start + 1s)) {
        hearer.take(sender, piece, Start + 1s);
    }
    CHECK(hearer.byBackend().size() == 39);
    CHECK_FALSE(hearer.byBackend().contains(3));
}

TEST_CASE("work of a silent or restarted sender is forgotten", "[workledger]")
{
    WorkLedger teller;
    WorkLedger hearer;
    teller.open(item(1, 7));
    const auto report = teller.takeChanges(Start);
    hearer.take({"a", 1}, report, Start);
    hearer.take({"a", 2}, {}, Start + 100ms);
    CHECK(hearer.byBackend().empty());
    hearer.take({"a", 1}, report, Start + 200ms);
    CHECK(hearer.byBackend().empty());
    hearer.take({"b", 1}, report, Start + 200ms);
    hearer.expire(Start + 200ms + WorkLedger::Expiry + 1ms);
    CHECK(hearer.byBackend().empty());
}

// A burst that meets a process just started: half a second of arrivals was taken for two seconds of them.
TEST_CASE("rates hold right after a start", "[workledger]")
{
    WorkLedger ledger;
    for (int i = 0; i < 20; ++i) {
        auto work = item(static_cast<std::uint64_t>(i), 7, 40);
        work.startedAt = Start + i * 25ms;
        ledger.open(work);
    }
    const auto now = Start + 500ms;
    CHECK(ledger.tightRate(400ms, now) == Approx(40).margin(6));
    CHECK(ledger.readingRate(now) == Approx(1.6).margin(0.25));
    CHECK(ledger.tightRate(200ms, now) == 0);
    CHECK(ledger.readingRate(now + 10s) < 0.05);
}
