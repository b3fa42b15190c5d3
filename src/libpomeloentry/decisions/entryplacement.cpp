#include "decisions/placementdetail.h"

#include "pomeloentry/decisions/evacuation.h"

#include <algorithm>
#include <cmath>

namespace pomeloentry
{

using detail::contains;
using detail::failureRateOf;
using detail::itemKey;
using detail::OrderFactor;
using detail::takesRequests;
using detail::unitFraction;
using detail::WaitingAttempt;
using pomeloport::Failure;
using pomeloport::ReasonCode;
using pomeloport::Route;
using pomeloport::RouteDecision;
using pomeloport::RouteQuery;
using pomeloport::Verdict;

namespace
{

/// Retry-After of calls whose allowed regions have no server of their service.
constexpr std::chrono::milliseconds RetryAfterNoServerInside{300};

} // namespace

EntryPlacement::EntryPlacement(const EntryPolicy &policy, std::uint64_t seed, std::string failureDomain)
    : m_policy(policy)
    , m_seed(seed)
    , m_failureDomain(std::move(failureDomain))
    , m_state(std::make_shared<FleetState>())
    , m_notices(unitFraction(seed * OrderFactor))
    , m_freshness(policy.evacuationBound)
    , m_pace(policy.pace)
    , m_repeats(policy.repeats)
    , m_returns(policy.returns, seed)
    , m_shares(policy.shares)
    , m_unread(policy.serverUnreadBytes)
{
}

void EntryPlacement::update(std::shared_ptr<const FleetState> state, Instant now)
{
    const std::lock_guard lock(m_mutex);
    m_state = std::move(state);
    m_services.clear();
    m_serviceByKey.clear();
    std::unordered_map<std::uint32_t, Health> health;
    for (const auto &[id, backend] : m_state->backends) {
        const auto key = backendKey(backend);
        const auto previous = m_health.find(key);
        health.emplace(
            key, previous != m_health.end() ? previous->second : Health{pomeloport::CircuitBreaker(m_policy.breaker)});
        auto &service = m_services[backend.service];
        if (isEvacuated(*m_state, backend)) {
            ++service.evacuated;
        } else {
            service.backends.push_back(&backend);
        }
        m_serviceByKey.emplace(key, backend.service);
        if (backend.leaving && now != Instant{}) {
            m_notices.heard(key, {true, std::nullopt}, NoticeSource::Entry, now);
        }
    }
    m_notices.expire(now);
    for (auto &[name, service] : m_services) {
        std::ranges::sort(service.backends, {}, [this](const BackendEntry *backend) {
            return (m_seed ^ backendKey(*backend)) * OrderFactor;
        });
        for (const auto *backend : service.backends) {
            service.keys.push_back(backendKey(*backend));
        }
        if (usableServers(service, now) > 0) {
            m_withoutServerSince.erase(name);
        }
        m_returns.serversListed(name, service.backends.size(), now);
    }
    m_health = std::move(health);
    listPace(now);
}

RouteDecision EntryPlacement::choose(const CallWork &work, const RouteQuery &query, Instant now, PlacementTrace &trace)
{
    bool queued = false;
    auto decision = [&]() -> RouteDecision {
        const std::lock_guard lock(m_mutex);
        m_ledger.expire(now);
        if (!m_freshness.maySend(now)) {
            trace.reason = "this process was stopped and may have missed an evacuation";
            return waitOrRefuse(work, query.answerBegun, now, trace);
        }
        if (auto failure = lockedRegionFailure(work)) {
            trace.reason = "the allowed regions have no server of the service";
            return std::move(*failure);
        }
        const auto *engine = engineOf(work.service);
        if (!engine || work.promptTokens == 0) {
            auto plain = choosePlain(work, query, now, trace);
            if (const auto *route = std::get_if<Route>(&plain)) {
                keepPrediction(work, *route, trace.predictedFirst, now);
            }
            return plain;
        }
        traceShare(work, now, trace);
        auto result = choosePrompt(work, *engine, query, now, trace);
        if (const auto *route = std::get_if<Route>(&result)) {
            keepPrediction(work, *route, trace.predictedFirst, now);
        }
        if (query.attempt == 1) {
            recordOutcome(work, result, now);
        }
        queued = m_ledger.own().contains(itemKey(work, WaitingAttempt)) && m_ledger.hasChanges();
        return result;
    }();
    if (queued) {
        reportChange(WorkChange::Prompt);
    }
    return decision;
}

std::vector<EngineCandidate> EntryPlacement::candidates(const CallWork &work,
                                                        const std::vector<std::string> &avoid,
                                                        Instant now,
                                                        PlacementTrace &trace)
{
    const auto found = m_services.find(work.service);
    std::vector<EngineCandidate> result;
    if (found != m_services.end()) {
        const auto &view = found->second;
        const bool windows = windowsApply(view, now);
        auto slowdowns = averagesOf(view, &Health::slowdowns);
        for (std::size_t i = 0; i < view.backends.size(); ++i) {
            const auto &backendHealth = health(view.keys[i]);
            const bool avoided = contains(avoid, view.backends[i]->id);
            const auto standing = m_notices.standing(view.keys[i], now);
            if (view.backends[i]->leaving || avoided || !work.regions.permits(view.backends[i]->failureDomain)
                || !takesRequests(standing) || !backendHealth.breaker.permits(now) || !m_unread.permits(view.keys[i])
                || !pacePermits(view.keys[i], windows, now)) {
                ++trace.excluded;
                continue;
            }
            result.push_back({view.keys[i],
                              view.backends[i],
                              slowdownOf(view.keys[i], backendHealth, slowdowns, now),
                              failureRateOf(currentFailureRate(backendHealth, now), standing),
                              isRemote(*view.backends[i]),
                              !m_pace.isLimited(view.keys[i], now)});
        }
    }
    trace.candidates = result.size();
    return result;
}

std::optional<Failure> EntryPlacement::regionFailure(const CallWork &work) const
{
    const std::lock_guard lock(m_mutex);
    return lockedRegionFailure(work);
}

/// A service without any server has no servers outside the regions either, so its calls wait for one as others do,
/// unless no failure domain is permitted.
std::optional<Failure> EntryPlacement::lockedRegionFailure(const CallWork &work) const
{
    if (!work.regions.restricts()) {
        return std::nullopt;
    }
    const auto found = m_services.find(work.service);
    const auto permitted = [&work](const BackendEntry *backend) {
        return work.regions.permits(backend->failureDomain);
    };
    const bool hasServers = found != m_services.end();
    if (!work.regions.permitsNone() && (!hasServers || std::ranges::any_of(found->second.backends, permitted))) {
        return std::nullopt;
    }
    return Failure{Verdict::NotRun,
                   ReasonCode::Region,
                   "no server of the service is in a region that route and organisation allow",
                   RetryAfterNoServerInside};
}

bool EntryPlacement::isRemote(const BackendEntry &backend) const
{
    return !m_failureDomain.empty() && backend.failureDomain != m_failureDomain;
}

bool EntryPlacement::usable(const std::string &backend) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_state->backends.find(backend);
    return found != m_state->backends.end() && !found->second.leaving && !isEvacuatedServer(backend);
}

