#include "pomeloport/memorybudget.h"

#include <catch2/catch.hpp>

#include <thread>
#include <utility>
#include <vector>

using namespace pomeloport;

TEST_CASE("the shares of a budget stay within its limit together", "[memorybudget]")
{
    const auto budget = std::make_shared<MemoryBudget>(100);
    MemoryShare first(budget);
    MemoryShare second(budget);
    CHECK(first.resize(60));
    CHECK_FALSE(second.resize(41));
    CHECK(second.bytes() == 0);
    CHECK(second.resize(40));
    CHECK(budget->used() == 100);
    CHECK(first.resize(10));
    CHECK(second.resize(90));
    CHECK_FALSE(second.resize(MemoryBudget::Unlimited));
    CHECK(budget->refusals() == 2);
    CHECK(budget->peak() == 100);
}

TEST_CASE("a share gives its bytes back once", "[memorybudget]")
{
    const auto budget = std::make_shared<MemoryBudget>(100);
    {
        MemoryShare share(budget);
        CHECK(share.resize(70));
        MemoryShare moved(std::move(share));
        CHECK(budget->used() == 70);
        MemoryShare target(budget);
        CHECK(target.resize(30));
        target = std::move(moved);
        CHECK(budget->used() == 70);
    }
    CHECK(budget->used() == 0);
    MemoryShare unlimited;
    CHECK(unlimited.resize(MemoryBudget::Unlimited));
}

// Load pattern: 24 answers without end grow step by step, beside sound ones of 200 bytes.
TEST_CASE("holders that grow without end leave room for small ones", "[memorybudget]")
{
    constexpr std::size_t Limit = 52'000;
    const auto budget = std::make_shared<MemoryBudget>(Limit, 0.5);
    std::vector<MemoryShare> endless;
    std::size_t cutOff = 0;
    for (int i = 0; i < 24; ++i) {
        endless.emplace_back(budget);
    }
    for (int step = 0; step < 400; ++step) {
        for (auto &share : endless) {
            if (!share.resize(share.bytes() + 64)) {
                share.resize(0);
                ++cutOff;
            }
        }
        MemoryShare sound(budget);
        REQUIRE(sound.resize(200));
    }
    CHECK(cutOff > 24);
    CHECK(budget->peak() < Limit);

    MemoryShare alone(std::make_shared<MemoryBudget>(Limit, 0.5));
    CHECK(alone.resize(Limit / 3));
    CHECK_FALSE(alone.resize(Limit * 2 / 3));
}

TEST_CASE("a budget keeps its limit between threads", "[memorybudget]")
{
    const auto budget = std::make_shared<MemoryBudget>(1000);
    std::vector<std::thread> threads;
    for (int i = 0; i < 4; ++i) {
        threads.emplace_back([&budget] {
            for (int round = 0; round < 10'000; ++round) {
                MemoryShare share(budget);
                share.resize(400);
                share.resize(300);
            }
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    CHECK(budget->used() == 0);
    CHECK(budget->peak() <= 1000);
}
