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

/// Accounts for the in-flight attempts of one router: how much of each backend server each stream uses.
namespace pomeloport
{

/// An attempt at one backend server, and the capacity that it uses there.
struct InFlightAttempt
{
    std::string organisation;
    /// Prompt tokens to compute there, without those expected in the prefix cache.
    std::uint64_t prefillTokens = 0;
    /// Upper bound of the KV memory that it holds there, in tokens.
    std::uint64_t kvTokens = 0;
    EnginePriority priority = EnginePriority::Normal;
    Instant openedAt{};
    /// Predicted empty-context tokens to compute before the first chunk: its own and those queued ahead of it.
    double predictedTokens = 0;
    /// Predicted time until the first chunk.
    Duration predictedWait{};
    /// Arrival of the first chunk; empty before it.
    std::optional<Instant> firstChunkAt;
    /// Arrival of the latest chunk.
    Instant latestChunkAt{};
    /// Chunks after the first one.
    std::uint64_t laterChunks = 0;
};

/// The in-flight attempts at one backend server and sums over them.
struct BackendInFlight
{
    std::uint64_t streams = 0;
    std::uint64_t kvTokens = 0;
    /// Prompt tokens of attempts without a first chunk.
    std::uint64_t pendingPrefillTokens = 0;
    std::map<StreamAddress, InFlightAttempt> attempts;

    /// Sums over the attempts opened after a given time.
    struct Recent
    {
        /// Prompt tokens of attempts without a first chunk whose engine priority is not Bulk.
        std::uint64_t promptTokens = 0;
        /// Prompt tokens of attempts without a first chunk whose engine priority is Bulk.
        std::uint64_t bulkTokens = 0;
        std::uint64_t kvTokens = 0;
    };
    Recent openedAfter(Instant time) const;

    /// Returns by how much the first chunk of the most overdue attempt exceeds its predicted time. Attempts with engine
    /// priority Bulk do not count.
    Duration overdue(Instant now) const;
};

/// Keeps the in-flight attempts by backend server and stream address. Not thread safe.
class InFlightLedger
{
public:
    /// Adds an attempt, replacing an earlier one of the same stream at the same server.
    void open(const StreamAddress &stream, const std::string &backend, InFlightAttempt attempt);

    /// Records the first chunk and returns the updated attempt; null when it is unknown or already has a first chunk.
    const InFlightAttempt *firstChunk(const StreamAddress &stream, const std::string &backend, Instant now);

    /// Records a later chunk and returns the attempt as it was before; empty when it is unknown or has no first chunk.
    std::optional<InFlightAttempt> nextChunk(const StreamAddress &stream, const std::string &backend, Instant now);

    /// Removes and returns an attempt; empty when unknown.
    std::optional<InFlightAttempt> close(const StreamAddress &stream, const std::string &backend);

    /// Returns the attempts at a server. The reference stays valid for the ledger's lifetime.
    const BackendInFlight &books(const std::string &backend);

    /// Number of attempts at all servers.
    std::size_t size() const;

private:
    std::unordered_map<std::string, BackendInFlight> m_backends;
    std::size_t m_size = 0;
};

} // namespace pomeloport
