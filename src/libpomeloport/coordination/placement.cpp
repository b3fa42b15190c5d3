#include "pomeloport/coordination/placement.h"

#include "fleetview.h"
#include "pomeloport/coordination/fairshares.h"
#include "pomeloport/coordination/retrybudget.h"
#include "pomeloport/coordination/waitingline.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <mutex>
#include <numeric>
#include <optional>
#include <random>
#include <utility>

namespace pomeloport
{

namespace
{

constexpr std::size_t RememberedPrefixes = 4096;
// Added to the score of an engine whose free memory is too small at present, so that it ranks after all others.
constexpr double NoMemoryScore = 1e6;
constexpr Duration ShortestRetryAfter = std::chrono::milliseconds(200);
constexpr Duration LongestRetryAfter = std::chrono::seconds(60);
// Fraction of the capacity that is always assumed to be available, because the demand forecast is coarse.
constexpr double MinimumCapacityFraction = 0.15;
// Slack between the predicted finish and the deadline, as a fraction of the predicted service time.
constexpr double DeadlineMargin = 0.25;

Failure notRun(ReasonCode reason, std::string detail, std::optional<Duration> retryAfter = {})
{
    Failure failure{Verdict::NotRun, reason, std::move(detail), {}};
    if (retryAfter) {
        const auto bounded = std::clamp(*retryAfter, ShortestRetryAfter, LongestRetryAfter);
        failure.retryAfter = std::chrono::ceil<std::chrono::milliseconds>(bounded);
    }
    return failure;
}

} // namespace

struct Placement::Implementation
{
    struct Candidate
    {
        std::uint32_t backend = 0;
        double score = std::numeric_limits<double>::infinity();
        Exclusion exclusion = Exclusion::None;
        detail::Prediction prediction;
    };

    Implementation(std::uint64_t seed, const PlacementPolicy &policy)
        : m_policy(policy)
        , m_fleet(m_policy)
        , m_random(seed)
    {
    }

    RouteDecision choose(const RouteQuery &query, Instant now, RouteExplanation *explanation);
    RouteDecision chooseService(const RouteQuery &query, const detail::Pool &pool, Instant now);
    RouteDecision chooseEngine(const RouteQuery &query, const detail::Pool &pool, Instant now);
    RouteDecision dispatch(const RouteQuery &query, const Candidate &candidate, const LineEntry &entry, Instant now);
    RouteDecision holdBack(const RouteQuery &query, const detail::Pool &pool, const LineEntry &entry, Instant now);
    std::optional<Candidate> best(const RouteQuery &query, const detail::Pool &pool, Instant now);
    Candidate examine(const RouteQuery &query, const detail::Pool &pool, std::uint32_t position, Instant now);
    std::vector<std::uint32_t> sample(const RequestSpec &request, const detail::Pool &pool);
    bool hasRoom(const Candidate &candidate, const RequestSpec &request, Instant now) const;
    bool yieldsToShorterPrompts(const RequestSpec &request, Instant now) const;
    LineEntry lineEntry(const RequestSpec &request, const Candidate &candidate, Instant now);
    EnginePriority priorityOf(const RequestSpec &request) const;
    double shareWeight(const std::string &organisation) const;
    std::size_t liveRouters() const;
    void explain(const RouteQuery &query, const detail::Pool &pool, Instant now, RouteExplanation &explanation);

