#include "confighistory.h"

#include "pomeloport/coordination/configpatch.h"

#include <algorithm>

namespace pomeloport::detail
{

using control::ConfigAnnounce;
using control::ConfigPatch;

namespace
{

/// Number of patches remembered.
constexpr std::size_t MaximumPatches = 16;
/// Maximum size of the patches in one announcement.
constexpr std::size_t AnnouncementBytes = 1000;
/// Allowance for the fields of a patch other than its text and token.
constexpr std::size_t PatchOverhead = 64;

std::size_t sizeOf(const ConfigPatch &patch)
{
    return patch.middle.size() + patch.token.size() + PatchOverhead;
}

} // namespace

bool ConfigHistory::adopt(std::uint64_t version, std::string token, std::string yaml)
{
    if (version <= m_version) {
        return false;
    }
    if (m_yaml) {
        m_patches.push_back(makePatch(m_version, *m_yaml, version, yaml, token));
        if (sizeOf(m_patches.back()) > AnnouncementBytes) {
            m_patches.clear();
        }
    }
    if (m_patches.size() > MaximumPatches) {
        m_patches.pop_front();
    }
    m_version = version;
    m_token = std::move(token);
    m_yaml = std::make_shared<const std::string>(std::move(yaml));
    return true;
}

bool ConfigHistory::apply(const std::vector<ConfigPatch> &patches)
{
    bool changed = false;
    for (const auto &patch : patches) {
        if (!m_yaml || patch.fromVersion != m_version) {
            continue;
        }
        auto text = applyPatch(patch, *m_yaml);
        if (!text) {
            break;
        }
        changed = adopt(patch.toVersion, patch.token, std::move(*text)) || changed;
    }
    return changed;
}

ConfigAnnounce ConfigHistory::announcement(std::uint64_t peerVersion) const
{
    ConfigAnnounce result{m_version, {}};
    const auto first = std::ranges::find(m_patches, peerVersion, &ConfigPatch::fromVersion);
    std::size_t bytes = 0;
    for (auto patch = first; patch != m_patches.end(); ++patch) {
        bytes += sizeOf(*patch);
        if (bytes > AnnouncementBytes) {
            break;
        }
        result.patches.push_back(*patch);
    }
    return result;
}

ConfigAnnounce ConfigHistory::latestAnnouncement() const
{
    ConfigAnnounce result{m_version, {}};
    if (!m_patches.empty()) {
        result.patches.push_back(m_patches.back());
    }
    return result;
}

} // namespace pomeloport::detail
