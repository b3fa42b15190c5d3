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

/// Runs the coordinator of engine groups and answers those who asked. Runs on the context's only thread.
class GroupDesk
{
public:
    using Responder = std::function<void(const pomeloport::LinkMessage &)>;

    /// The incarnation keeps reservation numbers of different coordinators apart.
    explicit GroupDesk(std::uint64_t incarnation);

    /// Takes a request; the responder gets one GroupGranted or GroupRefused with the request's number.
    void reserve(const pomeloport::link::GroupReserve &request, pomeloport::Instant now, Responder responder);

    void release(const pomeloport::link::GroupRelease &release, pomeloport::Instant now);

    /// Ends all reservations of an instance that is gone, whichever of its processes made them.
    void instanceGone(const std::string &instance, pomeloport::Instant now);

    void enginesChanged(std::shared_ptr<const pomeloport::Snapshot> snapshot, pomeloport::Instant now);

    void tick(pomeloport::Instant now);

    /// Tokens of each engine that groups hold or that are kept for the one being collected.
    std::map<std::string, std::uint64_t> setAside() const;

private:
    struct Waiting
    {
        std::uint64_t query = 0;
        Responder responder;
    };

    void handle(const pomeloport::GroupEvent &event, pomeloport::Instant now);
    void answer(const pomeloport::StreamAddress &stream, pomeloport::LinkMessage message);

    pomeloport::GroupCoordinator m_coordinator;
    std::map<pomeloport::StreamAddress, Waiting> m_waiting;
    /// Owners that have reserved, for instanceGone().
    std::set<pomeloport::OwnerId> m_owners;
};

} // namespace pomelocontroller
