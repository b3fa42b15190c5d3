#include "simulation.h"

#include <algorithm>
#include <utility>

/// The requests' side of the simulation: decisions, attempts, groups, retries and deadlines.
namespace benchdecisions
{

using namespace pomeloport;
using namespace std::chrono_literals;
using CloseOutcome = action::CloseAttempt::Outcome;

namespace
{

constexpr std::uint32_t MaximumAttempts = 4;
constexpr Duration FirstRetryDelay = 20ms;
// An engine under the policy TryNext refuses when more prompt tokens than this wait.
constexpr std::int64_t RefusalThresholdTokens = 30'000;
constexpr std::uint32_t MostRefusals = 3;
constexpr Duration HomeTimeout = 50ms;
// Import of a segment's KV cache by the next member of a group.
constexpr Duration SegmentTransferTime = 50ms;

} // namespace

Simulation::Simulation(const Deployment &deployment, const Scenario &scenario, PolicyKind policy, const Trace &trace)
    : m_deployment(deployment)
    , m_scenario(scenario)
    , m_policy(policy)
    , m_trace(trace)
    , m_ledgers(deployment.engines)
    , m_states(trace.size())
    , m_coordinator({}, 1)
    , m_open(trace.size())
    , m_random(trace.size())
{
    m_result.outcomes.resize(trace.size());
    const bool placement = policy == PolicyKind::Ours || policy == PolicyKind::Oracle;
    const auto routers = policy == PolicyKind::Oracle ? 1 : deployment.routers;
    for (std::size_t router = 0; router < routers; ++router) {
        const auto seed = 1 + router * 104'729;
        if (placement) {
            m_routers.emplace_back(std::make_unique<Placement>(seed));
        } else {
            m_routers.emplace_back(BaselineRouter(policy, seed, deployment.engines));
        }
    }
    for (std::size_t request = 0; request < trace.size(); ++request) {
        m_bySpec[&trace[request].spec] = request;
    }
}

RunResult Simulation::run()
{
    startEngines();
    publish();
    scheduleReports();
    scheduleFaults();
    for (std::size_t request = 0; request < m_trace.size(); ++request) {
        const auto &spec = m_trace[request].spec;
        m_queue.at(spec.arrival, [this, request] { decide(request); });
        m_queue.at(spec.deadline, [this, request] { deadline(request); });
    }
    while (m_open > 0 && m_queue.runOne()) {
    }
    // Messages under way at the end of the last request may still free memory.
    const auto settled = m_queue.now() + 5s;
    while (m_queue.now() < settled && m_queue.runOne()) {
    }
    for (const auto &engine : m_engines) {
        m_result.leakedTokens += engine.model.kvTokensUsed();
    }
    for (const auto &router : m_routers) {
        if (const auto *placement = std::get_if<std::unique_ptr<Placement>>(&router)) {
            m_result.leakedBookings += (*placement)->attemptsInFlight();
        }
    }
    m_result.leakedBookings += m_coordinator.granted() + m_coordinator.waiting();
    return std::move(m_result);
}

void Simulation::decide(std::size_t request)
{
    auto &state = m_states[request];
    if (state.closed || state.route || state.groupAsked) {
        return;
    }
    ++state.wakeNumber;
    const bool waited = std::exchange(state.waiting, false);
    if (m_policy == PolicyKind::Oracle) {
        refreshOracle();
    }
    const RouteQuery query{&m_trace[request].spec, state.attempt + 1, state.avoid};
    auto &router = m_routers[routerOf(request)];
    if (auto *placement = std::get_if<std::unique_ptr<Placement>>(&router)) {
        follow(request, (*placement)->choose(query, m_queue.now()));
        if (waited && !state.waiting) {
            wakeWaiting(routerOf(request));
        }
        return;
    }
    const auto decision = std::get<BaselineRouter>(router).choose(query, {*m_snapshot, m_ledgers});
    const auto *route = std::get_if<Route>(&decision);
    if (m_policy == PolicyKind::HomeGranted && route != nullptr) {
        // The home answers after a round trip, or its silence is noticed by a timeout.
        const auto engine = engineIndex(route->members.front().backend);
        m_ledgers[engine].pendingTokens += static_cast<std::int64_t>(query.request->promptTokens);
        const auto wait = m_ledgers[engine].homeAnswers ? 2 * delay() : HomeTimeout;
        state.groupAsked = true;
        m_queue.after(wait, [this, request, decision, engine] {
            m_states[request].groupAsked = false;
            m_ledgers[engine].pendingTokens -= static_cast<std::int64_t>(m_trace[request].spec.promptTokens);
            if (!m_states[request].closed) {
                follow(request, decision);
            }
        });
        m_result.outcomes[request].admitted = true;
        return;
    }
    follow(request, decision);
}

void Simulation::follow(std::size_t request, const RouteDecision &decision)
{
    auto &state = m_states[request];
    auto &outcome = m_result.outcomes[request];
    if (const auto *failure = std::get_if<Failure>(&decision)) {
        fail(request, *failure);
        return;
    }
    outcome.admitted = true;
    if (const auto *wait = std::get_if<WaitUntil>(&decision)) {
        state.waiting = true;
        m_queue.at(std::max(wait->at, m_queue.now() + 1ms), [this, request, number = state.wakeNumber] {
            if (m_states[request].wakeNumber == number && m_states[request].waiting) {
                decide(request);
            }
        });
        return;
    }
    ++state.attempt;
    if (const auto *group = std::get_if<NeedsGroup>(&decision)) {
        state.groupAsked = true;
        const auto &spec = m_trace[request].spec;
        GroupNeed need{addressOf(request), poolKey(spec), spec.promptTokens, group->tokens, spec.deadline};
        m_queue.after(2 * delay(), [this, need] { coordinate(groupevent::Reserve{need}); });
        return;
    }
    state.route = std::get<Route>(decision);
    openMember(request);
}

void Simulation::openMember(std::size_t request)
{
    auto &state = m_states[request];
    const auto &member = state.route->members[state.member];
    const auto engine = engineIndex(member.backend);
    auto &outcome = m_result.outcomes[request];
    ++outcome.attempts;
    if (state.member > 0) {
        // Members of one group serve one attempt.
        --outcome.attempts;
    }
    const auto now = m_queue.now();
    state.attemptOpenedAt = now;
    const auto tokens = member.segmentEnd - member.segmentBegin;
    m_ledgers[engine].pendingTokens += static_cast<std::int64_t>(tokens);
    state.inLedger = true;
    std::visit(
        [&](auto &router) {
            if constexpr (std::is_same_v<std::decay_t<decltype(router)>, BaselineRouter>) {
                router.opened(engine, tokens, now);
            } else {
                router->attemptOpened(addressOf(request), m_trace[request].spec, member, now);
            }
        },
        m_routers[routerOf(request)]);
    if (m_scenario.engineDiesAt > Duration::zero() && engine == 0) {
        const auto died = Instant{} + m_scenario.engineDiesAt;
        const auto back = Instant{} + m_scenario.engineReturnsAt;
        m_result.attemptsAtDeadEngine += now >= died && now < back ? 1 : 0;
        m_result.lateAttemptsAtDeadEngine += now >= died + 1s && now < back ? 1 : 0;
    }
    m_queue.after(delay(), [this, request, attempt = state.attempt] { submit(request, attempt); });
}

void Simulation::submit(std::size_t request, std::uint32_t attempt)
{
    auto &state = m_states[request];
    if (state.closed || state.attempt != attempt || !state.route) {
        return;
    }
    const auto &spec = m_trace[request].spec;
    const auto &member = state.route->members[state.member];
    const auto engine = engineIndex(member.backend);
    auto &model = m_engines[engine].model;
    GenerateCall call;
    call.stream = addressOf(request);
    call.model = spec.model;
    call.promptDigest = spec.promptDigest;
    call.promptTokens = spec.promptTokens;
    call.prefixBlocks = spec.prefixBlocks;
    call.maxTokens = spec.maxTokens;
    call.priority = state.route->priority;
    call.segmentBegin = member.segmentBegin;
    call.segmentEnd = member.segmentEnd;
    call.imports = state.imports;
    call.exportOnly = state.member + 1 < state.route->members.size();
    const bool queueIsLong =
        m_ledgers[engine].pendingTokens > RefusalThresholdTokens + static_cast<std::int64_t>(spec.promptTokens);
    const bool refusesLong = m_policy == PolicyKind::TryNext && state.refusals < MostRefusals && queueIsLong
        && state.route->members.size() == 1;
    if (!model.alive() || refusesLong || model.submit(call, m_queue.now())) {
        state.refusals += refusesLong ? 1 : 0;
        m_queue.after(delay(), [this, request, attempt] { refused(request, attempt); });
        return;
    }
    state.mayHaveRun = true;
    scheduleWake(engine);
}

void Simulation::refused(std::size_t request, std::uint32_t attempt)
{
    auto &state = m_states[request];
    if (state.closed || state.attempt != attempt || !state.route) {
        return;
    }
    state.avoid.push_back(state.route->members[state.member].backend);
    endAttempt(request, CloseOutcome::Refused);
    retry(request);
}

void Simulation::broken(std::size_t request, std::uint32_t attempt, const std::string &engine)
{
    auto &state = m_states[request];
    if (state.closed || state.attempt != attempt || !state.route) {
        return;
    }
    state.avoid.push_back(engine);
    cancelMember(request);
    endAttempt(request, CloseOutcome::Broken);
    retry(request);
}

void Simulation::retry(std::size_t request)
{
    auto &state = m_states[request];
    const auto verdict = state.mayHaveRun ? Verdict::MayHaveRun : Verdict::NotRun;
    if (state.attempt >= MaximumAttempts + state.refusals) {
        fail(request, {verdict, ReasonCode::BackendFailed, "attempts used up", {}});
        return;
    }
    if (auto *placement = std::get_if<std::unique_ptr<Placement>>(&m_routers[routerOf(request)])) {
        if (!(*placement)->permitRetry(m_queue.now())) {
            fail(request, {verdict, ReasonCode::BackendFailed, "retry budget used up", {}});
            return;
        }
    }
    const auto longest = FirstRetryDelay.count() << std::min(state.attempt, 6U);
    const Duration jittered{longest / 2 + static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(longest))};
    const bool immediate = m_policy == PolicyKind::TryNext && state.refusals > 0;
    m_queue.after(immediate ? Duration::zero() : jittered, [this, request] { decide(request); });
}

