#pragma once

#include "pomeloport/clock.h"
#include "pomeloport/protocol/enginemessages.h"
#include "pomeloport/protocol/identity.h"
#include "pomeloport/state/declarations.h"

#include <cstdint>
#include <string>
#include <unordered_set>
#include <vector>

/// The view of configuration, membership and backend servers that the request path reads. A controller sends it to its
/// router, which publishes it by read-copy-update; a published snapshot is never modified.
namespace pomeloport
{

/// Liveness of an entry instance as its peers see it.
enum class InstanceState {
    Alive,
    Suspect,
    Leaving,
    Dead,
};

constexpr NameTable<InstanceState, 4> nameTable(InstanceState /*unused*/)
{
    return {{{InstanceState::Alive, "alive"},
             {InstanceState::Suspect, "suspect"},
             {InstanceState::Leaving, "leaving"},
             {InstanceState::Dead, "dead"}}};
}

/// One entry instance. Addresses are "IP:PORT".
struct InstanceView
{
    OwnerId id;
    std::string region;
    std::string failureDomain;
    /// The router's address for callers.
    std::string httpAddress;
    /// The controller's TCP address for peers.
    std::string peerAddress;
    /// The controller's UDP address for peers.
    std::string datagramAddress;
    InstanceState state = InstanceState::Alive;
    /// Open requests of its router as a fraction of the router's limit, 0 to 1.
    double load = 0;
    /// The configuration version that it applies.
    std::uint64_t configVersion = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(id, region, failureDomain, httpAddress, peerAddress, datagramAddress, state, load, configVersion);
    }
};

/// Whether a backend server accepts new requests.
enum class BackendState {
    Live,
    Leaving,
    Gone,
};

constexpr NameTable<BackendState, 3> nameTable(BackendState /*unused*/)
{
    return {{{BackendState::Live, "live"}, {BackendState::Leaving, "leaving"}, {BackendState::Gone, "gone"}}};
}

/// One backend server: its declaration, its state and its last load report.
struct BackendView
{
    BackendServer server;
    BackendState state = BackendState::Live;
    LoadReport report;
    /// Age of the report at the creation of the snapshot, in milliseconds. Time spent since then has to be added.
    std::uint32_t reportAgeMs = 0;
    /// Time of the report on the clock of the receiving process, which derives it from reportAgeMs; not serialised.
    Instant reportedAt{};
    /// Prefix blocks announced by the engine's cache events. Since events arrive late and may be lost, some cached
    /// blocks may be missing and some evicted ones still listed.
    std::unordered_set<std::uint64_t> cachedBlocks;
    /// Whether the role assigned to this engine excludes long requests.
    bool shortOnly = false;
    /// KV memory reserved on this engine by the group coordinator, in tokens, whether or not it is in use yet.
    std::uint64_t reservedGroupTokens = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(server, state, report, reportAgeMs, cachedBlocks, shortOnly, reservedGroupTokens);
    }
};

/// The complete view that the request path reads.
struct Snapshot
{
    OwnerId self;
    std::string region;
    std::string failureDomain;
    std::uint64_t configVersion = 0;
    Declarations declarations;
    std::vector<InstanceView> instances;
    std::vector<BackendView> backends;
    /// False while the instance must not admit requests: before it has a configuration, while it is partitioned from
    /// the others, and while it stops.
    bool admitting = false;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(self, region, failureDomain, configVersion, declarations, instances, backends, admitting);
    }
};

} // namespace pomeloport
