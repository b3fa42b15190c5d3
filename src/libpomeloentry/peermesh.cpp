#include "peermesh.h"

#include "pomeloport/lastreason.h"
#include "pomeloport/logging.h"
#include "pomeloport/protocol/compactarchive.h"

#include <algorithm>

namespace pomeloentry
{

using namespace pomeloport;

namespace
{

/// Interval of full work reports, which also serve as heartbeats: three of them fit into PeerTable::CallerSilence.
constexpr std::chrono::milliseconds HeartbeatInterval{250};
/// Added to the interval for each peer, which bounds each instance's heartbeat traffic in a large fleet.
constexpr std::chrono::milliseconds HeartbeatPerPeer{2};
/// Changes are batched for this long.
constexpr std::chrono::milliseconds ChangeInterval{4};
/// Number of peer addresses in each full report.
constexpr std::size_t SharedAddresses = 4;
/// Number of peer addresses in the introduction to a new instance; together they fit into one datagram.
constexpr std::size_t IntroducedAddresses = 40;
/// The platform's settings provide no secret for authentication, so this fixed key only filters out unrelated
/// datagrams.
constexpr const char *DatagramKey = "pomeloport entry instances";

} // namespace

PeerMesh::PeerMesh(std::shared_ptr<EntryCore> core)
    : m_core(std::move(core))
    , m_heartbeatTimer(m_core->context)
    , m_changeTimer(m_core->context)
    , m_peers(m_core->settings.peerAddress)
{
}

std::shared_ptr<PeerMesh> PeerMesh::start(std::shared_ptr<EntryCore> core)
{
    auto &context = core->context;
    const DatagramSettings settings{core->settings.peerAddress, DatagramKey, core->self};
    const auto seeds = core->settings.seeds;
    auto mesh = std::shared_ptr<PeerMesh>(new PeerMesh(std::move(core)));
    mesh->m_socket = DatagramSocket::open(
        context,
        settings,
        [weak = std::weak_ptr(mesh)](const OwnerId &sender, const std::string &address, const std::string &payload) {
            if (const auto self = weak.lock()) {
                self->onDatagram(sender, address, payload);
            }
        });
    if (!mesh->m_socket) {
        return nullptr;
    }
    for (const auto &seed : seeds) {
        mesh->learn(seed);
    }
    mesh->m_core->placement.onOpened([weak = std::weak_ptr(mesh)] {
        // The placement decisions of peers depend on the new work, so it is reported at once.
        if (const auto self = weak.lock()) {
            self->sendChanges();
        }
    });
    mesh->armHeartbeatTimer();
    mesh->armChangeTimer();
    return mesh;
}

void PeerMesh::learn(const std::string &address)
{
    bool isNew = false;
    {
        const std::lock_guard lock(m_mutex);
        isNew = m_peers.learn(address, steadyNow());
    }
    if (isNew && m_socket) {
        sendIntroduction(address);
    }
}

/// Sends this instance's full state to one peer at once, so that both soon consider each other's work in placement.
void PeerMesh::sendIntroduction(const std::string &address)
{
    std::size_t addresses = IntroducedAddresses;
    for (auto &piece : m_core->placement.fullReports(steadyNow())) {
        auto outgoing = message();
        outgoing.description = ownDescription(addresses);
        // Only the first message carries the addresses of other peers.
        addresses = 0;
        outgoing.work = std::move(piece);
        m_socket->send(address, detail::encodeCompact(outgoing));
    }
}

void PeerMesh::setStoreKnowledge(const KnownChanges &known, bool configured, StoreContact contact)
{
    const std::lock_guard lock(m_mutex);
    m_knownChanges = known;
    m_configured = configured;
    m_storeContact = contact;
}

void PeerMesh::announceKnownChanges()
{
    send({}, false);
}

ReaderCandidate PeerMesh::ownCandidate() const
{
    const std::lock_guard lock(m_mutex);
    return {m_core->settings.instance, m_core->settings.failureDomain, m_storeContact};
}

void PeerMesh::announce()
{
    sendFullReport();
}

EntryState PeerMesh::state() const
{
    const std::lock_guard lock(m_mutex);
    if (m_core->leaving) {
        return EntryState::Leaving;
    }
    return m_configured ? EntryState::Ready : EntryState::Starting;
}

std::vector<std::string> PeerMesh::callerAddresses(const std::string &failureDomain) const
{
    std::vector<ReadyInstance> ready;
    if (state() == EntryState::Ready) {
        ready.push_back({m_core->settings.callerAddress, m_core->settings.failureDomain});
    }
    for (const auto &peer : live()) {
        if (peer.state == EntryState::Ready) {
            ready.push_back({peer.callerAddress, peer.failureDomain});
        }
    }
    return addressesFor(failureDomain, std::move(ready));
}

std::vector<PeerView> PeerMesh::live() const
{
    const std::lock_guard lock(m_mutex);
    return m_peers.live(steadyNow());
}

void PeerMesh::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopped = true;
    }
    m_heartbeatTimer.cancel();
    m_changeTimer.cancel();
}