void Simulation::firstChunk(std::size_t request, std::uint32_t attempt)
{
    auto &state = m_states[request];
    if (state.closed || state.attempt != attempt || !state.route) {
        return;
    }
    auto &outcome = m_result.outcomes[request];
    if (!outcome.firstChunkAt) {
        outcome.firstChunkAt = m_queue.now();
    }
    const auto &member = state.route->members[state.member];
    const auto engine = engineIndex(member.backend);
    const auto tokens = member.segmentEnd - member.segmentBegin;
    std::visit(
        [&](auto &router) {
            if constexpr (std::is_same_v<std::decay_t<decltype(router)>, BaselineRouter>) {
                router.answered(engine, tokens, state.attemptOpenedAt);
            } else {
                router->firstChunk(addressOf(request), member.backend, m_queue.now());
            }
        },
        m_routers[routerOf(request)]);
    wakeWaiting(routerOf(request));
}

void Simulation::memberEnded(std::size_t request, std::uint32_t attempt, const std::string &blob)
{
    auto &state = m_states[request];
    if (state.closed || state.attempt != attempt || !state.route) {
        return;
    }
    const auto member = state.route->members[state.member];
    if (state.member + 1 == state.route->members.size()) {
        auto &outcome = m_result.outcomes[request];
        const auto chunks = m_trace[request].spec.maxTokens;
        outcome.chunkInterval = (m_queue.now() - *outcome.firstChunkAt) / std::max<std::uint64_t>(1, chunks - 1);
        outcome.endedAt = m_queue.now();
        endAttempt(request, CloseOutcome::Completed);
        finish(request);
        return;
    }
    closeMember(request, CloseOutcome::Completed);
    state.blobs.push_back({engineIndex(member.backend), blob});
    state.imports.push_back({member.backend, blob, member.segmentEnd - member.segmentBegin});
    ++state.member;
    m_queue.after(SegmentTransferTime, [this, request, attempt] {
        if (!m_states[request].closed && m_states[request].attempt == attempt && m_states[request].route) {
            openMember(request);
        }
    });
}

