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

/// What entry instances tell each other, and what each knows of the others. Pure.
namespace pomeloentry
{

using pomeloport::Instant;

/// Whether an instance takes callers.
enum class EntryState : std::uint8_t {
    /// It knows no configuration yet.
    Starting,
    Ready,
    Leaving,
};

constexpr pomeloport::NameTable<EntryState, 3> nameTable(EntryState /*unused*/)
{
    return {{{EntryState::Starting, "starting"}, {EntryState::Ready, "ready"}, {EntryState::Leaving, "leaving"}}};
}

/// Whether the platform's store answers an instance.
enum class StoreContact : std::uint8_t {
    /// It did not call lately.
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

/// Store versions of the last changes that an instance knows, by which others see that they missed one.
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

/// What changes seldom of an instance.
struct PeerDescription
{
    /// Where callers connect.
    std::string callerAddress;
    std::string failureDomain;
    /// Addresses of other instances, a few at a time.
    std::vector<std::string> others;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(callerAddress, failureDomain, others);
    }
};

/// One datagram between instances. Those that only tell changes of work have no description; they are the most.
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

/// Another instance as it last described itself.
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

/// An instance that callers may use.
struct ReadyInstance
{
    std::string callerAddress;
    std::string failureDomain;
};

/// Chooses the addresses that callers in a failure domain are told. Where enough instances of their own domain are
/// ready, they are told these alone, so that their traffic does not cross domains; else all. The choice is the same on
/// every instance and changes little, since callers leave connections to addresses that are no longer named.
std::vector<std::string> addressesFor(const std::string &failureDomain, std::vector<ReadyInstance> ready);

/// The other instances of the system. Not thread safe.
class PeerTable
{
public:
    /// An instance that was silent for this long gets no callers: several lost datagrams in a row.
    static constexpr pomeloport::Duration CallerSilence = std::chrono::milliseconds(900);
    /// Addresses that nobody answers from are forgotten after this time.
    static constexpr pomeloport::Duration AddressLifetime = std::chrono::seconds(30);

    /// The datagram address of this instance, which is never a peer.
    explicit PeerTable(std::string ownAddress);

    /// Learns an address from settings, store or peers. Returns whether it is new.
    bool learn(const std::string &address, Instant now);

    /// Takes a datagram of a peer. One that is not known yet, or restarted, is taken with its first description.
    /// Returns whether the peer is new, restarted or changed its state.
    bool applyMessage(const pomeloport::OwnerId &sender,
                      const std::string &address,
                      const PeerMessage &message,
                      Instant now);

    /// Drops addresses that are silent for long.
    void expire(Instant now);

    /// Where to send datagrams.
    std::vector<std::string> addresses() const;

    /// A few addresses for others, taking turns.
    std::vector<std::string> nextAddresses(std::size_t count);

    /// Peers that were heard recently.
    std::vector<PeerView> live(Instant now) const;

    const std::map<std::string, PeerView> &all() const;

private:
    std::string m_own;
    /// Addresses with the time at which each was last learned or heard.
    std::map<std::string, Instant> m_addresses;
    std::map<std::string, PeerView> m_peers;
    std::size_t m_turn = 0;
};

} // namespace pomeloentry
