#pragma once

#include "pomeloentry/workledger.h"

#include "pomeloport/clock.h"
#include "pomeloport/nametable.h"
#include "pomeloport/protocol/identity.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
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
    std::uint64_t routing = 0;
    std::uint64_t backends = 0;

    auto operator<=>(const KnownChanges &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(routing, backends);
    }
};

/// Properties of an instance that seldom change.
struct PeerDescription
{
    /// Address at which callers connect.
    std::string callerAddress;
    std::string failureDomain;
    /// Datagram addresses of some other instances, a few per message.
    std::vector<std::string> others;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(callerAddress, failureDomain, others);
    }
};

/// One datagram between instances. Messages that only report changes of work, which are the majority, carry no
/// description.
struct PeerMessage
{
    EntryState state = EntryState::Starting;
    KnownChanges known;
    StoreContact contact = StoreContact::Unknown;
    std::optional<PeerDescription> description;
    WorkReport work;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(state, known, contact, description, work);
    }
};

/// State of another instance according to its latest messages.
struct PeerView
{
    std::string instance;
    std::uint64_t incarnation = 0;
    std::string address;
    std::string callerAddress;
    std::string failureDomain;
    EntryState state = EntryState::Starting;
    KnownChanges known;
    StoreContact contact = StoreContact::Unknown;
    Instant heardAt{};
};

/// An instance that is ready for callers.
struct ReadyInstance
{
    std::string callerAddress;
    std::string failureDomain;
};

/// Selects the addresses that are announced to callers in a failure domain. If enough instances of that domain are
/// ready, only these are announced, so that the traffic does not cross domains; otherwise instances of all domains are.
/// Every instance makes the same selection, and it changes little over time, since callers drop connections to
/// addresses that are no longer announced.
std::vector<std::string> addressesFor(const std::string &failureDomain, std::vector<ReadyInstance> ready);

/// Table of the other instances. Not thread safe.
class PeerTable
{
public:
    /// An instance silent for longer than this is not announced to callers: several datagrams in a row were lost.
    static constexpr pomeloport::Duration CallerSilence = std::chrono::milliseconds(900);
    /// Addresses from which nothing is received are dropped after this time.
    static constexpr pomeloport::Duration AddressLifetime = std::chrono::seconds(30);

    /// Takes the datagram address of this instance, which is never added as a peer.
    explicit PeerTable(std::string ownAddress);

    /// Adds an address learned from settings, store or peers. Returns whether it is new.
    bool learn(const std::string &address, Instant now);

    /// Updates the peer state from a datagram. An unknown or restarted peer is added only with a datagram that carries
    /// its description. Returns whether the peer is new, has restarted or has changed its state.
    bool applyMessage(const pomeloport::OwnerId &sender,
                      const std::string &address,
                      const PeerMessage &message,
                      Instant now);

    /// Drops addresses and peers that were silent for longer than AddressLifetime.
    void expire(Instant now);

    /// Addresses to send datagrams to.
    std::vector<std::string> addresses() const;

    /// The next few addresses to pass on to other instances, in rotation.
    std::vector<std::string> nextAddresses(std::size_t count);

    /// Peers heard within CallerSilence.
    std::vector<PeerView> live(Instant now) const;

    const std::map<std::string, PeerView> &all() const;

private:
    std::string m_ownAddress;
    /// Time at which each address was added or last heard.
    std::map<std::string, Instant> m_addresses;
    std::map<std::string, PeerView> m_peers;
    std::size_t m_rotation = 0;
};

} // namespace pomeloentry