void Simulation::deadline(std::size_t request)
{
    auto &state = m_states[request];
    if (state.closed) {
        return;
    }
    if (state.route) {
        cancelMember(request);
        endAttempt(request, CloseOutcome::Abandoned);
    }
    const auto verdict = state.mayHaveRun ? Verdict::MayHaveRun : Verdict::NotRun;
    fail(request, {verdict, ReasonCode::DeadlinePassed, "the deadline has passed", {}});
}

void Simulation::cancelMember(std::size_t request)
{
    const auto &state = m_states[request];
    const auto engine = engineIndex(state.route->members[state.member].backend);
    m_queue.after(delay(), [this, engine, address = addressOf(request)] {
        if (m_engines[engine].model.alive()) {
            m_engines[engine].model.cancel(address, m_queue.now());
            scheduleWake(engine);
        }
    });
}

void Simulation::leaveLedger(std::size_t request)
{
    auto &state = m_states[request];
    if (!state.inLedger || !state.route) {
        return;
    }
    const auto &member = state.route->members[state.member];
    const auto tokens = static_cast<std::int64_t>(member.segmentEnd - member.segmentBegin);
    m_ledgers[engineIndex(member.backend)].pendingTokens -= tokens;
    state.inLedger = false;
}

void Simulation::closeMember(std::size_t request, CloseOutcome outcome)
{
    leaveLedger(request);
    auto &state = m_states[request];
    const auto &member = state.route->members[state.member];
    const auto engine = engineIndex(member.backend);
    const auto tokens = member.segmentEnd - member.segmentBegin;
    std::visit(
        [&](auto &router) {
            if constexpr (std::is_same_v<std::decay_t<decltype(router)>, BaselineRouter>) {
                router.answered(engine, tokens, state.attemptOpenedAt);
            } else {
                router->attemptClosed(addressOf(request), member.backend, outcome, m_queue.now());
            }
        },
        m_routers[routerOf(request)]);
}

