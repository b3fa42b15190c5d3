#pragma once

#include "hosts.h"
#include "truth.h"

#include "pomeloport/coordination/claims.h"
#include "pomeloport/coordination/placement.h"
#include "pomeloport/coordination/requestflow.h"
#include "pomeloport/state/snapshot.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace faultmatrix
{

class World;

/// One start of an instance's router: carries out what request lifecycles, claims and placement decide.
class Router
{
public:
    Router(World &world, std::string instance, std::uint64_t incarnation);

    const std::shared_ptr<Process> &process() const;
    const pomeloport::OwnerId &id() const;

    /// Takes a request from a caller.
    void request(std::size_t sending);
    /// The caller of a sending went away.
    void callerGone(std::size_t sending);
    /// Takes a snapshot that the controller made at this time; after a pause old ones may still be waiting.
    void update(std::shared_ptr<const pomeloport::Snapshot> snapshot, Instant madeAt);
    /// A group was granted or refused for a stream.
    void groupAnswered(const pomeloport::StreamAddress &stream, const pomeloport::FlowEvent &event);

    /// Starts to drain; admitting() is false once callers' discovery answers have run out.
    void drain();
    bool admitting() const;
    bool idle() const;
    std::shared_ptr<const pomeloport::Snapshot> snapshot() const;

    /// Answers of this process about its requests, for owners of this or an earlier incarnation.
    pomeloport::link::LiveStreamsReply liveStreams(const pomeloport::link::LiveStreamsQuery &query) const;
    pomeloport::link::ClaimHolderState holderState(const pomeloport::StreamAddress &holder) const;
    bool isOpen(const pomeloport::StreamAddress &stream) const;

    /// Sendings that this process serves.
    std::vector<std::size_t> sendings() const;

private:
    struct Entry
    {
        std::size_t sending = 0;
        std::unique_ptr<pomeloport::RequestFlow> flow;
        std::unique_ptr<pomeloport::ClaimStateMachine> claim;
        std::uint64_t timer = 0;
        std::uint64_t claimTimer = 0;
        std::map<std::uint32_t, pomeloport::Route> routes;
    };

    pomeloport::RequestSpec specOf(const Sending &sending) const;
    pomeloport::StreamAddress addressOf(std::uint64_t sequence, std::uint32_t attempt) const;
    void adopt();
    std::shared_ptr<const pomeloport::Snapshot> withRefusals(std::shared_ptr<const pomeloport::Snapshot> snapshot);
    void refuse(std::size_t sending, pomeloport::ReasonCode reason);
    void feed(std::uint64_t sequence, const pomeloport::FlowEvent &event);
    void performAll(std::uint64_t sequence, std::vector<pomeloport::FlowAction> actions);
    void openConnection(std::uint64_t sequence, const pomeloport::action::OpenAttempt &action);
    void received(std::uint64_t sequence, pomeloport::FlowEvent event);
    void cancelNow(std::uint64_t sequence, const pomeloport::action::CancelAttempt &action);
    void callStore(std::uint64_t sequence, const pomeloport::StoreCall &call);
    void whenRunning(const Task &task);
    void feedLater(std::uint64_t sequence, pomeloport::FlowEvent event);
    void feedClaim(std::uint64_t sequence, const pomeloport::ClaimEvent &event);
    void announce(std::uint64_t sequence, const pomeloport::FlowEvent &event);
    void freeCapacity();

    void perform(std::uint64_t sequence, const pomeloport::action::AcquireClaim &action);
    void perform(std::uint64_t sequence, const pomeloport::action::ReleaseClaim &action);
    void perform(std::uint64_t sequence, const pomeloport::action::RecordOutcome &action);
    void perform(std::uint64_t sequence, const pomeloport::action::ReserveGroup &action);
    void perform(std::uint64_t sequence, const pomeloport::action::ReleaseGroup &action);
    void perform(std::uint64_t sequence, const pomeloport::action::OpenAttempt &action);
    void perform(std::uint64_t sequence, const pomeloport::action::CancelAttempt &action);
    void perform(std::uint64_t sequence, const pomeloport::action::FreeBlob &action);
    void perform(std::uint64_t sequence, const pomeloport::action::CloseAttempt &action);
    void perform(std::uint64_t sequence, const pomeloport::action::DeliverChunk &action);
    void perform(std::uint64_t sequence, const pomeloport::action::DeliverEnd &action);
    void perform(std::uint64_t sequence, const pomeloport::action::DeliverFailure &action);
    void perform(std::uint64_t sequence, const pomeloport::action::ArmTimer &action);
    void perform(std::uint64_t sequence, const pomeloport::action::Close &action);

    void performClaim(std::uint64_t sequence, const pomeloport::claimaction::CallStore &action);
    void performClaim(std::uint64_t sequence, const pomeloport::claimaction::AskHolder &action);
    void performClaim(std::uint64_t sequence, const pomeloport::claimaction::Tell &action);
    void performClaim(std::uint64_t sequence, const pomeloport::claimaction::ArmRetry &action);

    World &m_world;
    std::string m_instance;
    pomeloport::OwnerId m_id;
    std::shared_ptr<Process> m_process;
    std::unique_ptr<pomeloport::Placement> m_placement;
    std::shared_ptr<const pomeloport::Snapshot> m_snapshot;
    Instant m_snapshotAt{};
    /// Backend servers that refused work because they leave, and when.
    std::map<std::string, Instant> m_leavingBackends;
    std::optional<Instant> m_drainingSince;
    std::map<std::uint64_t, Entry> m_entries;
    std::uint64_t m_lastSequence = 0;
    bool m_storeHealthy = true;
};

} // namespace faultmatrix
