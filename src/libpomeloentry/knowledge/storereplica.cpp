#include "pomeloentry/knowledge/storereplica.h"

#include "knowledge/restorerules.h"
#include "knowledge/storecalls.h"

#include <algorithm>
#include <utility>

namespace pomeloentry
{

using pomeloport::StoreCall;
using pomeloport::StoreOperation;
using pomeloport::StoreReply;
using pomeloport::StoreStatus;

namespace
{

/// Longest delay of a store reader between calls for a kind that it has no list of, since calls wait for it then. Few
/// instances of each failure domain read the store.
constexpr std::chrono::milliseconds LongestStartRetryDelay{250};
/// How long the store holds a watch without a change, at most. An unresponsive store is detected only after this time
/// plus that for an answer, so it is kept short: changes must take effect within seconds.
constexpr std::chrono::milliseconds LongestWatchWait{2'000};
constexpr std::chrono::milliseconds ShortestWatchWait{200};
/// The same while the store has not answered since a call failed. Such a call is over soon, so its result tells about
/// when the store returned.
constexpr std::chrono::milliseconds ProbeWait{10};
/// Within this time, on top of a watch's wait, a store that is well answers or refuses a call.
constexpr std::chrono::milliseconds AnswerTime{200};
/// Pause after a watch that reported changes, so that one call covers several of them.
constexpr std::chrono::milliseconds WatchPause{100};
/// Without a call to the store within this time, its availability counts as unknown.
constexpr Duration ContactMemory = std::chrono::seconds(5);

/// Returns how long a watch waits, so that the call which replaces one without answer is answered within the given
/// time.
std::chrono::milliseconds watchWait(Duration stableTime)
{
    const auto wait = std::chrono::floor<std::chrono::milliseconds>(stableTime) - 2 * AnswerTime;
    return std::clamp(wait, ShortestWatchWait, LongestWatchWait);
}

} // namespace

StoreReplica::StoreReplica(Jitter jitter, Duration stableTime)
    : m_jitter(std::move(jitter))
    , m_watchWait(watchWait(stableTime))
{
    for (const auto kind :
         {wire::DocumentKind::Routing, wire::DocumentKind::Backends, wire::DocumentKind::Evacuations}) {
        state(kind).documents = FleetDocuments(restoreRules(kind));
    }
}

StoreReplica::KindState &StoreReplica::state(wire::DocumentKind kind)
{
    return m_kinds.at(static_cast<std::size_t>(kind));
}

const StoreReplica::KindState &StoreReplica::state(wire::DocumentKind kind) const
{
    return m_kinds.at(static_cast<std::size_t>(kind));
}

void StoreReplica::setReader(bool isReader)
{
    m_isReader = isReader;
}

bool StoreReplica::isReader() const
{
    return m_isReader;
}

void StoreReplica::retryUntilKnown(wire::DocumentKind kind)
{
    state(kind).retriesUntilKnown = true;
}

void StoreReplica::read(wire::DocumentKind kind, Instant now)
{
    auto &entry = state(kind);
    if (!entry.pending && !entry.callAt) {
        entry.callAt = now;
    }
}

std::optional<StoreCall> StoreReplica::nextCall(wire::DocumentKind kind, Instant now)
{
    auto &entry = state(kind);
    if (canReplace(entry) && now >= entry.pending->answerDue) {
        entry.overdue = std::exchange(entry.pending, std::nullopt);
        entry.callAt = now;
        entry.probes = true;
    }
    if (entry.pending || !entry.callAt || now < *entry.callAt) {
        return std::nullopt;
    }
    entry.callAt.reset();
    if (isKnown(kind) && !m_isReader) {
        // A peer's state came first, which costs less to apply than the rest of a list.
        entry.listedObjects.clear();
        return std::nullopt;
    }
    StoreCall call;
    call.id = m_nextCall++;
    call.kind = wire::kindName(kind);
    bool waits = false;
    const bool isList = needsList(entry);
    const bool continues = !isList || !entry.listedObjects.empty();
    if (isList) {
        call.operation = StoreOperation::List;
        call.after = entry.listedObjects.empty() ? std::string() : entry.listedObjects.back().name;
    } else {
        waits = !std::exchange(entry.probes, false) && !m_outage.isOpen() && entry.failures == 0;
        call.operation = StoreOperation::Watch;
        call.ifVersion = entry.documents.asOf().revision;
        call.wait = waits ? m_watchWait : ProbeWait;
        call.newConnection = !waits;
    }
    const auto era = continues ? std::optional(m_era) : std::nullopt;
    entry.pending = PendingCall{call.id, isList, era, now, now + call.wait + AnswerTime, waits};
    return call;
}

/// Whether the next call for a kind is a list: there has been none, its history is gone, or the known revisions are of
/// an earlier era.
bool StoreReplica::needsList(const KindState &kind) const
{
    return kind.needsList || kind.documents.asOf().era != m_era;
}

/// Whether another call replaces the pending one if that is not answered in time. A list is not replaced: it is
/// expensive, and a store that is slow would have to make it twice.
bool StoreReplica::canReplace(const KindState &kind)
{
    return kind.pending && kind.pending->waits && !kind.overdue;
}

std::optional<Instant> StoreReplica::wakeAt(wire::DocumentKind kind) const
{
    const auto &entry = state(kind);
    return canReplace(entry) ? std::optional(entry.pending->answerDue) : entry.callAt;
}

bool StoreReplica::hasOverdueWatch(wire::DocumentKind kind) const
{
    return state(kind).overdue.has_value();
}

ReplyOutcome StoreReplica::onReply(wire::DocumentKind kind, const StoreReply &reply, Instant now)
{
    ReplyOutcome outcome;
    auto &entry = state(kind);
    if (entry.overdue && entry.overdue->id == reply.id) {
        onLateReply(kind, *std::exchange(entry.overdue, std::nullopt), reply, now, outcome);
        return outcome;
    }
    if (!entry.pending || entry.pending->id != reply.id) {
        return outcome;
    }
    const auto call = *std::exchange(entry.pending, std::nullopt);
    if (reply.era && *reply.era < m_era) {
        onEarlierEra(kind, now, outcome);
        return outcome;
    }
    recordEra(reply, now);
    // A page without a readable object names no place to go on from, and the list would seem complete without the rest.
    const bool cannotContinue = call.isList && reply.more && reply.objects.empty();
    if (!call.isList && reply.status == StoreStatus::HistoryGone) {
        recordAnswer(now, outcome);
        onHistoryGone(entry, now, outcome);
    } else if (reply.status != StoreStatus::Ok || cannotContinue) {
        recordFailure(call, now, outcome);
        ++entry.failures;
        entry.listedObjects.clear();
        scheduleRetry(entry, kind, now);
    } else if (call.era && *call.era != m_era) {
        // The store took the call's revision or its place in a list for one of the new era.
        recordAnswer(now, outcome);
        entry.callAt = now;
    } else {
        recordAnswer(now, outcome);
        call.isList ? onListPage(kind, reply, now, outcome) : onWatchReply(kind, reply, now, outcome);
        entry.callAt = call.isList || reply.objects.empty() ? now : now + WatchPause;
    }
    if (outcome.answered) {
        entry.failures = 0;
    }
    return outcome;
}

/// Repeats a call after a failure if this instance reads the store or waits for its first list.
void StoreReplica::scheduleRetry(KindState &entry, wire::DocumentKind kind, Instant now)
{
    if (!m_isReader && !entry.retriesUntilKnown) {
        return;
    }
    auto delay = retryDelay(std::max(entry.failures, 1U));
    if (m_isReader && !isKnown(kind)) {
        delay = std::min(delay, LongestStartRetryDelay);
    }
    entry.callAt = now + m_jitter(delay);
}

/// Discards a reply that the store gave before it came back from a copy, and calls again.
void StoreReplica::onEarlierEra(wire::DocumentKind kind, Instant now, ReplyOutcome &outcome)
{
    outcome.isOfEarlierEra = true;
    auto &entry = state(kind);
    ++entry.failures;
    entry.listedObjects.clear();
    scheduleRetry(entry, kind, now);
}

/// Lists a kind whose history the store no longer has. A list in vain, after which the history is gone once more, is
/// repeated with a delay only.
void StoreReplica::onHistoryGone(KindState &entry, Instant now, ReplyOutcome &outcome)
{
    outcome.historyGone = true;
    entry.needsList = entry.needsList || entry.documents.asOf().era == m_era;
    const auto earlier = entry.goneHistories++;
    entry.callAt = earlier == 0 ? now : now + m_jitter(retryDelay(earlier));
}

/// Begins a later era if a reply names one.
void StoreReplica::recordEra(const StoreReply &reply, Instant now)
{
    if (reply.era && *reply.era > m_era) {
        beginEra(*reply.era, now);
    }
}

/// Lists all kinds again, since the revisions that are known are of an earlier era. Watches are given up; the replies
/// to other pending calls count only if they do not continue anything of an earlier era.
void StoreReplica::beginEra(std::uint64_t era, Instant now)
{
    m_era = era;
    for (auto &entry : m_kinds) {
        entry.listedObjects.clear();
        entry.goneHistories = 0;
        if (entry.pending && !entry.pending->isList) {
            entry.pending.reset();
        }
        if (m_isReader && !entry.pending && (entry.callAt || entry.hasList)) {
            entry.callAt = now + m_jitter(FirstRetryDelay);
        }
    }
}

std::uint64_t StoreReplica::era() const
{
    return m_era;
}

/// Processes the reply to a watch that another call has replaced, which decides when to call next.
void StoreReplica::onLateReply(wire::DocumentKind kind,
                               const PendingCall &call,
                               const StoreReply &reply,
                               Instant now,
                               ReplyOutcome &outcome)
{
    if (reply.era && *reply.era < m_era) {
        outcome.isOfEarlierEra = true;
        return;
    }
    recordEra(reply, now);
    if (reply.status == StoreStatus::Ok) {
        recordAnswer(now, outcome);
        if (call.era == m_era) {
            onWatchReply(kind, reply, now, outcome);
        }
    } else if (reply.status == StoreStatus::HistoryGone) {
        recordAnswer(now, outcome);
    } else {
        recordFailure(call, now, outcome);
    }
}

void StoreReplica::onListPage(wire::DocumentKind kind, const StoreReply &reply, Instant now, ReplyOutcome &outcome)
{
    auto &entry = state(kind);
    if (entry.listedObjects.empty()) {
        entry.listAsOf = {m_era, reply.storeVersion};
    }
    entry.listedObjects.insert(entry.listedObjects.end(), reply.objects.begin(), reply.objects.end());
    if (reply.more) {
        return;
    }
    // The list is as old as its first page; the watch repeats changes made between the pages.
    const auto pendingBefore = entry.documents.pendingRemovals();
    const bool wasKnown = isKnown(kind);
    const auto removeAt = removalTime(kind, now);
    const bool changed = entry.documents.replace(entry.listedObjects, entry.listAsOf, removeAt, now);
    if (entry.documents.pendingRemovals() > pendingBefore) {
        outcome.removalDelay = removeAt - now;
    }
    entry.listedObjects.clear();
    entry.hasList = true;
    entry.needsList = false;
    outcome.listed = true;
    outcome.documentsChanged = changed || !wasKnown;
}

void StoreReplica::onWatchReply(wire::DocumentKind kind, const StoreReply &reply, Instant now, ReplyOutcome &outcome)
{
    auto &entry = state(kind);
    const auto pendingBefore = entry.documents.pendingRemovals();
    const auto removeAt = removalTime(kind, now);
    entry.goneHistories = 0;
    outcome.documentsChanged = entry.documents.apply(reply.objects, {m_era, reply.storeVersion}, removeAt, now);
    outcome.changesPending = !outcome.documentsChanged && !reply.objects.empty();
    if (entry.documents.pendingRemovals() > pendingBefore) {
        outcome.removalDelay = removeAt - now;
    }
}

void StoreReplica::recordAnswer(Instant now, ReplyOutcome &outcome)
{
    outcome.answered = true;
    m_calledAt = now;
    const bool wasOpen = m_outage.isOpen();
    m_outage.answered(now);
    if (!wasOpen) {
        return;
    }
    outcome.regainedAfter = now - m_outage.lastFailure();
    // The other kinds need not wait for the end of their longer delays.
    for (auto &other : m_kinds) {
        if (other.failures > 0 && other.callAt) {
            other.callAt = now + m_jitter(FirstRetryDelay);
        }
    }
}

void StoreReplica::recordFailure(const PendingCall &call, Instant now, ReplyOutcome &outcome)
{
    m_calledAt = now;
    const bool wasOpen = m_outage.isOpen();
    // A call that was not answered in time may have met a store that was already silent, and may have been lost long
    // before it is given up; a refused one shows that the store refuses now.
    m_outage.failed(now > call.answerDue ? call.sentAt : now, std::min(now, call.answerDue));
    outcome.storeLost = !wasOpen && m_outage.isOpen();
}

/// When to apply a removal that is seen now. Evacuations never expire, so theirs are not delayed by an outage.
Instant StoreReplica::removalTime(wire::DocumentKind kind, Instant now) const
{
    if (kind == wire::DocumentKind::Evacuations) {
        return now;
    }
    const auto &overdue = state(kind).overdue;
    if (!overdue) {
        return m_outage.removalTime(now);
    }
    // The store may be slow, or the watch may have been lost in an outage that no other call shows.
    auto outage = m_outage;
    outage.failed(overdue->sentAt, overdue->answerDue);
    return outage.removalTime(now);
}

/// Returns when to apply removals that a peer tells of, or nothing if this instance gets no answers from the store
/// itself and depends on the delay that the peer has for them.
std::optional<Instant> StoreReplica::ownRemovalTime(wire::DocumentKind kind, Instant now) const
{
    if (kind == wire::DocumentKind::Evacuations) {
        return now;
    }
    const bool reads = m_isReader && state(kind).hasList && contact(now) == StoreContact::Answering;
    return reads ? std::optional(removalTime(kind, now)) : std::nullopt;
}

bool StoreReplica::merge(wire::DocumentKind kind, const DocumentCopy &copy, Instant now)
{
    if (copy.asOf.era > m_era) {
        beginEra(copy.asOf.era, now);
    }
    return state(kind).documents.merge(copy, ownRemovalTime(kind, now), now);
}

bool StoreReplica::applyDueChanges(wire::DocumentKind kind, Instant now)
{
    return state(kind).documents.applyDueChanges(now);
}

const FleetDocuments &StoreReplica::documents(wire::DocumentKind kind) const
{
    return state(kind).documents;
}

bool StoreReplica::isKnown(wire::DocumentKind kind) const
{
    return state(kind).hasList || documents(kind).asOf() != StoreVersion{};
}

StoreContact StoreReplica::contact(Instant now) const
{
    if (now - m_calledAt > ContactMemory) {
        return StoreContact::Unknown;
    }
    return m_outage.isOpen() ? StoreContact::Failing : StoreContact::Answering;
}

} // namespace pomeloentry
