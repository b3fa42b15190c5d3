#include "pomeloport/coordination/requestflow.h"

#include <catch2/catch.hpp>
#include <xxhash.h>

using namespace pomeloport;
using namespace std::chrono_literals;

namespace
{

constexpr auto Start = Instant(1h);

RequestSpec flowSpec(bool nonIdempotent)
{
    RequestSpec spec;
    spec.organisation = "clipback";
    spec.arrival = Start;
    spec.deadline = Start + 10s;
    spec.nonIdempotent = nonIdempotent;
    spec.idempotencyKey = nonIdempotent ? "key-1" : "";
    return spec;
}

/// Drives a flow and keeps every action that it returned.
class Driver
{
public:
    explicit Driver(RequestSpec spec, RouteDecision decision = Route{{{"e1", 0, 0}}, EnginePriority::Normal, 0})
        : m_flow(
            std::move(spec),
            {{"r1", 1}, 1, 0},
            {},
            [this, decision](const RouteQuery &query, Instant) {
                avoid = query.avoid;
                return decision;
            },
            [this](Instant) { return permitted; },
            7)
    {
    }

    void send(const FlowEvent &event, Duration since = 0s)
    {
        const auto actions = m_flow.handle(event, Start + since);
        all.insert(all.end(), actions.begin(), actions.end());
        last = actions;
    }

    template<typename Action>
    std::vector<Action> every() const
    {
        std::vector<Action> found;
        for (const FlowAction &action : all) {
            if (const auto *wanted = std::get_if<Action>(&action)) {
                found.push_back(*wanted);
            }
        }
        return found;
    }

    std::size_t outcomes() const
    {
        return every<action::DeliverEnd>().size() + every<action::DeliverFailure>().size();
    }

    Verdict told() const
    {
        REQUIRE(outcomes() == 1);
        return every<action::DeliverFailure>().at(0).failure.verdict;
    }

    RequestFlow &flow()
    {
        return m_flow;
    }

    std::vector<FlowAction> all;
    std::vector<FlowAction> last;
    std::vector<std::string> avoid;
    bool permitted = true;

private:
    RequestFlow m_flow;
};

std::uint64_t digestOf(const std::string &text)
{
    return XXH64(text.data(), text.size(), 0);
}

} // namespace

TEST_CASE("request flow delivers each chunk once and in order")
{
    Driver driver(flowSpec(false));
    driver.send(event::Begin{});
    driver.send(event::AttemptSending{1});
    driver.send(event::ChunkArrived{1, 1, "b"});
    driver.send(event::ChunkArrived{1, 0, "a"});
    driver.send(event::ChunkArrived{1, 0, "a"});
    driver.send(event::ChunkArrived{2, 2, "x"});
    driver.send(event::AttemptEnded{1, 3, digestOf("abc")});
    CHECK(driver.outcomes() == 0);
    driver.send(event::ChunkArrived{1, 2, "c"});
    const auto chunks = driver.every<action::DeliverChunk>();
    REQUIRE(chunks.size() == 3);
    CHECK(chunks[0].text + chunks[1].text + chunks[2].text == "abc");
    CHECK(driver.every<action::DeliverEnd>().at(0).count == 3);
    CHECK(driver.flow().closed());
    CHECK(driver.every<action::CloseAttempt>().size() == 1);
}

TEST_CASE("request flow fails clearly when the digest contradicts the chunks")
{
    Driver driver(flowSpec(false));
    driver.send(event::Begin{});
    driver.send(event::ChunkArrived{1, 0, "a"});
    driver.send(event::AttemptEnded{1, 1, digestOf("b")});
    CHECK(driver.told() == Verdict::MayHaveRun);
    CHECK(driver.flow().closed());
}

