#pragma once

#include "pomeloport/clock.h"
#include "pomeloport/protocol/enginemessages.h"
#include "pomeloport/protocol/linkmessages.h"

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

/// Frees engine memory that no live owner needs any more. The home instance of each engine compares the holdings that
/// the engine reports with the requests that their owners have open. Every step is idempotent, so it is safe if two
/// instances consider themselves the home of an engine at the same time. The sweep performs no I/O: it turns events
/// into actions for the host to carry out.
namespace pomeloport
{

/// Limits after which holdings are freed without an answer from their owner.
struct SweepLimits
{
    /// Longest lifetime of a request. A holding that is older belongs to no open request, even if its owner cannot be
    /// reached.
    Duration maximumRequestLifetime = std::chrono::hours(1);
    /// Added to maximumRequestLifetime for clock differences and for the time that ending requests take to settle.
    Duration margin = std::chrono::minutes(5);
};

namespace sweepevent
{

/// The holdings of an engine, read from it after the last action for this engine was carried out.
struct HoldingsRead
{
    EngineHoldings holdings;
};

/// The answer to an AskOwner.
struct OwnerAnswered
{
    link::LiveStreamsReply reply;
};

} // namespace sweepevent

using SweepEvent = std::variant<sweepevent::HoldingsRead, sweepevent::OwnerAnswered>;

namespace sweepaction
{

/// Ask the owner directly which of its requests are still open.
struct AskOwner
{
    link::LiveStreamsQuery query;
};

/// Cancel a stream at its engine.
struct CancelStream
{
    std::string engine;
    StreamAddress stream;
};

/// Free a blob at its engine.
struct FreeBlob
{
    std::string engine;
    std::string blob;
};

} // namespace sweepaction

using SweepAction = std::variant<sweepaction::AskOwner, sweepaction::CancelStream, sweepaction::FreeBlob>;

/// Sweeps the engines whose home is this instance. Not thread-safe.
class OrphanSweep
{
public:
    /// Queries are numbered from firstQuery + 1. A host that uses query numbers for other purposes too passes the start
    /// of a separate range.
    explicit OrphanSweep(SweepLimits limits = {}, std::uint64_t firstQuery = 0);

    /// Handles one event and returns the actions to carry out. Owners are queried only after the holdings were read, so
    /// a request that the owner does not report as open has ended.
    std::vector<SweepAction> handle(const SweepEvent &event, Instant now);

    /// Drops all state of an engine whose home is no longer this instance.
    void forget(const std::string &engine);

private:
    /// Identifies a holding of an engine by its stream and its blob; the blob is empty for the stream itself.
    using HoldingKey = std::pair<StreamAddress, std::string>;

    /// A query that its owner has not answered yet, with the holdings that it was sent for.
    struct PendingQuery
    {
        std::string engine;
        std::vector<HoldingKey> holdings;
    };

    void handleEvent(const sweepevent::HoldingsRead &event, Instant now);
    void handleEvent(const sweepevent::OwnerAnswered &event, Instant now);
    void emitRelease(const std::string &engine, const HoldingKey &holding);

    SweepLimits m_limits;
    std::uint64_t m_lastQuery = 0;
    std::vector<SweepAction> m_actions;
    std::map<std::uint64_t, PendingQuery> m_queries;
    std::map<std::string, std::map<HoldingKey, Instant>> m_firstSeen;
};

} // namespace pomeloport