void PeerMesh::onDatagram(const OwnerId &sender, const std::string &address, const std::string &payload)
{
    const auto message = detail::decodeCompact<PeerMessage>(payload);
    if (!message) {
        logEvent(LogLevel::Warning, "peer_message_unreadable", {{"peer", sender.instance}, {"address", address}});
        return;
    }
    const auto now = steadyNow();
    bool changed = false;
    {
        const std::lock_guard lock(m_mutex);
        changed = m_peers.applyMessage(sender, address, *message, now);
    }
    if (changed) {
        sendIntroduction(address);
        logEvent(LogLevel::Info,
                 "peer",
                 {{"peer", sender.instance},
                  {"incarnation", sender.incarnation},
                  {"state", nameOf(message->state)},
                  {"address", address}});
    }
    m_core->placement.applyPeerReport(sender, message->work, now);
}

void PeerMesh::armHeartbeatTimer()
{
    std::size_t peers = 0;
    {
        const std::lock_guard lock(m_mutex);
        if (m_stopped) {
            return;
        }
        peers = m_peers.all().size();
    }
    m_heartbeatTimer.expires_after(HeartbeatInterval + HeartbeatPerPeer * peers);
    m_heartbeatTimer.async_wait([self = shared_from_this()](boost::system::error_code error) {
        if (!error) {
            self->sendFullReport();
            self->armHeartbeatTimer();
        }
    });
}

void PeerMesh::armChangeTimer()
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_stopped) {
            return;
        }
    }
    m_changeTimer.expires_after(ChangeInterval);
    m_changeTimer.async_wait([self = shared_from_this()](boost::system::error_code error) {
        if (!error) {
            self->sendChanges();
            self->armChangeTimer();
        }
    });
}

void PeerMesh::sendChanges()
{
    if (auto changes = m_core->placement.takeChanges(steadyNow())) {
        send(std::move(*changes), false);
    }
}

void PeerMesh::sendFullReport()
{
    for (auto &piece : m_core->placement.fullReports(steadyNow())) {
        send(std::move(piece), true);
    }
    const std::lock_guard lock(m_mutex);
    m_peers.expire(steadyNow());
}

PeerMessage PeerMesh::message() const
{
    PeerMessage result;
    result.state = state();
    const std::lock_guard lock(m_mutex);
    result.known = m_knownChanges;
    result.contact = m_storeContact;
    return result;
}

PeerDescription PeerMesh::ownDescription(std::size_t addresses)
{
    const std::lock_guard lock(m_mutex);
    return {m_core->settings.callerAddress, m_core->settings.failureDomain, m_peers.nextAddresses(addresses)};
}

void PeerMesh::send(WorkReport report, bool toAll)
{
    auto outgoing = message();
    if (toAll) {
        outgoing.description = ownDescription(SharedAddresses);
    }
    outgoing.work = std::move(report);
    const auto payload = detail::encodeCompact(outgoing);
    std::vector<std::string> addresses;
    {
        const std::lock_guard lock(m_mutex);
        if (toAll) {
            addresses = m_peers.addresses();
        } else {
            for (const auto &peer : m_peers.live(steadyNow())) {
                addresses.push_back(peer.address);
            }
        }
    }
    for (const auto &address : addresses) {
        if (!m_socket->send(address, payload)) {
            logEvent(LogLevel::Warning, "peer_send_failed", {{"address", address}, {"detail", lastReason()}});
        }
    }
}

} // namespace pomeloentry
