#pragma once

#include "pomeloport/clock.h"
#include "pomeloport/coordination/route.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

/// The queue of requests that a router holds back until an engine has capacity, and the demand forecast for their wait.
namespace pomeloport
{

/// Resources for which requests wait; each has its own line.
enum class LineKind {
    /// Prefill of prompts with engine priority Urgent or Normal.
    Prompt,
    /// Memory and prefill of prompts with engine priority Bulk.
    Bulk,
};

/// The properties that determine a request's rank.
struct LineEntry
{
    LineKind kind = LineKind::Prompt;
    /// Worth per second of engine time, reduced for organisations above their fair share.
    double worthPerEngineSecond = 0;
    /// Required engine time in seconds.
    double cost = 0;
    Instant arrival{};
    /// Latest start with which the request meets its deadline.
    Instant latestStart{};
    /// Order of arrival in the line; set by put().
    std::uint64_t order = 0;
};

/// Holds waiting requests, those with the most worth per engine second first. The rank of a request rises while it
/// waits; close to its latest start it precedes all requests that are not. Not thread safe.
class WaitingLine
{
public:
    using Key = const RequestSpec *;

    /// Adds a request, or updates its entry without changing its order of arrival.
    void put(Key key, LineEntry entry);

    /// Removes a request; unknown ones are ignored.
    void remove(Key key);

    bool contains(Key key) const;

    /// Rank at the given time; higher ranks go first.
    static double rank(const LineEntry &entry, Instant now);

    /// Returns the first request of a line, or null. The result is cached for a short time or until the line changes,
    /// so that most calls take constant time.
    Key first(LineKind kind, Instant now);

    /// Returns whether another request of the entry's line ranks above it. The entry need not be in the line yet.
    bool anyRankedAbove(Key key, const LineEntry &entry, Instant now);

    /// Sum of the costs of the other requests of the entry's line that rank above it.
    double costRankedAbove(Key key, const LineEntry &entry, Instant now) const;

    /// Removes requests whose latest start is past by more than a grace time, in case their owner failed to remove
    /// them.
    void dropStale(Instant now);

    std::size_t size() const;

private:
    struct CachedFirst
    {
        Key key = nullptr;
        Instant foundAt{};
        bool known = false;
    };
    CachedFirst &cached(LineKind kind);
    Key findFirst(LineKind kind, Instant now) const;

    std::map<Key, LineEntry> m_entries;
    std::uint64_t m_nextOrder = 1;
    std::array<CachedFirst, 2> m_first{};
    Instant m_droppedAt{};
};

/// Measures the rate of arriving work by its worth per engine second, to forecast how much capacity is left for work of
/// a given worth. Not thread safe.
class DemandMeter
{
public:
    void arrived(const LineEntry &entry, Instant now);

    /// Engine seconds per second of arriving work whose worth per engine second is clearly above the given one, that
    /// is, in a higher bucket.
    double rateAbove(double worthPerEngineSecond, Instant now) const;

private:
    static constexpr std::size_t Buckets = 24;
    static std::size_t bucketOf(double worthPerEngineSecond);

    struct Bucket
    {
        double sum = 0;
        Instant time{};
    };
    std::array<Bucket, Buckets> m_buckets{};
};

} // namespace pomeloport
