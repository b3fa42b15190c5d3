#pragma once

#include "pomeloport/protocol/controlmessages.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace pomeloport::detail
{

/// The configuration that an instance knows, and short patches that led to it.
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

    /// Takes a version when it is higher than the one known; returns whether it was.
    bool adopt(std::uint64_t version, std::string token, std::string yaml);

    /// Applies the patches of an announcement from the version known onwards. Returns whether they lead to a higher
    /// version; they may lead to one below the announced.
    bool apply(const std::vector<control::ConfigPatch> &patches);

    /// The announcement for a peer that has a version; without patches where they are unknown or long.
    control::ConfigAnnounce announcement(std::uint64_t peerHas) const;

    /// The announcement for peers whose version is not known: the last patch only.
    control::ConfigAnnounce news() const;

private:
    std::uint64_t m_version = 0;
    std::string m_token;
    std::shared_ptr<const std::string> m_yaml;
    std::deque<control::ConfigPatch> m_patches;
};

} // namespace pomeloport::detail
