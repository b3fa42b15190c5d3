#include "pomeloentry/decisions/senderroster.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace pomeloentry
{

namespace
{

/// Part of a failure domain's share that goes to instances that are no gateways: callers with old addresses still use
/// them.
constexpr std::uint32_t ReserveDivisor = 4;
/// Number of instances assumed at least in the failure domain while they are not known, the multiple of the known ones
/// that is assumed, and the part of the domain's share that they use by expectation.
constexpr std::size_t AssumedMembers = 32;
constexpr std::size_t AssumedGrowth = 2;
constexpr std::uint32_t CautiousDivisor = 2;
/// Part of a limit that is not used, for short times in which the views of the instances differ.
constexpr std::uint32_t MarginDivisor = 8;

std::uint64_t hashOf(std::uint32_t server, std::uint64_t seed)
{
    return XXH64(&server, sizeof(server), seed);
}

/// Share of one of several equal holders. What cannot be divided goes to some of them, others for each server.
std::uint32_t evenShare(std::uint32_t total, std::size_t holders, std::size_t index, std::uint64_t rotation)
{
    if (holders == 0) {
        return 0;
    }
    const auto count = static_cast<std::uint32_t>(holders);
    const auto turn = (index + rotation % holders) % holders;
    return total / count + (turn < total % count ? 1 : 0);
}

} // namespace

std::uint32_t limitShare(const SenderStanding &standing, std::uint32_t server, std::uint32_t limit)
{
    if (!standing.mayUseShare || standing.failureDomain >= standing.failureDomains) {
        return 0;
    }
    // The domains and the members of a domain use different rotations, so that a small limit reaches all of them.
    const auto rotation = hashOf(server, 1);
    const auto divided = limit - limit / MarginDivisor;
    const auto domainShare = evenShare(divided, standing.failureDomains, standing.failureDomain, hashOf(server, 0));
    if (!standing.known) {
        const auto assumed = std::max(AssumedMembers, standing.members * AssumedGrowth);
        const auto turn = hashOf(server, standing.nameHash) % assumed;
        return turn < domainShare / CautiousDivisor ? 1 : 0;
    }
    const auto others = standing.members - std::min(standing.members, standing.gateways);
    const auto reserve = others == 0 ? 0U : domainShare / ReserveDivisor;
    if (standing.position < standing.gateways) {
        return evenShare(domainShare - reserve, standing.gateways, standing.position, rotation);
    }
    return evenShare(reserve, others, standing.position - standing.gateways, rotation);
}

SenderRoster::SenderRoster(Settings settings)
    : m_settings(std::move(settings))
{
}

void SenderRoster::heard(const PeerView &peer)
{
    m_lastHeard = std::max(m_lastHeard, peer.heardAt);
    m_unheard.erase(peer.address);
    // The address of an instance that left may soon be that of another one, which may not be heard.
    const bool isLeaving = peer.state == EntryState::Leaving;
    m_heardUntil[peer.address] = peer.heardAt + (isLeaving ? LeavingRetention : Retention);
    if (peer.failureDomain != m_settings.domainName) {
        return;
    }
    auto &member = m_members[peer.instance];
    member.processorMilli = std::max(member.processorMilli, peer.processorMilli);
    member.leaving = isLeaving;
    member.heardAt = peer.heardAt;
}

void SenderRoster::learned(const std::string &address, Instant now)
{
    const auto heardUntil = m_heardUntil.find(address);
    if (heardUntil == m_heardUntil.end() || now > heardUntil->second) {
        m_unheard[address] = now;
    }
}

SenderStanding SenderRoster::standing(bool leaving, Instant now)
{
    std::erase_if(m_unheard, [now](const auto &entry) { return now - entry.second > Retention; });
    std::erase_if(m_heardUntil, [now](const auto &entry) { return now > entry.second; });
    const auto unheardAddresses = m_unheard.size();
    std::erase_if(m_members, [now](const auto &entry) {
        return now - entry.second.heardAt > (entry.second.leaving ? LeavingRetention : Retention);
    });
    // The recent rates of calls, by which further gateways are selected, differ between the instances' views, so the
    // division does not depend on them.
    std::vector<GatewayCandidate> candidates;
    std::vector<InstanceRank> leavingMembers;
    const auto add = [&](const std::string &instance, std::uint32_t milli, bool leaves) {
        if (leaves) {
            leavingMembers.push_back({instance, milli});
        } else {
            candidates.push_back({{instance, milli}, {}, 0});
        }
    };
    add(m_settings.instance, m_settings.processorMilli, leaving);
    for (const auto &[instance, member] : m_members) {
        add(instance, member.processorMilli, member.leaving);
    }
    std::ranges::sort(candidates,
                      [](const auto &left, const auto &right) { return ranksAhead(left.rank, right.rank); });
    SenderStanding result;
    result.failureDomains = m_settings.failureDomains;
    result.failureDomain = m_settings.failureDomain;
    result.members = candidates.size() + leavingMembers.size() + unheardAddresses;
    // An instance that has not been heard may rank among the gateways.
    result.gateways =
        selectGateways(candidates, m_settings.gateways, m_settings.failureDomains).size() + unheardAddresses;
    const auto isOwn = [this](const InstanceRank &rank) {
        return rank.instance == m_settings.instance;
    };
    const auto position = std::ranges::find_if(candidates, isOwn, &GatewayCandidate::rank) - candidates.begin();
    result.position = static_cast<std::size_t>(position);
    if (result.position + unheardAddresses >= result.gateways) {
        result.position += unheardAddresses;
    }
    if (leaving) {
        const auto index = std::ranges::find_if(leavingMembers, isOwn) - leavingMembers.begin();
        result.position = result.members - leavingMembers.size() + static_cast<std::size_t>(index);
    }
    const auto age = now - m_settings.startedAt;
    // One that has never heard another although there are some may be cut off since its start.
    const bool hearsOthers = m_lastHeard != Instant{} && now - m_lastHeard <= Retention;
    result.known = age >= SettlingTime && (hearsOthers || (!m_settings.hasSeeds && unheardAddresses == 0));
    result.mayUseShare = age >= IntroductionTime;
    result.nameHash = XXH64(m_settings.instance.data(), m_settings.instance.size(), 0);
    return result;
}

} // namespace pomeloentry
