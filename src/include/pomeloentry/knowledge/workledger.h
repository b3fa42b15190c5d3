#pragma once

#include "pomeloport/clock.h"
#include "pomeloport/protocol/identity.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

/// Work in flight at backend servers, of this instance and of all others. Own work is known exactly. Work of others is
/// reported by datagrams, so it may be some milliseconds old, and it expires when its sender falls silent.
namespace pomeloentry
{

using pomeloport::Duration;
using pomeloport::Instant;

/// Part of a work item at one backend server.
struct WorkPart
{
    /// See backendKey().
    std::uint32_t backend = 0;
    /// Prefill time of the part according to the cost model, in milliseconds.
    float prefillMs = 0;
    /// Memory occupied there, in tokens.
    std::uint32_t tokens = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(backend, prefillMs, tokens);
    }
};

/// How often prompts like a given one have been served lately, compared with others.
enum class ServedOften : std::uint8_t {
    Alike,
    /// Too seldom: its organisation or kind against all, or the largest prompts against their kind.
    TooSeldom,
    /// Its kind less often than a less urgent kind of the service.
    BehindLessUrgent,
    /// Its kind more often than a more urgent kind of the service.
    AheadOfUrgent,
};

/// Whose work an item is, for fair sharing while capacity is short; default values where that is off.
struct WorkOrigin
{
    /// See organisationKey(); zero if unknown.
    std::uint16_t organisation = 0;
    /// Lower is more urgent.
    std::uint8_t priority = 0;
    /// For the order of waiting prompts.
    ServedOften served = ServedOften::Alike;

    bool operator==(const WorkOrigin &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(organisation, priority, served);
    }
};

/// An attempt in flight, or a prompt that waits for a slot. The first part is at the backend server that answers; the
/// others only help to prefill.
struct WorkItem
{
    /// Unique within one process.
    std::uint64_t key = 0;
    /// Key of the service in whose slot queue the prompt waits, see serviceKey(); zero for an attempt in flight.
    std::uint32_t queuedFor = 0;
    /// Whether the first event has come, so that the prefill is finished.
    bool decoding = false;
    /// Whether this is a retry of a call.
    bool repeat = false;
    /// When the attempt was sent, or the prompt joined the queue.
    Instant startedAt{};
    /// Time of the first event.
    Instant decodingSince{};
    /// Target time of the first event; of a prompt that waits for a slot, the latest time at which it can be sent and
    /// meet its target.
    Instant due{};
    Duration eventGap{};
    /// Expected number of events of the answer.
    std::uint16_t events = 0;
    /// Worth of an answer that comes in time over one that is late.
    float worth = 0;
    WorkOrigin origin;
    std::vector<WorkPart> parts;
};

/// Identifies a service in messages between instances; never zero.
std::uint32_t serviceKey(const std::string &service);

/// Wire form of a work item for other instances. Times are relative to the time of sending, since the clocks of
/// instances are not comparable.
struct WorkItemMessage
{
    std::uint64_t key = 0;
    std::uint32_t queuedFor = 0;
    bool decoding = false;
    bool repeat = false;
    std::uint32_t ageMs = 0;
    std::uint32_t decodingAgeMs = 0;
    std::int32_t dueInMs = 0;
    std::uint16_t gapMs = 0;
    std::uint16_t events = 0;
    float worth = 0;
    std::vector<WorkPart> parts;
    /// Not part of the encoded item: it goes behind the other fields of the message, see encodePeerMessage().
    WorkOrigin origin;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(key, queuedFor, decoding, repeat, ageMs, decodingAgeMs, dueInMs, gapMs, events, worth, parts);
    }
};

/// Incremental or full report of the sender's work. A full report replaces what was known of the sender: it comes in
/// pieces of one epoch, and the last piece drops all items that are not named in that epoch.
struct WorkReport
{
    bool full = false;
    bool lastPiece = false;
    std::uint32_t epoch = 0;
    std::vector<WorkItemMessage> items;
    std::vector<std::uint64_t> ended;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(full, lastPiece, epoch, items, ended);
    }
};

