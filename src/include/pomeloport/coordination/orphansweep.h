#pragma once

#include "pomeloport/clock.h"
#include "pomeloport/protocol/enginemessages.h"
#include "pomeloport/protocol/linkmessages.h"

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

/// Frees the memory of engines that no live owner needs any more. Each engine's home compares the engine's own books
/// with the owners; two homes at once do no harm, as every step is idempotent. Pure: events go in, actions come out.
namespace pomeloport
{

/// Limits of the sweep.
struct SweepLimits
{
    /// Longest life of a request. What an engine holds for longer has no owner, even if the owner cannot be asked.
    Duration longestRequest = std::chrono::hours(1);
    /// Added to it for clocks and settling.
    Duration margin = std::chrono::minutes(5);
};

namespace sweepevent
{

/// The books of an engine, read from the engine after the last action for it.
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

/// Ask the owner directly which of its requests are open.
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

/// The sweep of the engines that one instance is home of. One thread at a time.
class OrphanSweep
{
public:
    /// Query numbers start above firstQuery; a host that shares numbers with others passes its own range.
    explicit OrphanSweep(SweepLimits limits = {}, std::uint64_t firstQuery = 0);

    /// Feeds one event and returns the actions to carry out. An owner is asked after the books were read, so a request
    /// that it does not know as open is over.
    std::vector<SweepAction> handle(const SweepEvent &event, Instant now);

    /// Forgets an engine that this instance is no longer home of.
    void forget(const std::string &engine);

private:
    /// Names one holding: engine, stream, and blob or nothing.
    using HoldingKey = std::pair<StreamAddress, std::string>;

    struct OpenQuery
    {
        std::string engine;
        std::vector<HoldingKey> holdings;
    };

    void take(const sweepevent::HoldingsRead &event, Instant now);
    void take(const sweepevent::OwnerAnswered &event, Instant now);
    void free(const std::string &engine, const HoldingKey &holding);

    SweepLimits m_limits;
    std::uint64_t m_lastQuery = 0;
    std::vector<SweepAction> m_actions;
    std::map<std::uint64_t, OpenQuery> m_queries;
    std::map<std::string, std::map<HoldingKey, Instant>> m_firstSeen;
};

} // namespace pomeloport
