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

/// Interval of whole lists, which also show that an instance lives: three of them within PeerTable::CallerSilence.
constexpr std::chrono::milliseconds HeartbeatInterval{250};
/// Added to the interval for each peer, so that large fleets spend no more on it.
constexpr std::chrono::milliseconds HeartbeatPerPeer{2};
/// Changes are collected for this long before they are sent together.
constexpr std::chrono::milliseconds ChangeInterval{4};
/// Addresses of others in each message.
constexpr std::size_t SharedAddresses = 4;
/// Addresses of others for an instance that is new here; together they fit a datagram.
constexpr std::size_t IntroducedAddresses = 40;
/// Datagrams carry no secret on the platform, whose settings have none; the key only keeps strangers' bytes out.
constexpr const char *DatagramKey = "pomeloport entry instances";

} // namespace

PeerMesh::PeerMesh(std::shared_ptr<EntryCore> core)
    : m_core(std::move(core))
    , m_heartbeat(m_core->context)
    , m_changes(m_core->context)
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
                self->received(sender, address, payload);
            }
        });
    if (!mesh->m_socket) {
        return nullptr;
    }
    for (const auto &seed : seeds) {
        mesh->learn(seed);
    }
    mesh->m_core->placement.onOpened([weak = std::weak_ptr(mesh)] {
        // What others choose next depends on it, so it is told at once.
        if (const auto self = weak.lock()) {
            self->sendChanges();
        }
    });
    mesh->armHeartbeat();
    mesh->armChanges();
    return mesh;
}

void PeerMesh::learn(const std::string &address)
{
    bool fresh = false;
    {
        const std::lock_guard lock(m_mutex);
        fresh = m_peers.learn(address, steadyNow());
    }
    if (fresh && m_socket) {
        introduce(address);
    }
}

/// Sends this instance's work and state to one other at once, so that neither decides long without the other.
void PeerMesh::introduce(const std::string &address)
{
    std::size_t addresses = IntroducedAddresses;
    for (auto &piece : m_core->placement.fullReports(steadyNow())) {
        auto telling = message();
        telling.description = describe(addresses);
        // The first piece introduces others, too.
        addresses = 0;
        telling.work = std::move(piece);
        m_socket->send(address, detail::encodeCompact(telling));
    }
}

void PeerMesh::setKnown(const KnownChanges &known, bool configured, StoreContact contact)
{
    const std::lock_guard lock(m_mutex);
    m_known = known;
    m_configured = configured;
    m_contact = contact;
}

void PeerMesh::announceKnown()
{
    send({}, false);
}

ReaderCandidate PeerMesh::ownCandidate() const
{
    const std::lock_guard lock(m_mutex);
    return {m_core->settings.instance, m_core->settings.failureDomain, m_contact};
}

void PeerMesh::announce()
{
    sendWhole();
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
    m_heartbeat.cancel();
    m_changes.cancel();
}

void PeerMesh::received(const OwnerId &sender, const std::string &address, const std::string &payload)
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
        introduce(address);
        logEvent(LogLevel::Info,
                 "peer",
                 {{"peer", sender.instance},
                  {"incarnation", sender.incarnation},
                  {"state", nameOf(message->state)},
                  {"address", address}});
    }
    m_core->placement.applyPeerReport(sender, message->work, now);
}

void PeerMesh::armHeartbeat()
{
    std::size_t peers = 0;
    {
        const std::lock_guard lock(m_mutex);
        if (m_stopped) {
            return;
        }
        peers = m_peers.all().size();
    }
    m_heartbeat.expires_after(HeartbeatInterval + HeartbeatPerPeer * peers);
    m_heartbeat.async_wait([self = shared_from_this()](boost::system::error_code error) {
        if (!error) {
            self->sendWhole();
            self->armHeartbeat();
        }
    });
}

void PeerMesh::armChanges()
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_stopped) {
            return;
        }
    }
    m_changes.expires_after(ChangeInterval);
    m_changes.async_wait([self = shared_from_this()](boost::system::error_code error) {
        if (!error) {
            self->sendChanges();
            self->armChanges();
        }
    });
}

void PeerMesh::sendChanges()
{
    if (auto changes = m_core->placement.takeChanges(steadyNow())) {
        send(std::move(*changes), false);
    }
}

void PeerMesh::sendWhole()
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
    result.known = m_known;
    result.contact = m_contact;
    return result;
}

PeerDescription PeerMesh::describe(std::size_t addresses)
{
    const std::lock_guard lock(m_mutex);
    return {m_core->settings.callerAddress, m_core->settings.failureDomain, m_peers.nextAddresses(addresses)};
}

void PeerMesh::send(WorkReport report, bool toAll)
{
    auto telling = message();
    if (toAll) {
        telling.description = describe(SharedAddresses);
    }
    telling.work = std::move(report);
    const auto payload = detail::encodeCompact(telling);
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
