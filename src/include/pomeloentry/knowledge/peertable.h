#pragma once

#include "pomeloentry/decisions/promptquarantine.h"
#include "pomeloentry/decisions/servernotices.h"
#include "pomeloentry/knowledge/storeversion.h"
#include "pomeloentry/knowledge/workledger.h"

#include "pomeloport/clock.h"
#include "pomeloport/nametable.h"
#include "pomeloport/protocol/identity.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Messages between entry instances, and the peer state that each instance keeps of the others. Pure.
namespace pomeloentry
{

using pomeloport::Instant;

/// Whether an instance accepts callers.
enum class EntryState : std::uint8_t {
    /// Has no configuration yet.
    Starting,
    Ready,
    Leaving,
};

constexpr pomeloport::NameTable<EntryState, 3> nameTable(EntryState /*unused*/)
{
    return {{{EntryState::Starting, "starting"}, {EntryState::Ready, "ready"}, {EntryState::Leaving, "leaving"}}};
}

/// Whether an instance gets answers from the platform's store.
enum class StoreContact : std::uint8_t {
    /// It has not called the store recently.
    Unknown,
    Answering,
    Failing,
};

constexpr pomeloport::NameTable<StoreContact, 3> nameTable(StoreContact /*unused*/)
{
    return {{{StoreContact::Unknown, "unknown"},
             {StoreContact::Answering, "answering"},
             {StoreContact::Failing, "failing"}}};
}

/// Store versions of the latest changes that an instance knows. A peer that announces a higher version shows an
/// instance that it missed a change.
struct KnownChanges
{
    StoreVersion routing;
    StoreVersion backends;
    StoreVersion evacuations;
    /// Digest of what the instance uses otherwise than a restored store has it; zero if there is nothing.
    std::uint64_t retained = 0;

    auto operator<=>(const KnownChanges &) const = default;

    /// The eras and the other members are encoded as optional parts of PeerMessage.
    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(routing.revision, backends.revision);
    }
};

/// Where another instance can be reached.
struct PeerAddress
{
    /// Datagram address.
    std::string address;
    /// Empty while it is unknown.
    std::string failureDomain;
    /// Whether that instance exchanges reports of its work, see PeerMessage::exchangesWork.
    bool exchangesWork = false;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(address, failureDomain, exchangesWork);
    }
};

/// Properties of an instance that seldom change.
struct PeerDescription
{
    /// Address at which callers connect.
    std::string callerAddress;
    std::string failureDomain;
    /// Processor time available to the instance, in thousandths of a core.
    std::uint32_t processorMilli = 0;
    /// Recent rate of admitted calls, per second.
    float callRate = 0;
    /// Some other instances, a few per message.
    std::vector<PeerAddress> others;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(callerAddress, failureDomain, processorMilli, callRate, others);
    }
};

/// One datagram between instances. Messages that only report changes of work, which are the majority, carry no
/// description.
struct PeerMessage
{
    EntryState state = EntryState::Starting;
    /// Whether the sender takes calls, so that it reports its work and needs the reports of others. An instance without
    /// calls only shows that it is alive, at longer intervals and to its own failure domain.
    bool exchangesWork = false;
    KnownChanges known;
    StoreContact contact = StoreContact::Unknown;
    std::optional<PeerDescription> description;
    WorkReport work;
    /// Sent also by instances that exchange no work.
    QuarantineReport quarantine;
    /// What backend servers said to the sender. The first of the optional parts, see encodePeerMessage().
    std::vector<NoticeMessage> notices;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(state, exchangesWork, known, contact, description, work, quarantine);
    }
};

/// Encodes a message. Behind the fixed fields, it has optional parts in a fixed order: the notices, the revision of the
/// evacuations, the origins of the work items, the eras of the known changes with the digest. Those behind the last one
/// that is not empty are left out, so that instances of earlier versions read all messages without them.
std::string encodePeerMessage(const PeerMessage &message);

/// Returns nothing when the bytes are not a message.
std::optional<PeerMessage> decodePeerMessage(std::string_view bytes);

/// State of another instance according to its latest messages.
struct PeerView
{
    std::string instance;
    std::uint64_t incarnation = 0;
    std::string address;
    std::string callerAddress;
    std::string failureDomain;
    std::uint32_t processorMilli = 0;
    float callRate = 0;
    EntryState state = EntryState::Starting;
    bool exchangesWork = false;
    KnownChanges known;
    StoreContact contact = StoreContact::Unknown;
    Instant heardAt{};
};

