#include "decisions/placementdetail.h"

#include "pomeloentry/decisions/evacuation.h"

#include <algorithm>

/// The part of EntryPlacement that chooses servers for calls without a prompt, and lets calls wait for a place.
namespace pomeloentry
{

using detail::contains;
using detail::failureRateOf;
using detail::guaranteeDraw;
using detail::MsPerSecond;
using detail::stopRefusal;
using detail::takesRequests;
using pomeloport::Failure;
using pomeloport::ReasonCode;
using pomeloport::Route;
using pomeloport::RouteDecision;
using pomeloport::RouteQuery;
using pomeloport::Verdict;
using pomeloport::WaitUntil;

namespace
{

/// Interval at which a call is tried again while all servers of its service are paused, since others may come.
constexpr Duration PausedRecheckInterval = std::chrono::milliseconds(200);
/// Retry-After of calls that are refused in a pause is spread over this share of what remains of it, and over a
/// minimum.
constexpr double RetrySpreadShare = 0.25;
constexpr double MinimumRetrySpreadMs = 100;
/// Weight of the failure rate in the score of a backend server. The score is multiplied by 1 plus this weight for a
/// server that fails every attempt; the lowest score wins.
constexpr double FailurePenalty = 10;

/// A server that may get a call without a prompt.
struct PlainCandidate
{
    const BackendEntry *backend = nullptr;
    double answerMs = 0;
    std::size_t running = 0;
    double failureRate = 0;
};

/// Answer time below which servers count as equally fast, in milliseconds: the fastest one's, and a share of the target
/// that does not matter to callers. Otherwise the fastest server would get all calls while it is idle.
double comparedFrom(const std::vector<PlainCandidate> &candidates, double leastDifference, Duration target)
{
    if (candidates.empty() || leastDifference <= 0) {
        return 0;
    }
    return std::ranges::min(candidates, {}, &PlainCandidate::answerMs).answerMs
        + leastDifference * pomeloport::seconds(target) * MsPerSecond;
}

} // namespace

RouteDecision EntryPlacement::choosePlain(const CallWork &work,
                                          const RouteQuery &query,
                                          Instant now,
                                          PlacementTrace &trace)
{
    const auto found = m_services.find(work.service);
    const BackendEntry *best = nullptr;
    const BackendEntry *next = nullptr;
    double bestScore = 0;
    double nextScore = 0;
    double bestMs = 0;
    const auto &inFlight = m_ledger.byBackend();
    const std::size_t count = found == m_services.end() ? 0 : found->second.backends.size();
    const bool windows = count > 0 && windowsApply(found->second, now);
    std::vector<PlainCandidate> candidates;
    candidates.reserve(count);
    std::optional<double> assumedMs;
    auto averages = count == 0 ? AnswerAverages({}) : averagesOf(found->second, &Health::answerMs);
    ++m_rotation;
    for (std::size_t step = 0; step < count; ++step) {
        // Rotates the starting point, so that equal backend servers are used in turn.
        const auto i = (step + m_rotation) % count;
        const auto *backend = found->second.backends[i];
        const auto &backendHealth = health(found->second.keys[i]);
        const auto placed = inFlight.find(found->second.keys[i]);
        const auto running = placed == inFlight.end() ? 0 : placed->second.size();
        const auto standing = m_notices.standing(found->second.keys[i], now);
        if (backend->leaving || contains(query.avoid, backend->id) || !work.regions.permits(backend->failureDomain)
            || !takesRequests(standing) || !backendHealth.breaker.permits(now)
            || !m_unread.permits(found->second.keys[i]) || running >= backend->slots + m_policy.queueBeyondSlots
            || !pacePermits(found->second.keys[i], windows, now)) {
            ++trace.excluded;
            continue;
        }
        ++trace.candidates;
        const bool isKnown = isOfPresent(found->second.keys[i], backendHealth.answerMs, now);
        if (!isKnown && !assumedMs) {
            assumedMs = assumedAnswerMs(found->second);
        }
        const double decayedMs = isKnown ? averages.decayed(backendHealth.answerMs) : *assumedMs;
        const double answerMs = backendHealth.answerMs.current(decayedMs, running);
        candidates.push_back(
            {backend, answerMs, running, failureRateOf(currentFailureRate(backendHealth, now), standing)});
    }
    const double comparedFromMs = comparedFrom(candidates, m_policy.pace.leastDifference, work.target);
    for (const auto &[backend, answerMs, running, failureRate] : candidates) {
        const double queued = std::max(1.0, static_cast<double>(running + 1) / std::max(backend->slots, 1U));
        const double distance = isRemote(*backend) ? m_policy.engines.distanceCost : 0;
        const double score = std::max(answerMs, comparedFromMs) * queued * (1 + FailurePenalty * failureRate)
            * (1 + 0.1 * static_cast<double>(running)) * (1 + distance);
        if (!best || score < bestScore) {
            next = best;
            nextScore = bestScore;
            best = backend;
            bestScore = score;
            bestMs = answerMs * queued;
        } else if (!next || score < nextScore) {
            next = backend;
            nextScore = score;
        }
    }
    if (!best) {
        trace.reason = "no usable backend server has a free slot";
        return waitOrRefuse(work, query.answerBegun, now, trace);
    }
    trace.predictedFirst = pomeloport::fromSeconds(bestMs / 1000);
    trace.score = bestScore;
    trace.nextScore = nextScore;
    trace.nextBackend = next ? next->id : std::string();
    if (!endsBeforeStop(work, trace.predictedFirst, now)) {
        return stopRefusal("this instance stops before the answer can be complete");
    }
    Route route;
    route.members.push_back({best->id, 0, 0});
    const auto predicted = pomeloport::fromSeconds(bestMs * m_policy.patienceFactor / 1000);
    const auto targetPatience = pomeloport::fromSeconds(pomeloport::seconds(work.target) * m_policy.plainPatienceRatio);
    route.firstChunkTimeout = std::max({predicted, targetPatience, m_policy.minimumPatience});
    return route;
}

/// Time until which a call may wait for a place. Its caller gives up soon without a first event, but not while it waits
/// for the rest of an answer.
Instant EntryPlacement::latestWait(const CallWork &work, bool answerBegun) const
{
    const auto latest = work.waitLimit(m_policy.maximumWaitShare);
    const auto *engine = work.promptTokens > 0 ? engineOf(work.service) : nullptr;
    const auto estimate = m_slotStarts.find(work.service);
    if (!m_policy.refuseBeforeAbandonment || answerBegun || !engine || estimate == m_slotStarts.end()) {
        return latest;
    }
    return std::min(latest, work.abandonedAt - estimate->second.startTime(*engine, m_policy.engines));
}

RouteDecision EntryPlacement::waitOrRefuse(const CallWork &work, bool answerBegun, Instant now, PlacementTrace &trace)
{
    if (!canFinishAtBest(work, now)) {
        return stopRefusal("this instance stops before a place becomes free");
    }
    const auto gapEnd = serverGapEnd(work.service, now);
    if (gapEnd && now >= *gapEnd) {
        trace.returnCause = ReturnCause::NoServer;
        return serverRefusal(work, now);
    }
    if (noServerReads(work)) {
        trace.reason = "no backend server reads its requests";
        return overloadRefusal(slotShortage(work), work, now, trace);
    }
    const auto latest = latestWait(work, answerBegun);
    if (const auto pauseEnd = commonPauseEnd(work, now)) {
        return waitForPauseEnd(work, *pauseEnd, latest, now, trace);
    }
    if (now + m_policy.recheckInterval < latest) {
        trace.waitLimit = gapEnd ? std::min(latest, *gapEnd) : latest;
        return WaitUntil{now + m_policy.recheckInterval};
    }
    if (gapEnd) {
        trace.returnCause = ReturnCause::NoServer;
        return serverRefusal(work, now);
    }
    trace.reason = *trace.reason ? trace.reason : "no backend server is usable";
    return overloadRefusal(slotShortage(work), work, now, trace);
}

/// Lets a call wait for the end of a pause if it may wait for so long, and refuses it at once otherwise. The refused
/// calls come back after the pause, spread over some time.
RouteDecision EntryPlacement::waitForPauseEnd(const CallWork &work,
                                              Instant end,
                                              Instant latest,
                                              Instant now,
                                              PlacementTrace &trace) const
{
    trace.reason = "all backend servers want no requests for a time";
    if (end < latest) {
        trace.waitLimit = latest;
        return WaitUntil{std::min(end, now + PausedRecheckInterval)};
    }
    trace.returnCause = ReturnCause::Paused;
    const double leftMs = pomeloport::seconds(end - now) * MsPerSecond;
    const double spreadMs = std::max(MinimumRetrySpreadMs, leftMs * RetrySpreadShare);
    const auto retryAfter =
        std::chrono::milliseconds(static_cast<std::int64_t>(leftMs + spreadMs * guaranteeDraw(work)) + 1);
    return Failure{Verdict::NotRun, ReasonCode::Overloaded, trace.reason, retryAfter};
}

bool EntryPlacement::lacksServers(const CallWork &work, Instant now)
{
    const std::lock_guard lock(m_mutex);
    const auto gapEnd = serverGapEnd(work.service, now);
    return gapEnd && now >= *gapEnd;
}

/// Time until which calls wait for a server of a service that has none; nothing if it has one.
std::optional<Instant> EntryPlacement::serverGapEnd(const std::string &service, Instant now)
{
    const auto found = m_services.find(service);
    if (found != m_services.end() && usableServers(found->second, now) > 0) {
        return std::nullopt;
    }
    auto &since = m_withoutServerSince.try_emplace(service, now).first->second;
    if (found != m_services.end() && allEvacuated(found->second.evacuated, found->second.backends.size())) {
        // No replacement is on its way, so calls are refused at once.
        since = std::min(since, now - m_policy.longestServerGap);
    }
    return since + m_policy.longestServerGap;
}

} // namespace pomeloentry
