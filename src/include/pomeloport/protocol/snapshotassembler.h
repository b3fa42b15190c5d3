#pragma once

#include "pomeloport/clock.h"
#include "pomeloport/protocol/linkmessages.h"
#include "pomeloport/state/snapshot.h"

#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace pomeloport
{

/// Assembles complete snapshots from the updates on one controller's link. Not thread-safe; the snapshots are immutable
/// and safe to share.
class SnapshotAssembler
{
public:
    /// Maximum number of cached blocks stored per engine; further ones are ignored until blocks are removed.
    static constexpr std::size_t MaximumBlocks = 4096;

    /// Applies an update and returns the complete snapshot. Returns null, with a last reason, when the update refers to
    /// declarations that were never received. If its configuration version is lower than one seen before, the snapshot
    /// keeps the declarations and the number of the higher version.
    std::shared_ptr<const Snapshot> apply(link::SnapshotUpdate update, Instant now);

    /// Applies a change of an engine's cached blocks; it takes effect in the next snapshot.
    void apply(const link::CacheUpdate &update);

private:
    Declarations m_declarations;
    std::uint64_t m_configVersion = 0;
    std::unordered_map<std::string, std::unordered_set<std::uint64_t>> m_blocks;
};

} // namespace pomeloport
