#pragma once

#include "pomeloport/clock.h"
#include "pomeloport/protocol/controlmessages.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// Gossip membership of one instance: full records of the instances of its region, and summaries of the other regions
/// that say how to reach them. Each instance sends heartbeats to its peers in turn. A peer that acknowledges neither
/// directly nor through indirect probes becomes a suspect and may refute the suspicion before it is declared dead.
/// Updates are piggybacked on heartbeats; comparing digests repairs updates that were lost. Heartbeats to dead
/// instances continue for a while, so that the halves of a partition merge again when it ends.
namespace pomeloport
{

/// Settings of Membership.
struct MembershipSettings
{
    /// Record of this instance: identity, region, failure domain and addresses.
    control::MemberRecord self;
    /// Interval between heartbeats that this instance sends to its peers; also the time for an answer, direct or
    /// indirect, before the peer becomes a suspect.
    Duration probeInterval = std::chrono::milliseconds(500);
    /// Time to wait for a direct acknowledgement before peers are asked for indirect probes.
    Duration ackTimeout = std::chrono::milliseconds(200);
    /// Number of peers asked to probe an instance that did not acknowledge.
    std::uint32_t indirectProbers = 3;
    /// Time in which a suspect may refute the suspicion before it is declared dead.
    Duration suspicionTime = std::chrono::milliseconds(1500);
    /// Interval between heartbeats to addresses that no live member has: seeds, addresses listed by the platform, and
    /// dead instances.
    Duration nonMemberProbeInterval = std::chrono::seconds(2);
    /// How long a dead instance is remembered. Must exceed the longest partition that has to heal without intervention.
    Duration deadRetention = std::chrono::hours(3);
    /// Minimum interval between the summaries that a region sends.
    Duration summaryInterval = std::chrono::seconds(1);
    /// Interval after which an unchanged summary is sent again.
    Duration summaryRepeat = std::chrono::seconds(15);
    /// Seed of the random generator that picks peers and jitter.
    std::uint64_t seed = 0;
};

namespace membership
{

/// Advances time; expected about every 50 ms.
struct Tick
{
};

/// A datagram arrived from another instance.
struct Received
{
    OwnerId sender;
    std::string address;
    ControlMessage message;
};

/// Datagram addresses at which instances may be found: seeds from the settings or entries of the platform's list.
/// Replaces the addresses of earlier events.
struct AddressesLearned
{
    std::vector<std::string> addresses;
};

/// The state that this instance reports about itself changed.
struct SelfChanged
{
    bool leaving = false;
    std::uint64_t configVersion = 0;
    /// Lowest configuration version among the live instances of the region.
    std::uint64_t lowestConfigVersion = 0;
    /// Names of instances whose version is below this instance's.
    std::vector<std::string> lagging;
};

/// Request to send a datagram.
struct Send
{
    std::string address;
    ControlMessage message;
};

/// The members changed; Membership::members() returns them.
struct Changed
{
};

/// A heartbeat or acknowledgement arrived from a live peer of the region.
struct HeartbeatReceived
{
    OwnerId id;
    std::string datagramAddress;
    std::string peerAddress;
    std::uint64_t configVersion = 0;
};

} // namespace membership

using MembershipEvent =
    std::variant<membership::Tick, membership::Received, membership::AddressesLearned, membership::SelfChanged>;
using MembershipAction = std::variant<membership::Send, membership::Changed, membership::HeartbeatReceived>;

/// Membership as seen by one instance. Performs no I/O: events and the current time go in, actions come out. Not thread
/// safe.
class Membership
{
public:
    Membership(MembershipSettings settings, Instant now);
    ~Membership();
    Membership(const Membership &) = delete;
    Membership &operator=(const Membership &) = delete;

    /// Processes one event and returns the actions that the caller has to carry out.
    std::vector<MembershipAction> handle(const MembershipEvent &event, Instant now);

    /// Returns all remembered instances of the region, including this instance and dead ones, ordered by name.
    std::vector<control::MemberRecord> members() const;

    /// Returns the record of an instance of the region, or null.
    const control::MemberRecord *find(std::string_view instance) const;

    /// Returns the latest summary of each other region.
    std::vector<control::RegionSummary> regions() const;

    /// Returns the current record of this instance.
    const control::MemberRecord &self() const;

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace pomeloport
