#include "pomelofake/platformmodel.h"
#include "pomeloport/coordination/claims.h"

#include <catch2/catch.hpp>
#include <memory>

using namespace pomeloport;
using namespace std::chrono_literals;

namespace
{

constexpr auto Issued = WallTime(1'000'000h);

/// Two requests with the same key on two instances that share one store, on a virtual clock.
class ClaimFixture
{
public:
    ClaimFixture()
        : store({})
    {
        for (std::uint64_t i = 0; i < machines.size(); ++i) {
            const StreamAddress self{{i == 0 ? "r0" : "r1", 1}, 7, 0};
            machines[i] =
                std::make_unique<ClaimStateMachine>(ClaimKey{"clipback", "key-1", Issued}, self, 42, ClaimLimits{}, i);
        }
    }

    void send(std::size_t machine, const ClaimEvent &event)
    {
        for (const ClaimAction &action : machines[machine]->handle(event, now, Issued + wallOffset(now))) {
            perform(machine, action);
        }
    }

    /// Processes everything that is due within this time and advances the clock to its end.
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
        return storedObject;
    }

    /// Reads the stored claim without injected faults.
    void readStored()
    {
        auto previousFaults = store.faults();
        store.setFaults({}, now);
        const auto ticket =
            store.submit({0, StoreOperation::Get, "claims", claimName({"clipback", "key-1", Issued}), 0, ""}, now);
        for (const auto &reply : store.advance(now)) {
            if (reply.ticket == ticket && !reply.reply.objects.empty()) {
                storedObject = reply.reply.objects[0];
            }
        }
        store.setFaults(previousFaults, now);
    }

    template<typename Event>
    std::vector<Event> eventsOf(std::size_t machine) const
    {
        std::vector<Event> found;
        for (const FlowEvent &event : flowEvents[machine]) {
            if (const auto *matching = std::get_if<Event>(&event)) {
                found.push_back(*matching);
            }
        }
        return found;
    }

    event::ClaimResult result(std::size_t machine) const
    {
        REQUIRE(eventsOf<event::ClaimSettled>(machine).size() == 1);
        return eventsOf<event::ClaimSettled>(machine)[0].result;
    }

    pomelofake::PlatformModel store;
    std::array<std::unique_ptr<ClaimStateMachine>, 2> machines;
    Instant now{1h};
    std::optional<link::ClaimHolderState> holderAnswer;
    std::size_t holderQueryCount = 0;

private:
    static std::chrono::milliseconds wallOffset(Instant at)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(at.time_since_epoch() - 1h);
    }

    void perform(std::size_t machine, const ClaimAction &action)
    {
        if (const auto *call = std::get_if<claimaction::CallStore>(&action)) {
            tickets[store.submit(call->call, now)] = machine;
        } else if (const auto *notification = std::get_if<claimaction::Tell>(&action)) {
            flowEvents[machine].push_back(notification->event);
        } else if (const auto *retry = std::get_if<claimaction::ArmRetry>(&action)) {
            retries[machine] = retry->at;
        } else {
            ++holderQueryCount;
            send(machine, claimevent::HolderAnswered{holderAnswer.value_or(machines[1 - machine]->holderState())});
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
        for (std::size_t machine = 0; machine < retries.size(); ++machine) {
            if (retries[machine] <= now) {
                retries[machine] = Instant::max();
                send(machine, claimevent::RetryDue{});
            }
        }
        return true;
    }

    std::map<std::uint64_t, std::size_t> tickets;
    std::array<std::vector<FlowEvent>, 2> flowEvents;
    std::array<Instant, 2> retries{Instant::max(), Instant::max()};
    StoreObject storedObject;
};

} // namespace

TEST_CASE("claim records are unchanged after encoding and decoding")
{
    const ClaimRecord record{ClaimPhase::Finished, {{"r1", 3}, 9, 0}, 77, Issued, "credited \"5\"", false};
    const auto decoded = decodeClaimRecord(encode(record));
    REQUIRE(decoded);
    CHECK(decoded->phase == record.phase);
    CHECK(decoded->holder == record.holder);
    CHECK(decoded->answer == record.answer);
    CHECK_FALSE(decodeClaimRecord("{\"phase\":\"held\"}"));
}

TEST_CASE("claim is acquired by exactly one of two racing requests, even with lost store replies or stale reads")
{
    ClaimFixture fixture;
    pomelofake::PlatformFaults faults;
    faults.loseNextAnswers = GENERATE(0, 1, 2);
    faults.staleReads = GENERATE(0ms, 500ms);
    faults.delay = 3ms;
    fixture.store.setFaults(faults, fixture.now);
    fixture.send(0, claimevent::Acquire{});
    fixture.send(1, claimevent::Acquire{});
    fixture.run(5s);
    CHECK(fixture.result(0) == event::ClaimResult::Acquired);
    CHECK(fixture.result(1) == event::ClaimResult::InProgress);
}

