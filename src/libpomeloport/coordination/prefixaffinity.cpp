#include "pomeloport/coordination/prefixaffinity.h"

#include <algorithm>
#include <bit>
#include <xxhash.h>

namespace pomeloport
{

namespace
{

constexpr std::uint64_t PointsPerMember = 16;

} // namespace

std::size_t cachedLeadingBlocks(const std::vector<std::uint64_t> &blocks,
                                const std::unordered_set<std::uint64_t> &cached)
{
    const auto end = std::ranges::partition_point(blocks, [&cached](auto block) { return cached.contains(block); });
    return static_cast<std::size_t>(end - blocks.begin());
}

std::optional<std::uint64_t> anchorBlock(const std::vector<std::uint64_t> &blocks)
{
    if (blocks.empty()) {
        return std::nullopt;
    }
    return blocks[std::bit_floor(blocks.size()) - 1];
}

AffinityRing::AffinityRing(const std::vector<std::string> &members)
    : m_members(members.size())
{
    m_points.reserve(members.size() * PointsPerMember);
    for (std::uint32_t member = 0; member < members.size(); ++member) {
        for (std::uint64_t point = 0; point < PointsPerMember; ++point) {
            const auto &name = members[member];
            m_points.push_back({XXH64(name.data(), name.size(), point), member});
        }
    }
    std::ranges::sort(m_points, [](const Point &left, const Point &right) {
        return left.hash != right.hash ? left.hash < right.hash : left.member < right.member;
    });
}

std::vector<std::uint32_t> AffinityRing::owners(std::uint64_t key, std::size_t count) const
{
    std::vector<std::uint32_t> result;
    count = std::min(count, m_members);
    auto point = std::ranges::lower_bound(m_points, key, {}, &Point::hash);
    while (result.size() < count) {
        if (point == m_points.end()) {
            point = m_points.begin();
        }
        if (std::ranges::find(result, point->member) == result.end()) {
            result.push_back(point->member);
        }
        ++point;
    }
    return result;
}

RecentPrefixes::RecentPrefixes(std::size_t capacity)
    : m_capacity(capacity)
{
}

void RecentPrefixes::sent(const std::vector<std::uint64_t> &blocks, const std::string &backend)
{
    if (blocks.empty()) {
        return;
    }
    remember(*anchorBlock(blocks), backend);
    remember(blocks.back(), backend);
}

const std::string *RecentPrefixes::lastServer(const std::vector<std::uint64_t> &blocks) const
{
    if (blocks.empty()) {
        return nullptr;
    }
    for (const auto block : {blocks.back(), *anchorBlock(blocks)}) {
        const auto found = m_byBlock.find(block);
        if (found != m_byBlock.end()) {
            return &found->second->backend;
        }
    }
    return nullptr;
}

void RecentPrefixes::remember(std::uint64_t block, const std::string &backend)
{
    const auto found = m_byBlock.find(block);
    if (found != m_byBlock.end()) {
        m_entries.erase(found->second);
        m_byBlock.erase(found);
    }
    m_entries.push_front({block, backend});
    m_byBlock[block] = m_entries.begin();
    if (m_entries.size() > m_capacity) {
        m_byBlock.erase(m_entries.back().block);
        m_entries.pop_back();
    }
}

} // namespace pomeloport
