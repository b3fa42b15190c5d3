#include "decisions/placementdetail.h"

#include "pomeloentry/decisions/slotqueue.h"

#include <algorithm>

/// The part of EntryPlacement that chooses engines for prompts, defers them and queues them for slots.
namespace pomeloentry
{

using detail::decodeTimeMs;
using detail::guaranteeDraw;
using detail::itemKey;
using detail::MsPerSecond;
using detail::OrderFactor;
using detail::stopRefusal;
using detail::WaitingAttempt;
using pomeloport::Route;
using pomeloport::RouteDecision;
using pomeloport::RouteQuery;
using pomeloport::WaitUntil;

RouteDecision EntryPlacement::choosePrompt(const CallWork &work,
                                           const EngineCost &cost,
                                           const RouteQuery &query,
                                           Instant now,
                                           PlacementTrace &trace)
{
    auto engines = candidates(work, query.avoid, now, trace);
    if (queueForSlot(work, cost, engines, query.mayWait, now, trace)) {
        if (const auto refusal = query.attempt > 1 ? std::nullopt : refuseFirst(work, now, trace)) {
            return *refusal;
        }
        trace.reason = "waiting for a slot behind other prompts";
        return waitOrRefuse(work, query.answerBegun, now, trace);
    }
    const auto choice = bestEngines(work, cost, engines, now, trace);
    if (!choice) {
        trace.reason = "no engine has a free slot and memory";
        // It does not join the queue, where it would be assigned slots that it cannot use.
        return waitOrRefuse(work, query.answerBegun, now, trace);
    }
    if (!query.answerBegun && !endsBeforeStop(work, choice->predictedFirst, now)) {
        return stopRefusal("this instance stops before the answer can be complete");
    }
    // A retry is not refused for its worth: the caller may have received part of the answer.
    auto decision = query.attempt > 1 ? std::nullopt : deferOrRefuse(work, cost, *choice, now, trace);
    if (decision) {
        return *decision;
    }
    if (!choice->tickets.empty()) {
        return pomeloport::NeedsGroup{work.service, memoryTokens(work)};
    }
    return routeOf(work, *choice);
}

/// Reduces the engines to those at which the prompt may take a slot. If there are none, queues the prompt for a slot if
/// it may wait, which other instances are told, and returns true.
bool EntryPlacement::queueForSlot(const CallWork &work,
                                  const EngineCost &cost,
                                  std::vector<EngineCandidate> &engines,
                                  bool mayWait,
                                  Instant now,
                                  PlacementTrace &trace)
{
    const auto own = m_ledger.own().find(itemKey(work, WaitingAttempt));
    const bool isQueued = own != m_ledger.own().end();
    const auto item = isQueued ? own->second : queueItem(work, cost, now);
    const auto waiting = m_ledger.waiting(item.queuedFor);
    trace.queuePosition = positionInQueue(item, waiting, m_ledger.othersWait(item.queuedFor), now, standingsAt(now));
    const auto free = freeSlots(engines, m_ledger.byBackend(), cost, m_policy.engines);
    const auto contenders = waiting.size() + (isQueued ? 0 : 1);
    auto assigned = assignedEngines(trace.queuePosition, contenders, engines, free);
    if (!assigned.empty()) {
        engines = std::move(assigned);
        return false;
    }
    if (mayWait && !isQueued) {
        m_ledger.open(item);
    }
    return true;
}

/// The entry of a prompt in the queue for slots, as other instances learn of it.
WorkItem EntryPlacement::queueItem(const CallWork &work, const EngineCost &cost, Instant now)
{
    WorkItem item;
    item.key = itemKey(work, WaitingAttempt);
    item.queuedFor = serviceKey(work.regions.queueName(work.service));
    item.startedAt = now;
    item.due = latestStartInTime(work.arrival,
                                 work.arrival - work.timeSpent + work.target,
                                 m_slotStarts[work.service].startTime(cost, m_policy.engines));
    if (m_policy.shares.enabled) {
        item.eventGap = work.eventGap;
        item.origin = originOf(work);
        item.origin.served = servedOften(work, now);
    }
    return item;
}

void EntryPlacement::removeFromQueue(const CallWork &work)
{
    {
        const std::lock_guard lock(m_mutex);
        m_ledger.close(itemKey(work, WaitingAttempt));
        m_predictions.erase(work.sequence);
        if (!m_ledger.hasChanges()) {
            return;
        }
    }
    reportChange(WorkChange::Progress);
}

std::optional<EngineChoice> EntryPlacement::bestEngines(const CallWork &work,
                                                        const EngineCost &cost,
                                                        const std::vector<EngineCandidate> &engines,
                                                        Instant now,
                                                        PlacementTrace &trace)
{
    auto choice =
        chooseEngines(promptOf(work, cost), cost, engines, m_ledger.byBackend(), demand(now), m_policy.engines, now);
    if (choice) {
        trace.predictedFirst = choice->predictedFirst;
        trace.loss = choice->loss;
        trace.costToOthers = choice->costToOthers;
    }
    return choice;
}

std::optional<EntryPlacement::GroupPlan> EntryPlacement::planGroup(const CallWork &work,
                                                                   const std::vector<std::string> &avoid,
                                                                   Instant now)
{
    const std::lock_guard lock(m_mutex);
    m_ledger.expire(now);
    const auto *engine = engineOf(work.service);
    PlacementTrace trace;
    const auto choice =
        engine ? bestEngines(work, *engine, candidates(work, avoid, now, trace), now, trace) : std::nullopt;
    if (!choice || !endsBeforeStop(work, choice->predictedFirst, now) || !m_freshness.maySend(now)) {
        return std::nullopt;
    }
    GroupPlan plan{routeOf(work, *choice), choice->tickets};
    keepPrediction(work, plan.route, choice->predictedFirst, now);
    plan.tickets.resize(plan.route.helpers.size());
    return plan;
}

/// Defers or refuses a prompt whose prefill costs others more than its answer gains; nothing when it is to be placed.
std::optional<RouteDecision> EntryPlacement::deferOrRefuse(const CallWork &work,
                                                           const EngineCost &cost,
                                                           const EngineChoice &choice,
                                                           Instant now,
                                                           PlacementTrace &trace)
{
    const auto found = m_services.find(work.service);
    const auto engines = found == m_services.end() ? 0 : found->second.backends.size();
    const auto prompt = promptOf(work, cost);
    const auto &policy = m_policy.engines;
    const double commonPrice = prefillPrice(prompt, cost, choice, engines, demand(now), policy);
    const bool isShort = commonPrice > 0;
    const auto often = isShort ? servedOften(work, now) : ServedOften::Alike;
    // Refused prompts of the originator of a burst put its kind behind; that must not protect the originator.
    const bool isProtected = often == ServedOften::TooSeldom
        || (often == ServedOften::BehindLessUrgent && trace.standing != Standing::FarOver);
    const auto standing = isShort && !isProtected ? trace.standing : Standing::Within;
    const double factor = priceFactor(trace.organisationUse, standing);
    const double price = commonPrice * factor;
    const double guaranteedShare = guaranteedShareFor(m_policy.guaranteedShare, trace.organisationUse, standing, often);
    const bool isLong = prefillTimeMs(cost, static_cast<double>(work.promptTokens)) >= policy.deferralMinimumPrefillMs;
    const double remainingWorth = prompt.worth
        * ((1 - policy.lateLoss) * (1 - choice.abandonProbability) + policy.lateLoss * (1 - choice.lateProbability));
    const double abandonLimit = m_policy.shares.enabled ? abandonLimitFor(often) : 1;
    trace.price = price;
    if (isLong) {
        if (!shouldDefer(prompt, choice, price, policy)) {
            return std::nullopt;
        }
        trace.reason = "its prefill would delay prompts that are worth more";
        if (work.stopsAt && guaranteeDraw(work) >= guaranteedShare) {
            return stopRefusal("this instance stops and defers no prompts");
        }
        if (!work.stopsAt && mayDefer(work, cost, guaranteedShare, now)) {
            trace.waitLimit = latestStart(work, cost);
            return WaitUntil{std::min(now + m_policy.deferralRecheckInterval, latestStart(work, cost))};
        }
    }
    const bool worthwhile =
        often != ServedOften::AheadOfUrgent && choice.costToOthers * factor + (isLong ? price : 0) < remainingWorth;
    if (worthwhile || (isLong && choice.abandonProbability < abandonLimit && guaranteeDraw(work) < guaranteedShare)
        || (!isLong && isProtected && choice.abandonProbability < 1)) {
        return std::nullopt;
    }
    trace.reason = "its late answer would cost other requests more than it is worth";
    if (!isLong && m_policy.latePromptsWait) {
        return waitOrRefuse(work, false, now, trace);
    }
    return overloadRefusal(prefillShortage(work, choice, isLong, now), work, now, trace);
}

/// Long prompts within the guaranteed share, which are served even though that costs others more, are deferred until
/// their latest start time. All others are refused early, while their callers have time to retry.
bool EntryPlacement::mayDefer(const CallWork &work, const EngineCost &cost, double guaranteedShare, Instant now) const
{
    const auto refusalTime = work.waitLimit(m_policy.maximumWaitShare);
    return now < latestStart(work, cost) && (guaranteeDraw(work) < guaranteedShare || now < refusalTime);
}

Instant lastFirstEvent(const CallWork &work, const EngineCost &cost)
{
    const double decodeMs = decodeTimeMs(cost, work.answerTokens);
    return std::min(work.abandonedAt, work.deadline - pomeloport::fromSeconds(decodeMs / MsPerSecond));
}

/// Latest start at which a deferred prompt can still be answered in time, if a share of the engines prefills it.
Instant EntryPlacement::latestStart(const CallWork &work, const EngineCost &cost) const
{
    const auto found = m_services.find(work.service);
    const auto engines = found == m_services.end() ? 0 : found->second.backends.size();
    const double prefillEngines = std::clamp(static_cast<double>(engines) * m_policy.deferredPrefillShare,
                                             1.0,
                                             static_cast<double>(m_policy.engines.maximumHelpers));
    const double prefillMs = prefillTimeMs(cost, static_cast<double>(work.promptTokens)) / prefillEngines;
    return lastFirstEvent(work, cost) - pomeloport::fromSeconds(prefillMs / MsPerSecond) - m_policy.deferralMargin;
}

/// Whether a call is a prompt whose prefill is short and whose events have to come in quick succession.
bool EntryPlacement::isLatencySensitive(const CallWork &work) const
{
    const auto *engine = work.promptTokens > 0 ? engineOf(work.service) : nullptr;
    const auto &policy = m_policy.engines;
    return engine && work.eventGap < policy.latencySensitiveGap
        && prefillTimeMs(*engine, static_cast<double>(work.promptTokens)) < policy.latencySensitiveStartMs;
}

EngineDemand EntryPlacement::demand(Instant now) const
{
    return {m_ledger.prefillRate(now), m_ledger.latencySensitiveRate(m_policy.engines.latencySensitiveGap, now)};
}

PromptWork EntryPlacement::promptOf(const CallWork &work, const EngineCost &cost) const
{
    return {work.promptTokens,
            work.answerTokens,
            work.eventGap,
            work.arrival + work.target,
            lastFirstEvent(work, cost),
            worthOf(work),
            m_seed ^ (work.sequence * OrderFactor)};
}

Route EntryPlacement::routeOf(const CallWork &work, const EngineChoice &choice) const
{
    Route route;
    route.members.push_back({choice.answeringEngine->id, 0, work.promptTokens});
    for (const auto *helper : choice.helpers) {
        route.helpers.push_back({helper->id, {}});
    }
    const double predicted = pomeloport::seconds(choice.predictedFirst) * m_policy.patienceFactor;
    const double targetPatience = pomeloport::seconds(work.target) * m_policy.promptPatienceRatio;
    route.firstChunkTimeout = pomeloport::fromSeconds(std::max(predicted, targetPatience));
    return route;
}

std::uint64_t memoryTokens(const CallWork &work)
{
    return work.promptTokens + work.answerTokens;
}

} // namespace pomeloentry