TEST_CASE("request flow resumes a broken deterministic stream without repeating chunks")
{
    Driver driver(flowSpec(false));
    driver.send(event::Begin{});
    driver.send(event::ChunkArrived{1, 0, "a"});
    driver.send(event::AttemptBroken{1});
    driver.send(event::TimerFired{}, 100ms);
    const auto opened = driver.every<action::OpenAttempt>();
    REQUIRE(opened.size() == 2);
    CHECK(opened[1].resumeFrom == 1);
    CHECK(driver.avoid == std::vector<std::string>{"e1"});
    driver.send(event::ChunkArrived{1, 1, "late"}, 100ms);
    driver.send(event::ChunkArrived{2, 1, "b"}, 100ms);
    driver.send(event::AttemptEnded{2, 2, digestOf("ab")}, 100ms);
    CHECK(driver.every<action::DeliverEnd>().size() == 1);
    CHECK(driver.every<action::CancelAttempt>().size() == 1);
}

TEST_CASE("request flow never resends a non-idempotent request that may have run")
{
    Driver driver(flowSpec(true));
    driver.send(event::Begin{});
    CHECK(driver.every<action::OpenAttempt>().empty());
    driver.send(event::ClaimSettled{event::ClaimResult::Acquired, ""});
    driver.send(event::AttemptSending{1});
    driver.send(event::AttemptBroken{1});
    SECTION("cancel finds it started")
    {
        driver.send(event::CancelSettled{1, false, true});
        CHECK(driver.told() == Verdict::MayHaveRun);
        CHECK(driver.every<action::OpenAttempt>().size() == 1);
        CHECK(driver.every<action::ReleaseClaim>().empty());
    }
    SECTION("cancel proves that it never ran")
    {
        driver.send(event::CancelSettled{1, true, true});
        driver.send(event::TimerFired{}, 3s);
        CHECK(driver.every<action::OpenAttempt>().size() == 2);
    }
    SECTION("cancel is not answered")
    {
        driver.send(event::TimerFired{}, 3s);
        CHECK(driver.told() == Verdict::MayHaveRun);
        CHECK(driver.every<action::OpenAttempt>().size() == 1);
    }
}

TEST_CASE("request flow tells not_run only after the claim is known to be released")
{
    Driver driver(flowSpec(true), Failure{Verdict::NotRun, ReasonCode::Overloaded, "", {}});
    driver.send(event::Begin{});
    driver.send(event::ClaimSettled{event::ClaimResult::Acquired, ""});
    CHECK(driver.outcomes() == 0);
    SECTION("release holds")
    {
        driver.send(event::ClaimReleased{true});
        CHECK(driver.told() == Verdict::NotRun);
    }
    SECTION("release is not known at the deadline")
    {
        driver.send(event::TimerFired{}, 10s);
        CHECK(driver.told() == Verdict::MayHaveRun);
        CHECK_FALSE(driver.flow().closed());
        driver.send(event::ClaimReleased{true}, 20s);
        CHECK(driver.outcomes() == 1);
    }
    CHECK(driver.flow().closed());
}

TEST_CASE("request flow ends every state at the deadline with one failure")
{
    const bool nonIdempotent = GENERATE(false, true);
    Driver driver(flowSpec(nonIdempotent));
    driver.send(event::Begin{});
    driver.send(event::ClaimSettled{event::ClaimResult::Acquired, ""});
    driver.send(event::AttemptSending{1});
    driver.send(event::TimerFired{}, 10s);
    CHECK(driver.told() == Verdict::MayHaveRun);
    CHECK(driver.every<action::CancelAttempt>().size() == 1);
    driver.send(event::CancelSettled{1, false, true}, 11s);
    CHECK(driver.flow().closed());
    CHECK(driver.every<action::CloseAttempt>().size() == 1);
}

TEST_CASE("request flow returns a recorded outcome without running again")
{
    Driver driver(flowSpec(true));
    driver.send(event::Begin{});
    driver.send(event::ClaimSettled{event::ClaimResult::Finished, "credited"});
    CHECK(driver.every<action::DeliverChunk>().at(0).text == "credited");
    CHECK(driver.every<action::DeliverEnd>().at(0).digest == digestOf("credited"));
    CHECK(driver.every<action::OpenAttempt>().empty());
    CHECK(driver.flow().closed());
}

