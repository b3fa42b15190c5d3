#pragma once

#include "pomeloport/protocol/controlmessages.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace pomeloport::detail
{

/// The latest summaries of all regions, with the queue of those to pass on.
class RegionTable
{
public:
    /// Takes a summary and passes it on a number of times. Returns whether it was newer than the one known.
    bool merge(const control::RegionSummary &summary, std::uint32_t transmissions);

    /// Takes up to a number of summaries to pass on.
    std::vector<control::RegionSummary> takeNews(std::size_t count);

    /// Returns the summary of a region, or null.
    const control::RegionSummary *find(const std::string &region) const;

    std::vector<control::RegionSummary> all() const;

private:
    struct Entry
    {
        control::RegionSummary summary;
        std::uint32_t transmissions = 0;
    };

    std::map<std::string, Entry> m_entries;
};

} // namespace pomeloport::detail
