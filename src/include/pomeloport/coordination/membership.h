#pragma once

#include "pomeloport/clock.h"
#include "pomeloport/protocol/controlmessages.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// Which instances of the own region are alive, in detail, and how to reach the other regions, in summaries. Each
/// instance sends heartbeats to its peers in turn; one that does not answer, directly or through helpers, is suspected
/// and has time to refute it before it counts as dead. News travels in the heartbeats; digests repair what was lost.
/// Dead instances are tried again for a while, so that the halves of a partition find each other.
namespace pomeloport
{

/// Settings of the membership of one instance.
struct MembershipSettings
{
    /// The own record: identity, region, failure domain and addresses.
    control::MemberRecord self;
    /// Time between two heartbeats of one instance.
    Duration probeInterval = std::chrono::milliseconds(500);
    /// Time for the direct answer before helpers are asked.
    Duration ackTimeout = std::chrono::milliseconds(200);
    /// Peers that try to reach an instance that did not answer.
    std::uint32_t helpers = 3;
    /// Time in which a suspected instance may refute.
    Duration suspicionTime = std::chrono::milliseconds(1500);
    /// Time between heartbeats to addresses that are not known as live: seeds, listed and dead instances.
    Duration strangerInterval = std::chrono::seconds(2);
    /// How long a dead instance is remembered; longer than any partition that has to heal by itself.
    Duration deadRetention = std::chrono::hours(3);
    /// Least time between the summaries that a region sends, and the time after which an unchanged one is repeated.
    Duration summaryInterval = std::chrono::seconds(1);
    Duration summaryRepeat = std::chrono::seconds(15);
    /// Drives the choice of peers.
    std::uint64_t seed = 0;
};

namespace membership
{

/// Time passes; sent about every 50 ms.
struct Tick
{
};

/// A datagram from another instance.
struct Received
{
    OwnerId sender;
    std::string address;
    ControlMessage message;
};

/// Datagram addresses that may belong to instances: seeds of the settings, entries of the platform's list. Replaces
/// those of an earlier event.
struct AddressesLearned
{
    std::vector<std::string> addresses;
};

/// The own state changed.
struct SelfChanged
{
    bool leaving = false;
    std::uint64_t configVersion = 0;
    /// The lowest configuration version among the region's live instances, and some that have it.
    std::uint64_t lowestConfigVersion = 0;
    std::vector<std::string> lagging;
};

/// Send a message.
struct Send
{
    std::string address;
    ControlMessage message;
};

/// The members changed; read them with members().
struct Changed
{
};

/// A heartbeat of a live peer of the region arrived.
struct PeerHeard
{
    OwnerId id;
    std::string datagramAddress;
    std::string peerAddress;
    std::uint64_t configVersion = 0;
};

} // namespace membership

using MembershipEvent =
    std::variant<membership::Tick, membership::Received, membership::AddressesLearned, membership::SelfChanged>;
using MembershipAction = std::variant<membership::Send, membership::Changed, membership::PeerHeard>;

/// The membership of one instance. Pure: events and the time go in, actions come out. One thread at a time.
class Membership
{
public:
    Membership(MembershipSettings settings, Instant now);
    ~Membership();
    Membership(const Membership &) = delete;
    Membership &operator=(const Membership &) = delete;

    std::vector<MembershipAction> handle(const MembershipEvent &event, Instant now);

    /// All instances of the region that are remembered, the own and the dead among them, by name.
    std::vector<control::MemberRecord> members() const;

    /// Returns the record of an instance of the region, or null.
    const control::MemberRecord *find(std::string_view instance) const;

    /// Latest summaries of the other regions.
    std::vector<control::RegionSummary> regions() const;

    /// The own record as it stands.
    const control::MemberRecord &self() const;

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace pomeloport
