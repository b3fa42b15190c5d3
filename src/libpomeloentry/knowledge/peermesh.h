#pragma once

#include "program/entrycore.h"

#include "pomeloentry/decisions/callrate.h"
#include "pomeloentry/decisions/gateways.h"
#include "pomeloentry/decisions/processorstrain.h"
#include "pomeloentry/decisions/senderroster.h"
#include "pomeloentry/knowledge/peertable.h"
#include "pomeloentry/knowledge/storereaders.h"

#include "pomeloport/transport/datagramsocket.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace pomeloentry
{

/// Exchanges datagrams with the other entry instances: work in flight, instance state, and the store versions that each
/// knows. Instances that take calls, mostly the gateways, report their work to each other at once. All others show that
/// they are alive at longer intervals, and only to their own failure domain. Thread safe.
class PeerMesh : public std::enable_shared_from_this<PeerMesh>
{
public:
    /// Returns null and sets the last reason when the address cannot be bound.
    static std::shared_ptr<PeerMesh> start(std::shared_ptr<EntryCore> core);

    /// Adds the peer address of another instance and introduces this one to it.
    void learn(const PeerAddress &peer);

    /// Sets what messages report about this instance: the store versions that it knows, whether it has a configuration,
    /// and whether the platform's store answers it.
    void setStoreKnowledge(const KnownChanges &known, bool configured, StoreContact contact);

    /// Sets the callback that runs with the version of the evacuations that a peer's message names if it is above the
    /// own one, on any thread. Call once, before messages of other instances matter.
    void onPeerEvacuations(std::function<void(StoreVersion version)> callback);

    /// Sends the known store versions to live peers at once.
    void announceKnownChanges();

    /// This instance as a candidate for reading the store.
    ReaderCandidate ownCandidate() const;

    /// Sends the full state to all contacts at once, for example when the shutdown begins.
    void announce();

    /// Addresses for a caller at the stated place, selected among the ready instances including this one.
    std::vector<std::string> callerAddresses(const CallerLocation &stated) const;

    /// Peers that were heard from recently.
    std::vector<PeerView> live() const;

    EntryState state() const;

    void stop();

private:
    explicit PeerMesh(std::shared_ptr<EntryCore> core);
    void onDatagram(const pomeloport::OwnerId &sender, const std::string &address, const std::string &payload);
    void remember(const PeerAddress &peer, Instant now);
    void sendIntroduction(const std::string &address, const std::string &failureDomain);
    void armHeartbeatTimer();
    void armChangeTimer();
    void armJudgementTimer();
    void onWorkChanged(WorkChange change);
    void onQuarantineChanged(SharedQuarantine::Change change);
    void sendChanges();
    void sendQuarantineChanges();
    void sendHeartbeat();
    void updateRole();
    void updateSenders();
    bool isGateway(Instant now) const;
    GatewayCandidate ownGatewayCandidate() const;
    std::uint32_t processorMilli() const;
    void recordHeartbeatTime(Instant now);
    void sendNotices();
    void send(const PeerMessage &message, const std::vector<std::string> &addresses);
    void send(const PeerMessage &message,
              const QuarantineReport &quarantine,
              const std::vector<std::string> &addresses);
    PeerMessage message() const;
    PeerDescription ownDescription() const;

    std::shared_ptr<EntryCore> m_core;
    std::shared_ptr<pomeloport::DatagramSocket> m_socket;
    boost::asio::steady_timer m_heartbeatTimer;
    boost::asio::steady_timer m_changeTimer;
    boost::asio::steady_timer m_judgementTimer;
    mutable std::mutex m_mutex;
    PeerTable m_peers;
    SenderRoster m_senders;
    KnownChanges m_knownChanges;
    std::function<void(StoreVersion)> m_peerEvacuations;
    StoreContact m_storeContact = StoreContact::Unknown;
    bool m_configured = false;
    bool m_stopped = false;
    CallRate m_callRate;
    ProcessorStrain m_strain;
    Instant m_startedAt;
    /// Whether this instance exchanges work: it is a gateway, takes many calls, or had prompts until recently.
    bool m_exchangesWork = false;
    Instant m_exchangesSince{};
    Instant m_lastPromptAt{};
    bool m_changeTimerArmed = false;
    bool m_judgementTimerArmed = false;
    /// Evidence arrived after the timer was armed.
    bool m_judgementDue = false;
};

} // namespace pomeloentry
