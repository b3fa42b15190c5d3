#include "pomeloport/coordination/placement.h"

#include <catch2/catch.hpp>

using namespace pomeloport;
using namespace std::chrono_literals;

namespace
{

BackendView engineView(const std::string &name, std::uint64_t queuedTokens)
{
    BackendView view;
    view.server.name = name;
    view.server.kvTokens = 400'000;
    view.server.load = {"reader"};
    view.report.engine = name;
    view.report.sequence = 1;
    view.report.kvTokensTotal = 400'000;
    view.report.queuedPrefillTokens = queuedTokens;
    view.report.prefillTokensPerSecond = 20'000;
    view.report.loaded = {"reader"};
    return view;
}

std::shared_ptr<Snapshot> snapshotOf(std::vector<BackendView> backends)
{
    auto snapshot = std::make_shared<Snapshot>();
    snapshot->admitting = true;
    snapshot->backends = std::move(backends);
    return snapshot;
}

RequestSpec shortRequest()
{
    RequestSpec request;
    request.organisation = "yard";
    request.model = "reader";
    request.promptTokens = 1'000;
    request.maxTokens = 100;
    request.deadline = Instant{} + 60s;
    return request;
}

std::string chosenBackend(const RouteDecision &decision)
{
    const auto *route = std::get_if<Route>(&decision);
    return route == nullptr ? std::string{} : route->members.front().backend;
}

} // namespace

TEST_CASE("placement sends a short request to the less loaded of two engines")
{
    Placement placement(1);
    placement.update(snapshotOf({engineView("e1", 90'000), engineView("e2", 0)}), Instant{});
    const auto request = shortRequest();
    REQUIRE(chosenBackend(placement.choose({&request, 1, {}}, Instant{})) == "e2");
}

TEST_CASE("placement never returns an avoided, leaving or unsuitable engine")
{
    auto leaving = engineView("leaving", 0);
    leaving.state = BackendState::Leaving;
    auto other = engineView("other", 0);
    other.report.loaded = {"writer"};
    Placement placement(1);
    placement.update(snapshotOf({leaving, other, engineView("failed", 0), engineView("good", 5'000)}), Instant{});
    const auto request = shortRequest();
    for (int repeat = 0; repeat < 50; ++repeat) {
        REQUIRE(chosenBackend(placement.choose({&request, 2, {"failed"}}, Instant{})) == "good");
    }
}

TEST_CASE("placement refuses requests as not run before the first snapshot and after the deadline")
{
    Placement placement(1);
    const auto request = shortRequest();
    const auto refused = placement.choose({&request, 1, {}}, Instant{});
    REQUIRE(std::get<Failure>(refused).verdict == Verdict::NotRun);
    placement.update(snapshotOf({engineView("e1", 0)}), Instant{});
    const auto late = placement.choose({&request, 1, {}}, request.deadline);
    REQUIRE(std::get<Failure>(late).reason == ReasonCode::DeadlinePassed);
}

TEST_CASE("placement counts an attempt in flight until it is closed, and ignores a second close")
{
    Placement placement(1);
    placement.update(snapshotOf({engineView("e1", 0)}), Instant{});
    const auto request = shortRequest();
    const StreamAddress stream{{"entry-1", 1}, 1, 1};
    placement.attemptOpened(stream, request, {"e1", 0, 1'000}, Instant{});
    REQUIRE(placement.attemptsInFlight() == 1);
    placement.attemptClosed(stream, "e1", action::CloseAttempt::Outcome::Broken, Instant{} + 1s);
    placement.attemptClosed(stream, "e1", action::CloseAttempt::Outcome::Broken, Instant{} + 1s);
    REQUIRE(placement.attemptsInFlight() == 0);
}

TEST_CASE("placement refuses an unreachable deadline only when the decode step has been measured")
{
    auto request = shortRequest();
    request.maxTokens = 100'000;
    Placement unmeasured(1);
    unmeasured.update(snapshotOf({engineView("e1", 0)}), Instant{});
    REQUIRE(chosenBackend(unmeasured.choose({&request, 1, {}}, Instant{})) == "e1");
    auto view = engineView("e1", 0);
    view.report.decodeStepSeconds = 0.03;
    Placement measured(1);
    measured.update(snapshotOf({view}), Instant{});
    const auto refused = measured.choose({&request, 1, {}}, Instant{});
    REQUIRE(std::get<Failure>(refused).reason == ReasonCode::DeadlineUnreachable);
    REQUIRE(std::get<Failure>(refused).verdict == Verdict::NotRun);
}
