#include "pomeloentry/peertable.h"

#include <xxhash.h>

#include <algorithm>

namespace pomeloentry
{

namespace
{

/// Callers use at most this many addresses.
constexpr std::size_t MaximumAddresses = 64;
/// Minimum number of ready instances at which a failure domain serves its own callers alone: the sudden loss of half of
/// them still leaves several.
constexpr std::size_t MinimumLocalInstances = 8;

} // namespace

std::vector<std::string> addressesFor(const std::string &failureDomain, std::vector<ReadyInstance> ready)
{
    const auto rank = [](const ReadyInstance &instance) {
        return XXH64(instance.callerAddress.data(), instance.callerAddress.size(), 0);
    };
    std::ranges::sort(ready, {}, rank);
    const auto remoteBegin = std::stable_partition(ready.begin(), ready.end(), [&failureDomain](const auto &instance) {
        return instance.failureDomain == failureDomain;
    });
    const auto localCount = static_cast<std::size_t>(remoteBegin - ready.begin());
    ready.resize(std::min(localCount >= MinimumLocalInstances ? localCount : ready.size(), MaximumAddresses));
    std::vector<std::string> result;
    for (auto &instance : ready) {
        result.push_back(std::move(instance.callerAddress));
    }
    return result;
}

PeerTable::PeerTable(std::string ownAddress)
    : m_ownAddress(std::move(ownAddress))
{
}

bool PeerTable::learn(const std::string &address, Instant now)
{
    return address != m_ownAddress && !address.empty() && m_addresses.try_emplace(address, now).second;
}

bool PeerTable::applyMessage(const pomeloport::OwnerId &sender,
                             const std::string &address,
                             const PeerMessage &message,
                             Instant now)
{
    if (address == m_ownAddress) {
        return false;
    }
    const auto existing = m_peers.find(sender.instance);
    const bool isNew = existing == m_peers.end() || sender.incarnation > existing->second.incarnation;
    if ((isNew && !message.description) || (!isNew && sender.incarnation < existing->second.incarnation)) {
        return false;
    }
    auto &peer = m_peers[sender.instance];
    const bool changed = isNew || message.state != peer.state;
    peer.instance = sender.instance;
    peer.incarnation = sender.incarnation;
    peer.address = address;
    peer.state = message.state;
    peer.known = message.known;
    peer.contact = message.contact;
    peer.heardAt = now;
    m_addresses[address] = now;
    if (message.description) {
        peer.callerAddress = message.description->callerAddress;
        peer.failureDomain = message.description->failureDomain;
        for (const auto &other : message.description->others) {
            learn(other, now);
        }
    }
    return changed;
}

void PeerTable::expire(Instant now)
{
    std::erase_if(m_addresses, [now](const auto &entry) { return now - entry.second > AddressLifetime; });
    std::erase_if(m_peers, [now](const auto &entry) { return now - entry.second.heardAt > AddressLifetime; });
}

std::vector<std::string> PeerTable::addresses() const
{
    std::vector<std::string> result;
    for (const auto &[address, since] : m_addresses) {
        result.push_back(address);
    }
    return result;
}

std::vector<std::string> PeerTable::nextAddresses(std::size_t count)
{
    const auto all = addresses();
    std::vector<std::string> result;
    for (std::size_t i = 0; i < std::min(count, all.size()); ++i) {
        result.push_back(all[m_rotation++ % all.size()]);
    }
    return result;
}

std::vector<PeerView> PeerTable::live(Instant now) const
{
    std::vector<PeerView> result;
    for (const auto &[name, peer] : m_peers) {
        if (now - peer.heardAt <= CallerSilence) {
            result.push_back(peer);
        }
    }
    return result;
}

const std::map<std::string, PeerView> &PeerTable::all() const
{
    return m_peers;
}

} // namespace pomeloentry
