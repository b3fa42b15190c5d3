#include "decisions/placementdetail.h"

#include <algorithm>

/// The part of EntryPlacement that records attempts of this instance and the reports of others.
namespace pomeloentry
{

using detail::itemKey;
using detail::MsPerSecond;
using detail::WaitingAttempt;
using pomeloport::Route;

namespace
{

/// Weight of a new outcome in the decaying share of failures.
constexpr double FailureWeight = 0.25;
/// Time in which the share decays to zero after the last failure, where averages become stale. Longer than the lifetime
/// of response times, since a failure costs callers more: with 1.5 s a replayed server that fails three of ten calls
/// broke 65 calls in 20 s.
constexpr double FailureLifetimeSeconds = 10;

} // namespace

bool EntryPlacement::opened(const CallWork &work,
                            std::uint32_t attempt,
                            const Route &route,
                            const std::vector<std::uint64_t> &tickets,
                            Instant now)
{
    bool isPrompt = false;
    bool maySend = false;
    {
        const std::lock_guard lock(m_mutex);
        maySend = recordAttempt(work, attempt, route, tickets, now);
        isPrompt = engineOf(work.service) && work.promptTokens > 0;
    }
    reportChange(isPrompt ? WorkChange::Prompt : WorkChange::Call);
    return maySend;
}

void EntryPlacement::onWorkChanged(ChangeCallback callback)
{
    m_workChanged = std::move(callback);
}

/// Requires that the mutex is not held, since the callback asks for the changes.
void EntryPlacement::reportChange(WorkChange change) const
{
    if (m_workChanged) {
        m_workChanged(change);
    }
}

bool EntryPlacement::recordAttempt(const CallWork &work,
                                   std::uint32_t attempt,
                                   const Route &route,
                                   const std::vector<std::uint64_t> &tickets,
                                   Instant now)
{
    WorkItem item;
    item.key = itemKey(work, attempt);
    item.repeat = attempt > 1;
    item.startedAt = now;
    item.due = work.arrival + work.target;
    item.eventGap = work.eventGap;
    item.worth = static_cast<float>(worthOf(work));
    item.origin = work.promptTokens > 0 ? originOf(work) : WorkOrigin{};
    const auto *engine = engineOf(work.service);
    const auto parts = static_cast<double>(route.helpers.size() + 1);
    const double prefillMs = engine ? prefillTimeMs(*engine, static_cast<double>(work.promptTokens)) / parts : 0.0;
    const auto add = [&](const std::string &backend, std::uint64_t tokens) {
        item.parts.push_back({keyOf(backend), static_cast<float>(prefillMs), static_cast<std::uint32_t>(tokens)});
    };
    std::uint64_t reservedAtHelpers = 0;
    for (const auto tokens : tickets) {
        reservedAtHelpers += tokens;
    }
    const auto totalTokens = engine ? memoryTokens(work) : 0;
    add(route.members.front().backend, totalTokens - std::min(totalTokens, reservedAtHelpers));
    for (std::size_t i = 0; i < route.helpers.size(); ++i) {
        add(route.helpers[i].backend, i < tickets.size() ? tickets[i] : 0);
    }
    const bool maySend = paceSent(item, work.sequence, now);
    for (const auto &part : item.parts) {
        health(part.backend).breaker.sent(now);
    }
    m_notices.sent(item.parts.front().backend, now);
    countAttempt(item, true, now);
    m_ledger.close(itemKey(work, WaitingAttempt));
    m_ledger.open(std::move(item));
    return maySend;
}

bool EntryPlacement::answered(const CallWork &work, std::uint32_t attempt, const std::string &backend, Instant now)
{
    bool hasReturned = false;
    {
        const std::lock_guard lock(m_mutex);
        const auto key = itemKey(work, attempt);
        const auto found = m_ledger.own().find(key);
        if (found == m_ledger.own().end() || found->second.decoding) {
            return false;
        }
        // The server may have been replaced since; what the attempt tells is about the incarnation that it was sent to.
        const auto server = found->second.parts.front().backend;
        hasReturned = m_notices.answered(server, now);
        observeAnswer(found->second, backend, now);
        health(server).breaker.succeeded(now);
        const double elapsedMs = pomeloport::seconds(now - found->second.startedAt) * 1000;
        // What still runs at an evacuated server are its slowest requests. Nothing would correct an average of them, so
        // the server would get hardly any request after the evacuation.
        if (!isEvacuatedServer(backend)) {
            const double margin = m_policy.pace.leastDifference * pomeloport::seconds(work.target) * MsPerSecond;
            recordAnswer(found->second, backend, &Health::answerMs, elapsedMs, margin, now);
        }
        if (isLatencySensitive(work)) {
            m_slotStarts[work.service].answered(now - found->second.startedAt, m_policy.engines);
        }
        m_ledger.firstEvent(key, now);
    }
    reportChange(WorkChange::Progress);
    return hasReturned;
}

void EntryPlacement::closed(const CallWork &work,
                            std::uint32_t attempt,
                            const std::string &backend,
                            pomeloport::action::CloseAttempt::Outcome outcome,
                            Instant now,
                            AttemptEnd end)
{
    using Outcome = pomeloport::action::CloseAttempt::Outcome;
    {
        const std::lock_guard lock(m_mutex);
        const auto item = m_ledger.own().find(itemKey(work, attempt));
        const bool isKnown = item != m_ledger.own().end() && !item->second.parts.empty();
        const auto key = isKnown ? item->second.parts.front().backend : keyOf(backend);
        m_attemptPredictions.erase(itemKey(work, attempt));
        const bool wasSent = m_unsent.erase(itemKey(work, attempt)) == 0;
        const bool hasFailed = wasSent && (outcome == Outcome::Broken || outcome == Outcome::Refused);
        if (hasFailed && end == AttemptEnd::OwnMemory) {
            // The attempt may have been the probe of an open circuit. Without an outcome, each large response that
            // finds no memory here would keep the circuit open for all others.
            health(key).breaker.succeeded(now);
        } else if (hasFailed) {
            // A server that responds to others meanwhile is busy, with a full listen queue, and not gone.
            const bool isBusy =
                end == AttemptEnd::ConnectTimeout && isKnown && health(key).respondedAt > item->second.startedAt;
            recordFailure(key, now, !isBusy);
        }
        if (outcome == Outcome::Completed) {
            auto &backendHealth = health(key);
            backendHealth.failureRate -= FailureWeight * backendHealth.failureRate;
        }
        if (wasSent && outcome == Outcome::Abandoned) {
            recordLeft(work, itemKey(work, attempt), now);
        }
        m_ledger.close(itemKey(work, attempt));
    }
    reportChange(WorkChange::Progress);
}

void EntryPlacement::failed(const std::string &backend, Instant now)
{
    const std::lock_guard lock(m_mutex);
    recordFailure(keyOf(backend), now);
}

void EntryPlacement::responded(const std::string &backend, Instant now)
{
    const std::lock_guard lock(m_mutex);
    health(keyOf(backend)).respondedAt = now;
}

/// Records a failure, which keeps requests from the server for a time unless it must not open its circuit.
void EntryPlacement::recordFailure(std::uint32_t key, Instant now, bool opensCircuit)
{
    auto &backendHealth = health(key);
    if (opensCircuit) {
        backendHealth.breaker.failed(now);
    }
    m_pace.failed(key, now);
    const double before = currentFailureRate(backendHealth, now);
    backendHealth.failureRate = before + FailureWeight * (1 - before);
    backendHealth.failedAt = now;
}

/// Share of failures that counts now. Without its decay, nothing would correct that of a server that gets no request.
double EntryPlacement::currentFailureRate(const Health &backendHealth, Instant now) const
{
    if (m_policy.pace.averageLifetime <= Duration::zero()) {
        return backendHealth.failureRate;
    }
    const double age = pomeloport::seconds(now - backendHealth.failedAt) / FailureLifetimeSeconds;
    return backendHealth.failureRate * std::clamp(1 - age, 0.0, 1.0);
}

bool EntryPlacement::permitRetry(const CallWork &work, Instant now)
{
    const std::lock_guard lock(m_mutex);
    m_ledger.expire(now);
    return m_repeats.permits(work.service, m_ledger.heardShare(now), now);
}

/// Counts an attempt of any instance towards the retry budget of its service.
void EntryPlacement::countAttempt(const WorkItem &item, bool isOwn, Instant now)
{
    const auto service = m_serviceByKey.find(item.parts.front().backend);
    if (service != m_serviceByKey.end()) {
        m_repeats.record(service->second, item.repeat, now);
        m_returns.callStarted(service->second, isOwn, now);
        recordUse(item, service->second, now);
    }
}

void EntryPlacement::applyPeerReport(const pomeloport::OwnerId &sender, const WorkReport &report, Instant now)
{
    const std::lock_guard lock(m_mutex);
    const auto arrived = [this, now](const WorkItem &item) {
        if (!item.parts.empty()) {
            countAttempt(item, false, now);
        }
        for (const auto &part : item.parts) {
            m_pace.sentElsewhere(part.backend, item.startedAt, now);
        }
    };
    const auto answered = [this, now](const WorkItem &item) {
        if (!item.parts.empty()) {
            m_pace.answeredElsewhere(item.parts.front().backend);
            const auto known = m_health.find(item.parts.front().backend);
            if (known != m_health.end() && item.parts.front().prefillMs == 0) {
                known->second.answerMs.recordElsewhere(pomeloport::seconds(now - item.startedAt) * MsPerSecond);
            }
        }
    };
    m_ledger.merge(sender, report, now, arrived, answered);
}

void EntryPlacement::forgetPeer(const pomeloport::OwnerId &sender)
{
    const std::lock_guard lock(m_mutex);
    m_ledger.forget(sender);
}

std::optional<WorkReport> EntryPlacement::takeChanges(Instant now)
{
    const std::lock_guard lock(m_mutex);
    return m_ledger.hasChanges() ? std::optional(m_ledger.takeChanges(now)) : std::nullopt;
}

std::vector<WorkReport> EntryPlacement::fullReports(Instant now)
{
    const std::lock_guard lock(m_mutex);
    return m_ledger.fullReports(now);
}

std::vector<WorkReport> EntryPlacement::snapshots(Instant now)
{
    const std::lock_guard lock(m_mutex);
    return m_ledger.snapshots(now);
}

} // namespace pomeloentry