    mutable std::mutex m_mutex;
    const PlacementPolicy m_policy;
    detail::FleetView m_fleet;
    RecentPrefixes m_prefixes{RememberedPrefixes};
    WaitingLine m_line;
    DemandMeter m_demand;
    FairShares m_shares;
    RetryBudget m_retries;
    std::mt19937_64 m_random;
    std::uint64_t m_examined = 0;
    /// When a prompt with engine priority Urgent or Normal was last held back.
    std::optional<Instant> m_shorterPromptHeldAt;
};

RouteDecision Placement::Implementation::choose(const RouteQuery &query, Instant now, RouteExplanation *explanation)
{
    const auto &request = *query.request;
    const auto *snapshot = m_fleet.snapshot();
    if (now >= request.deadline) {
        m_line.remove(&request);
        return notRun(ReasonCode::DeadlinePassed, "the deadline has passed");
    }
    if (snapshot == nullptr || !snapshot->admitting) {
        return notRun(ReasonCode::NotAdmitting, "the instance is not admitting requests", std::chrono::seconds(1));
    }
    const auto &pool = m_fleet.pool(request, now);
    if (explanation != nullptr) {
        explain(query, pool, now, *explanation);
    }
    if (pool.members.empty()) {
        m_line.remove(&request);
        return notRun(ReasonCode::NoBackend,
                      "no live backend server meets the requirements of the serving intent",
                      std::chrono::seconds(1));
    }
    if (request.backendKind == BackendKind::Service) {
        return chooseService(query, pool, now);
    }
    const auto needed = kvTokensOf(request);
    if (needed > pool.totalKvTokens) {
        return notRun(ReasonCode::PromptTooLarge, "no group of engines can hold the prompt");
    }
    if (needed > pool.largestKvTokens) {
        if (yieldsToShorterPrompts(request, now)) {
            return WaitUntil{now + m_policy.idlePollInterval};
        }
        return NeedsGroup{request.model, needed};
    }
    return chooseEngine(query, pool, now);
}

RouteDecision Placement::Implementation::chooseService(const RouteQuery &query, const detail::Pool &pool, Instant now)
{
    const auto candidate = best(query, pool, now);
    if (!candidate) {
        return WaitUntil{now + m_policy.pollInterval};
    }
    const auto &name = m_fleet.view(candidate->backend).server.name;
    m_fleet.breaker(name).sent(now);
    return Route{{{name, 0, query.request->promptTokens}}, EnginePriority::Normal, 0};
}

RouteDecision Placement::Implementation::chooseEngine(const RouteQuery &query, const detail::Pool &pool, Instant now)
{
    const auto &request = *query.request;
    const auto candidate = best(query, pool, now);
    if (!candidate) {
        return WaitUntil{now + m_policy.pollInterval};
    }
    const auto entry = lineEntry(request, *candidate, now);
    const bool known = m_line.contains(&request);
    if (!known && query.attempt == 1) {
        m_demand.arrived(entry, now);
        m_retries.requestStarted();
    }
    if (entry.latestStart < now) {
        m_line.remove(&request);
        return notRun(ReasonCode::DeadlineUnreachable,
                      "the answer cannot be completed before the deadline",
                      fromSeconds(candidate->prediction.wait));
    }
    const bool urgent = WaitingLine::rank(entry, now) > 1e11;
    const bool isNext = !m_line.anyRankedAbove(&request, entry, now);
    if (isNext && (hasRoom(*candidate, request, now) || (urgent && candidate->score < NoMemoryScore))) {
        return dispatch(query, *candidate, entry, now);
    }
    const bool groupDue = entry.kind == LineKind::Bulk && now >= request.arrival + m_policy.groupRequestDelay;
    if (groupDue && isNext && !yieldsToShorterPrompts(request, now)) {
        // No single engine has freed enough memory by itself: have the coordinator reserve it on a group.
        m_line.remove(&request);
        return NeedsGroup{request.model, kvTokensOf(request)};
    }
    return holdBack(query, pool, entry, now);
}

RouteDecision Placement::Implementation::dispatch(const RouteQuery &query,
                                                  const Candidate &candidate,
                                                  const LineEntry &entry,
                                                  Instant now)
{
    const auto &request = *query.request;
    const auto &name = m_fleet.view(candidate.backend).server.name;
    m_line.remove(&request);
    m_shares.recordUsage(request.organisation, shareWeight(request.organisation), entry.cost, now);
    m_prefixes.sent(request.prefixBlocks, name);
    m_fleet.breaker(name).sent(now);
    return Route{{{name, 0, request.promptTokens}}, priorityOf(request), 0};
}

RouteDecision Placement::Implementation::holdBack(const RouteQuery &query,
                                                  const detail::Pool &pool,
                                                  const LineEntry &entry,
                                                  Instant now)
{
    const auto &request = *query.request;
    m_line.dropStale(now);
    const bool known = m_line.contains(&request);
    if (!known && entry.kind == LineKind::Prompt) {
        // Each engine provides one engine second per second. The routers share this capacity, and work of more worth
        // that is forecast to arrive goes first.
        const auto capacity = static_cast<double>(pool.members.size()) / static_cast<double>(liveRouters());
        const auto remainingCapacity = std::max(MinimumCapacityFraction * capacity,
                                                capacity - m_demand.rateAbove(entry.worthPerEngineSecond, now));
        const auto wait = m_line.costRankedAbove(&request, entry, now) / remainingCapacity;
        if (wait > seconds(entry.latestStart - now)) {
            const auto retryAfter = std::min(wait, seconds(LongestRetryAfter));
            return notRun(
                ReasonCode::Overloaded, "the engines are at capacity with work of more worth", fromSeconds(retryAfter));
        }
    }
    m_line.put(&request, entry);
    if (entry.kind == LineKind::Prompt) {
        m_shorterPromptHeldAt = now;
    }
    // The first request of a line polls for capacity. The others are woken when they become first and poll rarely.
    const bool first = m_line.first(entry.kind, now) == &request;
    const auto interval = first ? m_policy.pollInterval : m_policy.idlePollInterval;
    return WaitUntil{std::min(now + interval, std::max<Instant>(entry.latestStart, now + m_policy.pollInterval))};
}

std::optional<Placement::Implementation::Candidate> Placement::Implementation::best(const RouteQuery &query,
                                                                                    const detail::Pool &pool,
                                                                                    Instant now)
{
    std::optional<Candidate> chosen;
    const auto consider = [&](std::uint32_t position) {
        auto candidate = examine(query, pool, position, now);
        if (candidate.exclusion == Exclusion::None && (!chosen || candidate.score < chosen->score)) {
            chosen = candidate;
        }
    };
    for (const auto position : sample(*query.request, pool)) {
        consider(position);
    }
    if (!chosen) {
        // All sampled servers are excluded: examine the whole pool, starting at a random position.
        const auto start = m_random() % pool.members.size();
        for (std::size_t step = 0; step < pool.members.size() && !chosen; ++step) {
            consider(static_cast<std::uint32_t>((start + step) % pool.members.size()));
        }
    }
    return chosen;
}

std::vector<std::uint32_t> Placement::Implementation::sample(const RequestSpec &request, const detail::Pool &pool)
{
    const auto size = pool.members.size();
    const bool huge = promptClass(request.promptTokens) == PromptClass::Huge;
    const auto count = std::min(size, huge ? m_policy.hugeCandidates : m_policy.candidates);
    std::vector<std::uint32_t> positions;
    if (const auto anchor = anchorBlock(request.prefixBlocks)) {
        positions = pool.ring.owners(*anchor, m_policy.prefixOwners);
        if (const auto *server = m_prefixes.lastServer(request.prefixBlocks)) {
            const auto found = pool.positions.find(*server);
            if (found != pool.positions.end()) {
                positions.push_back(found->second);
            }
        }
    }
    // A stride coprime to the pool size visits distinct members, in an order that differs between requests.
    const auto start = m_random() % size;
    auto stride = 1 + m_random() % size;
    while (std::gcd(stride, size) != 1) {
        ++stride;
    }
    for (std::size_t step = 0; step < count; ++step) {
        positions.push_back(static_cast<std::uint32_t>((start + step * stride) % size));
    }
    return positions;
}

Placement::Implementation::Candidate Placement::Implementation::examine(const RouteQuery &query,
                                                                        const detail::Pool &pool,
                                                                        std::uint32_t position,
                                                                        Instant now)
{
    const auto &request = *query.request;
    ++m_examined;
    Candidate candidate;
    candidate.backend = pool.members[position];
    const auto &server = m_fleet.view(candidate.backend).server;
    const auto &breaker = m_fleet.breaker(candidate.backend);
    if (std::ranges::find(query.avoid, server.name) != query.avoid.end()) {
        candidate.exclusion = Exclusion::Avoided;
        return candidate;
    }
    if (!breaker.permits(now)) {
        candidate.exclusion = Exclusion::CircuitOpen;
        return candidate;
    }
    if (server.kind == BackendKind::Service) {
        candidate.score = static_cast<double>(m_fleet.books(candidate.backend).streams) / breaker.share(now);
        return candidate;
    }
    const auto type = promptClass(request.promptTokens);
    if (type == PromptClass::Huge && pool.shortOnly[position]) {
        candidate.exclusion = Exclusion::ShortOnly;
        return candidate;
    }
    if (kvTokensOf(request) > server.kvTokens) {
        candidate.exclusion = Exclusion::NoMemory;
        return candidate;
    }
    const auto priority = priorityOf(request);
    candidate.prediction = m_fleet.predict(candidate.backend, request, priority, now);
    const auto &prediction = candidate.prediction;
    candidate.score = prediction.firstToken / breaker.share(now);
    if (priority == EnginePriority::Urgent && prediction.hasQueuedPrefill) {
        candidate.score += m_policy.mixedStepPenalty;
    }
    if (priority != EnginePriority::Urgent && pool.shortOnly[position]) {
        candidate.score += m_policy.shortOnlyPenalty * m_fleet.snapshot()->declarations.objective.shortSlowdownWeight;
    }
    // Prefer more free memory among otherwise similar engines, so that each keeps room for larger prompts.
    candidate.score += 0.05 / std::max(0.1, prediction.memoryFit);
    if (prediction.memoryFit < 1) {
        candidate.score += NoMemoryScore;
    }
    return candidate;
}

bool Placement::Implementation::hasRoom(const Candidate &candidate, const RequestSpec &request, Instant now) const
{
    const auto &prediction = candidate.prediction;
    if (prediction.memoryFit < 1) {
        return false;
    }
    switch (priorityOf(request)) {
    case EnginePriority::Urgent:
        return prediction.wait <= seconds(m_policy.shortWaitLimit);
    case EnginePriority::Normal:
        return prediction.wait <= seconds(m_policy.promptWaitLimit);
    case EnginePriority::Bulk:
        break;
    }
    return !yieldsToShorterPrompts(request, now) && prediction.bulkTokens <= m_policy.bulkQueueLimitTokens
        && prediction.tokensAhead - prediction.bulkTokens <= m_policy.bulkQueueLimitTokens;
}

bool Placement::Implementation::yieldsToShorterPrompts(const RequestSpec &request, Instant now) const
{
    const auto timeToDeadline = seconds(request.deadline - request.arrival);
    const bool mayYield = seconds(now - request.arrival) < m_policy.yieldFraction * timeToDeadline;
    return mayYield && m_shorterPromptHeldAt && now < *m_shorterPromptHeldAt + m_policy.bulkHoldOff;
}

LineEntry Placement::Implementation::lineEntry(const RequestSpec &request, const Candidate &candidate, Instant now)
{
    const auto &prediction = candidate.prediction;
    const auto &server = m_fleet.view(candidate.backend).server;
    const auto prefill = prediction.firstToken - prediction.wait;
    const auto service = prediction.finish - prediction.wait;
    const auto memoryHoldTime = prefill + prediction.decode;
    const auto memory =
        memoryHoldTime * static_cast<double>(kvTokensOf(request)) / static_cast<double>(server.kvTokens);
    LineEntry entry;
    entry.kind = priorityOf(request) == EnginePriority::Bulk ? LineKind::Bulk : LineKind::Prompt;
    entry.cost = std::max(prefill, memory);
    const auto shareFactor = m_shares.shareFactor(request.organisation, shareWeight(request.organisation), now);
    entry.worthPerEngineSecond = request.worth / entry.cost * shareFactor;
    entry.arrival = request.arrival;
    entry.latestStart = request.deadline - fromSeconds(service * (1 + DeadlineMargin));
    return entry;
}

EnginePriority Placement::Implementation::priorityOf(const RequestSpec &request) const
{
    const auto shortTokens = m_fleet.snapshot()->declarations.objective.shortPromptTokens;
    if (request.promptTokens <= shortTokens) {
        return request.priority == IntentPriority::Background ? EnginePriority::Normal : EnginePriority::Urgent;
    }
    const bool huge = promptClass(request.promptTokens) == PromptClass::Huge;
    return huge || request.priority == IntentPriority::Background ? EnginePriority::Bulk : EnginePriority::Normal;
}

double Placement::Implementation::shareWeight(const std::string &organisation) const
{
    const auto &organisations = m_fleet.snapshot()->declarations.organisations;
    const auto found = std::ranges::find(organisations, organisation, &Organisation::name);
    return found == organisations.end() ? 1.0 : found->shareWeight;
}

std::size_t Placement::Implementation::liveRouters() const
{
    const auto alive = std::ranges::count(m_fleet.snapshot()->instances, InstanceState::Alive, &InstanceView::state);
    return std::max<std::size_t>(1, static_cast<std::size_t>(alive));
}

void Placement::Implementation::explain(const RouteQuery &query,
                                        const detail::Pool &pool,
                                        Instant now,
                                        RouteExplanation &explanation)
{
    for (std::uint32_t position = 0; position < pool.members.size(); ++position) {
        const auto candidate = examine(query, pool, position, now);
        RouteCandidate shown;
        shown.backend = m_fleet.view(candidate.backend).server.name;
        shown.exclusion = candidate.exclusion;
        shown.examined = true;
        shown.score = candidate.exclusion == Exclusion::None ? candidate.score : 0;
        explanation.candidates.push_back(std::move(shown));
    }
}

Placement::Placement(std::uint64_t seed, const PlacementPolicy &policy)
    : m_implementation(std::make_unique<Implementation>(seed, policy))
{
}

Placement::~Placement() = default;

void Placement::update(std::shared_ptr<const Snapshot> snapshot, Instant now)
{
    const std::lock_guard lock(m_implementation->m_mutex);
    m_implementation->m_fleet.update(std::move(snapshot), now);
}

RouteDecision Placement::choose(const RouteQuery &query, Instant now, RouteExplanation *explanation)
{
    const std::lock_guard lock(m_implementation->m_mutex);
    return m_implementation->choose(query, now, explanation);
}

void Placement::attemptOpened(const StreamAddress &stream,
                              const RequestSpec &request,
                              const RouteMember &member,
                              Instant now)
{
    const std::lock_guard lock(m_implementation->m_mutex);
    auto &self = *m_implementation;
    InFlightAttempt inFlightAttempt;
    inFlightAttempt.organisation = request.organisation;
    inFlightAttempt.prefillTokens = member.segmentEnd - member.segmentBegin;
    inFlightAttempt.kvTokens = inFlightAttempt.prefillTokens + request.maxTokens;
    inFlightAttempt.openedAt = now;
    if (self.m_fleet.snapshot() != nullptr && request.backendKind == BackendKind::Engine) {
        inFlightAttempt.priority = self.priorityOf(request);
        if (const auto index = self.m_fleet.indexOf(member.backend)) {
            const auto prediction = self.m_fleet.predict(*index, request, inFlightAttempt.priority, now);
            inFlightAttempt.predictedTokens = prediction.tokensAhead + prediction.requestTokens;
            inFlightAttempt.predictedWait = fromSeconds(prediction.firstToken);
        }
    }
    self.m_fleet.ledger().open(stream, member.backend, std::move(inFlightAttempt));
}

void Placement::firstChunk(const StreamAddress &stream, const std::string &backend, Instant now)
{
    const std::lock_guard lock(m_implementation->m_mutex);
    auto &fleet = m_implementation->m_fleet;
    const auto *inFlightAttempt = fleet.ledger().firstChunk(stream, backend, now);
    if (inFlightAttempt == nullptr) {
        return;
    }
    fleet.breaker(backend).succeeded(now);
    if (inFlightAttempt->priority != EnginePriority::Bulk) {
        fleet.speed(backend).observeFirstChunk(inFlightAttempt->predictedTokens, now - inFlightAttempt->openedAt);
    }
}

void Placement::nextChunk(const StreamAddress &stream, const std::string &backend, Instant now)
{
    const std::lock_guard lock(m_implementation->m_mutex);
    auto &fleet = m_implementation->m_fleet;
    if (const auto before = fleet.ledger().nextChunk(stream, backend, now)) {
        fleet.speed(backend).observeChunkInterval(now - before->latestChunkAt);
    }
}

void Placement::attemptClosed(const StreamAddress &stream,
                              const std::string &backend,
                              action::CloseAttempt::Outcome outcome,
                              Instant now)
{
    const std::lock_guard lock(m_implementation->m_mutex);
    auto &fleet = m_implementation->m_fleet;
    if (!fleet.ledger().close(stream, backend)) {
        return;
    }
    switch (outcome) {
    case action::CloseAttempt::Outcome::Completed:
        fleet.breaker(backend).succeeded(now);
        break;
    case action::CloseAttempt::Outcome::Refused:
    case action::CloseAttempt::Outcome::Broken:
        fleet.breaker(backend).failed(now);
        break;
    case action::CloseAttempt::Outcome::Abandoned:
        break;
    }
}

bool Placement::permitRetry(Instant now)
{
    const std::lock_guard lock(m_implementation->m_mutex);
    return m_implementation->m_retries.take(now);
}

const RequestSpec *Placement::nextWaiting(Instant now)
{
    const std::lock_guard lock(m_implementation->m_mutex);
    const auto *prompt = m_implementation->m_line.first(LineKind::Prompt, now);
    return prompt != nullptr ? prompt : m_implementation->m_line.first(LineKind::Bulk, now);
}

void Placement::abandoned(const RequestSpec &request)
{
    const std::lock_guard lock(m_implementation->m_mutex);
    m_implementation->m_line.remove(&request);
}

std::size_t Placement::attemptsInFlight() const
{
    const std::lock_guard lock(m_implementation->m_mutex);
    return m_implementation->m_fleet.ledger().size();
}

std::uint64_t Placement::candidatesExamined() const
{
    const std::lock_guard lock(m_implementation->m_mutex);
    return m_implementation->m_examined;
}

} // namespace pomeloport
