#pragma once

#include "entrycore.h"

#include "pomeloentry/peertable.h"
#include "pomeloentry/storereaders.h"

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

/// Tells the other instances about this one's work, state and knowledge, and hears theirs. Members are safe from any
/// thread.
class PeerMesh : public std::enable_shared_from_this<PeerMesh>
{
public:
    /// Returns null, with a last reason, when the address cannot be bound.
    static std::shared_ptr<PeerMesh> start(std::shared_ptr<EntryCore> core);

    /// Learns the datagram address of another instance.
    void learn(const std::string &address);

    /// Sets what this instance says of its own knowledge, whether it has a configuration, and whether the platform's
    /// store answers it.
    void setStoreKnowledge(const KnownChanges &known, bool configured, StoreContact contact);

    /// Tells live peers at once what this instance knows.
    void announceKnownChanges();

    /// This instance as a reader of the store.
    ReaderCandidate ownCandidate() const;

    /// Tells everybody at once, such as that this instance leaves.
    void announce();

    /// Addresses for callers in a failure domain, of instances that are ready, this one included.
    std::vector<std::string> callerAddresses(const std::string &failureDomain) const;

    /// Live peers.
    std::vector<PeerView> live() const;

    EntryState state() const;

    void stop();

private:
    explicit PeerMesh(std::shared_ptr<EntryCore> core);
    void onDatagram(const pomeloport::OwnerId &sender, const std::string &address, const std::string &payload);
    void sendIntroduction(const std::string &address);
    void armHeartbeatTimer();
    void armChangeTimer();
    void sendChanges();
    void sendFullReport();
    void send(WorkReport report, bool toAll);
    PeerMessage message() const;
    PeerDescription ownDescription(std::size_t addresses);

    std::shared_ptr<EntryCore> m_core;
    std::shared_ptr<pomeloport::DatagramSocket> m_socket;
    boost::asio::steady_timer m_heartbeatTimer;
    boost::asio::steady_timer m_changeTimer;
    mutable std::mutex m_mutex;
    PeerTable m_peers;
    KnownChanges m_knownChanges;
    StoreContact m_storeContact = StoreContact::Unknown;
    bool m_configured = false;
    bool m_stopped = false;
};

} // namespace pomeloentry