std::size_t EntryPlacement::inFlight() const
{
    const std::lock_guard lock(m_mutex);
    return m_ledger.own().size();
}

bool EntryPlacement::hasPrompts() const
{
    const std::lock_guard lock(m_mutex);
    return std::ranges::any_of(m_ledger.own(), [](const auto &entry) {
        const auto &item = entry.second;
        return item.queuedFor != 0 || (!item.parts.empty() && item.parts.front().prefillMs > 0);
    });
}

EntryPlacement::Health &EntryPlacement::health(std::uint32_t key)
{
    return m_health.try_emplace(key, Health{pomeloport::CircuitBreaker(m_policy.breaker)}).first->second;
}

std::uint32_t EntryPlacement::keyOf(const std::string &backend) const
{
    const auto found = m_state->backends.find(backend);
    return found == m_state->backends.end() ? 0 : backendKey(found->second);
}

const EngineCost *EntryPlacement::engineOf(const std::string &service) const
{
    if (!m_state->routing) {
        return nullptr;
    }
    const auto found = m_state->routing->services.find(service);
    return found != m_state->routing->services.end() && found->second.engine ? &*found->second.engine : nullptr;
}

double EntryPlacement::worthOf(const CallWork &work) const
{
    return std::pow(static_cast<double>(std::max<std::uint64_t>(work.promptTokens, 1)) / m_policy.unitWorthTokens,
                    m_policy.worthExponent);
}

} // namespace pomeloentry
