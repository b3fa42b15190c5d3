#pragma once

#include "pomeloentry/knowledge/fleetdocuments.h"
#include "pomeloentry/knowledge/peertable.h"
#include "pomeloentry/knowledge/storeoutage.h"
#include "pomeloentry/wire.h"

#include "pomeloport/protocol/store.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

/// Local replica of the platform's store and the calls that keep it up to date. Pure: whoever owns it sends the calls,
/// passes their replies in and tells the time. Not thread safe.
namespace pomeloentry
{

/// Randomises a delay, so that instances do not call the store at the same time.
using Jitter = std::function<std::chrono::milliseconds(std::chrono::milliseconds)>;

/// What a reply of the store changed.
struct ReplyOutcome
{
    /// Whether documents changed, or the first list of their kind is complete.
    bool documentsChanged = false;
    /// Whether the reply told of changes that leave the documents as they are for now, such as delayed removals.
    bool changesPending = false;
    /// Whether the reply completed a list.
    bool listed = false;
    /// Whether the store no longer has the changes that were asked for, so that a list follows.
    bool historyGone = false;
    /// Whether the store answered the call.
    bool answered = false;
    /// Whether this is the first failed call after the store had answered.
    bool storeLost = false;
    /// Time since the last failed call, in the first answer after it.
    std::optional<Duration> regainedAfter;
    /// Delay of the removals that the reply told of, if they are delayed.
    std::optional<Duration> removalDelay;
    /// Whether the reply is of an earlier era than the current one and so was discarded.
    bool isOfEarlierEra = false;
};

class StoreReplica
{
public:
    /// Kinds of documents that a replica can hold.
    static constexpr std::size_t Kinds = 3;

    /// Takes the time after a disturbance of its connections within which an instance has to know again what the store
    /// has; a watch waits for less.
    StoreReplica(Jitter jitter, Duration stableTime);

    /// Sets whether this instance keeps reading the store. Others call it only for kinds that they do not know yet.
    void setReader(bool isReader);
    bool isReader() const;

    /// Makes the calls for a kind be repeated after failures until the kind is known, also if this is no reader.
    void retryUntilKnown(wire::DocumentKind kind);

    /// Starts reading a kind unless a call is in progress or due.
    void read(wire::DocumentKind kind, Instant now);

    /// Returns the call to send now for a kind, if one is due. Its reply is passed to onReply().
    std::optional<pomeloport::StoreCall> nextCall(wire::DocumentKind kind, Instant now);

    /// When nextCall() has to be asked again; nothing while it depends on a reply.
    std::optional<Instant> wakeAt(wire::DocumentKind kind) const;

    /// Whether a watch was not answered in time and its reply may still come.
    bool hasOverdueWatch(wire::DocumentKind kind) const;

    /// Processes the reply to a call, also one that failed or was not answered in time.
    ReplyOutcome onReply(wire::DocumentKind kind, const pomeloport::StoreReply &reply, Instant now);

    /// The latest era of the store that a reply or a peer's copy was of.
    std::uint64_t era() const;

    /// Merges a peer's copy of a kind. One of a later era makes this instance read the store again. Returns whether the
    /// documents changed.
    bool merge(wire::DocumentKind kind, const DocumentCopy &copy, Instant now);

    /// Applies changes of documents whose delay has passed. Returns whether there were any.
    bool applyDueChanges(wire::DocumentKind kind, Instant now);

    const FleetDocuments &documents(wire::DocumentKind kind) const;

    /// Whether there has been a complete list of a kind, from the store or from a peer.
    bool isKnown(wire::DocumentKind kind) const;

    /// Whether the store answers this instance.
    StoreContact contact(Instant now) const;

private:
    /// A call to the store without reply.
    struct PendingCall
    {
        std::uint64_t id = 0;
        bool isList = false;
        /// Era of the revision or the list that the call continues; nothing for the first page of a list.
        std::optional<std::uint64_t> era;
        Instant sentAt{};
        /// Until when the store, if it is well, has answered or refused the call.
        Instant answerDue{};
        /// Whether the store may hold the call for long.
        bool waits = false;
    };

    struct KindState
    {
        FleetDocuments documents;
        /// Objects from the pages of the current list, and the store version of its first page.
        std::vector<pomeloport::StoreObject> listedObjects;
        StoreVersion listAsOf;
        std::optional<PendingCall> pending;
        /// A watch that was not answered in time and another call has replaced. Its reply may still come.
        std::optional<PendingCall> overdue;
        /// When the next call is due; nothing while one is pending or none is needed.
        std::optional<Instant> callAt;
        std::uint32_t failures = 0;
        /// Watches in a row whose history the store no longer had.
        std::uint32_t goneHistories = 0;
        bool hasList = false;
        /// Whether the next call is a list rather than a watch, also if the documents are of the current era.
        bool needsList = true;
        /// Whether the next watch does not wait, since it is to show whether the store answers.
        bool probes = false;
        bool retriesUntilKnown = false;
    };

    KindState &state(wire::DocumentKind kind);
    const KindState &state(wire::DocumentKind kind) const;
    static bool canReplace(const KindState &kind);
    bool needsList(const KindState &kind) const;
    void beginEra(std::uint64_t era, Instant now);
    void recordEra(const pomeloport::StoreReply &reply, Instant now);
    void scheduleRetry(KindState &entry, wire::DocumentKind kind, Instant now);
    void onEarlierEra(wire::DocumentKind kind, Instant now, ReplyOutcome &outcome);
    void onHistoryGone(KindState &entry, Instant now, ReplyOutcome &outcome);
    void onLateReply(wire::DocumentKind kind,
                     const PendingCall &call,
                     const pomeloport::StoreReply &reply,
                     Instant now,
                     ReplyOutcome &outcome);
    void onListPage(wire::DocumentKind kind, const pomeloport::StoreReply &reply, Instant now, ReplyOutcome &outcome);
    void onWatchReply(wire::DocumentKind kind, const pomeloport::StoreReply &reply, Instant now, ReplyOutcome &outcome);
    void recordAnswer(Instant now, ReplyOutcome &outcome);
    void recordFailure(const PendingCall &call, Instant now, ReplyOutcome &outcome);
    Instant removalTime(wire::DocumentKind kind, Instant now) const;
    std::optional<Instant> ownRemovalTime(wire::DocumentKind kind, Instant now) const;

    Jitter m_jitter;
    std::chrono::milliseconds m_watchWait;
    std::array<KindState, Kinds> m_kinds;
    StoreOutage m_outage;
    std::uint64_t m_era = 0;
    /// When the last reply arrived, or the last call was given up.
    Instant m_calledAt{};
    bool m_isReader = false;
    std::uint64_t m_nextCall = 1;
};

} // namespace pomeloentry
