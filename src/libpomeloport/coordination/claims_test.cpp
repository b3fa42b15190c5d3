#include "pomelofake/platformmodel.h"
#include "pomeloport/coordination/claims.h"

#include <catch2/catch.hpp>
#include <memory>

using namespace pomeloport;
using namespace std::chrono_literals;

namespace
{

constexpr auto Issued = WallTime(1'000'000h);

/// Two requests with one key on two instances, before one store, on a virtual clock.
class ClaimBench
{
public:
    ClaimBench()
        : store({})
    {
        for (std::uint64_t i = 0; i < keepers.size(); ++i) {
            const StreamAddress self{{i == 0 ? "r0" : "r1", 1}, 7, 0};
            keepers[i] =
                std::make_unique<ClaimStateMachine>(ClaimKey{"clipback", "key-1", Issued}, self, 42, ClaimLimits{}, i);
        }
    }

    void send(std::size_t keeper, const ClaimEvent &event)
    {
        for (const ClaimAction &action : keepers[keeper]->handle(event, now, Issued + wall(now))) {
            perform(keeper, action);
        }
    }

    /// Runs until nothing is due, or for this long.
    void run(Duration time)
    {
        const Instant end = now + time;
        while (step(end)) {
        }
        now = end;
    }

    ClaimPhase phase() const
    {
        return decodeClaimRecord(stored().value)->phase;
    }

    const StoreObject &stored() const
    {
        return lastSeen;
    }

    void look()
    {
        auto clean = store.faults();
        store.setFaults({}, now);
        const auto ticket =
            store.submit({0, StoreOperation::Get, "claims", claimName({"clipback", "key-1", Issued}), 0, ""}, now);
        for (const auto &reply : store.advance(now)) {
            if (reply.ticket == ticket && !reply.reply.objects.empty()) {
                lastSeen = reply.reply.objects[0];
            }
        }
        store.setFaults(clean, now);
    }

    template<typename Event>
    std::vector<Event> told(std::size_t keeper) const
    {
        std::vector<Event> found;
        for (const FlowEvent &event : tells[keeper]) {
            if (const auto *wanted = std::get_if<Event>(&event)) {
                found.push_back(*wanted);
            }
        }
        return found;
    }

    event::ClaimResult result(std::size_t keeper) const
    {
        REQUIRE(told<event::ClaimSettled>(keeper).size() == 1);
        return told<event::ClaimSettled>(keeper)[0].result;
    }

    pomelofake::PlatformModel store;
    std::array<std::unique_ptr<ClaimStateMachine>, 2> keepers;
    Instant now{1h};
    std::optional<link::ClaimHolderState> holderAnswer;
    std::size_t questions = 0;

private:
    static std::chrono::milliseconds wall(Instant at)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(at.time_since_epoch() - 1h);
    }

    void perform(std::size_t keeper, const ClaimAction &action)
    {
        if (const auto *call = std::get_if<claimaction::CallStore>(&action)) {
            tickets[store.submit(call->call, now)] = keeper;
        } else if (const auto *tell = std::get_if<claimaction::Tell>(&action)) {
            tells[keeper].push_back(tell->event);
        } else if (const auto *retry = std::get_if<claimaction::ArmRetry>(&action)) {
            retries[keeper] = retry->at;
        } else {
            ++questions;
            send(keeper, claimevent::HolderAnswered{holderAnswer.value_or(keepers[1 - keeper]->holderState())});
        }
    }

    bool step(Instant end)
    {
        const auto replies = store.advance(now);
        for (const auto &reply : replies) {
            send(tickets[reply.ticket], claimevent::StoreAnswered{reply.reply});
        }
        if (!replies.empty()) {
            return true;
        }
        const Instant next = std::min({store.nextEventAt(), retries[0], retries[1]});
        if (next > end) {
            return false;
        }
        now = next;
        for (std::size_t keeper = 0; keeper < retries.size(); ++keeper) {
            if (retries[keeper] <= now) {
                retries[keeper] = Instant::max();
                send(keeper, claimevent::RetryDue{});
            }
        }
        return true;
    }

    std::map<std::uint64_t, std::size_t> tickets;
    std::array<std::vector<FlowEvent>, 2> tells;
    std::array<Instant, 2> retries{Instant::max(), Instant::max()};
    StoreObject lastSeen;
};

} // namespace

TEST_CASE("claim records survive their codec")
{
    const ClaimRecord record{ClaimPhase::Finished, {{"r1", 3}, 9, 0}, 77, Issued, "credited \"5\"", false};
    const auto decoded = decodeClaimRecord(encode(record));
    REQUIRE(decoded);
    CHECK(decoded->phase == record.phase);
    CHECK(decoded->holder == record.holder);
    CHECK(decoded->answer == record.answer);
    CHECK_FALSE(decodeClaimRecord("{\"phase\":\"held\"}"));
}

TEST_CASE("claim is acquired by one of two racing requests, also when answers are lost or reads are stale")
{
    ClaimBench bench;
    pomelofake::PlatformFaults faults;
    faults.loseNextAnswers = GENERATE(0, 1, 2);
    faults.staleReads = GENERATE(0ms, 500ms);
    faults.delay = 3ms;
    bench.store.setFaults(faults, bench.now);
    bench.send(0, claimevent::Acquire{});
    bench.send(1, claimevent::Acquire{});
    bench.run(5s);
    CHECK(bench.result(0) == event::ClaimResult::Acquired);
    CHECK(bench.result(1) == event::ClaimResult::InProgress);
}

