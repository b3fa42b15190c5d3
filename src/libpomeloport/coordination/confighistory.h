#pragma once

#include "pomeloport/protocol/controlmessages.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace pomeloport::detail
{

/// The latest configuration known to an instance, with the recent patches from earlier versions that peers may need.
class ConfigHistory
{
public:
    std::uint64_t version() const
    {
        return m_version;
    }

    const std::string &token() const
    {
        return m_token;
    }

    std::shared_ptr<const std::string> yaml() const
    {
        return m_yaml;
    }

    /// Replaces the configuration if the given version is higher than the current one. Returns whether it was.
    bool adopt(std::uint64_t version, std::string token, std::string yaml);

    /// Applies those patches of an announcement that continue from the current version. Returns whether the version
    /// rose; it may still be below the announced one.
    bool apply(const std::vector<control::ConfigPatch> &patches);

    /// Returns an announcement for a peer with the given version. It holds the patches that follow from that version,
    /// as far as they are remembered and fit one announcement.
    control::ConfigAnnounce announcement(std::uint64_t peerVersion) const;

    /// Returns an announcement for peers whose version is unknown. It holds the latest patch only.
    control::ConfigAnnounce latestAnnouncement() const;

private:
    std::uint64_t m_version = 0;
    std::string m_token;
    std::shared_ptr<const std::string> m_yaml;
    std::deque<control::ConfigPatch> m_patches;
};

} // namespace pomeloport::detail
