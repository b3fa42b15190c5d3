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
/// router; the router publishes it by read-copy-update and never changes a published one.
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

/// One entry instance. Addresses are "IP:port".
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
    /// Open requests of its router over its limit, 0 to 1.
    double load = 0;
    /// The configuration version it has in force.
    std::uint64_t configVersion = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(id, region, failureDomain, httpAddress, peerAddress, datagramAddress, state, load, configVersion);
    }
};

/// Whether a backend server takes new work.
enum class BackendState {
    Live,
    Leaving,
    Gone,
};

constexpr NameTable<BackendState, 3> nameTable(BackendState /*unused*/)
{
    return {{{BackendState::Live, "live"}, {BackendState::Leaving, "leaving"}, {BackendState::Gone, "gone"}}};
}

/// One backend server: its declaration, whether it takes new work, and its last load report.
struct BackendView
{
    BackendServer server;
    BackendState state = BackendState::Live;
    LoadReport report;
    /// Age of the report when the snapshot was made, in milliseconds; grows until the next snapshot.
    std::uint32_t reportAgeMs = 0;
    /// The report's arrival on the reading process's own clock; set by the receiver, not serialised.
    Instant reportedAt{};
    /// Blocks that the engine's cache events announced; may lack some and hold evicted ones.
    std::unordered_set<std::uint64_t> cachedBlocks;
    /// Whether the role assigned to this engine keeps long work away.
    bool shortOnly = false;
    /// KV memory that the group coordinator has set aside on this engine, in tokens, whether in use already or not.
    std::uint64_t reservedGroupTokens = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(server, state, report, reportAgeMs, cachedBlocks, shortOnly, reservedGroupTokens);
    }
};

/// Everything the request path reads.
struct Snapshot
{
    OwnerId self;
    std::string region;
    std::string failureDomain;
    std::uint64_t configVersion = 0;
    Declarations declarations;
    std::vector<InstanceView> instances;
    std::vector<BackendView> backends;
    /// False while the instance may not admit: before its first configuration, when cut off, or when stopping.
    bool admitting = false;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(self, region, failureDomain, configVersion, declarations, instances, backends, admitting);
    }
};

} // namespace pomeloport