TEST_CASE("claim whose outcome is recorded gives the outcome to a resend")
{
    ClaimBench bench;
    bench.send(0, claimevent::Acquire{});
    bench.run(1s);
    bench.store.setFaults({.loseNextAnswers = 1}, bench.now);
    bench.send(0, claimevent::Record{"credited"});
    bench.run(1s);
    REQUIRE(bench.told<event::OutcomeRecorded>(0).size() == 1);
    CHECK(bench.told<event::OutcomeRecorded>(0)[0].held);
    bench.send(1, claimevent::Acquire{});
    bench.run(1s);
    CHECK(bench.result(1) == event::ClaimResult::Finished);
    CHECK(bench.told<event::ClaimSettled>(1)[0].recordedAnswer == "credited");
}

TEST_CASE("claim of a holder that is gone or forgot is uncertain and never run again")
{
    ClaimBench bench;
    bench.holderAnswer =
        GENERATE(link::ClaimHolderState::Gone, link::ClaimHolderState::Uncertain, link::ClaimHolderState::Unreachable);
    bench.send(0, claimevent::Acquire{});
    bench.run(1s);
    bench.send(1, claimevent::Acquire{});
    bench.run(10s);
    CHECK(bench.result(1) == event::ClaimResult::Uncertain);
    bench.look();
    CHECK(bench.phase() == ClaimPhase::Held);
}

TEST_CASE("claim given up during an outage is taken over once the holder says so")
{
    ClaimBench bench;
    bench.send(0, claimevent::Acquire{});
    bench.run(1s);
    pomelofake::PlatformFaults faults;
    faults.outage = true;
    bench.store.setFaults(faults, bench.now);
    bench.send(0, claimevent::Release{});
    bench.run(10s);
    CHECK(bench.told<event::ClaimReleased>(0).empty());
    CHECK(bench.keepers[0]->holderState() == link::ClaimHolderState::GivenUp);
    bench.send(1, claimevent::Acquire{false});
    bench.run(5s);
    bench.store.setFaults({}, bench.now);
    bench.run(20s);
    CHECK(bench.result(1) == event::ClaimResult::Acquired);
    REQUIRE(bench.told<event::ClaimReleased>(0).size() == 1);
    CHECK(bench.told<event::ClaimReleased>(0)[0].held);
    bench.look();
    CHECK(bench.phase() == ClaimPhase::Held);
}

TEST_CASE("claim released after a lost creation leaves a record that a late creation cannot pass")
{
    ClaimBench bench;
    const auto actions = bench.keepers[0]->handle(claimevent::Acquire{}, bench.now, Issued);
    const StoreCall late = std::get<claimaction::CallStore>(actions.at(0)).call;
    bench.send(0, claimevent::StoreAnswered{{late.id, StoreStatus::Unavailable, {}, 0}});
    bench.send(0, claimevent::Release{});
    bench.run(5s);
    REQUIRE(bench.told<event::ClaimReleased>(0).size() == 1);
    bench.store.submit(late, bench.now);
    bench.look();
    CHECK(bench.phase() == ClaimPhase::Released);
    bench.send(1, claimevent::Acquire{});
    bench.run(1s);
    CHECK(bench.result(1) == event::ClaimResult::Acquired);
}

TEST_CASE("claim attempted in a known outage leaves nothing to release")
{
    ClaimBench bench;
    pomelofake::PlatformFaults faults;
    faults.outage = true;
    bench.store.setFaults(faults, bench.now);
    bench.send(0, claimevent::Acquire{false});
    bench.run(3s);
    bench.send(0, claimevent::Release{});
    bench.run(3s);
    CHECK(bench.told<event::ClaimReleased>(0).size() == 1);
    CHECK(bench.store.counts().count("create") == 0);
}

TEST_CASE("claim keys are refused outside the retention window and with another body")
{
    ClaimStateMachine old({"clipback", "k", Issued}, {{"r1", 1}, 1, 0}, 1, {}, 1);
    const auto refused = old.handle(claimevent::Acquire{}, Instant(1h), Issued + 25h);
    CHECK(std::get<event::ClaimSettled>(std::get<claimaction::Tell>(refused.at(0)).event).result
          == event::ClaimResult::KeyExpired);
    ClaimStateMachine other({"clipback", "k", Issued}, {{"r1", 1}, 2, 0}, 1, {}, 1);
    other.handle(claimevent::Acquire{}, Instant(1h), Issued);
    const ClaimRecord stored{ClaimPhase::Released, {{"r2", 1}, 2, 0}, 2, Issued, "", false};
    const StoreReply conflict{1, StoreStatus::Conflict, {{"claims", "x", encode(stored), 5, false}}, 5};
    const auto reused = other.handle(claimevent::StoreAnswered{conflict}, Instant(1h), Issued);
    CHECK(std::get<event::ClaimSettled>(std::get<claimaction::Tell>(reused.at(0)).event).result
          == event::ClaimResult::KeyReused);
}
