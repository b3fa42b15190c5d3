#pragma once

#include "pomeloport/coordination/route.h"
#include "pomeloport/nametable.h"
#include "pomeloport/protocol/identity.h"
#include "pomeloport/state/snapshot.h"
#include "pomeloport/verdict.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// Messages between a router and the controller of its own instance. The sender of a query chooses its number, which
/// the reply repeats. Either side may restart at any time; queries in flight are then lost.
namespace pomeloport
{

namespace link
{

/// Sent by the controller: the view that the router publishes. Declarations are included only when they are new to this
/// connection; a SnapshotAssembler restores complete snapshots from the updates.
struct SnapshotUpdate
{
    /// Without declarations unless declarationsIncluded, and without cachedBlocks.
    Snapshot snapshot;
    bool declarationsIncluded = false;
    /// Creation time of the view, in microseconds of the monotonic clock that the processes of an instance share. It
    /// lets a router that was paused detect that an update buffered in the connection is stale.
    std::int64_t madeAtUs = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(snapshot, declarationsIncluded, madeAtUs);
    }
};

/// Sent by the controller: a change of the prefix blocks that an engine's cache events announced.
struct CacheUpdate
{
    std::string backend;
    /// Whether to discard all blocks known before.
    bool reset = false;
    std::vector<std::uint64_t> added;
    std::vector<std::uint64_t> removed;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(backend, reset, added, removed);
    }
};

/// Sent by the router, first on each connection, then on change and once a second.
struct RouterStatus
{
    /// Start of the router process; streams and claims carry it as the owner's incarnation.
    std::uint64_t routerIncarnation = 0;
    std::uint64_t openRequests = 0;
    /// Open requests as a fraction of the router's limit, 0 to 1.
    double load = 0;
    bool draining = false;
    /// Whether the router is draining and its last request has ended.
    bool drained = false;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(routerIncarnation, openRequests, load, draining, drained);
    }
};

/// Requests a group of engines for a prompt that exceeds the memory of one engine. Answered by GroupGranted or
/// GroupRefused.
struct GroupReserve
{
    std::uint64_t query = 0;
    /// The stream that the group will serve.
    StreamAddress stream;
    std::string model;
    std::string adapter;
    std::string version;
    Selector engines;
    /// Total KV memory needed, in tokens.
    std::uint64_t tokens = 0;
    std::uint64_t promptTokens = 0;
    double worth = 1.0;
    /// Time left until the request's deadline.
    std::uint64_t deadlineMs = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(query, stream, model, adapter, version, engines, tokens, promptTokens, worth, deadlineMs);
    }
};

/// One member of a granted group.
struct GroupMember
{
    std::string backend;
    std::uint64_t segmentBegin = 0;
    std::uint64_t segmentEnd = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(backend, segmentBegin, segmentEnd);
    }
};

struct GroupGranted
{
    std::uint64_t query = 0;
    std::uint64_t reservation = 0;
    std::vector<GroupMember> members;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(query, reservation, members);
    }
};

struct GroupRefused
{
    std::uint64_t query = 0;
    Verdict verdict = Verdict::NotRun;
    ReasonCode reason = ReasonCode::GroupUnavailable;
    std::string detail;
    /// 0 where waiting does not help.
    std::uint64_t retryAfterMs = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(query, verdict, reason, detail, retryAfterMs);
    }
};

/// Releases a reservation. Not answered; if the message is lost, the reservation expires.
struct GroupRelease
{
    std::uint64_t reservation = 0;
    std::string model;
    StreamAddress stream;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(reservation, model, stream);
    }
};

/// Asks an owner which of these requests are still open.
struct LiveStreamsQuery
{
    std::uint64_t query = 0;
    OwnerId owner;
    std::vector<std::uint64_t> sequences;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(query, owner, sequences);
    }
};

struct LiveStreamsReply
{
    std::uint64_t query = 0;
    /// False when the owner could not be reached; the reply then says nothing about the requests.
    bool answered = false;
    /// Whether the owner's process has certainly ended: a later incarnation answered for the instance.
    bool ownerGone = false;
    /// The sequences still open.
    std::vector<std::uint64_t> live;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(query, answered, ownerGone, live);
    }
};

/// State of a claim according to its holder.
enum class ClaimHolderState {
    /// The holder could not be reached.
    Unreachable,
    /// The holder's process has certainly ended.
    Gone,
    /// The request is open.
    Open,
    /// The holder gave up before it sent anything and will not send; the claim may be taken over.
    GivenUp,
    /// The action may have run and its outcome is not recorded.
    Uncertain,
};

constexpr NameTable<ClaimHolderState, 5> nameTable(ClaimHolderState /*unused*/)
{
    return {{{ClaimHolderState::Unreachable, "unreachable"},
             {ClaimHolderState::Gone, "gone"},
             {ClaimHolderState::Open, "open"},
             {ClaimHolderState::GivenUp, "given_up"},
             {ClaimHolderState::Uncertain, "uncertain"}}};
}

/// Asks the holder of a claim for its state. Any router may ask; the controllers forward the query.
struct ClaimHolderQuery
{
    std::uint64_t query = 0;
    OwnerId holder;
    std::string organisation;
    std::string key;
    /// Token of the attempt that wrote the claim.
    std::string token;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(query, holder, organisation, key, token);
    }
};

struct ClaimHolderReply
{
    std::uint64_t query = 0;
    ClaimHolderState state = ClaimHolderState::Unreachable;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(query, state);
    }
};

/// Sent by the controller: stop admitting requests, and report when the last one has ended.
struct Drain
{
    bool requested = true;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(requested);
    }
};

} // namespace link

/// Any message of the link.
using LinkMessage = std::variant<link::SnapshotUpdate,
                                 link::CacheUpdate,
                                 link::RouterStatus,
                                 link::GroupReserve,
                                 link::GroupGranted,
                                 link::GroupRefused,
                                 link::GroupRelease,
                                 link::LiveStreamsQuery,
                                 link::LiveStreamsReply,
                                 link::ClaimHolderQuery,
                                 link::ClaimHolderReply,
                                 link::Drain>;

/// Encodes a message for one frame of the link.
std::string encode(const LinkMessage &message);

/// Decodes a frame. Returns nothing, with a last reason, for truncated, forged or unknown input; never throws.
std::optional<LinkMessage> decodeLinkMessage(std::string_view bytes);

} // namespace pomeloport
