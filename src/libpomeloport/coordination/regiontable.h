#pragma once

#include "pomeloport/protocol/controlmessages.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace pomeloport::detail
{

/// The latest summary of each region, with the queue of summaries to send with heartbeats.
class RegionTable
{
public:
    /// Stores a summary if it is newer than the known one, and queues it for the given number of transmissions. Returns
    /// whether it was newer.
    bool merge(const control::RegionSummary &summary, std::uint32_t transmissions);

    /// Returns at most the given number of queued summaries, and counts one transmission of each.
    std::vector<control::RegionSummary> takeUpdates(std::size_t count);

    /// Returns the summary of a region, or null.
    const control::RegionSummary *find(const std::string &region) const;

    /// Returns the summaries of all regions, ordered by region.
    std::vector<control::RegionSummary> all() const;

private:
    struct Entry
    {
        control::RegionSummary summary;
        /// Remaining transmissions.
        std::uint32_t transmissions = 0;
    };

    std::map<std::string, Entry> m_entries;
};

} // namespace pomeloport::detail