void Simulation::endAttempt(std::size_t request, CloseOutcome outcome)
{
    auto &state = m_states[request];
    closeMember(request, outcome);
    for (const auto &blob : state.blobs) {
        m_queue.after(delay(), [this, blob] {
            if (m_engines[blob.engine].model.alive()) {
                m_engines[blob.engine].model.freeBlob(blob.name, m_queue.now());
                scheduleWake(blob.engine);
            }
        });
    }
    if (state.route->reservation != 0) {
        m_queue.after(2 * delay(), [this, stream = addressOf(request)] { coordinate(groupevent::Release{stream}); });
    }
    state.blobs.clear();
    state.imports.clear();
    state.member = 0;
    state.route.reset();
    wakeWaiting(routerOf(request));
}

void Simulation::finish(std::size_t request)
{
    auto &state = m_states[request];
    state.closed = true;
    state.waiting = false;
    --m_open;
    m_result.outcomes[request].closedAt = m_queue.now();
    if (auto *placement = std::get_if<std::unique_ptr<Placement>>(&m_routers[routerOf(request)])) {
        (*placement)->abandoned(m_trace[request].spec);
    }
}

void Simulation::fail(std::size_t request, Failure failure)
{
    // As in the request lifecycle, an earlier attempt of the request raises the verdict of a later refusal.
    if (m_states[request].mayHaveRun && failure.verdict == Verdict::NotRun) {
        failure.verdict = Verdict::MayHaveRun;
    }
    m_result.outcomes[request].failure = std::move(failure);
    if (m_states[request].groupAsked) {
        m_queue.after(2 * delay(), [this, stream = addressOf(request)] { coordinate(groupevent::Release{stream}); });
    }
    finish(request);
}

void Simulation::wakeWaiting(std::size_t router)
{
    auto *placement = std::get_if<std::unique_ptr<Placement>>(&m_routers[router]);
    if (placement == nullptr) {
        return;
    }
    if (const auto *spec = (*placement)->nextWaiting(m_queue.now())) {
        const auto request = m_bySpec.at(spec);
        if (m_states[request].waiting) {
            m_queue.after(Duration::zero(), [this, request] { decide(request); });
        }
    }
}

void Simulation::coordinate(const GroupEvent &event)
{
    for (const auto &action : m_coordinator.handle(event, m_queue.now())) {
        if (const auto *grant = std::get_if<groupaction::Grant>(&action)) {
            m_queue.after(2 * delay(), [this, grant = *grant] {
                auto &state = m_states[grant.stream.sequence];
                if (state.closed || !state.groupAsked || state.attempt != grant.stream.attempt) {
                    return;
                }
                state.groupAsked = false;
                state.route = grant.route;
                openMember(grant.stream.sequence);
            });
        } else if (const auto *refuse = std::get_if<groupaction::Refuse>(&action)) {
            m_queue.after(2 * delay(), [this, refuse = *refuse] {
                auto &state = m_states[refuse.stream.sequence];
                if (!state.closed && state.groupAsked) {
                    auto failure = refuse.failure;
                    failure.verdict = state.mayHaveRun ? Verdict::MayHaveRun : Verdict::NotRun;
                    fail(refuse.stream.sequence, std::move(failure));
                }
            });
        }
    }
}

StreamAddress Simulation::addressOf(std::size_t request) const
{
    std::string instance = "entry-";
    instance += std::to_string(m_trace[request].router);
    return {{std::move(instance), 1}, request, m_states[request].attempt};
}

std::size_t Simulation::routerOf(std::size_t request) const
{
    return m_trace[request].router % m_routers.size();
}

std::size_t Simulation::engineIndex(const std::string &name) const
{
    return m_engineIndex.at(name);
}

Duration Simulation::delay() const
{
    return m_deployment.networkDelay;
}

} // namespace benchdecisions
