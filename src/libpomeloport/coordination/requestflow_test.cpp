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

/// Drives a flow and records every action that it returns.
class FlowDriver
{
public:
    explicit FlowDriver(RequestSpec spec, RouteDecision decision = Route{{{"e1", 0, 0}}, EnginePriority::Normal, 0})
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

    void send(const FlowEvent &event, Duration elapsed = 0s)
    {
        const auto actions = m_flow.handle(event, Start + elapsed);
        allActions.insert(allActions.end(), actions.begin(), actions.end());
        last = actions;
    }

    template<typename Action>
    std::vector<Action> actionsOf() const
    {
        std::vector<Action> found;
        for (const FlowAction &action : allActions) {
            if (const auto *matching = std::get_if<Action>(&action)) {
                found.push_back(*matching);
            }
        }
        return found;
    }

    std::size_t outcomeCount() const
    {
        return actionsOf<action::DeliverEnd>().size() + actionsOf<action::DeliverFailure>().size();
    }

    Verdict deliveredVerdict() const
    {
        REQUIRE(outcomeCount() == 1);
        return actionsOf<action::DeliverFailure>().at(0).failure.verdict;
    }

    RequestFlow &flow()
    {
        return m_flow;
    }

    std::vector<FlowAction> allActions;
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
    FlowDriver driver(flowSpec(false));
    driver.send(event::Begin{});
    driver.send(event::AttemptSending{1});
    driver.send(event::ChunkArrived{1, 1, "b"});
    driver.send(event::ChunkArrived{1, 0, "a"});
    driver.send(event::ChunkArrived{1, 0, "a"});
    driver.send(event::ChunkArrived{2, 2, "x"});
    driver.send(event::AttemptEnded{1, 3, digestOf("abc")});
    CHECK(driver.outcomeCount() == 0);
    driver.send(event::ChunkArrived{1, 2, "c"});
    const auto chunks = driver.actionsOf<action::DeliverChunk>();
    REQUIRE(chunks.size() == 3);
    CHECK(chunks[0].text + chunks[1].text + chunks[2].text == "abc");
    CHECK(driver.actionsOf<action::DeliverEnd>().at(0).count == 3);
    CHECK(driver.flow().closed());
    CHECK(driver.actionsOf<action::CloseAttempt>().size() == 1);
}

TEST_CASE("request flow fails with may_have_run when the digest does not match the chunks")
{
    FlowDriver driver(flowSpec(false));
    driver.send(event::Begin{});
    driver.send(event::ChunkArrived{1, 0, "a"});
    driver.send(event::AttemptEnded{1, 1, digestOf("b")});
    CHECK(driver.deliveredVerdict() == Verdict::MayHaveRun);
    CHECK(driver.flow().closed());
}

TEST_CASE("request flow resumes a broken deterministic stream without repeating chunks")
{
    FlowDriver driver(flowSpec(false));
    driver.send(event::Begin{});
    driver.send(event::ChunkArrived{1, 0, "a"});
    driver.send(event::AttemptBroken{1});
    driver.send(event::TimerFired{}, 100ms);
    const auto opened = driver.actionsOf<action::OpenAttempt>();
    REQUIRE(opened.size() == 2);
    CHECK(opened[1].resumeFrom == 1);
    CHECK(driver.avoid == std::vector<std::string>{"e1"});
    driver.send(event::ChunkArrived{1, 1, "late"}, 100ms);
    driver.send(event::ChunkArrived{2, 1, "b"}, 100ms);
    driver.send(event::AttemptEnded{2, 2, digestOf("ab")}, 100ms);
    CHECK(driver.actionsOf<action::DeliverEnd>().size() == 1);
    CHECK(driver.actionsOf<action::CancelAttempt>().size() == 1);
}

TEST_CASE("request flow never resends a non-idempotent request that may have run")
{
    FlowDriver driver(flowSpec(true));
    driver.send(event::Begin{});
    CHECK(driver.actionsOf<action::OpenAttempt>().empty());
    driver.send(event::ClaimSettled{event::ClaimResult::Acquired, ""});
    driver.send(event::AttemptSending{1});
    driver.send(event::AttemptBroken{1});
    SECTION("cancel reports that the attempt has started")
    {
        driver.send(event::CancelSettled{1, false, true});
        CHECK(driver.deliveredVerdict() == Verdict::MayHaveRun);
        CHECK(driver.actionsOf<action::OpenAttempt>().size() == 1);
        CHECK(driver.actionsOf<action::ReleaseClaim>().empty());
    }
    SECTION("cancel confirms that the attempt never ran")
    {
        driver.send(event::CancelSettled{1, true, true});
        driver.send(event::TimerFired{}, 3s);
        CHECK(driver.actionsOf<action::OpenAttempt>().size() == 2);
    }
    SECTION("cancel is not answered in time")
    {
        driver.send(event::TimerFired{}, 3s);
        CHECK(driver.deliveredVerdict() == Verdict::MayHaveRun);
        CHECK(driver.actionsOf<action::OpenAttempt>().size() == 1);
    }
}

