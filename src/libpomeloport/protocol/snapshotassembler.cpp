#include "pomeloport/protocol/snapshotassembler.h"

#include "pomeloport/lastreason.h"

#include <algorithm>

namespace pomeloport
{

std::shared_ptr<const Snapshot> SnapshotAssembler::apply(link::SnapshotUpdate update, Instant now)
{
    auto &snapshot = update.snapshot;
    if (update.declarationsIncluded && snapshot.configVersion >= m_configVersion) {
        m_declarations = std::move(snapshot.declarations);
        m_configVersion = snapshot.configVersion;
    }
    if (!update.declarationsIncluded && snapshot.configVersion > m_configVersion) {
        setLastReason("the declarations of this snapshot's configuration version were never received");
        return nullptr;
    }
    snapshot.configVersion = m_configVersion;
    snapshot.declarations = m_declarations;
    for (auto &backend : snapshot.backends) {
        backend.reportedAt = now - std::chrono::milliseconds(backend.reportAgeMs);
        const auto blocks = m_blocks.find(backend.server.name);
        if (blocks != m_blocks.end()) {
            backend.cachedBlocks = blocks->second;
        }
    }
    return std::make_shared<const Snapshot>(std::move(snapshot));
}

void SnapshotAssembler::apply(const link::CacheUpdate &update)
{
    auto &blocks = m_blocks[update.backend];
    if (update.reset) {
        blocks.clear();
    }
    for (const auto block : update.removed) {
        blocks.erase(block);
    }
    const auto space = MaximumBlocks - std::min(MaximumBlocks, blocks.size());
    const auto count = std::min(space, update.added.size());
    blocks.insert(update.added.begin(), update.added.begin() + static_cast<std::ptrdiff_t>(count));
}

} // namespace pomeloport