TEST_CASE("request flow frees segments and reservation of a group on every path")
{
    RequestSpec spec = flowSpec(false);
    const Route route{{{"e1", 0, 100}, {"e2", 100, 200}, {"e3", 200, 300}}, EnginePriority::Bulk, 9};
    Driver driver(spec, NeedsGroup{"m", 300});
    driver.send(event::Begin{});
    driver.send(event::GroupGranted{route});
    driver.send(event::SegmentReady{1, 0, "b1"});
    driver.send(event::SegmentReady{1, 0, "b1"});
    REQUIRE(driver.every<action::OpenAttempt>().size() == 2);
    CHECK(driver.every<action::OpenAttempt>()[1].imports.at(0).blob == "b1");
    SECTION("served")
    {
        driver.send(event::SegmentReady{1, 1, "b2"});
        driver.send(event::ChunkArrived{1, 0, "a"});
        driver.send(event::AttemptEnded{1, 1, digestOf("a")});
        CHECK(driver.every<action::FreeBlob>().size() == 2);
    }
    SECTION("broken in the second segment, which is ready too late")
    {
        driver.send(event::AttemptSending{1});
        driver.send(event::AttemptBroken{1});
        CHECK(driver.every<action::FreeBlob>().size() == 1);
        driver.send(event::SegmentReady{1, 1, "b2"});
        CHECK(driver.every<action::FreeBlob>().size() == 2);
    }
    CHECK(driver.every<action::ReleaseGroup>().size() == 1);
    driver.send(event::GroupGranted{{{{"e4", 0, 1}}, EnginePriority::Bulk, 12}}, 11s);
    CHECK(driver.every<action::ReleaseGroup>().back().reservation == 12);
}

TEST_CASE("request flow moves off a leaving backend server without spending the retry budget")
{
    Driver driver(flowSpec(false));
    driver.permitted = false;
    driver.send(event::Begin{});
    driver.send(event::AttemptRefused{1, RefusalCode::Leaving});
    CHECK(driver.every<action::OpenAttempt>().size() == 2);
    driver.send(event::AttemptRefused{2, RefusalCode::Full});
    CHECK(driver.told() == Verdict::NotRun);
}

TEST_CASE("request flow waits longer after each refusal and tries avoided servers again in the end")
{
    Driver driver(flowSpec(false));
    driver.send(event::Begin{});
    Duration since{};
    Duration last{};
    for (std::uint32_t attempt = 1; attempt <= 8; ++attempt) {
        driver.send(event::AttemptRefused{attempt, RefusalCode::Full}, since);
        const Instant wake = driver.every<action::ArmTimer>().back().at;
        last = wake - (Start + since);
        since = wake - Start;
        driver.send(event::TimerFired{}, since);
        REQUIRE(driver.every<action::OpenAttempt>().size() == attempt + 1);
    }
    CHECK(last >= 1s);
    CHECK(driver.avoid.empty());
    CHECK(driver.outcomes() == 0);
}

TEST_CASE("request flow tries avoided servers again when no other one is left")
{
    std::vector<std::vector<std::string>> asked;
    const auto choose = [&asked](const RouteQuery &query, Instant now) -> RouteDecision {
        asked.push_back(query.avoid);
        if (!query.avoid.empty()) {
            return WaitUntil{now + 50ms};
        }
        return Route{{{"e1", 0, 0}}, EnginePriority::Normal, 0};
    };
    RequestFlow flow(
        flowSpec(false), {{"r1", 1}, 1, 0}, {}, choose, [](Instant) { return true; }, 7);
    flow.handle(event::Begin{}, Start);
    flow.handle(event::AttemptRefused{1, RefusalCode::Full}, Start);
    flow.handle(event::TimerFired{}, Start + 100ms);
    flow.handle(event::TimerFired{}, Start + 200ms);
    CHECK(asked == std::vector<std::vector<std::string>>{{}, {"e1"}, {}});
    CHECK(flow.stateName() == "attempting");
}
