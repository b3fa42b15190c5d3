#include "tracering.h"

#include "pomelorouter/requestmetrics.h"

#include <catch2/catch.hpp>

#include <array>
#include <thread>

using namespace pomeloport;
using namespace pomelorouter;
using Catch::Contains;

TEST_CASE("request metrics lose no counts of concurrent threads and format cumulative buckets")
{
    constexpr int Rounds = 1000;
    RequestMetrics metrics(8);
    std::array<std::thread, 4> threads;
    for (auto &thread : threads) {
        thread = std::thread([&metrics] {
            for (int i = 0; i < Rounds; ++i) {
                metrics.series("clipback", PromptClass::Short)->recordTimeToFirstToken(std::chrono::milliseconds(3));
            }
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    const auto series = metrics.series("clipback", PromptClass::Short);
    series->recordTimeToFirstToken(std::chrono::hours(1));
    series->countVerdict(Verdict::NotRun, ReasonCode::Overloaded);
    const auto text = metrics.text();
    const std::string labels = R"({organisation="clipback",class="short")";
    REQUIRE_THAT(text, Contains("pomelo_time_to_first_token_seconds_bucket" + labels + ",le=\"0.002\"} 0\n"));
    REQUIRE_THAT(text, Contains("pomelo_time_to_first_token_seconds_bucket" + labels + ",le=\"0.005\"} 4000\n"));
    REQUIRE_THAT(text, Contains("pomelo_time_to_first_token_seconds_bucket" + labels + ",le=\"+Inf\"} 4001\n"));
    REQUIRE_THAT(text, Contains("pomelo_time_to_first_token_seconds_sum" + labels + "} 3612.000000\n"));
    REQUIRE_THAT(text, Contains("pomelo_requests_total" + labels + ",verdict=\"not_run\"} 1\n"));
    REQUIRE_THAT(text, Contains("pomelo_failures_total" + labels + ",reason=\"overloaded\"} 1\n"));
}

TEST_CASE("request metrics count organisations beyond the maximum under \"other\"")
{
    RequestMetrics metrics(2);
    for (const auto *name : {"a", "b", "c", "d"}) {
        metrics.series(name, PromptClass::Huge)->countVerdict(Verdict::Ran, std::nullopt);
    }
    REQUIRE(metrics.series("c", PromptClass::Huge) == metrics.series("d", PromptClass::Huge));
    REQUIRE_THAT(metrics.text(), Contains(R"({organisation="other",class="huge",verdict="ran"} 2)"));
}

TEST_CASE("trace ring evicts the oldest request beyond its capacity")
{
    TraceRing ring(2);
    for (const auto *name : {"r1", "r2", "r3"}) {
        ring.start(name)->add(Duration{1}, name);
    }
    REQUIRE_FALSE(ring.find("r1"));
    REQUIRE(ring.find("r3")->steps().at(0).text == "r3");
}