/// All known work of this and the other instances. Not thread safe.
class WorkLedger
{
public:
    /// Work of another instance counts for this long after the instance was last heard: a few intervals of its full
    /// reports.
    static constexpr Duration Expiry = std::chrono::milliseconds(1500);
    /// A sender that falls silent still counts among all senders for this long: longer than a network cut between
    /// instances lasts.
    static constexpr Duration SenderRetention = std::chrono::seconds(30);
    /// Time constant of the averages of arriving work: as long as a swing of demand takes to have an effect.
    static constexpr Duration RateTimeConstant = std::chrono::milliseconds(2000);

    /// A copy of its own, whose index is built anew since it refers to the items.
    WorkLedger copy() const;

    /// Record the start, first event and end of own work.
    void open(WorkItem item);
    void firstEvent(std::uint64_t key, Instant now);
    void close(std::uint64_t key);
    const std::map<std::uint64_t, WorkItem> &own() const;

    /// Applies a report of another process. The first callback runs for each attempt that was not known before, the
    /// second one for each attempt whose first event is news.
    using Arrival = std::function<void(const WorkItem &item)>;
    void merge(const pomeloport::OwnerId &sender,
               const WorkReport &report,
               Instant now,
               const Arrival &arrival = {},
               const Arrival &answered = {});

    /// Drops the work of senders that were silent for longer than Expiry.
    void expire(Instant now);

    /// Share of the recently known senders that is being heard now, this process included, 0 to 1.
    double heardShare(Instant now) const;

    /// A work item with the index of its part at one backend server.
    struct Placed
    {
        const WorkItem *item = nullptr;
        std::size_t part = 0;
    };
    using ByBackend = std::unordered_map<std::uint32_t, std::vector<Placed>>;

    /// Work of all senders by backend server. Valid until the next change.
    const ByBackend &byBackend() const;

    /// Prompts of all senders that wait for a slot of a service. Pointers are valid until the next change.
    std::vector<const WorkItem *> waiting(std::uint32_t service) const;

    /// Whether prompts of other instances are among them.
    bool othersWait(std::uint32_t service) const;

    /// Changes to own work that other instances have not been told of, as many as fit a datagram. Call it until
    /// hasChanges() is false.
    WorkReport takeChanges(Instant now);

    /// Full report of own work for all receivers, in pieces that each fit a datagram. Changes so far need no further
    /// report.
    std::vector<WorkReport> fullReports(Instant now);

    /// The same for one receiver: changes are still to be reported to the others.
    std::vector<WorkReport> snapshots(Instant now);

    /// Drops the work of a sender that reports none any more. It no longer counts among the senders.
    void forget(const pomeloport::OwnerId &sender);

    /// Whether there are changes that takeChanges() would report.
    bool hasChanges() const;

    /// Recent arrival rate of prefill work on all instances, in engine milliseconds per millisecond.
    double prefillRate(Instant now) const;

    /// Recent arrival rate of streams whose limit on the gap between events is below this one, per second.
    double latencySensitiveRate(Duration bound, Instant now) const;

private:
    struct Sender
    {
        std::uint64_t incarnation = 0;
        Instant heardAt{};
        std::map<std::uint64_t, WorkItem> items;
        std::map<std::uint64_t, std::uint32_t> epochs;
    };

    double decay(Instant now) const;
    Duration rateSpan(Instant now) const;
    void recordArrival(const WorkItem &item, Instant now);

    /// Decaying sum of arrived prefill work, with RateTimeConstant, and the time of its last update.
    double m_arrivedMs = 0;
    Instant m_arrivedAt{};
    Instant m_firstArrival{};
    /// The same for the number of streams, by their limit on the gap between events.
    std::map<Duration, double> m_streams;
    std::map<std::uint64_t, WorkItem> m_own;
    std::map<std::string, Sender> m_remote;
    /// When each sender was last heard, kept for SenderRetention.
    std::map<std::string, Instant> m_senders;
    std::vector<std::uint64_t> m_changed;
    std::vector<std::uint64_t> m_ended;
    std::uint32_t m_epoch = 0;
    mutable ByBackend m_index;
    mutable bool m_indexed = false;
};

} // namespace pomeloentry