TEST_CASE("claim with a recorded outcome returns the outcome to a resent request")
{
    ClaimFixture fixture;
    fixture.send(0, claimevent::Acquire{});
    fixture.run(1s);
    fixture.store.setFaults({.loseNextAnswers = 1}, fixture.now);
    fixture.send(0, claimevent::Record{"credited"});
    fixture.run(1s);
    REQUIRE(fixture.eventsOf<event::OutcomeRecorded>(0).size() == 1);
    CHECK(fixture.eventsOf<event::OutcomeRecorded>(0)[0].held);
    fixture.send(1, claimevent::Acquire{});
    fixture.run(1s);
    CHECK(fixture.result(1) == event::ClaimResult::Finished);
    CHECK(fixture.eventsOf<event::ClaimSettled>(1)[0].recordedAnswer == "credited");
}

TEST_CASE("claim stays held and is uncertain when its holder is gone, unreachable or has no outcome")
{
    ClaimFixture fixture;
    fixture.holderAnswer =
        GENERATE(link::ClaimHolderState::Gone, link::ClaimHolderState::Uncertain, link::ClaimHolderState::Unreachable);
    fixture.send(0, claimevent::Acquire{});
    fixture.run(1s);
    fixture.send(1, claimevent::Acquire{});
    fixture.run(10s);
    CHECK(fixture.result(1) == event::ClaimResult::Uncertain);
    fixture.readStored();
    CHECK(fixture.phase() == ClaimPhase::Held);
}

TEST_CASE("claim released during a store outage is taken over once its holder confirms that it gave up")
{
    ClaimFixture fixture;
    fixture.send(0, claimevent::Acquire{});
    fixture.run(1s);
    pomelofake::PlatformFaults faults;
    faults.outage = true;
    fixture.store.setFaults(faults, fixture.now);
    fixture.send(0, claimevent::Release{});
    fixture.run(10s);
    CHECK(fixture.eventsOf<event::ClaimReleased>(0).empty());
    CHECK(fixture.machines[0]->holderState() == link::ClaimHolderState::GivenUp);
    fixture.send(1, claimevent::Acquire{false});
    fixture.run(5s);
    fixture.store.setFaults({}, fixture.now);
    fixture.run(20s);
    CHECK(fixture.result(1) == event::ClaimResult::Acquired);
    REQUIRE(fixture.eventsOf<event::ClaimReleased>(0).size() == 1);
    CHECK(fixture.eventsOf<event::ClaimReleased>(0)[0].held);
    fixture.readStored();
    CHECK(fixture.phase() == ClaimPhase::Held);
}

TEST_CASE("claim released after a lost creation leaves a record that makes the late creation fail")
{
    ClaimFixture fixture;
    const auto actions = fixture.machines[0]->handle(claimevent::Acquire{}, fixture.now, Issued);
    const StoreCall late = std::get<claimaction::CallStore>(actions.at(0)).call;
    fixture.send(0, claimevent::StoreAnswered{{late.id, StoreStatus::Unavailable, {}, 0}});
    fixture.send(0, claimevent::Release{});
    fixture.run(5s);
    REQUIRE(fixture.eventsOf<event::ClaimReleased>(0).size() == 1);
    fixture.store.submit(late, fixture.now);
    fixture.readStored();
    CHECK(fixture.phase() == ClaimPhase::Released);
    fixture.send(1, claimevent::Acquire{});
    fixture.run(1s);
    CHECK(fixture.result(1) == event::ClaimResult::Acquired);
}

TEST_CASE("claim attempted during a known store outage writes nothing that needs a release")
{
    ClaimFixture fixture;
    pomelofake::PlatformFaults faults;
    faults.outage = true;
    fixture.store.setFaults(faults, fixture.now);
    fixture.send(0, claimevent::Acquire{false});
    fixture.run(3s);
    fixture.send(0, claimevent::Release{});
    fixture.run(3s);
    CHECK(fixture.eventsOf<event::ClaimReleased>(0).size() == 1);
    CHECK(fixture.store.counts().count("create") == 0);
}

TEST_CASE("claim keys are rejected outside the retention window and with a different body")
{
    ClaimStateMachine expired({"clipback", "k", Issued}, {{"r1", 1}, 1, 0}, 1, {}, 1);
    const auto refused = expired.handle(claimevent::Acquire{}, Instant(1h), Issued + 25h);
    CHECK(std::get<event::ClaimSettled>(std::get<claimaction::Tell>(refused.at(0)).event).result
          == event::ClaimResult::KeyExpired);
    ClaimStateMachine otherBody({"clipback", "k", Issued}, {{"r1", 1}, 2, 0}, 1, {}, 1);
    otherBody.handle(claimevent::Acquire{}, Instant(1h), Issued);
    const ClaimRecord stored{ClaimPhase::Released, {{"r2", 1}, 2, 0}, 2, Issued, "", false};
    const StoreReply conflict{1, StoreStatus::Conflict, {{"claims", "x", encode(stored), 5, false}}, 5};
    const auto reused = otherBody.handle(claimevent::StoreAnswered{conflict}, Instant(1h), Issued);
    CHECK(std::get<event::ClaimSettled>(std::get<claimaction::Tell>(reused.at(0)).event).result
          == event::ClaimResult::KeyReused);
}
