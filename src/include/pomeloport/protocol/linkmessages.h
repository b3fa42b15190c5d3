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

/// Messages between a router and the controller of its own instance. Queries carry a number that the asking side
/// chooses and the reply repeats; either side may be restarted at any time, which loses the queries under way.
namespace pomeloport
{

namespace link
{

/// Sent by the controller: the view that the router publishes. Declarations travel only when they are new to this
/// connection; feed the updates to a SnapshotAssembler, which puts them together.
struct SnapshotUpdate
{
    /// Without declarations unless declarationsIncluded, and without cachedBlocks.
    Snapshot snapshot;
    bool declarationsIncluded = false;
    /// When the view was taken, in microseconds of the monotonic clock that the processes of an instance share. A
    /// router that was paused judges by it that an update which waited in the connection is old.
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
    /// Forget all blocks known before.
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
    /// Open requests over the router's limit, 0 to 1.
    double load = 0;
    bool draining = false;
    /// Draining, and the last request has ended.
    bool drained = false;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(routerIncarnation, openRequests, load, draining, drained);
    }
};

/// Asks for a group of engines for a prompt larger than one engine. Answered by GroupGranted or GroupRefused.
struct GroupReserve
{
    std::uint64_t query = 0;
    /// The stream that the group will serve.
    StreamAddress stream;
    std::string model;
    std::string adapter;
    std::string version;
    Selector engines;
    /// KV memory needed in all, in tokens.
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

/// Returns a reservation. Not answered; a lost one expires by itself.
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
    /// False when the owner could not be asked; nothing may be concluded then.
    bool answered = false;
    /// The owner's process is known to be gone: a later incarnation answered for the instance.
    bool ownerGone = false;
    /// The sequences still open.
    std::vector<std::uint64_t> live;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(query, answered, ownerGone, live);
    }
};

/// What the holder of a claim says about it.
enum class ClaimHolderState {
    /// The holder could not be asked.
    Unreachable,
    /// The holder's process is known to be gone.
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

/// Asks the holder of a claim, from any router by way of the controllers.
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

/// Sent by the controller: stop admitting, and report when the last request has ended.
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
