#pragma once

#include "pomeloport/clock.h"
#include "pomeloport/protocol/identity.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

/// What is in flight at backend servers, sent by this instance and by others. Own work is known exactly; others tell
/// theirs by datagrams, so it may be milliseconds old, and expires when its sender falls silent.
namespace pomeloentry
{

using pomeloport::Duration;
using pomeloport::Instant;

/// Work at one backend server.
struct WorkPart
{
    /// See backendKey().
    std::uint32_t backend = 0;
    /// Reading time of the part, as the cost model has it, in milliseconds.
    float readMs = 0;
    /// Memory held there, in tokens.
    std::uint32_t tokens = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(backend, readMs, tokens);
    }
};

/// One attempt in flight, or a prompt that waits for a slot. The first part is where the answer is written; the others
/// only read.
struct WorkItem
{
    /// Unique among the work of one process.
    std::uint64_t key = 0;
    /// The service at which it waits for a slot; zero for an attempt in flight. See serviceKey().
    std::uint32_t waitsFor = 0;
    /// Whether the first event has come, so that reading is over.
    bool writing = false;
    /// Whether the call was sent before.
    bool repeat = false;
    Instant startedAt{};
    /// When the first event came.
    Instant writingSince{};
    /// When the first event should come.
    Instant due{};
    Duration eventGap{};
    /// Events that the answer is expected to have.
    std::uint16_t events = 0;
    /// What an answer in time is worth more than one that is late.
    float worth = 0;
    std::vector<WorkPart> parts;
};

/// Identifies a service in messages between instances; never zero.
std::uint32_t serviceKey(const std::string &service);

/// A work item as told to other instances: times relative to the sending.
struct WorkNotice
{
    std::uint64_t key = 0;
    std::uint32_t waitsFor = 0;
    bool writing = false;
    bool repeat = false;
    std::uint32_t ageMs = 0;
    std::uint32_t writingAgeMs = 0;
    std::int32_t dueInMs = 0;
    std::uint16_t gapMs = 0;
    std::uint16_t events = 0;
    float worth = 0;
    std::vector<WorkPart> parts;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(key, waitsFor, writing, repeat, ageMs, writingAgeMs, dueInMs, gapMs, events, worth, parts);
    }
};

/// A change of the sender's work. A whole list replaces what was known of the sender; it comes in pieces with one
/// epoch, and the last one drops what the epoch did not name.
struct WorkReport
{
    bool whole = false;
    bool lastPiece = false;
    std::uint32_t epoch = 0;
    std::vector<WorkNotice> items;
    std::vector<std::uint64_t> ended;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(whole, lastPiece, epoch, items, ended);
    }
};

/// Keeps all known work. Not thread safe.
class WorkLedger
{
public:
    /// Work of others counts for this long after its sender was last heard: a few of the intervals at which whole
    /// lists are sent.
    static constexpr Duration Expiry = std::chrono::milliseconds(1500);
    /// A sender that falls silent counts among all senders for this long: longer than a cut between instances lasts.
    static constexpr Duration SenderMemory = std::chrono::seconds(30);
    /// Time over which arriving work is averaged: as long as a swing of demand takes to be felt.
    static constexpr Duration RateTime = std::chrono::milliseconds(2000);

    /// Own work.
    void open(WorkItem item);
    void firstEvent(std::uint64_t key, Instant now);
    void close(std::uint64_t key);
    const std::map<std::uint64_t, WorkItem> &own() const;

    /// Takes what another process told. The callback hears of each item that is new.
    using Arrival = std::function<void(const WorkItem &item)>;
    void take(const pomeloport::OwnerId &sender, const WorkReport &report, Instant now, const Arrival &arrival = {});

    /// Drops the work of senders that are silent.
    void expire(Instant now);

    /// The part of all senders known lately that is heard now, this process included, 0 to 1.
    double heardShare(Instant now) const;

    /// Work at a backend server, by all senders: each item with the index of its part there.
    struct Placed
    {
        const WorkItem *item = nullptr;
        std::size_t part = 0;
    };
    using ByBackend = std::unordered_map<std::uint32_t, std::vector<Placed>>;

    /// All work by backend server. Valid until the next change.
    const ByBackend &byBackend() const;

    /// Prompts of all senders that wait for a slot of a service. Valid until the next change.
    std::vector<const WorkItem *> waiting(std::uint32_t service) const;

    /// Changes of own work since the last call, for other instances.
    WorkReport takeChanges(Instant now);

    /// All own work, in pieces of a bounded number of items.
    std::vector<WorkReport> fullReports(Instant now);

    /// Whether there are changes to tell.
    bool hasChanges() const;

    /// Reading work that arrived lately, on all instances, in milliseconds of one engine for each millisecond.
    double readingRate(Instant now) const;

    /// Streams that arrived lately whose bound on pauses is below this, for each second.
    double tightRate(Duration bound, Instant now) const;

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
    void noteArrival(const WorkItem &item, Instant now);

    /// Sum of arrived reading work that decays over RateTime, and when it was last brought up to date.
    double m_arrivedMs = 0;
    Instant m_arrivedAt{};
    Instant m_firstArrival{};
    /// The same for the number of streams, by their bound on pauses.
    std::map<Duration, double> m_streams;
    std::map<std::uint64_t, WorkItem> m_own;
    std::map<std::string, Sender> m_others;
    /// When each sender was last heard, for SenderMemory.
    std::map<std::string, Instant> m_senders;
    std::vector<std::uint64_t> m_changed;
    std::vector<std::uint64_t> m_ended;
    std::uint32_t m_epoch = 0;
    mutable ByBackend m_index;
    mutable bool m_indexed = false;
};

} // namespace pomeloentry
