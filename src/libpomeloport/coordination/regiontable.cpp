#include "regiontable.h"

namespace pomeloport::detail
{

bool RegionTable::merge(const control::RegionSummary &summary, std::uint32_t transmissions)
{
    auto &entry = m_entries[summary.region];
    if (summary.createdAtMs <= entry.summary.createdAtMs) {
        return false;
    }
    entry = {summary, transmissions};
    return true;
}

std::vector<control::RegionSummary> RegionTable::takeUpdates(std::size_t count)
{
    std::vector<control::RegionSummary> result;
    for (auto &[region, entry] : m_entries) {
        if (entry.transmissions > 0 && result.size() < count) {
            --entry.transmissions;
            result.push_back(entry.summary);
        }
    }
    return result;
}

const control::RegionSummary *RegionTable::find(const std::string &region) const
{
    const auto entry = m_entries.find(region);
    return entry == m_entries.end() ? nullptr : &entry->second.summary;
}

std::vector<control::RegionSummary> RegionTable::all() const
{
    std::vector<control::RegionSummary> result;
    for (const auto &[region, entry] : m_entries) {
        result.push_back(entry.summary);
    }
    return result;
}

} // namespace pomeloport::detail
