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

/// Puts the updates of one controller's link together into whole snapshots. Used by one thread at a time; the
/// snapshots themselves are immutable and safe to share.
class SnapshotAssembler
{
public:
    /// Most blocks kept for one engine; further ones are ignored until the next reset.
    static constexpr std::size_t MaximumBlocks = 4096;

    /// Takes an update and returns the whole snapshot. Returns null, with a last reason, when the update relies on
    /// declarations that were never received. A snapshot of a lower configuration version than one seen keeps the
    /// higher version's declarations.
    std::shared_ptr<const Snapshot> apply(link::SnapshotUpdate update, Instant now);

    /// Takes a change of an engine's cached blocks; it shows in the next snapshot.
    void apply(const link::CacheUpdate &update);

private:
    Declarations m_declarations;
    std::uint64_t m_configVersion = 0;
    std::unordered_map<std::string, std::unordered_set<std::uint64_t>> m_blocks;
};

} // namespace pomeloport
