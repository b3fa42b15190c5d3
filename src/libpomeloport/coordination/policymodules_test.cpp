#include "pomeloport/coordination/circuitbreaker.h"
#include "pomeloport/coordination/costmodel.h"
#include "pomeloport/coordination/fairshares.h"
#include "pomeloport/coordination/isolation.h"
#include "pomeloport/coordination/prefixaffinity.h"
#include "pomeloport/coordination/retrybudget.h"
#include "pomeloport/coordination/waitingline.h"

#include <catch2/catch.hpp>

using namespace pomeloport;
using namespace std::chrono_literals;

TEST_CASE("a circuit opens after repeated failures, is probed at growing intervals and returns to full share slowly")
{
    CircuitBreaker breaker;
    auto now = Instant{} + 10s;
    breaker.failed(now);
    REQUIRE(breaker.permits(now));
    breaker.failed(now);
    REQUIRE_FALSE(breaker.permits(now));
    now += 500ms;
    REQUIRE(breaker.permits(now));
    breaker.sent(now);
    REQUIRE_FALSE(breaker.permits(now));
    breaker.failed(now + 1ms);
    REQUIRE_FALSE(breaker.permits(now + 900ms));
    now += 1001ms;
    breaker.sent(now);
    breaker.succeeded(now);
    REQUIRE(breaker.permits(now));
    REQUIRE(breaker.share(now) < 0.2);
    REQUIRE(breaker.share(now + 10s) == 1);
}

TEST_CASE("the retry budget limits retries to a small fraction of the requests")
{
    RetryBudget budget;
    int permitted = 0;
    for (int request = 0; request < 10'000; ++request) {
        budget.requestStarted();
        permitted += budget.take(Instant{}) ? 1 : 0;
    }
    REQUIRE(permitted <= 10'000 * 0.1);
    REQUIRE(permitted > 0);
}

TEST_CASE("an organisation above its fair share gets a share factor below 1 and the others keep 1")
{
    FairShares shares;
    for (int second = 0; second < 30; ++second) {
        const auto now = Instant{} + second * 1s;
        shares.recordUsage("large", 1, 9, now);
        shares.recordUsage("small", 1, 1, now);
    }
    const auto now = Instant{} + 30s;
    REQUIRE(shares.shareFactor("small", 1, now) == 1);
    REQUIRE(shares.shareFactor("large", 1, now) == Approx(5.0 / 9).epsilon(0.02));
    REQUIRE(shares.shareFactor("unknown", 1, now) == 1);
}

TEST_CASE("the speed estimate follows an engine that slows to a tenth, ignores old reports and resets after a restart")
{
    EngineSpeed speed;
    LoadReport report;
    report.epoch = 1;
    report.prefillTokensPerSecond = 100'000;
    for (report.sequence = 1; report.sequence <= 10; ++report.sequence) {
        speed.observeReport(report);
    }
    const auto before = speed.prefillSeconds(10'000);
    report.prefillTokensPerSecond = 10'000;
    for (; report.sequence <= 15; ++report.sequence) {
        speed.observeReport(report);
    }
    REQUIRE(speed.prefillSeconds(10'000) > 8 * before);
    const auto slow = speed.prefillSeconds(10'000);
    report.sequence = 3;
    report.prefillTokensPerSecond = 100'000;
    speed.observeReport(report);
    REQUIRE(speed.prefillSeconds(10'000) == slow);
    report.epoch = 2;
    speed.observeReport(report);
    REQUIRE(speed.prefillSeconds(10'000) < 2 * before);
}

TEST_CASE("the affinity ring returns distinct owners, and a key keeps its owner when another member leaves")
{
    const AffinityRing all({"a", "b", "c", "d"});
    const AffinityRing fewer({"a", "b", "c"});
    for (std::uint64_t key = 1; key < 200; ++key) {
        const auto scatteredKey = key * 0x9e3779b97f4a7c15ULL;
        const auto owners = all.owners(scatteredKey, 2);
        REQUIRE(owners.size() == 2);
        REQUIRE(owners[0] != owners[1]);
        if (owners[0] != 3) {
            REQUIRE(fewer.owners(scatteredKey, 1)[0] == owners[0]);
        }
    }
    REQUIRE(AffinityRing({}).owners(1, 2).empty());
}

TEST_CASE("cached blocks are counted as a prefix that gaps only shorten, and old recent prefixes are evicted")
{
    const std::vector<std::uint64_t> blocks{1, 2, 3, 4, 5, 6, 7, 8};
    REQUIRE(cachedLeadingBlocks(blocks, {1, 2, 3, 4, 5}) == 5);
    REQUIRE(cachedLeadingBlocks(blocks, {}) == 0);
    REQUIRE(cachedLeadingBlocks(blocks, {1, 2, 4, 5}) <= 5);
    REQUIRE(anchorBlock({1, 2, 3, 4, 5}) == 4);
    RecentPrefixes recent(3);
    recent.sent(blocks, "e1");
    REQUIRE(*recent.lastServer(blocks) == "e1");
    recent.sent({11, 12}, "e2");
    recent.sent({21, 22}, "e3");
    recent.sent({31, 32}, "e4");
    REQUIRE(recent.lastServer(blocks) == nullptr);
}

TEST_CASE("the short-only share follows lasting changes of the demand for long work, one engine at a time")
{
    ShortOnlyShare share;
    auto now = Instant{} + 1s;
    REQUIRE(share.observe(20, 16, 0.25, now) == 5);
    std::size_t before = 5;
    for (int step = 0; step < 600; ++step) {
        now += 100ms;
        const auto count = share.observe(20, 0, 0.25, now);
        REQUIRE(count >= before);
        REQUIRE(count <= before + 1);
        before = count;
    }
    REQUIRE(before > 10);
    for (int step = 0; step < 1'200; ++step) {
        now += 100ms;
        before = share.observe(20, 20, 0.25, now);
    }
    REQUIRE(before == 5);
    // Demand that alternates faster than the settle time must not change the share.
    for (int step = 0; step < 300; ++step) {
        now += 100ms;
        REQUIRE(share.observe(20, step % 20 < 10 ? 0 : 20, 0.25, now) == 5);
    }
}

TEST_CASE("the waiting line prefers worth per engine second until another request is close to its latest start")
{
    WaitingLine line;
    RequestSpec cheap;
    RequestSpec costly;
    RequestSpec closeToLatestStart;
    const auto now = Instant{} + 100s;
    line.put(&cheap, {LineKind::Bulk, 10, 1, now, now + 600s, 0});
    line.put(&costly, {LineKind::Bulk, 1, 10, now, now + 600s, 0});
    REQUIRE(line.first(LineKind::Bulk, now) == &cheap);
    line.put(&closeToLatestStart, {LineKind::Bulk, 0.1, 10, now - 500s, now + 1s, 0});
    REQUIRE(line.first(LineKind::Bulk, now) == &closeToLatestStart);
    REQUIRE(line.first(LineKind::Prompt, now) == nullptr);
    REQUIRE(line.costRankedAbove(&costly, {LineKind::Bulk, 1, 10, now, now + 600s, 0}, now) == Approx(11));
    line.remove(&closeToLatestStart);
    REQUIRE(line.first(LineKind::Bulk, now) == &cheap);
    line.remove(&cheap);
    REQUIRE(line.first(LineKind::Bulk, now) == &costly);
}
