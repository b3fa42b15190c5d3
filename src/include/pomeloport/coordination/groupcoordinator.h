#pragma once

#include "pomeloport/clock.h"
#include "pomeloport/coordination/costmodel.h"
#include "pomeloport/coordination/eligibility.h"
#include "pomeloport/coordination/route.h"
#include "pomeloport/protocol/identity.h"
#include "pomeloport/state/snapshot.h"
#include "pomeloport/verdict.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <variant>
#include <vector>

/// Reserves groups of engines for prompts that do not fit on one engine. One instance coordinates the groups of a model
/// (see groupCoordinatorOf()). All reservations of the model are made there, each for a whole group or not at all, so
/// that two prompts cannot deadlock by each holding a part of the other's group. Performs no I/O: events go in,
/// actions come out. Not thread safe.
namespace pomeloport
{

/// Requirements of a prompt on a group.
struct GroupNeed
{
    /// The stream that the group serves; identifies the request.
    StreamAddress stream;
    PoolKey pool;
    std::uint64_t promptTokens = 0;
    /// Total KV memory for the prompt and its answer, in tokens.
    std::uint64_t tokens = 0;
    Instant deadline{};
};

namespace groupevent
{

/// Requests a group. Idempotent per stream: a repeated event changes nothing, and an existing grant is reported again.
struct Reserve
{
    GroupNeed need;
};

/// Returns the group of a stream, or withdraws its request.
struct Release
{
    StreamAddress stream;
};

/// Takes over a reservation that the previous coordinator granted.
struct Adopt
{
    GroupNeed need;
    Route route;
};

/// The owner of streams has ended; its reservations and waiting requests are dropped.
struct OwnerGone
{
    OwnerId owner;
};

/// Engines have reported, or the set of engines has changed.
struct EnginesChanged
{
    std::shared_ptr<const Snapshot> snapshot;
};

/// Lets deadlines expire when no other event occurs.
struct Tick
{
};

} // namespace groupevent

using GroupEvent = std::variant<groupevent::Reserve,
                                groupevent::Release,
                                groupevent::Adopt,
                                groupevent::OwnerGone,
                                groupevent::EnginesChanged,
                                groupevent::Tick>;

namespace groupaction
{

/// The group is reserved until it is released, its owner ends, or its deadline passes.
struct Grant
{
    StreamAddress stream;
    Route route;
};

/// No group can be reserved in time. Nothing has run.
struct Refuse
{
    StreamAddress stream;
    Failure failure;
};

/// The reservation has been dropped because a member of the group is gone. The owner's attempt will break.
struct Revoke
{
    StreamAddress stream;
    std::uint64_t reservation = 0;
};

} // namespace groupaction

using GroupAction = std::variant<groupaction::Grant, groupaction::Refuse, groupaction::Revoke>;

struct GroupLimits
{
    std::size_t maximumMembers = 8;
    /// Fraction of an engine's free memory that a group may reserve; the rest is left to other work.
    double usableFraction = 0.9;
    /// Engines with less usable memory are not used, because the transfer of a smaller segment costs more than it
    /// gains.
    std::uint64_t minimumSegmentTokens = 32'768;
    /// Used to refuse requests that cannot complete before their deadline.
    CostAssumptions cost;
    /// Upper bound of waiting requests; further ones are refused.
    std::size_t maximumWaiting = 256;
};

/// Grants groups oldest first. While the oldest request waits, memory is reserved for it on the engines that it will
/// use. These engines continue with other work that fits into the rest, and later requests may use memory that is not
/// reserved.
class GroupCoordinator
{
public:
    /// Reservation numbers start at firstReservation, which must not be 0 and should differ between coordinators, for
    /// example the incarnation shifted left by 20 bits.
    GroupCoordinator(GroupLimits limits, std::uint64_t firstReservation);

    /// Handles one event and returns the actions to carry out, in order.
    std::vector<GroupAction> handle(const GroupEvent &event, Instant now);

    /// KV memory reserved per engine, in tokens: for the segments of granted groups and for the oldest waiting request.
    std::map<std::string, std::uint64_t> setAside() const;

    std::size_t granted() const;
    std::size_t waiting() const;

private:
    struct Waiting
    {
        GroupNeed need;
        std::uint64_t order = 0;
        /// Tokens reserved per engine while the request is the oldest and waits for the rest of its group.
        std::map<std::string, std::uint64_t> partialReservation;
    };
    struct Granted
    {
        GroupNeed need;
        Route route;
    };
    struct EngineMemory
    {
        std::string engine;
        std::uint64_t tokens = 0;
    };
    enum class MemoryBasis {
        /// All memory of the engine.
        Total,
        /// Memory that is not reserved for other groups.
        Unreserved,
        /// Memory that is neither reserved for other groups nor reported as used.
        FreeNow,
    };

    void on(const groupevent::Reserve &event, Instant now);
    void on(const groupevent::Release &event, Instant now);
    void on(const groupevent::Adopt &event, Instant now);
    void on(const groupevent::OwnerGone &event, Instant now);
    void on(const groupevent::EnginesChanged &event, Instant now);
    void on(const groupevent::Tick &event, Instant now);
    void expire(Instant now);
    void revokeGrantsWithLostMembers();
    void grantWaiting(Instant now);
    bool refuseImpossible(const Waiting &waiting);
    bool tryGrant(Waiting &waiting);
    void reserveForOldest(Waiting &waiting);
    std::set<std::string> shortOnlyEngines(const PoolKey &pool) const;
    static std::vector<EngineMemory> excluding(std::vector<EngineMemory> memoryPerEngine,
                                               const std::set<std::string> &engines);
    std::vector<EngineMemory> chooseMembers(const Waiting &waiting, MemoryBasis basis) const;
    std::vector<EngineMemory> memoryPerEngine(const Waiting &waiting, MemoryBasis basis) const;
    std::vector<EngineMemory> fewestEngines(std::vector<EngineMemory> memoryPerEngine, std::uint64_t tokens) const;
    std::uint64_t reservedAt(const std::string &engine, const Waiting &except) const;
    Route routeOver(const std::vector<EngineMemory> &members, const GroupNeed &need);
    Instant latestStart(const GroupNeed &need) const;
    void refuse(const GroupNeed &need, ReasonCode reason, const char *detail);

    GroupLimits m_limits;
    std::uint64_t m_nextReservation;
    std::uint64_t m_nextOrder = 0;
    std::shared_ptr<const Snapshot> m_snapshot;
    std::vector<Waiting> m_waiting;
    std::map<StreamAddress, Granted> m_granted;
    std::vector<GroupAction> m_actions;
};

} // namespace pomeloport
