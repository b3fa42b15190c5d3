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

/// Reserves groups of engines for prompts larger than one engine. One instance coordinates the groups of a model (see
/// groupCoordinatorOf()); all reservations of the model pass through it, all or nothing, so that two prompts never hold
/// parts of each other's group. Pure: events go in, actions come out. One thread at a time may use an object.
namespace pomeloport
{

/// What a prompt needs of a group.
struct GroupNeed
{
    /// The stream that the group serves; names the request.
    StreamAddress stream;
    PoolKey pool;
    std::uint64_t promptTokens = 0;
    /// KV memory needed in all, in tokens: the prompt and its answer.
    std::uint64_t tokens = 0;
    Instant deadline{};
};

namespace groupevent
{

/// Asks for a group. Repeating the need of a waiting or granted stream changes nothing, but a grant is told again.
struct Reserve
{
    GroupNeed need;
};

/// Returns the group of a stream, or withdraws its request.
struct Release
{
    StreamAddress stream;
};

/// Announces a reservation that another coordinator granted before it went away.
struct Adopt
{
    GroupNeed need;
    Route route;
};

/// The owner of streams is known to be gone; all its groups and requests end.
struct OwnerGone
{
    OwnerId owner;
};

/// New reports or another set of engines.
struct EnginesChanged
{
    std::shared_ptr<const Snapshot> snapshot;
};

/// Time has passed.
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

/// The group is reserved until it is released, its owner is gone, or its deadline passes.
struct Grant
{
    StreamAddress stream;
    Route route;
};

/// No group before the deadline. Nothing ran.
struct Refuse
{
    StreamAddress stream;
    Failure failure;
};

/// A member of a granted group left or died. The owner's attempt will break; the reservation has been dropped.
struct Revoke
{
    StreamAddress stream;
    std::uint64_t reservation = 0;
};

} // namespace groupaction

using GroupAction = std::variant<groupaction::Grant, groupaction::Refuse, groupaction::Revoke>;

/// Limits of the coordinator.
struct GroupLimits
{
    std::size_t maximumMembers = 8;
    /// Part of an engine's free memory that a group may take while other work goes on.
    double usablePart = 0.9;
    /// A member with less than this is not worth the transfer of a segment.
    std::uint64_t minimumSegmentTokens = 32'768;
    /// Used to refuse early what cannot end in time.
    CostAssumptions cost;
    /// Waiting requests in all, at most.
    std::size_t maximumWaiting = 256;
};

/// Grants groups oldest first. While the oldest request waits, memory is set aside for it on the engines that it will
/// use; these go on with other work that fits beside it. Younger requests may use what is left.
class GroupCoordinator
{
public:
    /// Reservation numbers start at firstReservation, which should differ between coordinators, for example the
    /// incarnation shifted left by 20 bits. It must not be 0.
    GroupCoordinator(GroupLimits limits, std::uint64_t firstReservation);

    /// Feeds one event and returns the actions to carry out, in order.
    std::vector<GroupAction> handle(const GroupEvent &event, Instant now);

    /// KV memory set aside per engine, in tokens: granted members, and what is being collected for the oldest request.
    std::map<std::string, std::uint64_t> setAside() const;

    std::size_t granted() const;
    std::size_t waiting() const;

private:
    struct Waiting
    {
        GroupNeed need;
        std::uint64_t order = 0;
        /// Engines and tokens set aside for it while it collects.
        std::map<std::string, std::uint64_t> collecting;
    };
    struct Granted
    {
        GroupNeed need;
        Route route;
    };
    struct Space
    {
        std::string engine;
        std::uint64_t tokens = 0;
    };
    enum class SpaceBasis {
        /// The memory of the engine.
        Total,
        /// Memory that is not set aside for other groups.
        Unreserved,
        /// Memory that is neither set aside nor used.
        FreeNow,
    };

    void on(const groupevent::Reserve &event, Instant now);
    void on(const groupevent::Release &event, Instant now);
    void on(const groupevent::Adopt &event, Instant now);
    void on(const groupevent::OwnerGone &event, Instant now);
    void on(const groupevent::EnginesChanged &event, Instant now);
    void on(const groupevent::Tick &event, Instant now);
    void expire(Instant now);
    void revokeBroken();
    void grantWaiting(Instant now);
    bool refuseImpossible(const Waiting &waiting);
    bool tryGrant(Waiting &waiting);
    void collect(Waiting &waiting);
    std::set<std::string> shortOnlyEngines(const PoolKey &pool) const;
    static std::vector<Space> without(std::vector<Space> spaces, const std::set<std::string> &engines);
    std::vector<Space> pick(const Waiting &waiting, SpaceBasis basis) const;
    std::vector<Space> spaces(const Waiting &waiting, SpaceBasis basis) const;
    std::vector<Space> cheapest(std::vector<Space> spaces, std::uint64_t tokens) const;
    std::uint64_t reservedAt(const std::string &engine, const Waiting &except) const;
    Route routeOver(const std::vector<Space> &members, const GroupNeed &need);
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
