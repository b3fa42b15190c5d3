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

/// Dissemination of the configuration: how one instance learns new versions, forwards them to peers, and decides
/// whether it may admit work. In each failure domain a few instances, chosen by rendezvous hashing, watch the store;
/// all others receive new versions from peers. The version at an instance never decreases. An instance admits work only
/// while it can be sure that it has not missed a version: after a start it asks the store and its peers, and it stops
/// admitting when it receives nothing from either.
namespace pomeloport
{

/// Selects the peers to which an instance forwards a new version.
enum class SpreadPolicy {
    /// To random peers of the region.
    Random,
    /// To random peers of the same failure domain; in addition, one instance of each domain forwards it to one instance
    /// of each other domain. This gives the path locality and path convergence described by P. Yalagandula and
    /// M. Dahlin, "Administrative Autonomy in Structured Overlays".
    DomainFirst,
};

constexpr NameTable<SpreadPolicy, 2> nameTable(SpreadPolicy /*unused*/)
{
    return {{{SpreadPolicy::Random, "random"}, {SpreadPolicy::DomainFirst, "domain_first"}}};
}

/// Settings for disseminating the configuration.
struct ConfigSpreadSettings
{
    OwnerId self;
    std::string failureDomain;
    /// Number of instances in each failure domain that watch the store.
    std::uint32_t watchersPerDomain = 2;
    /// Number of peers to which a new version is sent in each of two rounds.
    std::uint32_t fanout = 3;
    SpreadPolicy policy = SpreadPolicy::DomainFirst;
    /// Delay between the two rounds.
    Duration roundDelay = std::chrono::milliseconds(250);
    /// An instance that starts and expects peers delays its first store call by a random time up to this limit, so that
    /// instances that start together do not all call the store at once.
    Duration maximumStartupDelay = std::chrono::seconds(1);
    /// Time after its start, or after losing the confirmation of its configuration, for which an instance waits to hear
    /// from peers although the store has already answered.
    Duration peerWait = std::chrono::milliseconds(300);
    /// Time after which an unanswered store call counts as failed while the configuration is not yet confirmed.
    Duration storeTimeout = std::chrono::seconds(1);
    /// Time without messages from peers after which the instance watches the store itself.
    Duration peerSilenceThreshold = std::chrono::milliseconds(1000);
    /// Time without messages from peers and replies from the store after which the instance stops admitting work.
    Duration admissionSilenceLimit = std::chrono::milliseconds(2400);
    /// Limits of the exponential back-off between calls to a store that does not answer. Jitter of up to 50 % is
    /// applied to each delay; the longest delay with jitter must stay below the time within which a change has to be in
    /// force.
    Duration minimumStoreRetry = std::chrono::milliseconds(500);
    Duration maximumStoreRetry = std::chrono::milliseconds(1500);
    /// Seed of the random generator that picks peers and jitter.
    std::uint64_t seed = 0;
};

namespace configspread
{

/// Advances time; expected about every 50 ms.
struct Tick
{
};

/// A store call completed, successfully or not.
struct StoreAnswered
{
    StoreReply reply;
};

/// A ConfigAnnounce or ConfigPull datagram arrived from a peer.
struct Received
{
    OwnerId sender;
    std::string address;
    ControlMessage message;
};

/// A heartbeat arrived from a live peer of the region.
struct HeartbeatReceived
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

/// The set of live peers of the region, excluding this instance, changed.
struct PeersChanged
{
    std::vector<Peer> peers;
    /// Number of peers that died within the last hour.
    std::size_t recentlyDead = 0;
    /// Whether peers should exist: some are or recently were known, or the settings or the platform list addresses.
    bool expectPeers = false;
};

/// A peer returned its complete configuration in answer to Fetch.
struct Fetched
{
    std::uint64_t version = 0;
    std::string token;
    std::string yaml;
};

/// A Fetch failed.
struct FetchFailed
{
};

/// Request to call the store; the reply is to be passed back as StoreAnswered.
struct CallStore
{
    StoreCall call;
};

/// Request to send a datagram.
struct Send
{
    std::string address;
    ControlMessage message;
};

/// Request to fetch the complete configuration from a peer over TCP; the outcome is to be passed back as Fetched or
/// FetchFailed.
struct Fetch
{
    std::string instance;
    std::string peerAddress;
};

/// Request to bring a configuration version into force.
struct Adopt
{
    std::uint64_t version = 0;
    std::string token;
    std::shared_ptr<const std::string> yaml;
};

/// The permission of this instance to admit work changed.
struct AdmissionChanged
{
    bool admitting = false;
    std::string reason;
};

} // namespace configspread

using ConfigSpreadEvent = std::variant<configspread::Tick,
                                       configspread::StoreAnswered,
                                       configspread::Received,
                                       configspread::HeartbeatReceived,
                                       configspread::PeersChanged,
                                       configspread::Fetched,
                                       configspread::FetchFailed>;
using ConfigSpreadAction = std::variant<configspread::CallStore,
                                        configspread::Send,
                                        configspread::Fetch,
                                        configspread::Adopt,
                                        configspread::AdmissionChanged>;

/// Disseminates the configuration at one instance. Performs no I/O: events and the current time go in, actions come
/// out. Not thread safe.
class ConfigSpread
{
public:
    ConfigSpread(ConfigSpreadSettings settings, Instant now);
    ~ConfigSpread();
    ConfigSpread(const ConfigSpread &) = delete;
    ConfigSpread &operator=(const ConfigSpread &) = delete;

    /// Processes one event and returns the actions that the caller has to carry out.
    std::vector<ConfigSpreadAction> handle(const ConfigSpreadEvent &event, Instant now);

    /// Returns the latest version known to this instance, or 0 if none is known yet.
    std::uint64_t version() const;

    /// Returns the change token of that version.
    const std::string &token() const;

    /// Returns the declarations of that version, or null if none is known yet.
    std::shared_ptr<const std::string> yaml() const;

    /// Returns whether this instance may admit work.
    bool admitting() const;

    /// Returns whether this instance currently watches the store.
    bool watching() const;

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace pomeloport