/// What a datagram changed in the table.
enum class PeerChange : std::uint8_t {
    None,
    /// A known peer changed its state.
    State,
    /// The peer is new or has restarted.
    Added,
};

/// Table of the other instances. An instance knows its whole failure domain, and of the other domains those instances
/// that exchange work. Not thread safe.
class PeerTable
{
public:
    /// A peer that exchanges work and is silent for longer than this counts as dead: several datagrams in a row were
    /// lost.
    static constexpr pomeloport::Duration WorkingSilence = std::chrono::milliseconds(900);
    /// The same for other peers, whose datagrams are less frequent.
    static constexpr pomeloport::Duration IdleSilence = std::chrono::milliseconds(5'000);
    /// Addresses from which nothing is received are dropped after this time.
    static constexpr pomeloport::Duration AddressLifetime = std::chrono::seconds(30);

    /// Addresses of instances elsewhere that exchange no work are remembered for this time: a failure domain that lost
    /// power is back within minutes.
    static constexpr pomeloport::Duration RememberedLifetime = std::chrono::minutes(2);
    /// Bounds the number of remembered addresses.
    static constexpr std::size_t MaximumRemembered = 4096;

    /// Takes the datagram address of this instance, which is never added as a peer, and its failure domain.
    PeerTable(std::string ownAddress, std::string failureDomain);

    /// Adds an address learned from settings, store or peers. Returns whether it is new and belongs to an instance that
    /// this one keeps contact with, given whether it exchanges work itself.
    bool learn(const PeerAddress &peer, bool exchangesWork, Instant now);

    /// Remembers the address of an instance elsewhere that exchanges no work, so that this instance can find it if its
    /// whole failure domain restarts without knowing any peer.
    void remember(const PeerAddress &peer, Instant now);

    /// Remembered addresses in failure domains of which no ready instance is heard.
    std::vector<std::string> addressesInSilentDomains(Instant now) const;

    /// Remembered addresses of a failure domain, for an instance that has restarted there.
    std::vector<PeerAddress> rememberedIn(const std::string &failureDomain, std::size_t count) const;

    /// Updates the peer state from a datagram. An unknown or restarted peer is added only with a datagram that carries
    /// its description.
    PeerChange applyMessage(const pomeloport::OwnerId &sender,
                            const std::string &address,
                            const PeerMessage &message,
                            Instant now);

    /// Drops addresses and peers that were silent for longer than AddressLifetime.
    void expire(Instant now);

    /// Addresses to send heartbeats to: those of the own failure domain, those whose domain is unknown, and with
    /// exchangesWork those of instances elsewhere that exchange work.
    std::vector<std::string> contacts(bool exchangesWork) const;

    /// All addresses, also those of idle instances elsewhere.
    std::vector<std::string> addresses() const;

    /// The next few live peers to tell other instances about, in rotation: those of the own failure domain and those
    /// that exchange work.
    std::vector<PeerAddress> nextPeers(std::size_t count, Instant now);

    /// Live peers to tell a new instance about: those of its failure domain and those that exchange work.
    std::vector<PeerAddress> peersFor(const std::string &failureDomain, std::size_t count, Instant now);

    /// Peers heard recently.
    std::vector<PeerView> live(Instant now) const;

    /// Addresses of the live peers that exchange work.
    std::vector<std::string> workingAddresses(Instant now) const;

    const std::map<std::string, PeerView> &all() const;

    /// Addresses of the own or an unknown failure domain from which no peer has been heard.
    std::vector<std::string> unheardAddresses() const;

private:
    struct KnownAddress
    {
        /// Time at which the address was added or last heard.
        Instant since{};
        std::string failureDomain;
        bool exchangesWork = false;
    };

    bool isContact(const KnownAddress &known, bool exchangesWork) const;
    template<typename Predicate>
    std::vector<PeerAddress> rotate(std::size_t count, Instant now, Predicate predicate);

    std::string m_ownAddress;
    std::string m_failureDomain;
    std::map<std::string, KnownAddress> m_addresses;
    std::map<std::string, KnownAddress> m_remembered;
    std::map<std::string, PeerView> m_peers;
    std::size_t m_rotation = 0;
};

/// Whether a peer was heard recently enough to count as alive.
bool isLive(const PeerView &peer, Instant now);

} // namespace pomeloentry
