#include "pomeloentry/decisions/placementexplanation.h"

#include "pomeloentry/decisions/slotqueue.h"

#include <algorithm>

/// The part of EntryPlacement that tells where a call would go.
namespace pomeloentry
{

using pomeloport::NeedsGroup;
using pomeloport::Route;
using pomeloport::RouteQuery;

namespace
{

/// Answer time assumed until the first answer, in milliseconds, as in the choice itself.
constexpr double AssumedAnswerMs = 20;
constexpr double MsPerSecond = 1000;

} // namespace

/// Without the callback, so that deciding on the copy has no effect. Requires that the other object's mutex is held.
EntryPlacement::EntryPlacement(const EntryPlacement &other)
    : m_policy(other.m_policy)
    , m_seed(other.m_seed)
    , m_failureDomain(other.m_failureDomain)
    , m_state(other.m_state)
    , m_services(other.m_services)
    , m_serviceByKey(other.m_serviceByKey)
    , m_withoutServerSince(other.m_withoutServerSince)
    , m_health(other.m_health)
    , m_notices(other.m_notices)
    , m_freshness(other.m_freshness)
    , m_pace(other.m_pace)
    , m_predictions(other.m_predictions)
    , m_attemptPredictions(other.m_attemptPredictions)
    , m_unsent(other.m_unsent)
    , m_ledger(other.m_ledger.copy())
    , m_repeats(other.m_repeats)
    , m_slotStarts(other.m_slotStarts)
    , m_returns(other.m_returns)
    , m_shares(other.m_shares)
    , m_served(other.m_served)
    , m_rotation(other.m_rotation)
    , m_unread(other.m_unread)
{
}

PlacementExplanation EntryPlacement::explain(const CallWork &work, Instant now) const
{
    const auto copy = [this] {
        const std::lock_guard lock(m_mutex);
        return std::unique_ptr<EntryPlacement>(new EntryPlacement(*this));
    }();
    PlacementExplanation result;
    result.servers = copy->explainServers(work, now);
    result.decision = copy->choose(work, RouteQuery{}, now, result.trace);
    std::optional<Route> route;
    if (const auto *chosen = std::get_if<Route>(&result.decision)) {
        route = *chosen;
    } else if (std::holds_alternative<NeedsGroup>(result.decision)) {
        const auto plan = copy->planGroup(work, {}, now);
        route = plan ? std::optional(plan->route) : std::nullopt;
    }
    if (route) {
        result.chosen.push_back(route->members.front().backend);
        for (const auto &helper : route->helpers) {
            result.chosen.push_back(helper.backend);
        }
    }
    return result;
}

/// Lists the servers of a call's service. To be called on a copy, since the choice of candidates adds to the state.
std::vector<ExplainedServer> EntryPlacement::explainServers(const CallWork &work, Instant now)
{
    m_ledger.expire(now);
    PlacementTrace trace;
    const auto permitted = candidates(work, {}, now, trace);
    const auto found = m_services.find(work.service);
    std::vector<ExplainedServer> result;
    for (std::size_t i = 0; found != m_services.end() && i < found->second.backends.size(); ++i) {
        const auto candidate = std::ranges::find(permitted, found->second.keys[i], &EngineCandidate::key);
        const bool isPermitted = candidate != permitted.end();
        result.push_back(isPermitted ? explainCandidate(work, *candidate, now)
                                     : explainExclusion(work, *found->second.backends[i], now));
    }
    std::ranges::sort(result, {}, &ExplainedServer::id);
    return result;
}

ExplainedServer EntryPlacement::explainExclusion(const CallWork &work, const BackendEntry &backend, Instant now)
{
    const auto key = backendKey(backend);
    const auto standing = m_notices.standing(key, now);
    ExplainedServer result{backend.id, backend.failureDomain, Exclusion::Other, requestsAt(key), {}};
    if (backend.leaving || standing == ServerNotices::Standing::Leaving) {
        result.exclusion = Exclusion::Leaving;
    } else if (!work.regions.permits(backend.failureDomain)) {
        result.exclusion = Exclusion::Region;
    } else if (standing == ServerNotices::Standing::Paused || standing == ServerNotices::Standing::Returning) {
        result.exclusion = Exclusion::Paused;
    } else if (!health(key).breaker.permits(now)) {
        result.exclusion = Exclusion::Failing;
    } else if (!m_unread.permits(key)) {
        result.exclusion = Exclusion::Unread;
    }
    return result;
}

ExplainedServer EntryPlacement::explainCandidate(const CallWork &work, const EngineCandidate &candidate, Instant now)
{
    const auto &backend = *candidate.backend;
    const auto requests = requestsAt(candidate.key);
    ExplainedServer result{backend.id, backend.failureDomain, Exclusion::None, requests, {}};
    const auto *cost = engineOf(work.service);
    if (!cost || work.promptTokens == 0) {
        if (requests >= backend.slots + m_policy.queueBeyondSlots) {
            result.exclusion = Exclusion::NoSlot;
        } else {
            const double answerMs = health(candidate.key).answerMs.average();
            const double queued =
                std::max(1.0, static_cast<double>(requests + 1) / std::max(static_cast<double>(backend.slots), 1.0));
            result.predictedFirst =
                pomeloport::fromSeconds((answerMs > 0 ? answerMs : AssumedAnswerMs) * queued / MsPerSecond);
        }
        return result;
    }
    const auto slots = static_cast<std::size_t>(static_cast<double>(cost->slots) * m_policy.engines.slotShare);
    const auto prompt = promptOf(work, *cost);
    const auto choice =
        chooseEngines(prompt, *cost, {candidate}, m_ledger.byBackend(), demand(now), m_policy.engines, now);
    if (choice) {
        result.predictedFirst = choice->predictedFirst;
    } else {
        result.exclusion = requests >= slots ? Exclusion::NoSlot : Exclusion::NoMemory;
    }
    return result;
}

/// Number of requests that a server answers, as far as they are known.
std::size_t EntryPlacement::requestsAt(std::uint32_t key) const
{
    const auto &inFlight = m_ledger.byBackend();
    const auto placed = inFlight.find(key);
    return placed == inFlight.end()
        ? 0
        : static_cast<std::size_t>(std::ranges::count(placed->second, std::size_t{0}, &WorkLedger::Placed::part));
}

} // namespace pomeloentry
