#pragma once

#include "pomeloport/clock.h"
#include "pomeloport/protocol/enginemessages.h"
#include "pomeloport/protocol/identity.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

/// The books of one router about its own attempts: which stream holds how much of which backend server.
namespace pomeloport
{

/// One attempt's booking at one backend server.
struct Booking
{
    std::string organisation;
    /// Prompt tokens to compute there, without those expected in the prefix cache.
    std::uint64_t prefillTokens = 0;
    /// KV memory held there, in tokens, at most.
    std::uint64_t kvTokens = 0;
    EnginePriority priority = EnginePriority::Normal;
    Instant openedAt{};
    /// Empty-context tokens that had to be computed before the first chunk, its own and those ahead, as predicted.
    double predictedTokens = 0;
    /// Predicted time until the first chunk.
    Duration predictedWait{};
    /// When the first chunk came; empty before.
    std::optional<Instant> firstChunkAt;
    /// When the latest chunk came.
    Instant latestChunkAt{};
    /// Chunks after the first one.
    std::uint64_t laterChunks = 0;
};

/// Sums over the bookings at one backend server.
struct BackendInFlight
{
    std::uint64_t streams = 0;
    std::uint64_t kvTokens = 0;
    /// Prompt tokens of bookings without a first chunk.
    std::uint64_t pendingPrefillTokens = 0;
    /// Bookings by stream.
    std::map<StreamAddress, Booking> bookings;

    /// Sums over the bookings opened after a given time.
    struct Recent
    {
        /// Prompt tokens of bookings without a first chunk, by whether their class is Bulk.
        std::uint64_t promptTokens = 0;
        std::uint64_t bulkTokens = 0;
        std::uint64_t kvTokens = 0;
    };
    Recent openedAfter(Instant time) const;

    /// Returns by how much the first chunk of the most overdue booking is late; bookings of class Bulk do not count.
    Duration overdue(Instant now) const;
};

/// Keeps bookings by backend server and stream address. Not thread safe.
class InFlightLedger
{
public:
    /// Adds a booking. A second booking of the same stream at the same server replaces the first.
    void open(const StreamAddress &stream, const std::string &backend, Booking booking);

    /// Marks the first chunk and returns the booking as it stands then; null when unknown or already marked.
    const Booking *firstChunk(const StreamAddress &stream, const std::string &backend, Instant now);

    /// Counts a later chunk and returns the booking as it stood before; empty when unknown or before the first chunk.
    std::optional<Booking> nextChunk(const StreamAddress &stream, const std::string &backend, Instant now);

    /// Removes and returns a booking; empty when unknown.
    std::optional<Booking> close(const StreamAddress &stream, const std::string &backend);

    /// Returns the books of a server, which stay at this address for the ledger's lifetime.
    const BackendInFlight &books(const std::string &backend);

    /// Number of bookings in all.
    std::size_t size() const;

private:
    std::unordered_map<std::string, BackendInFlight> m_backends;
    std::size_t m_size = 0;
};

} // namespace pomeloport
