#include "pomeloentry/decisions/entryplacement.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace pomeloentry;
using namespace std::chrono_literals;
using pomeloport::Failure;
using pomeloport::Route;
using pomeloport::RouteDecision;
using pomeloport::RouteQuery;
using pomeloport::Verdict;
using pomeloport::WaitUntil;
using Outcome = pomeloport::action::CloseAttempt::Outcome;

namespace
{

constexpr auto Start = Instant(1h);
const std::string ServiceName = "s";

std::shared_ptr<const FleetState> fleet(std::size_t servers, bool engines)
{
    auto routing = std::make_shared<RoutingTable>();
    CallService service;
    service.name = ServiceName;
    if (engines) {
        EngineCost cost;
        cost.slots = 4;
        cost.memoryTokens = 100'000;
        cost.stepMs = 1;
        cost.stepsPerPass = 40;
        cost.prefillTokensPerMs = 100;
        service.engine = cost;
    }
    routing->services[ServiceName] = service;
    auto state = std::make_shared<FleetState>();
    state->routing = routing;
    for (std::size_t i = 0; i < servers; ++i) {
        BackendEntry entry;
        entry.id = std::string("i").append(std::to_string(i));
        entry.startedAt = 1;
        entry.service = ServiceName;
        entry.slots = 2;
        state->backends[entry.id] = entry;
    }
    return state;
}

CallWork plainCall(std::uint64_t sequence = 1)
{
    CallWork work;
    work.sequence = sequence;
    work.service = ServiceName;
    work.kind = CallKind::Idempotent;
    work.target = 150ms;
    work.arrival = Start;
    work.deadline = Start + 1s;
    work.abandonedAt = work.deadline;
    work.repeatable = true;
    return work;
}

CallWork prompt(std::uint64_t sequence, std::uint64_t tokens)
{
    auto work = plainCall(sequence);
    work.kind = CallKind::Streaming;
    work.promptTokens = tokens;
    work.answerTokens = 100;
    work.eventGap = 250ms;
    work.target = 300ms;
    work.deadline = Start + 10s;
    work.abandonedAt = Start + 2s;
    return work;
}

/// Opens streams at a fleet of one engine that a long prefill would delay, and that are worth more than a long prompt.
void addLatencySensitiveStreams(EntryPlacement &placement)
{
    placement.update(fleet(1, true));
    for (std::uint64_t i = 1; i <= 2; ++i) {
        auto stream = prompt(i, 28'000);
        stream.eventGap = 60ms;
        placement.opened(stream, 1, Route{{{"i0", 0, 0}}}, {}, Start);
        placement.answered(stream, 1, "i0", Start);
    }
}

CallWork longPrompt()
{
    auto work = prompt(9, 35'000);
    work.target = 3s;
    work.abandonedAt = work.deadline;
    return work;
}

class PlacementFixture
{
public:
    explicit PlacementFixture(std::size_t servers, bool engines = false)
        : placement({}, 1)
    {
        placement.update(fleet(servers, engines));
    }

    RouteDecision choose(const CallWork &work, std::vector<std::string> avoid = {}, Instant now = Start)
    {
        PlacementTrace trace;
        return placement.choose(work, RouteQuery{nullptr, 1, std::move(avoid)}, now, trace);
    }

    /// Chooses a place and records the attempt. Returns the id of the server, or nothing.
    std::string open(const CallWork &work, Instant now = Start)
    {
        const auto decision = choose(work, {}, now);
        const auto *route = std::get_if<Route>(&decision);
        if (!route) {
            return {};
        }
        placement.opened(work, 1, *route, {}, now);
        return route->members.front().backend;
    }

    EntryPlacement placement;
};

} // namespace

TEST_CASE("plain calls spread over all servers and wait when their queues are full", "[entryplacement]")
{
    PlacementFixture fixture(2);
    std::set<std::string> used;
    for (std::uint64_t i = 1; i <= 12; ++i) {
        used.insert(fixture.open(plainCall(i)));
    }
    CHECK(used == std::set<std::string>{"i0", "i1"});
    const auto decision = fixture.choose(plainCall(13));
    CHECK(std::holds_alternative<WaitUntil>(decision));
    fixture.placement.closed(plainCall(1), 1, "i0", Outcome::Completed, Start);
    CHECK_FALSE(fixture.open(plainCall(14)).empty());
}

TEST_CASE("a call without any server is refused before its deadline as not run, with a Retry-After time",
          "[entryplacement]")
{
    PlacementFixture fixture(0);
    CHECK(std::holds_alternative<WaitUntil>(fixture.choose(plainCall())));
    const auto decision = fixture.choose(plainCall(), {}, Start + 400ms);
    const auto *failure = std::get_if<Failure>(&decision);
    REQUIRE(failure);
    CHECK(failure->verdict == Verdict::NotRun);
    CHECK(failure->retryAfter);
}

TEST_CASE("failing and leaving servers get no calls", "[entryplacement]")
{
    PlacementFixture fixture(2);
    for (std::uint64_t i = 1; i <= 2; ++i) {
        const auto work = plainCall(i);
        const Route route{{{"i0", 0, 0}}};
        fixture.placement.opened(work, 1, route, {}, Start);
        fixture.placement.closed(work, 1, "i0", Outcome::Broken, Start);
    }
    for (std::uint64_t i = 3; i <= 6; ++i) {
        CHECK(fixture.open(plainCall(i)) == "i1");
    }
    auto state = std::make_shared<FleetState>(*fleet(2, false));
    state->backends["i1"].leaving = true;
    fixture.placement.update(state);
    CHECK_FALSE(fixture.placement.usable("i1"));
    CHECK(std::holds_alternative<WaitUntil>(fixture.choose(plainCall(7))));
}

// Guards against small calls that wait for seconds beside callers that leave large responses unread: each probe of the
// open circuit was a large response that found no memory, and its end said nothing of the server.
TEST_CASE("a probe whose response finds no memory here closes the circuit of its server", "[entryplacement]")
{
    PlacementFixture fixture(1);
    for (std::uint64_t i = 1; i <= 2; ++i) {
        fixture.placement.opened(plainCall(i), 1, Route{{{"i0", 0, 0}}}, {}, Start);
        fixture.placement.closed(plainCall(i), 1, "i0", Outcome::Broken, Start);
    }
    CHECK(fixture.open(plainCall(3), Start + 400ms).empty());
    CHECK(fixture.open(plainCall(4), Start + 500ms) == "i0");
    CHECK(fixture.open(plainCall(5), Start + 510ms).empty());
    fixture.placement.closed(plainCall(4), 1, "i0", Outcome::Broken, Start + 520ms, AttemptEnd::OwnMemory);
    CHECK(fixture.open(plainCall(6), Start + 520ms) == "i0");
}

// Guards against a server that is taken for gone while it is busy: of 40 connections at once its listen queue took 15,
// and the others timed out and opened the circuit, although it responded on the 15.
TEST_CASE("connections that time out open the circuit of a server only if it is silent", "[entryplacement]")
{
    const bool responds = GENERATE(false, true);
    PlacementFixture fixture(1);
    for (std::uint64_t i = 1; i <= 2; ++i) {
        fixture.placement.opened(plainCall(i), 1, Route{{{"i0", 0, 0}}}, {}, Start);
    }
    fixture.placement.responded("i0", responds ? Start + 100ms : Start - 100ms);
    for (std::uint64_t i = 1; i <= 2; ++i) {
        fixture.placement.closed(plainCall(i), 1, "i0", Outcome::Refused, Start + 700ms, AttemptEnd::ConnectTimeout);
    }
    CHECK(fixture.open(plainCall(3), Start + 710ms).empty() == !responds);
}

// Guards against a metrics text that grows with the number of servers that do not read.
TEST_CASE("the metrics list the servers that leave the most unread, up to a limit", "[entryplacement]")
{
    constexpr std::size_t Limit = 100;
    constexpr std::size_t Servers = Limit + 5;
    EntryPolicy policy;
    policy.serverUnreadBytes = 1000;
    EntryPlacement placement(policy, 1);
    const auto state = fleet(Servers, false);
    placement.update(state);
    std::size_t bytes = 2000;
    for (const auto &[name, backend] : state->backends) {
        placement.requestWaits(plainCall(bytes), 1, backendKey(backend), bytes, Start);
        ++bytes;
    }
    const auto text = placement.unreadMetricsText();
    bytes = 2000;
    for (const auto &[name, backend] : state->backends) {
        const auto line =
            std::string("{server=\"").append(name).append("\"} ").append(std::to_string(bytes)).append("\n");
        CHECK((text.find(line) != std::string::npos) == (bytes >= 2000 + Servers - Limit));
        ++bytes;
    }
}

// Guards against a server that reads nothing taking the requests, and the memory, of its whole service.
TEST_CASE("servers that do not read their requests get no new ones", "[entryplacement]")
{
    constexpr std::uint32_t FirstAttempt = 1;
    EntryPolicy policy;
    policy.serverUnreadBytes = 1000;
    EntryPlacement placement(policy, 1);
    const bool engines = GENERATE(false, true);
    const auto state = fleet(2, engines);
    placement.update(state);
    const auto work = [engines](std::uint64_t i) {
        return engines ? prompt(i, 1000) : plainCall(i);
    };
    const auto leaveUnread = [&](std::uint64_t i, const std::string &server, std::size_t bytes) {
        return placement.requestWaits(work(i), FirstAttempt, backendKey(state->backends.at(server)), bytes, Start);
    };
    const auto choose = [&] {
        PlacementTrace trace;
        return placement.choose(work(9), RouteQuery{}, Start, trace);
    };
    CHECK(leaveUnread(1, "i0", 1001));
    for (int repetition = 0; repetition < 4; ++repetition) {
        const auto other = choose();
        REQUIRE(std::holds_alternative<Route>(other));
        CHECK(std::get<Route>(other).members.front().backend == "i1");
    }
    CHECK(placement.unreadMetricsText().ends_with("pomelo_server_unread_bytes{server=\"i0\"} 1001\n"));
    CHECK(leaveUnread(2, "i1", 2000));
    const auto refused = choose();
    REQUIRE(std::holds_alternative<Failure>(refused));
    CHECK(std::get<Failure>(refused).verdict == Verdict::NotRun);
    CHECK(leaveUnread(1, "i0", 0));
    CHECK(std::holds_alternative<Route>(choose()));
}

TEST_CASE("a call avoids the servers that it has tried", "[entryplacement]")
{
    PlacementFixture fixture(2);
    for (int i = 0; i < 4; ++i) {
        const auto decision = fixture.choose(plainCall(), {"i0"});
        CHECK(std::get<Route>(decision).members.front().backend == "i1");
    }
}

TEST_CASE("work of other instances occupies slots until it expires", "[entryplacement]")
{
    PlacementFixture other(2, true);
    PlacementFixture fixture(2, true);
    for (std::uint64_t i = 1; i <= 2; ++i) {
        REQUIRE_FALSE(other.open(prompt(i, 5'000)).empty());
    }
    const auto report = other.placement.takeChanges(Start);
    REQUIRE(report);
    fixture.placement.applyPeerReport({"other", 1}, *report, Start);
    // Each engine takes three requests: nine tenths of its four slots, rounded down.
    std::size_t opened = 0;
    while (opened < 10 && !fixture.open(prompt(opened + 1, 5'000)).empty()) {
        ++opened;
    }
    CHECK(opened == 4);
    CHECK_FALSE(fixture.open(prompt(11, 5'000), Start + WorkLedger::Expiry + 1ms).empty());
}

TEST_CASE("a prompt larger than the memory of an engine needs a group", "[entryplacement]")
{
    PlacementFixture fixture(3, true);
    auto work = prompt(1, 150'000);
    work.target = 3s;
    work.eventGap = 1s;
    work.deadline = Start + 15s;
    work.abandonedAt = Start + 12s;
    REQUIRE(std::holds_alternative<pomeloport::NeedsGroup>(fixture.choose(work)));
    const auto plan = fixture.placement.planGroup(work, {}, Start);
    REQUIRE(plan);
    std::uint64_t reserved = 0;
    for (const auto tokens : plan->tickets) {
        reserved += tokens;
    }
    CHECK(reserved >= 150'100 - 100'000);
    fixture.placement.opened(work, 1, plan->route, plan->tickets, Start);
    CHECK(fixture.placement.inFlight() == 1);
    fixture.placement.closed(work, 1, plan->route.members.front().backend, Outcome::Completed, Start);
    CHECK(fixture.placement.inFlight() == 0);
}

// Guards against cutting a stream that fails over to another engine: its retry was refused because the placement found
// its worth too low by then.
TEST_CASE("a retry is not refused for its worth", "[entryplacement]")
{
    PlacementFixture fixture(1, true);
    auto busy = prompt(1, 60'000);
    busy.target = 3s;
    fixture.placement.opened(busy, 1, Route{{{"i0", 0, 0}}}, {}, Start);
    auto late = prompt(2, 5'000);
    late.abandonedAt = Start + 100ms;
    PlacementTrace trace;
    const auto first = fixture.placement.choose(late, RouteQuery{nullptr, 1, {}}, Start, trace);
    CHECK(std::holds_alternative<Failure>(first));
    const auto second = fixture.placement.choose(late, RouteQuery{nullptr, 2, {}}, Start, trace);
    CHECK(std::holds_alternative<Route>(second));
}

TEST_CASE("instances prefer equal servers in different orders", "[entryplacement]")
{
    std::set<std::string> first;
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
        EntryPlacement placement({}, seed * 7919);
        placement.update(fleet(8, true));
        PlacementTrace trace;
        const auto decision = placement.choose(prompt(1, 5'000), RouteQuery{nullptr, 1, {}}, Start, trace);
        first.insert(std::get<Route>(decision).members.front().backend);
    }
    CHECK(first.size() >= 4);
}

// Guards against overfilling engines in a burst that needs all slots: each slot that became free attracted prompts from
// many instances within the few milliseconds that reports take, and all but one of them waited at that engine for
// seconds.
TEST_CASE("a slot that becomes free goes to one of the prompts that wait on many instances", "[entryplacement]")
{
    constexpr std::size_t Instances = 20;
    constexpr std::uint32_t Slots = 4;
    std::vector<std::unique_ptr<EntryPlacement>> placements;
    for (std::size_t i = 0; i < Instances; ++i) {
        EntryPolicy policy;
        policy.engines.slotShare = 1;
        placements.push_back(std::make_unique<EntryPlacement>(policy, i * 7919));
        placements.back()->update(fleet(2, true));
    }
    const auto broadcast = [&](std::size_t from, Instant now) {
        const auto changes = placements[from]->takeChanges(now);
        for (std::size_t to = 0; changes && to < Instances; ++to) {
            if (to != from) {
                placements[to]->applyPeerReport({std::string("e").append(std::to_string(from)), 1}, *changes, now);
            }
        }
    };
    // The first instance fills all slots.
    for (std::uint64_t i = 0; i < std::uint64_t{Slots} * 2; ++i) {
        const auto work = prompt(i + 1, 1'000);
        const auto *backend = i % 2 == 0 ? "i0" : "i1";
        placements[0]->opened(work, 1, Route{{{backend, 0, 0}}}, {}, Start);
        placements[0]->answered(work, 1, backend, Start + 15ms);
    }
    broadcast(0, Start);
    const auto choose = [&](std::size_t i, Instant now) {
        auto work = prompt(100 + i, 2'000);
        work.arrival = Start + std::chrono::milliseconds(i);
        PlacementTrace trace;
        const auto decision = placements[i]->choose(work, RouteQuery{nullptr, 1, {}}, now, trace);
        const auto *route = std::get_if<Route>(&decision);
        if (route) {
            placements[i]->opened(work, 1, *route, {}, now);
        }
        return route ? std::optional(route->members.front().backend) : std::nullopt;
    };
    for (std::size_t i = 1; i < Instances; ++i) {
        CHECK_FALSE(choose(i, Start + 20ms));
        broadcast(i, Start + 20ms);
    }
    placements[0]->closed(prompt(1, 1'000), 1, "i0", Outcome::Completed, Start + 40ms);
    placements[0]->closed(prompt(2, 1'000), 1, "i1", Outcome::Completed, Start + 40ms);
    broadcast(0, Start + 40ms);
    // All instances choose before they receive each other's reports.
    std::vector<std::string> taken;
    for (std::size_t i = 1; i < Instances; ++i) {
        if (auto backend = choose(i, Start + 41ms)) {
            taken.push_back(*backend);
        }
    }
    std::ranges::sort(taken);
    CHECK(taken == std::vector<std::string>{"i0", "i1"});
    for (std::size_t i = 1; i < Instances; ++i) {
        broadcast(i, Start + 45ms);
    }
    // A prompt that arrives later does not overtake the waiting ones.
    placements[0]->closed(prompt(3, 1'000), 1, "i0", Outcome::Completed, Start + 50ms);
    PlacementTrace trace;
    auto laterPrompt = prompt(500, 2'000);
    laterPrompt.arrival = Start + 50ms;
    CHECK(std::holds_alternative<WaitUntil>(
        placements[0]->choose(laterPrompt, RouteQuery{nullptr, 1, {}}, Start + 50ms, trace)));
    CHECK(trace.queuePosition == Instances - 1 - 2);
}

// Guards against deferring a prompt for so long that its prefill is still in time but its deadline passes while the
// answer is decoded.
TEST_CASE("the latest first event leaves enough time to decode the whole answer", "[entryplacement]")
{
    EngineCost cost;
    cost.slots = 10;
    cost.stepMs = 2;
    cost.stepsPerPass = 40;
    auto work = prompt(1, 300'000);
    work.answerTokens = 800;
    work.abandonedAt = work.deadline;
    // Twenty events, one per pass of 80 ms.
    CHECK(lastFirstEvent(work, cost) == work.deadline - 1600ms);
    work.abandonedAt = Start + 2s;
    CHECK(lastFirstEvent(work, cost) == Start + 2s);
}

// Guards against refusing a prompt too late for a retry: prompts were deferred for 8 to 13 of their 15 seconds and
// refused then.
TEST_CASE("a prompt that will not be served is refused while its caller has time to retry", "[entryplacement]")
{
    EntryPolicy policy;
    policy.guaranteedShare = 0;
    policy.engines.deferralMinimumPrefillMs = 100;
    EntryPlacement placement(policy);
    addLatencySensitiveStreams(placement);
    const auto work = longPrompt();
    PlacementTrace trace;
    const auto latest = Start + pomeloport::fromSeconds(10 * policy.maximumWaitShare) + policy.recheckInterval;
    std::optional<Instant> refusedAt;
    for (auto now = Start; now < work.deadline && !refusedAt; now += policy.recheckInterval) {
        const auto decision = placement.choose(work, RouteQuery{nullptr, 1, {}}, now, trace);
        REQUIRE_FALSE(std::holds_alternative<Route>(decision));
        if (const auto *failure = std::get_if<Failure>(&decision)) {
            CHECK(failure->verdict == Verdict::NotRun);
            CHECK(failure->retryAfter.has_value());
            refusedAt = now;
        }
    }
    REQUIRE(refusedAt);
    CHECK(*refusedAt <= latest);
}

// Guards against refusals in the second after an outage, when only a part of the engines is known and busy: short
// prompts whose target had passed were refused at once, and their callers do not return again.
TEST_CASE("a short prompt that can only be late waits for room", "[entryplacement]")
{
    EntryPolicy policy;
    policy.latePromptsWait = GENERATE(false, true);
    EntryPlacement placement(policy);
    addLatencySensitiveStreams(placement);
    auto work = prompt(9, 28'000);
    work.abandonedAt = Start + 6s;
    PlacementTrace trace;
    const auto choose = [&](Instant now) {
        return placement.choose(work, RouteQuery{nullptr, 1, {}}, now, trace);
    };
    REQUIRE(std::holds_alternative<WaitUntil>(choose(Start + 400ms)) == policy.latePromptsWait);
    if (!policy.latePromptsWait) {
        return;
    }
    const bool hasRoom = GENERATE(false, true);
    if (!hasRoom) {
        const auto longest = pomeloport::fromSeconds(10 * policy.maximumWaitShare);
        CHECK(std::holds_alternative<Failure>(choose(Start + longest)));
        return;
    }
    for (std::uint64_t i = 1; i <= 2; ++i) {
        placement.closed(prompt(i, 28'000), 1, "i0", Outcome::Completed, Start + 500ms);
    }
    CHECK(std::holds_alternative<Route>(choose(Start + 3s)));
}

// Guards against calls that waited for the configuration at the start of their instance and were refused as soon as
// they found no free server: the wait, which they had not chosen, had used up the time in which they might wait for a
// place.
TEST_CASE("the wait for a place begins when a call may be placed", "[entryplacement]")
{
    const bool isLong = GENERATE(false, true);
    EntryPolicy policy;
    policy.guaranteedShare = 0;
    policy.engines.deferralMinimumPrefillMs = 100;
    EntryPlacement placement(policy);
    auto work = isLong ? longPrompt() : plainCall();
    if (isLong) {
        addLatencySensitiveStreams(placement);
    } else {
        work.deadline = Start + 10s;
        placement.update(fleet(1, false), Start);
        for (std::uint64_t i = 2; i <= 7; ++i) {
            placement.opened(plainCall(i), 1, Route{{{"i0", 0, 0}}}, {}, Start);
        }
    }
    PlacementTrace trace;
    const auto waitsAt = [&](Instant now) {
        return std::holds_alternative<WaitUntil>(placement.choose(work, RouteQuery{nullptr, 1, {}}, now, trace));
    };
    CHECK(waitsAt(Start + 3400ms));
    CHECK_FALSE(waitsAt(Start + 3600ms));
    // Passed on with six seconds left, of which it may wait 2.1.
    work.startWait = 4s;
    CHECK(waitsAt(Start + 4s));
    CHECK(waitsAt(Start + 6050ms));
    CHECK_FALSE(waitsAt(Start + 6200ms));
}

// Guards against requests without an answer after a planned stop: a prompt was deferred to a time after the end of its
// instance.
TEST_CASE("a prompt is not deferred by an instance that stops", "[entryplacement]")
{
    const bool guaranteed = GENERATE(false, true);
    EntryPolicy policy;
    policy.guaranteedShare = guaranteed ? 1 : 0;
    policy.engines.deferralMinimumPrefillMs = 100;
    EntryPlacement placement(policy);
    addLatencySensitiveStreams(placement);
    auto work = longPrompt();
    PlacementTrace trace;
    REQUIRE(std::holds_alternative<WaitUntil>(placement.choose(work, RouteQuery{nullptr, 1, {}}, Start, trace)));
    work.stopsAt = Start + 7600ms;
    const auto decision = placement.choose(work, RouteQuery{nullptr, 1, {}}, Start + 100ms, trace);
    if (guaranteed) {
        CHECK(std::holds_alternative<Route>(decision));
        return;
    }
    const auto *failure = std::get_if<Failure>(&decision);
    REQUIRE(failure);
    CHECK(failure->verdict == Verdict::NotRun);
    CHECK(failure->reason == pomeloport::ReasonCode::Stopping);
    // Another instance serves it within its target.
    CHECK(failure->retryAfter < work.target / 4);
}

// Guards against requests without an answer after a planned stop: a call may wait for a place for a share of its time,
// which can be longer than its instance exists.
TEST_CASE("a call that waits on a stopping instance is refused while it can still be served elsewhere",
          "[entryplacement]")
{
    PlacementFixture fixture(0);
    auto work = plainCall();
    work.deadline = Start + 60s;
    work.stopsAt = Start + 7600ms;
    CHECK(std::holds_alternative<WaitUntil>(fixture.choose(work, {}, Start)));
    const auto late = *work.stopsAt - work.target + 1ms;
    const auto decision = fixture.choose(work, {}, late);
    const auto *failure = std::get_if<Failure>(&decision);
    REQUIRE(failure);
    CHECK(failure->verdict == Verdict::NotRun);
    CHECK(failure->reason == pomeloport::ReasonCode::Stopping);
}

// Guards against streams that are cut at the end of a planned stop: calls were admitted until 2.5 s before it, whatever
// they needed.
TEST_CASE("a stopping instance admits only calls that it can complete", "[entryplacement]")
{
    PlacementFixture fixture(1, true);
    auto work = prompt(1, 1000);
    CHECK(fixture.placement.canFinish(work, Start));
    work.stopsAt = Start + 7600ms;
    work.maximumAnswerTokens = 2000;
    CHECK(fixture.placement.canFinish(work, Start));
    // Fifty events, one for each pass of 40 ms.
    CHECK_FALSE(fixture.placement.canFinish(work, *work.stopsAt - 2s));
    work.deadline = *work.stopsAt;
    CHECK(fixture.placement.canFinish(work, *work.stopsAt - 2s));
}

// Guards against streams that arrive late in a planned stop, are passed on and are cut at its end, because their
// servers take longer than predicted.
TEST_CASE("a stopping instance admits a late call only if its deadline comes before the end", "[entryplacement]")
{
    const bool engines = GENERATE(false, true);
    PlacementFixture fixture(1, engines);
    auto work = engines ? prompt(1, 1000) : plainCall();
    work.deadline = Start + 60s;
    work.maximumAnswerTokens = 10;
    work.stopsAt = Start + 30s;
    CHECK(fixture.placement.canFinish(work, Start));
    work.arrivedLate = true;
    CHECK_FALSE(fixture.placement.canFinish(work, Start));
    work.deadline = *work.stopsAt;
    CHECK(fixture.placement.canFinish(work, Start));
}

// Guards against holding calls of a service that has no server, and against refusing all while servers are replaced.
TEST_CASE("calls wait for a server only as long as a replacement lasts", "[entryplacement]")
{
    const bool engines = GENERATE(false, true);
    const EntryPolicy policy;
    EntryPlacement placement(policy);
    placement.update(fleet(0, engines));
    auto work = engines ? prompt(1, 2000) : plainCall();
    work.deadline = Start + 60s;
    work.abandonedAt = work.deadline;
    work.target = 20s;
    const auto choose = [&](Instant now) {
        PlacementTrace trace;
        return placement.choose(work, RouteQuery{nullptr, 1, {}}, now, trace);
    };
    const auto gapEnd = Start + policy.longestServerGap;
    CHECK(std::holds_alternative<WaitUntil>(choose(Start)));
    CHECK(std::holds_alternative<WaitUntil>(choose(gapEnd - 1ms)));
    CHECK_FALSE(placement.lacksServers(work, gapEnd - 1ms));
    const auto refused = choose(gapEnd);
    REQUIRE(std::holds_alternative<Failure>(refused));
    CHECK(std::get<Failure>(refused).verdict == Verdict::NotRun);
    CHECK(std::get<Failure>(refused).reason == pomeloport::ReasonCode::NoBackend);
    CHECK(std::get<Failure>(refused).retryAfter);
    CHECK(placement.lacksServers(work, gapEnd));

    placement.update(fleet(1, engines));
    CHECK(std::holds_alternative<Route>(choose(gapEnd + 1s)));
    placement.update(fleet(0, engines));
    CHECK(std::holds_alternative<WaitUntil>(choose(gapEnd + 2s)));
}

// Guards against streams that are cut at the end of a planned stop: the estimate shared a prefill among leaving
// engines.
TEST_CASE("a stopping instance admits no prompt whose prefill outlasts the stop", "[entryplacement]")
{
    auto state = std::make_shared<FleetState>(*fleet(21, true));
    for (auto &[id, backend] : state->backends) {
        backend.leaving = id != "i0";
    }
    EntryPlacement placement(EntryPolicy{}, 1);
    placement.update(state);
    // 900 ms of prefill at the only engine that takes work.
    auto work = prompt(1, 90'000);
    work.target = 3s;
    work.abandonedAt = work.deadline;
    work.maximumAnswerTokens = 100;
    work.stopsAt = Start + 500ms;
    CHECK_FALSE(placement.canFinish(work, Start));
}

// Guards against attempts that begin right before the end of a planned stop and are cut.
TEST_CASE("a stopping instance begins no attempt that ends after the stop", "[entryplacement]")
{
    PlacementFixture fixture(1, true);
    auto work = prompt(1, 30'000);
    work.maximumAnswerTokens = 2000;
    work.stopsAt = Start + 7600ms;
    PlacementTrace trace;
    for (const std::uint32_t attempt : {1U, 2U}) {
        const auto decision =
            fixture.placement.choose(work, RouteQuery{nullptr, attempt, {}}, *work.stopsAt - 50ms, trace);
        INFO("attempt " << attempt << ", predicted first event " << trace.predictedFirst.count() / 1000 << " ms");
        CHECK(std::holds_alternative<Failure>(decision));
    }
}

// Guards against refusing a prompt at a planned stop although it could be placed and completed.
TEST_CASE("a deferred prompt whose latest start has come is served by a stopping instance that can complete it",
          "[entryplacement]")
{
    EntryPolicy policy;
    policy.guaranteedShare = 1;
    policy.engines.deferralMinimumPrefillMs = 100;
    EntryPlacement placement(policy);
    addLatencySensitiveStreams(placement);
    auto work = longPrompt();
    work.abandonedAt = Start + 2s;
    PlacementTrace trace;
    REQUIRE(std::holds_alternative<WaitUntil>(placement.choose(work, RouteQuery{nullptr, 1, {}}, Start, trace)));
    const auto due = trace.waitLimit;
    REQUIRE(std::holds_alternative<Route>(placement.choose(work, RouteQuery{nullptr, 1, {}}, due, trace)));
    work.maximumAnswerTokens = work.answerTokens;
    work.stopsAt = due + 6s;
    REQUIRE(placement.canFinish(work, due));
    CHECK(std::holds_alternative<Route>(placement.choose(work, RouteQuery{nullptr, 1, {}}, due, trace)));
}

// Guards against refusing calls from the begin of a planned stop on that end seconds before its end.
TEST_CASE("a stopping instance admits a stream whose longest answer ends well before the stop", "[entryplacement]")
{
    PlacementFixture fixture(1, true);
    auto work = prompt(1, 1000);
    work.maximumAnswerTokens = 4200;
    work.stopsAt = Start + 7600ms;
    // 105 passes of 40 ms and 10 ms of prefill.
    CHECK(fixture.placement.canFinish(work, Start));
}

// Guards against requests to a server that says in its answers that it leaves, or wants none for a time, while its
// entry is still ready: first attempts, repeats and helpers of long prompts.
TEST_CASE("servers that leave or are paused get no requests", "[entryplacement]")
{
    const bool engines = GENERATE(false, true);
    const auto notice = GENERATE(ServerNotice{true, std::nullopt}, ServerNotice{false, Duration(4s)});
    PlacementFixture fixture(3, engines);
    const auto state = fleet(3, engines);
    const auto key = backendKey(state->backends.at("i1"));
    Route before{{{"i0", 0, 0}}};
    before.helpers.push_back({"i1", {}});
    CHECK(fixture.placement.mayBeSent(before, Start));
    CHECK(fixture.placement.noticed(key, notice, NoticeSource::Answer, Start).change != ServerNotices::Change::None);
    CHECK(fixture.placement.nameOf(key) == "i1");
    CHECK_FALSE(fixture.placement.mayBeSent(before, Start));
    CHECK_FALSE(fixture.placement.mayBeSent(Route{{{"i1", 0, 0}}}, Start));
    for (std::uint64_t i = 1; i <= 3; ++i) {
        const auto work = engines ? prompt(i, 60'000) : plainCall(i);
        const auto decision = fixture.choose(work);
        const auto *route = std::get_if<Route>(&decision);
        if (!route) {
            continue;
        }
        CHECK(route->members.front().backend != "i1");
        for (const auto &helper : route->helpers) {
            CHECK(helper.backend != "i1");
        }
        fixture.placement.opened(work, 1, *route, {}, Start);
    }
    // An entry of the same incarnation that reads "ready" does not undo it; another incarnation begins anew.
    fixture.placement.update(state, Start + 1s);
    CHECK_FALSE(fixture.placement.mayBeSent(Route{{{"i1", 0, 0}}}, Start + 1s));
    auto restarted = std::make_shared<FleetState>(*state);
    restarted->backends.at("i1").startedAt = 2;
    fixture.placement.update(restarted, Start + 2s);
    CHECK(fixture.placement.mayBeSent(Route{{{"i1", 0, 0}}}, Start + 2s));
}

TEST_CASE("an entry that tells of leaving holds against a later one of the same incarnation", "[entryplacement]")
{
    PlacementFixture fixture(2);
    auto leaving = std::make_shared<FleetState>(*fleet(2, false));
    leaving->backends.at("i0").leaving = true;
    fixture.placement.update(leaving, Start);
    fixture.placement.update(fleet(2, false), Start + 1s);
    CHECK(fixture.open(plainCall(1), Start + 1s) == "i1");
    CHECK(fixture.open(plainCall(2), Start + 1s) == "i1");
}

// Load pattern: every server of a service turns requests away for four seconds, and callers go on coming.
TEST_CASE("while all servers are paused calls wait for the end or are refused at once", "[entryplacement]")
{
    PlacementFixture fixture(2);
    const auto state = fleet(2, false);
    for (const auto &[name, backend] : state->backends) {
        fixture.placement.noticed(backendKey(backend), {false, Duration(4s)}, NoticeSource::Answer, Start);
    }
    std::set<std::int64_t> retryTimes;
    for (std::uint64_t i = 1; i <= 20; ++i) {
        const auto decision = fixture.choose(plainCall(i));
        const auto *failure = std::get_if<Failure>(&decision);
        REQUIRE(failure);
        CHECK(failure->verdict == Verdict::NotRun);
        REQUIRE(failure->retryAfter);
        CHECK(*failure->retryAfter >= 4s);
        CHECK(*failure->retryAfter <= 6s);
        retryTimes.insert(failure->retryAfter->count());
    }
    CHECK(retryTimes.size() > 10);

    auto patient = plainCall(30);
    patient.deadline = Start + 20s;
    const auto waits = fixture.choose(patient);
    const auto *wait = std::get_if<WaitUntil>(&waits);
    REQUIRE(wait);
    CHECK(wait->at >= Start + 100ms);

    // One server that is not paused takes all calls, also if it has asked others for a pause.
    fixture.placement.update(fleet(3, false), Start);
    const auto third = backendKey(fleet(3, false)->backends.at("i2"));
    fixture.placement.noticed(third, {false, Duration(4s)}, NoticeSource::Peer, Start);
    CHECK(fixture.open(plainCall(40)) == "i2");
}

TEST_CASE("a service whose servers all leave counts as one without servers", "[entryplacement]")
{
    PlacementFixture fixture(2);
    const auto state = fleet(2, false);
    for (const auto &[name, backend] : state->backends) {
        fixture.placement.noticed(backendKey(backend), {true, std::nullopt}, NoticeSource::Peer, Start);
    }
    const auto first = fixture.choose(plainCall(1));
    CHECK(std::holds_alternative<WaitUntil>(first));
    CHECK(fixture.placement.lacksServers(plainCall(1), Start + 3s));
    auto late = plainCall(2);
    late.arrival = Start + 3s;
    late.deadline = Start + 8s;
    const auto refused = fixture.choose(late, {}, Start + 3s);
    REQUIRE(std::holds_alternative<Failure>(refused));
    CHECK(std::get<Failure>(refused).verdict == Verdict::NotRun);
}

TEST_CASE("a server that another instance was asked to spare comes after the others", "[entryplacement]")
{
    PlacementFixture fixture(2);
    const auto key = backendKey(fleet(2, false)->backends.at("i0"));
    fixture.placement.noticed(key, {false, Duration(4s)}, NoticeSource::Peer, Start);
    CHECK(fixture.open(plainCall(1)) == "i1");
    CHECK(fixture.open(plainCall(2)) == "i1");
    CHECK(fixture.placement.noticeMessages(Start).empty());
    CHECK(fixture.placement.noticeMetricsText(Start).find("pomelo_servers_leaving 0") != std::string::npos);
}

// Guards against bytes that instances of earlier versions cannot read, and against sharing that nobody has turned on.
TEST_CASE("work tells its organisation only if the engines are shared by organisation", "[entryplacement]")
{
    EntryPolicy policy;
    policy.shares.enabled = GENERATE(false, true);
    EntryPlacement placement(policy);
    auto state = std::make_shared<FleetState>(*fleet(1, true));
    auto routing = std::make_shared<RoutingTable>(*state->routing);
    routing->organisationsByKey["key"] = {"north", std::nullopt};
    state->routing = routing;
    placement.update(state);
    PlacementTrace trace;
    const auto begin = [&](std::uint64_t sequence) {
        auto work = prompt(sequence, 5'000);
        work.organisation = organisationKey("north");
        work.priority = 2;
        const auto decision = placement.choose(work, RouteQuery{nullptr, 1, {}}, Start, trace);
        if (const auto *route = std::get_if<Route>(&decision)) {
            placement.opened(work, 1, *route, {}, Start);
        }
    };
    // Three get the slots of the engine, the last one waits.
    for (std::uint64_t i = 1; i <= 4; ++i) {
        begin(i);
    }
    const auto changes = placement.takeChanges(Start);
    REQUIRE(changes);
    REQUIRE(changes->items.size() == 4);
    CHECK(std::ranges::count_if(changes->items, [](const auto &item) { return item.queuedFor != 0; }) == 1);
    const WorkOrigin origin{organisationKey("north"), 2, ServedOften::Alike};
    for (const auto &item : changes->items) {
        CHECK(item.origin == (policy.shares.enabled ? origin : WorkOrigin{}));
    }
    CHECK((placement.sharesMetricsText(Start).find("engine_share{organisation=\"north\"} 1.0") != std::string::npos)
          == policy.shares.enabled);
}

// Guards against a server outside the allowed regions being chosen for an attempt, as a helper or for memory.
TEST_CASE("a restricted call is sent to servers of its regions only", "[entryplacement][region]")
{
    const RegionOfDomain regions{{"a", "north"}, {"b", "south"}};
    const RegionFilter north(std::vector<std::string>{"north"}, std::nullopt, regions);
    const auto state = [](bool engines) {
        auto result = std::make_shared<FleetState>(*fleet(12, engines));
        const std::vector<std::string> domains{"a", "b", ""};
        std::size_t number = 0;
        for (auto &[id, backend] : result->backends) {
            backend.failureDomain = domains[number++ % domains.size()];
        }
        return std::shared_ptr<const FleetState>(result);
    };
    const auto isInside = [](const FleetState &fleetState, const std::string &id) {
        return fleetState.backends.at(id).failureDomain == "a";
    };
    PlacementFixture plain(0);
    const auto services = state(false);
    plain.placement.update(services, Start);
    for (std::uint64_t i = 1; i <= 24; ++i) {
        auto work = plainCall(i);
        work.regions = north;
        CHECK(isInside(*services, plain.open(work)));
    }
    // Those inside are full, and the others free.
    auto waiting = plainCall(25);
    waiting.regions = north;
    CHECK(std::holds_alternative<WaitUntil>(plain.choose(waiting)));
    CHECK(std::holds_alternative<Route>(plain.choose(plainCall(26))));

    PlacementFixture prompts(0, true);
    const auto engines = state(true);
    prompts.placement.update(engines, Start);
    auto large = prompt(1, 90'000);
    large.regions = north;
    const auto decision = prompts.choose(large);
    const auto *route = std::get_if<Route>(&decision);
    REQUIRE(route);
    CHECK(isInside(*engines, route->members.front().backend));
    REQUIRE_FALSE(route->helpers.empty());
    CHECK(std::ranges::all_of(route->helpers, [&](const auto &helper) { return isInside(*engines, helper.backend); }));
    auto larger = prompt(2, 250'000);
    larger.regions = north;
    CHECK(std::holds_alternative<pomeloport::NeedsGroup>(prompts.choose(larger)));
    const auto plan = prompts.placement.planGroup(larger, {}, Start);
    REQUIRE(plan);
    CHECK(isInside(*engines, plan->route.members.front().backend));
    REQUIRE_FALSE(plan->route.helpers.empty());
    CHECK(std::ranges::all_of(plan->route.helpers,
                              [&](const auto &helper) { return isInside(*engines, helper.backend); }));
}

// Guards against calls that wait for a server that may never come, and against refusals of calls that may be served.
TEST_CASE("a restricted call is refused at once if no server of its service is inside", "[entryplacement][region]")
{
    const RegionOfDomain regions{{"a", "north"}, {"b", "south"}};
    const auto allowing = [&regions](const std::string &region) {
        return RegionFilter(std::vector<std::string>{region}, std::nullopt, regions);
    };
    for (const bool engines : {false, true}) {
        auto state = std::make_shared<FleetState>(*fleet(2, engines));
        state->backends.at("i0").failureDomain = std::string("a");
        PlacementFixture fixture(0, engines);
        auto work = engines ? prompt(1, 1000) : plainCall(1);
        for (const char *region : {"south", "west"}) {
            fixture.placement.update(state, Start);
            work.regions = allowing(region);
            const auto decision = fixture.choose(work);
            const auto *failure = std::get_if<Failure>(&decision);
            REQUIRE(failure);
            CHECK(failure->verdict == Verdict::NotRun);
            CHECK(failure->reason == pomeloport::ReasonCode::Region);
            CHECK(fixture.placement.regionFailure(work));
            CHECK_FALSE(fixture.placement.hasPrompts());
        }
        work.regions = allowing("north");
        CHECK_FALSE(fixture.placement.regionFailure(work));
        CHECK(std::holds_alternative<Route>(fixture.choose(work)));
        // Without any server, calls wait for one as others do, except those that no server can ever serve.
        fixture.placement.update(fleet(0, engines), Start);
        CHECK(std::holds_alternative<WaitUntil>(fixture.choose(work)));
        work.regions = allowing("west");
        CHECK(std::holds_alternative<Failure>(fixture.choose(work)));
    }
}

// Guards against restricted prompts that wait for a slot inside keeping others from slots that are free outside.
TEST_CASE("a prompt does not wait behind those of other regions", "[entryplacement][region]")
{
    const RegionOfDomain regions{{"a", "north"}, {"b", "south"}};
    auto state = std::make_shared<FleetState>(*fleet(2, true));
    state->backends.at("i0").failureDomain = std::string("a");
    state->backends.at("i1").failureDomain = std::string("b");
    PlacementFixture fixture(0, true);
    fixture.placement.update(state, Start);
    std::uint64_t sequence = 1;
    for (int restricted = 0; restricted < 12; ++restricted) {
        auto work = prompt(sequence++, 1000);
        work.regions = RegionFilter(std::vector<std::string>{"north"}, std::nullopt, regions);
        fixture.open(work);
    }
    CHECK(fixture.open(prompt(sequence, 1000)) == "i1");
}

TEST_CASE("a prompt is refused before its caller gives up, but not in the middle of its answer", "[entryplacement]")
{
    // Guards against callers that give up on a prompt nobody will serve, and against cutting a stream that goes on at
    // another engine: its caller waits for the rest.
    EntryPolicy policy;
    policy.refuseBeforeAbandonment = true;
    EntryPlacement placement(policy, 1);
    placement.update(fleet(1, true));
    for (std::uint64_t i = 1; i <= 4; ++i) {
        placement.opened(prompt(i, 1'000), 1, Route{{{"i0", 0, 0}}}, {}, Start);
        placement.answered(prompt(i, 1'000), 1, "i0", Start + 100ms);
    }
    PlacementTrace trace;
    const auto decide = [&](std::uint32_t attempt, bool answerBegun, Instant now) {
        return placement.choose(prompt(9, 1'000), RouteQuery{nullptr, attempt, {}, answerBegun}, now, trace);
    };
    CHECK(std::holds_alternative<WaitUntil>(decide(1, false, Start + 1500ms)));
    CHECK(std::holds_alternative<Failure>(decide(1, false, Start + 1950ms)));
    CHECK(std::holds_alternative<WaitUntil>(decide(2, true, Start + 3s)));
}

TEST_CASE("what happens to attempts at an earlier incarnation does not count for the new one", "[entryplacement]")
{
    // Guards against a server that has just started and gets nothing, since calls broke when its predecessor ended.
    EntryPlacement placement({}, 1);
    placement.update(fleet(2, false));
    for (std::uint64_t i = 1; i <= 6; ++i) {
        placement.opened(plainCall(i), 1, Route{{{"i0", 0, 0}}}, {}, Start);
    }
    auto replaced = std::make_shared<FleetState>(*fleet(2, false));
    replaced->backends["i0"].startedAt = 2;
    placement.update(replaced);
    for (std::uint64_t i = 1; i <= 6; ++i) {
        placement.closed(plainCall(i), 1, "i0", pomeloport::action::CloseAttempt::Outcome::Broken, Start + 10ms);
    }
    std::size_t chosen = 0;
    for (std::uint64_t i = 11; i <= 20; ++i) {
        PlacementTrace trace;
        const auto decision = placement.choose(plainCall(i), RouteQuery{nullptr, 1, {}}, Start + 20ms, trace);
        const auto *route = std::get_if<Route>(&decision);
        chosen += route && route->members.front().backend == "i0" ? 1 : 0;
    }
    CHECK(chosen == 5);
}
