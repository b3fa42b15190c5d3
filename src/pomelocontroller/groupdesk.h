#pragma once

#include "pomeloport/coordination/groupcoordinator.h"
#include "pomeloport/protocol/linkmessages.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace pomelocontroller
{

/// Serves reservations of engine groups for the router and for other controllers, by running the group coordinator and
/// sending its decisions to the requesters. Not thread safe: all calls run on the context's single thread.
class GroupReservations
{
public:
    using Responder = std::function<void(const pomeloport::LinkMessage &)>;

    /// The incarnation makes reservation numbers unique across successive coordinators.
    explicit GroupReservations(std::uint64_t incarnation);

    /// Requests a group. The responder receives one GroupGranted or GroupRefused with the request's query number,
    /// unless the request is released first or its owner is gone.
    void reserve(const pomeloport::link::GroupReserve &request, pomeloport::Instant now, Responder responder);

    /// Returns the group of a stream, or withdraws its pending request without a reply.
    void release(const pomeloport::link::GroupRelease &release, pomeloport::Instant now);

    /// Ends all reservations and pending requests of an instance that is gone, for all of its incarnations.
    void instanceGone(const std::string &instance, pomeloport::Instant now);

    /// Sets the snapshot from which the coordinator selects engines.
    void enginesChanged(std::shared_ptr<const pomeloport::Snapshot> snapshot, pomeloport::Instant now);

    /// Refuses pending requests whose deadline has passed and retries the others. Call at regular short intervals.
    void tick(pomeloport::Instant now);

    /// Tokens of each engine that are held by groups or set aside for the group that is being assembled.
    std::map<std::string, std::uint64_t> setAside() const;

private:
    struct PendingRequest
    {
        std::uint64_t query = 0;
        Responder responder;
    };

    void handle(const pomeloport::GroupEvent &event, pomeloport::Instant now);
    void answer(const pomeloport::StreamAddress &stream, pomeloport::LinkMessage message);

    pomeloport::GroupCoordinator m_coordinator;
    std::map<pomeloport::StreamAddress, PendingRequest> m_pendingRequests;
    /// All owners that have requested groups, to find the incarnations of an instance in instanceGone().
    std::set<pomeloport::OwnerId> m_owners;
};

} // namespace pomelocontroller
