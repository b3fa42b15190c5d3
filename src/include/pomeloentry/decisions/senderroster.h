#pragma once

#include "pomeloentry/decisions/gateways.h"
#include "pomeloentry/knowledge/peertable.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// Division of a rate that all instances together must not exceed among the instances that may send. Pure.
///
/// The rate is divided evenly among the failure domains, whose number is a setting, and then among the instances of a
/// domain, which know each other. So no instance needs to know those of other domains. Most of a domain's part goes to
/// its gateways, which get nearly all calls; the rest goes to other instances, each for some of the servers only.
namespace pomeloentry
{

using pomeloport::Duration;
using pomeloport::Instant;

/// Place of an instance among those that may send.
struct SenderStanding
{
    /// Whether the instances of the own failure domain are known. Otherwise the instance takes a small share that is
    /// safe for an expected number of them.
    bool known = false;
    /// Whether the instance may send at all: a process that has just begun to meet its peers may not.
    bool mayUseShare = false;
    std::size_t failureDomains = 1;
    /// Index of the own failure domain in the order of their names.
    std::size_t failureDomain = 0;
    /// Instances of the own failure domain, and how many of them count as gateways.
    std::size_t members = 1;
    std::size_t gateways = 1;
    /// Index of the instance among the members, gateways first.
    std::size_t position = 0;
    std::uint64_t nameHash = 0;

    auto operator<=>(const SenderStanding &) const = default;
};

/// Part of a limit on the requests to one server within a time that an instance may use. The parts of all instances
/// with the same view add up to the limit at most. The server is identified by backendKey().
std::uint32_t limitShare(const SenderStanding &standing, std::uint32_t server, std::uint32_t limit);

/// Remembers the instances of the own failure domain that may send. An instance that falls silent still counts, since
/// it may only be out of contact. Not thread safe.
class SenderRoster
{
public:
    /// How long a silent instance counts: as long as the directory of instances keeps it.
    static constexpr Duration Retention = std::chrono::minutes(10);
    /// The same for one that said that it leaves.
    static constexpr Duration LeavingRetention = std::chrono::minutes(1);
    /// Time after the start until the instance uses its full share: longer than a cut between instances lasts, behind
    /// which it cannot know others that send.
    static constexpr Duration SettlingTime = WorkLedger::SenderRetention;
    /// Time after the start in which the instance sends nothing to servers with a limit.
    static constexpr Duration IntroductionTime = std::chrono::seconds(1);

    struct Settings
    {
        std::string instance;
        /// Name and index of the own failure domain, and the number of all.
        std::string domainName;
        std::size_t failureDomain = 0;
        std::size_t failureDomains = 1;
        /// Whether the settings name other instances.
        bool hasSeeds = false;
        /// Declared processor time of this instance.
        std::uint32_t processorMilli = 0;
        GatewayPolicy gateways;
        Instant startedAt{};
    };

    explicit SenderRoster(Settings settings);

    /// Records another instance. Those of other failure domains only show that this one is not cut off.
    void heard(const PeerView &peer);

    /// Records an address of the own or an unknown failure domain from which no peer is heard. It does not count while
    /// the instance that was heard from it does.
    void learned(const std::string &address, Instant now);

    /// Standing of this instance, given whether it leaves.
    SenderStanding standing(bool leaving, Instant now);

private:
    struct Member
    {
        /// The most that it has reported: what a strained instance reports changes too often for all to agree on.
        std::uint32_t processorMilli = 0;
        bool leaving = false;
        Instant heardAt{};
    };

    Settings m_settings;
    std::map<std::string, Member> m_members;
    /// When each address from which no instance has been heard was known last.
    std::map<std::string, Instant> m_unheard;
    /// Until when the instance that was heard from an address counts, so that the address does not.
    std::map<std::string, Instant> m_heardUntil;
    Instant m_lastHeard{};
};

} // namespace pomeloentry
