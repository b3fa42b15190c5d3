#include "pomeloport/coordination/requestflow.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace pomeloport;
using namespace std::chrono_literals;

/// Tests the lifecycle of relayed calls: no claims, answers without a digest, and stalls that may only be a slow
/// server.
namespace
{

constexpr auto Start = Instant(1h);

RequestSpec relayedSpec(bool nonIdempotent)
{
    RequestSpec spec;
    spec.arrival = Start;
    spec.deadline = Start + 10s;
    spec.nonIdempotent = nonIdempotent;
    return spec;
}

FlowLimits relayLimits()
{
    FlowLimits limits;
    limits.claims = false;
    limits.keepStalledAttempt = true;
    limits.maximumAttempts = 2;
    limits.stallTimeout = 2s;
    return limits;
}

class RelayedFlow
{
public:
    explicit RelayedFlow(RequestSpec spec, Duration firstChunkTimeout = 5s)
        : m_flow(
            std::move(spec),
            {{"r1", 1}, 1, 0},
            relayLimits(),
            [firstChunkTimeout](const RouteQuery &, Instant) {
                Route route{{{"e1", 0, 0}}, EnginePriority::Normal, 0};
                route.firstChunkTimeout = firstChunkTimeout;
                return RouteDecision(route);
            },
            [this](Instant) {
                ++permitRequests;
                return permitted;
            },
            7)
    {
    }

    void send(const FlowEvent &event, Duration elapsed = 0s)
    {
        last = m_flow.handle(event, Start + elapsed);
    }

    template<typename Action>
    const Action *find() const
    {
        for (const auto &action : last) {
            if (const auto *matching = std::get_if<Action>(&action)) {
                return matching;
            }
        }
        return nullptr;
    }

    bool permitted = true;
    int permitRequests = 0;
    std::vector<FlowAction> last;

private:
    RequestFlow m_flow;
};

} // namespace

TEST_CASE("a relayed non-idempotent call is sent without a claim and at most once", "[relayflow]")
{
    RelayedFlow relay(relayedSpec(true));
    relay.send(event::Begin{});
    REQUIRE(relay.find<action::OpenAttempt>());
    REQUIRE_FALSE(relay.find<action::AcquireClaim>());
    relay.send(event::AttemptSending{1});
    relay.send(event::AttemptBroken{1}, 1s);
    REQUIRE(relay.find<action::CancelAttempt>());
    relay.send(event::CancelSettled{1, false, false}, 1s);
    const auto *failure = relay.find<action::DeliverFailure>();
    REQUIRE(failure);
    CHECK(failure->failure.verdict == Verdict::MayHaveRun);
    CHECK_FALSE(relay.find<action::OpenAttempt>());
}

TEST_CASE("an answer without a digest is complete once all chunks of its count have arrived", "[relayflow]")
{
    RelayedFlow relay(relayedSpec(false));
    relay.send(event::Begin{});
    relay.send(event::AttemptSending{1});
    relay.send(event::ChunkArrived{1, 0, "text"}, 1s);
    relay.send(event::AttemptEnded{1, 1, std::nullopt}, 1s);
    CHECK(relay.find<action::DeliverEnd>());
    CHECK(relay.find<action::Close>());
}

// Guards against cutting streams whose engine is merely slow: a pass of 1.7 s at one engine made its streams count as
// stalled, and 13 of them were cut because the retry budget was empty.
TEST_CASE("a stalled stream continues while the retry budget is empty", "[relayflow]")
{
    RelayedFlow relay(relayedSpec(false));
    relay.permitted = false;
    relay.send(event::Begin{});
    relay.send(event::AttemptSending{1});
    relay.send(event::ChunkArrived{1, 0, "a"}, 1s);
    relay.send(event::TimerFired{}, 3s);
    CHECK(relay.permitRequests == 1);
    CHECK_FALSE(relay.find<action::CloseAttempt>());
    CHECK_FALSE(relay.find<action::DeliverFailure>());
    relay.send(event::ChunkArrived{1, 1, "b"}, 4s);
    CHECK(relay.find<action::DeliverChunk>());
}

TEST_CASE("a stalled stream is resumed by another attempt at most once", "[relayflow]")
{
    RelayedFlow relay(relayedSpec(false));
    relay.send(event::Begin{});
    relay.send(event::AttemptSending{1});
    relay.send(event::ChunkArrived{1, 0, "a"}, 1s);
    relay.send(event::TimerFired{}, 3s);
    CHECK(relay.find<action::CloseAttempt>());
    relay.send(event::TimerFired{}, 4s);
    const auto *attempt = relay.find<action::OpenAttempt>();
    REQUIRE(attempt);
    CHECK(attempt->resumeFrom == 1);
    CHECK(relay.permitRequests == 1);
    relay.send(event::AttemptSending{2}, 4s);
    relay.send(event::ChunkArrived{2, 1, "b"}, 4s);
    relay.send(event::TimerFired{}, 7s);
    CHECK_FALSE(relay.find<action::CloseAttempt>());
}

TEST_CASE("the first chunk timeout applies only while another attempt is allowed", "[relayflow]")
{
    RelayedFlow relay(relayedSpec(false), 1s);
    relay.send(event::Begin{});
    relay.send(event::AttemptSending{1});
    relay.send(event::TimerFired{}, 1s);
    CHECK(relay.find<action::CloseAttempt>());
    relay.send(event::TimerFired{}, 2s);
    REQUIRE(relay.find<action::OpenAttempt>());
    relay.send(event::AttemptSending{2}, 2s);
    relay.send(event::TimerFired{}, 4s);
    CHECK_FALSE(relay.find<action::CloseAttempt>());
    relay.send(event::TimerFired{}, 10s);
    const auto *failure = relay.find<action::DeliverFailure>();
    REQUIRE(failure);
    CHECK(failure->failure.reason == ReasonCode::DeadlinePassed);
    CHECK(failure->failure.verdict == Verdict::MayHaveRun);
}

// Guards against closing a caller's connection without an answer when the process ends before the request.
TEST_CASE("a request that its process abandons gets a failure with a true verdict", "[relayflow]")
{
    const event::Abandoned abandoned{ReasonCode::Stopping, "stopping", 100ms};
    RelayedFlow unsent(relayedSpec(true));
    unsent.send(event::Begin{});
    unsent.send(abandoned, 1s);
    const auto *notRun = unsent.find<action::DeliverFailure>();
    REQUIRE(notRun);
    CHECK(notRun->failure.verdict == Verdict::NotRun);
    CHECK(notRun->failure.reason == ReasonCode::Stopping);
    CHECK(notRun->failure.retryAfter == 100ms);

    RelayedFlow sent(relayedSpec(true));
    sent.send(event::Begin{});
    sent.send(event::AttemptSending{1});
    sent.send(abandoned, 1s);
    REQUIRE(sent.find<action::CancelAttempt>());
    sent.send(event::CancelSettled{1, false, false}, 1s);
    const auto *uncertain = sent.find<action::DeliverFailure>();
    REQUIRE(uncertain);
    CHECK(uncertain->failure.verdict == Verdict::MayHaveRun);
}
