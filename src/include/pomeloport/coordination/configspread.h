#pragma once

#include "pomeloport/clock.h"
#include "pomeloport/nametable.h"
#include "pomeloport/protocol/controlmessages.h"
#include "pomeloport/protocol/store.h"

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

/// How one instance learns the configuration, passes it on, and decides whether it may admit work. A few watchers in
/// each failure domain watch the store, chosen by rendezvous hashing; the others hear from peers. Versions only rise.
/// An instance admits only while it knows that it did not miss a version: after a start it asks store and peers, and
/// one that hears from neither stops admitting.
namespace pomeloport
{

/// To whom news of a version is passed on.
enum class SpreadPolicy {
    /// To random peers of the region.
    Random,
    /// To peers of the own failure domain, and by one instance of each domain to one of each other domain: the path
    /// locality and path convergence of P. Yalagandula and M. Dahlin, "Administrative Autonomy in Structured Overlays".
    DomainFirst,
};

constexpr NameTable<SpreadPolicy, 2> nameTable(SpreadPolicy /*unused*/)
{
    return {{{SpreadPolicy::Random, "random"}, {SpreadPolicy::DomainFirst, "domain_first"}}};
}

/// Settings of the configuration's spread.
struct ConfigSpreadSettings
{
    OwnerId self;
    std::string failureDomain;
    std::uint32_t watchersPerDomain = 2;
    /// Peers told of a new version in each of two rounds.
    std::uint32_t fanout = 3;
    SpreadPolicy policy = SpreadPolicy::DomainFirst;
    /// Time between the two rounds.
    Duration roundDelay = std::chrono::milliseconds(250);
    /// Fresh instances that expect peers spread their first call of the store over this time.
    Duration startSpread = std::chrono::seconds(1);
    /// How long a fresh instance waits for peers although the store has answered.
    Duration peerWait = std::chrono::milliseconds(300);
    /// Time after which a call of the store counts as failed for a fresh instance.
    Duration storePatience = std::chrono::seconds(1);
    /// Time without any word from peers after which the store is asked instead.
    Duration quietTime = std::chrono::milliseconds(1000);
    /// Time without any word from peers and store after which the instance stops admitting.
    Duration silenceLimit = std::chrono::milliseconds(2400);
    /// Delays between tries at a store that does not answer; half as long again with jitter, which has to stay below
    /// the time in which a change is in force.
    Duration firstStoreRetry = std::chrono::milliseconds(500);
    Duration maximumStoreRetry = std::chrono::milliseconds(1500);
    std::uint64_t seed = 0;
};

namespace configspread
{

/// Time passes; sent about every 50 ms.
struct Tick
{
};

/// A call of the store ended.
struct StoreAnswered
{
    StoreReply reply;
};

/// A datagram from a peer: ConfigAnnounce or ConfigPull.
struct Received
{
    OwnerId sender;
    std::string address;
    ControlMessage message;
};

/// A heartbeat of a live peer of the region arrived.
struct PeerHeard
{
    OwnerId id;
    std::string datagramAddress;
    std::string peerAddress;
    std::uint64_t configVersion = 0;
};

/// A live peer of the region.
struct Peer
{
    std::string instance;
    std::string failureDomain;
    std::string datagramAddress;
    std::string peerAddress;
};

/// The live peers of the region, without the own instance.
struct PeersChanged
{
    std::vector<Peer> peers;
    /// Peers that died within the last hour.
    std::size_t lost = 0;
    /// Whether there should be peers, by the settings or the platform's list.
    bool expected = false;
};

/// A peer sent its whole configuration.
struct Fetched
{
    std::uint64_t version = 0;
    std::string token;
    std::string yaml;
};

/// A peer could not be asked for its configuration.
struct FetchFailed
{
};

/// Call the store; answer with StoreAnswered.
struct CallStore
{
    StoreCall call;
};

/// Send a datagram.
struct Send
{
    std::string address;
    ControlMessage message;
};

/// Ask a peer for its whole configuration, by TCP; answer with Fetched or FetchFailed.
struct Fetch
{
    std::string instance;
    std::string peerAddress;
};

/// Bring a version into force.
struct Adopt
{
    std::uint64_t version = 0;
    std::string token;
    std::shared_ptr<const std::string> yaml;
};

/// Whether the instance may admit work changed.
struct AdmissionChanged
{
    bool admitting = false;
    std::string reason;
};

} // namespace configspread

using ConfigSpreadEvent = std::variant<configspread::Tick,
                                       configspread::StoreAnswered,
                                       configspread::Received,
                                       configspread::PeerHeard,
                                       configspread::PeersChanged,
                                       configspread::Fetched,
                                       configspread::FetchFailed>;
using ConfigSpreadAction = std::variant<configspread::CallStore,
                                        configspread::Send,
                                        configspread::Fetch,
                                        configspread::Adopt,
                                        configspread::AdmissionChanged>;

/// The spread of the configuration at one instance. Pure; one thread at a time.
class ConfigSpread
{
public:
    ConfigSpread(ConfigSpreadSettings settings, Instant now);
    ~ConfigSpread();
    ConfigSpread(const ConfigSpread &) = delete;
    ConfigSpread &operator=(const ConfigSpread &) = delete;

    std::vector<ConfigSpreadAction> handle(const ConfigSpreadEvent &event, Instant now);

    /// The version known; 0 before the first.
    std::uint64_t version() const;

    /// Change token of the version known.
    const std::string &token() const;

    /// The declarations of the version known; null before the first.
    std::shared_ptr<const std::string> yaml() const;

    bool admitting() const;

    /// Whether this instance watches the store at present.
    bool watching() const;

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace pomeloport