TEST_CASE("request flow reports not_run only after the claim is known to be released")
{
    FlowDriver driver(flowSpec(true), Failure{Verdict::NotRun, ReasonCode::Overloaded, "", {}});
    driver.send(event::Begin{});
    driver.send(event::ClaimSettled{event::ClaimResult::Acquired, ""});
    CHECK(driver.outcomeCount() == 0);
    SECTION("release is confirmed")
    {
        driver.send(event::ClaimReleased{true});
        CHECK(driver.deliveredVerdict() == Verdict::NotRun);
    }
    SECTION("release is not confirmed by the deadline")
    {
        driver.send(event::TimerFired{}, 10s);
        CHECK(driver.deliveredVerdict() == Verdict::MayHaveRun);
        CHECK_FALSE(driver.flow().closed());
        driver.send(event::ClaimReleased{true}, 20s);
        CHECK(driver.outcomeCount() == 1);
    }
    CHECK(driver.flow().closed());
}

TEST_CASE("request flow delivers exactly one failure at the deadline while an attempt is open")
{
    const bool nonIdempotent = GENERATE(false, true);
    FlowDriver driver(flowSpec(nonIdempotent));
    driver.send(event::Begin{});
    driver.send(event::ClaimSettled{event::ClaimResult::Acquired, ""});
    driver.send(event::AttemptSending{1});
    driver.send(event::TimerFired{}, 10s);
    CHECK(driver.deliveredVerdict() == Verdict::MayHaveRun);
    CHECK(driver.actionsOf<action::CancelAttempt>().size() == 1);
    driver.send(event::CancelSettled{1, false, true}, 11s);
    CHECK(driver.flow().closed());
    CHECK(driver.actionsOf<action::CloseAttempt>().size() == 1);
}

TEST_CASE("request flow returns a recorded outcome without running the action again")
{
    FlowDriver driver(flowSpec(true));
    driver.send(event::Begin{});
    driver.send(event::ClaimSettled{event::ClaimResult::Finished, "credited"});
    CHECK(driver.actionsOf<action::DeliverChunk>().at(0).text == "credited");
    CHECK(driver.actionsOf<action::DeliverEnd>().at(0).digest == digestOf("credited"));
    CHECK(driver.actionsOf<action::OpenAttempt>().empty());
    CHECK(driver.flow().closed());
}

TEST_CASE("request flow frees the segments and the reservation of a group whether it is served or fails")
{
    RequestSpec spec = flowSpec(false);
    const Route route{{{"e1", 0, 100}, {"e2", 100, 200}, {"e3", 200, 300}}, EnginePriority::Bulk, 9};
    FlowDriver driver(spec, NeedsGroup{"m", 300});
    driver.send(event::Begin{});
    driver.send(event::GroupGranted{route});
    driver.send(event::SegmentReady{1, 0, "b1"});
    driver.send(event::SegmentReady{1, 0, "b1"});
    REQUIRE(driver.actionsOf<action::OpenAttempt>().size() == 2);
    CHECK(driver.actionsOf<action::OpenAttempt>()[1].imports.at(0).blob == "b1");
    SECTION("group serves the request")
    {
        driver.send(event::SegmentReady{1, 1, "b2"});
        driver.send(event::ChunkArrived{1, 0, "a"});
        driver.send(event::AttemptEnded{1, 1, digestOf("a")});
        CHECK(driver.actionsOf<action::FreeBlob>().size() == 2);
    }
    SECTION("second member fails and its segment becomes ready too late")
    {
        driver.send(event::AttemptSending{1});
        driver.send(event::AttemptBroken{1});
        CHECK(driver.actionsOf<action::FreeBlob>().size() == 1);
        driver.send(event::SegmentReady{1, 1, "b2"});
        CHECK(driver.actionsOf<action::FreeBlob>().size() == 2);
    }
    CHECK(driver.actionsOf<action::ReleaseGroup>().size() == 1);
    driver.send(event::GroupGranted{{{{"e4", 0, 1}}, EnginePriority::Bulk, 12}}, 11s);
    CHECK(driver.actionsOf<action::ReleaseGroup>().back().reservation == 12);
}

TEST_CASE("request flow retries after the refusal of a leaving backend server without charging the retry budget")
{
    FlowDriver driver(flowSpec(false));
    driver.permitted = false;
    driver.send(event::Begin{});
    driver.send(event::AttemptRefused{1, RefusalCode::Leaving});
    CHECK(driver.actionsOf<action::OpenAttempt>().size() == 2);
    driver.send(event::AttemptRefused{2, RefusalCode::Full});
    CHECK(driver.deliveredVerdict() == Verdict::NotRun);
}

TEST_CASE("request flow backs off longer after each refusal and finally retries avoided backend servers")
{
    FlowDriver driver(flowSpec(false));
    driver.send(event::Begin{});
    Duration elapsed{};
    Duration last{};
    for (std::uint32_t attempt = 1; attempt <= 8; ++attempt) {
        driver.send(event::AttemptRefused{attempt, RefusalCode::Full}, elapsed);
        const Instant wake = driver.actionsOf<action::ArmTimer>().back().at;
        last = wake - (Start + elapsed);
        elapsed = wake - Start;
        driver.send(event::TimerFired{}, elapsed);
        REQUIRE(driver.actionsOf<action::OpenAttempt>().size() == attempt + 1);
    }
    CHECK(last >= 1s);
    CHECK(driver.avoid.empty());
    CHECK(driver.outcomeCount() == 0);
}

TEST_CASE("request flow retries avoided backend servers when no other one is left")
{
    std::vector<std::vector<std::string>> avoidLists;
    const auto choose = [&avoidLists](const RouteQuery &query, Instant now) -> RouteDecision {
        avoidLists.push_back(query.avoid);
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
    CHECK(avoidLists == std::vector<std::vector<std::string>>{{}, {"e1"}, {}});
    CHECK(flow.stateName() == "attempting");
}
