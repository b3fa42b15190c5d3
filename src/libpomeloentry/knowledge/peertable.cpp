#include "pomeloentry/knowledge/peertable.h"

#include "pomeloport/protocol/compactarchive.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace pomeloentry
{

namespace
{

/// The parts of KnownChanges that a store without eras does not need.
struct KnownEras
{
    std::uint64_t routing = 0;
    std::uint64_t backends = 0;
    std::uint64_t evacuations = 0;
    std::uint64_t retained = 0;

    bool operator==(const KnownEras &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(routing, backends, evacuations, retained);
    }
};

KnownEras erasOf(const KnownChanges &known)
{
    return {known.routing.era, known.backends.era, known.evacuations.era, known.retained};
}

void setEras(KnownChanges &known, const KnownEras &eras)
{
    known.routing.era = eras.routing;
    known.backends.era = eras.backends;
    known.evacuations.era = eras.evacuations;
    known.retained = eras.retained;
}

/// The origins of all work items, in the order of the items; empty if none is known.
std::vector<WorkOrigin> originsOf(const WorkReport &work)
{
    std::vector<WorkOrigin> result;
    if (std::ranges::any_of(work.items, [](const auto &item) { return item.origin != WorkOrigin{}; })) {
        std::ranges::transform(work.items, std::back_inserter(result), &WorkItemMessage::origin);
    }
    return result;
}

/// Reads the next optional part of a message if there is one. Returns false if it is malformed.
template<typename Part>
bool takePart(std::string_view &bytes, Part &part)
{
    if (bytes.empty()) {
        return true;
    }
    auto taken = pomeloport::detail::takeCompact<Part>(bytes);
    part = taken ? std::move(*taken) : Part{};
    return taken.has_value();
}

} // namespace

std::string encodePeerMessage(const PeerMessage &message)
{
    using pomeloport::detail::encodeCompact;
    const auto origins = originsOf(message.work);
    const auto eras = erasOf(message.known);
    const std::pair<bool, std::string> parts[] = {
        {!message.notices.empty(), encodeCompact(message.notices)},
        {message.known.evacuations.revision > 0, encodeCompact(message.known.evacuations.revision)},
        {!origins.empty(), encodeCompact(origins)},
        {eras != KnownEras{}, encodeCompact(eras)},
    };
    auto result = encodeCompact(message);
    std::string pending;
    for (const auto &[present, encoded] : parts) {
        pending += encoded;
        if (present) {
            result += std::exchange(pending, {});
        }
    }
    return result;
}

std::optional<PeerMessage> decodePeerMessage(std::string_view bytes)
{
    auto message = pomeloport::detail::takeCompact<PeerMessage>(bytes);
    if (!message) {
        return std::nullopt;
    }
    std::vector<WorkOrigin> origins;
    KnownEras eras;
    if (!takePart(bytes, message->notices) || !takePart(bytes, message->known.evacuations.revision)
        || !takePart(bytes, origins) || !takePart(bytes, eras) || !bytes.empty()) {
        return std::nullopt;
    }
    setEras(message->known, eras);
    auto &items = message->work.items;
    if (!origins.empty() && origins.size() != items.size()) {
        return std::nullopt;
    }
    for (std::size_t i = 0; i < origins.size(); ++i) {
        items[i].origin = origins[i];
    }
    return message;
}

bool isLive(const PeerView &peer, Instant now)
{
    return now - peer.heardAt <= (peer.exchangesWork ? PeerTable::WorkingSilence : PeerTable::IdleSilence);
}

PeerTable::PeerTable(std::string ownAddress, std::string failureDomain)
    : m_ownAddress(std::move(ownAddress))
    , m_failureDomain(std::move(failureDomain))
{
}

bool PeerTable::isContact(const KnownAddress &known, bool exchangesWork) const
{
    return known.failureDomain.empty() || known.failureDomain == m_failureDomain
        || (exchangesWork && known.exchangesWork);
}

bool PeerTable::learn(const PeerAddress &peer, bool exchangesWork, Instant now)
{
    const bool isRemote = !peer.failureDomain.empty() && peer.failureDomain != m_failureDomain;
    if (peer.address == m_ownAddress || peer.address.empty() || (isRemote && !peer.exchangesWork)) {
        return false;
    }
    const KnownAddress known{now, peer.failureDomain, peer.exchangesWork};
    return m_addresses.try_emplace(peer.address, known).second && isContact(known, exchangesWork);
}

void PeerTable::remember(const PeerAddress &peer, Instant now)
{
    const bool isRemote = !peer.failureDomain.empty() && peer.failureDomain != m_failureDomain;
    if (!isRemote || peer.exchangesWork || peer.address.empty()) {
        return;
    }
    if (m_remembered.size() < MaximumRemembered || m_remembered.contains(peer.address)) {
        m_remembered[peer.address] = {now, peer.failureDomain, false};
    }
}

std::vector<std::string> PeerTable::addressesInSilentDomains(Instant now) const
{
    std::set<std::string> heard;
    for (const auto &[name, peer] : m_peers) {
        if (peer.state == EntryState::Ready && isLive(peer, now)) {
            heard.insert(peer.failureDomain);
        }
    }
    std::vector<std::string> result;
    for (const auto &[address, known] : m_remembered) {
        if (!heard.contains(known.failureDomain)) {
            result.push_back(address);
        }
    }
    return result;
}

std::vector<PeerAddress> PeerTable::rememberedIn(const std::string &failureDomain, std::size_t count) const
{
    std::vector<PeerAddress> result;
    for (const auto &[address, known] : m_remembered) {
        if (known.failureDomain == failureDomain && result.size() < count) {
            result.push_back({address, known.failureDomain, false});
        }
    }
    return result;
}

PeerChange PeerTable::applyMessage(const pomeloport::OwnerId &sender,
                                   const std::string &address,
                                   const PeerMessage &message,
                                   Instant now)
{
    if (address == m_ownAddress) {
        return PeerChange::None;
    }
    const auto existing = m_peers.find(sender.instance);
    const bool isNew = existing == m_peers.end() || sender.incarnation > existing->second.incarnation;
    if ((isNew && !message.description) || (!isNew && sender.incarnation < existing->second.incarnation)) {
        return PeerChange::None;
    }
    auto &peer = m_peers[sender.instance];
    const bool stateChanged = message.state != peer.state;
    peer.instance = sender.instance;
    peer.incarnation = sender.incarnation;
    peer.address = address;
    peer.state = message.state;
    peer.exchangesWork = message.exchangesWork;
    peer.known = message.known;
    peer.contact = message.contact;
    peer.heardAt = now;
    if (message.description) {
        peer.callerAddress = message.description->callerAddress;
        peer.failureDomain = message.description->failureDomain;
        peer.processorMilli = message.description->processorMilli;
        peer.callRate = message.description->callRate;
    }
    m_addresses[address] = {now, peer.failureDomain, peer.exchangesWork};
    if (isNew) {
        return PeerChange::Added;
    }
    return stateChanged ? PeerChange::State : PeerChange::None;
}

void PeerTable::expire(Instant now)
{
    std::erase_if(m_addresses, [now](const auto &entry) { return now - entry.second.since > AddressLifetime; });
    std::erase_if(m_remembered, [now](const auto &entry) { return now - entry.second.since > RememberedLifetime; });
    std::erase_if(m_peers, [now](const auto &entry) { return now - entry.second.heardAt > AddressLifetime; });
}

std::vector<std::string> PeerTable::contacts(bool exchangesWork) const
{
    std::vector<std::string> result;
    for (const auto &[address, known] : m_addresses) {
        if (isContact(known, exchangesWork)) {
            result.push_back(address);
        }
    }
    return result;
}

std::vector<std::string> PeerTable::addresses() const
{
    std::vector<std::string> result;
    std::ranges::transform(m_addresses, std::back_inserter(result), [](const auto &entry) { return entry.first; });
    return result;
}

template<typename Predicate>
std::vector<PeerAddress> PeerTable::rotate(std::size_t count, Instant now, Predicate predicate)
{
    std::vector<const PeerView *> eligible;
    for (const auto &[name, peer] : m_peers) {
        if (isLive(peer, now) && predicate(peer)) {
            eligible.push_back(&peer);
        }
    }
    std::vector<PeerAddress> result;
    for (std::size_t i = 0; i < std::min(count, eligible.size()); ++i) {
        const auto &peer = *eligible[m_rotation++ % eligible.size()];
        result.push_back({peer.address, peer.failureDomain, peer.exchangesWork});
    }
    return result;
}

std::vector<PeerAddress> PeerTable::nextPeers(std::size_t count, Instant now)
{
    return rotate(count, now, [this](const PeerView &peer) {
        return peer.exchangesWork || peer.failureDomain == m_failureDomain;
    });
}

std::vector<PeerAddress> PeerTable::peersFor(const std::string &failureDomain, std::size_t count, Instant now)
{
    return rotate(count, now, [&failureDomain](const PeerView &peer) {
        return peer.exchangesWork || peer.failureDomain == failureDomain;
    });
}

std::vector<PeerView> PeerTable::live(Instant now) const
{
    std::vector<PeerView> result;
    for (const auto &[name, peer] : m_peers) {
        if (isLive(peer, now)) {
            result.push_back(peer);
        }
    }
    return result;
}

std::vector<std::string> PeerTable::workingAddresses(Instant now) const
{
    std::vector<std::string> result;
    for (const auto &[name, peer] : m_peers) {
        if (peer.exchangesWork && isLive(peer, now)) {
            result.push_back(peer.address);
        }
    }
    return result;
}

std::vector<std::string> PeerTable::unheardAddresses() const
{
    std::set<std::string> heard;
    for (const auto &[name, peer] : m_peers) {
        heard.insert(peer.address);
    }
    std::vector<std::string> result;
    for (const auto &[address, known] : m_addresses) {
        const bool mayBeOwnDomain = known.failureDomain.empty() || known.failureDomain == m_failureDomain;
        if (mayBeOwnDomain && !heard.contains(address)) {
            result.push_back(address);
        }
    }
    return result;
}

const std::map<std::string, PeerView> &PeerTable::all() const
{
    return m_peers;
}

} // namespace pomeloentry
