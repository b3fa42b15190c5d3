#pragma once

#include "pomeloport/clock.h"
#include "pomeloport/coordination/route.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

/// Requests that a router holds back until an engine has room, and the forecast of when that will be.
namespace pomeloport
{

/// Resources that requests wait for; each has a line of its own.
enum class LineKind {
    /// Prefill of short, medium and long prompts.
    Prompt,
    /// Memory and prefill for prompts of class Huge.
    Bulk,
};

/// What decides a request's turn.
struct LineEntry
{
    LineKind kind = LineKind::Prompt;
    /// Worth per second of engine time, reduced for organisations above their share.
    double density = 0;
    /// Seconds of one engine's time that it needs.
    double cost = 0;
    Instant arrival{};
    /// When it must be started at the latest.
    Instant latestStart{};
    /// Order of arrival at this router.
    std::uint64_t order = 0;
};

/// Holds waiting requests; the one with the most worth per cost goes first, and waiting raises a request's rank until,
/// close to its latest start, it goes before all others. Not thread safe.
class WaitingLine
{
public:
    using Key = const RequestSpec *;

    /// Adds a request, or updates its entry; its order of arrival is kept.
    void put(Key key, LineEntry entry);

    /// Removes a request; unknown ones are ignored.
    void remove(Key key);

    bool contains(Key key) const;

    /// Rank at a time; higher goes first.
    static double rank(const LineEntry &entry, Instant now);

    /// Returns the first request of a line, or null. Ranks are compared anew only after some time or when the line
    /// changes, so that the call takes constant time mostly.
    Key first(LineKind kind, Instant now);

    /// Returns whether a waiting request other than the given one ranks above the entry.
    bool anyAbove(Key key, const LineEntry &entry, Instant now);

    /// Sum of the costs of the requests of the entry's line that rank above it, without the given one.
    double costAbove(Key key, const LineEntry &entry, Instant now) const;

    /// Drops requests whose latest start has passed by more than a grace time, in case their owner forgot them.
    void dropStale(Instant now);

    std::size_t size() const;

private:
    struct First
    {
        Key key = nullptr;
        Instant foundAt{};
        bool known = false;
    };
    First &cached(LineKind kind);
    Key findFirst(LineKind kind, Instant now) const;

    std::map<Key, LineEntry> m_entries;
    std::uint64_t m_nextOrder = 1;
    std::array<First, 2> m_first{};
    Instant m_droppedAt{};
};

/// Meters arriving work by worth per cost, to foresee which work will find room. Not thread safe.
class DemandMeter
{
public:
    /// Notes arriving work.
    void arrived(const LineEntry &entry, Instant now);

    /// Engine time per second that arrives with a density clearly above the given one.
    double rateAbove(double density, Instant now) const;

private:
    static constexpr std::size_t Buckets = 24;
    static std::size_t bucketOf(double density);

    struct Bucket
    {
        double sum = 0;
        Instant time{};
    };
    std::array<Bucket, Buckets> m_buckets{};
};

} // namespace pomeloport
