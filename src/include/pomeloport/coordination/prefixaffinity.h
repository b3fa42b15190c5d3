#pragma once

#include "pomeloport/clock.h"
#include "pomeloport/state/snapshot.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

/// Where the leading blocks of a prompt are likely cached: from cache events, from the router's own recent choices, and
/// from a placement rule that all routers share.
namespace pomeloport
{

/// Returns the number of leading blocks of the prompt among the cached ones. Chained digests make the cached part a
/// prefix, so the search takes logarithmic time; gaps in the events can only make the result too small.
std::size_t cachedLeadingBlocks(const std::vector<std::uint64_t> &blocks,
                                const std::unordered_set<std::uint64_t> &cached);

/// Returns the block that stands for a prompt in the shared rule: the one at the largest power of two of blocks.
/// Prompts that share more than half of their length mostly share it. Empty for prompts without blocks.
std::optional<std::uint64_t> anchorBlock(const std::vector<std::uint64_t> &blocks);

/// A consistent-hashing ring over the members of a pool, for finding the engines that a prefix belongs to.
class AffinityRing
{
public:
    /// Takes the members' names; the positions in this list are what owners() returns.
    explicit AffinityRing(const std::vector<std::string> &members);

    /// Returns up to count distinct positions of members, in the order of the ring from the key on.
    std::vector<std::uint32_t> owners(std::uint64_t key, std::size_t count) const;

private:
    struct Point
    {
        std::uint64_t hash = 0;
        std::uint32_t member = 0;
    };
    std::vector<Point> m_points;
    std::size_t m_members = 0;
};

/// Remembers where this router sent prompts lately. Bounded; forgets the oldest first. Not thread safe.
class RecentPrefixes
{
public:
    explicit RecentPrefixes(std::size_t capacity);

    /// Notes that a prompt goes to a backend server. Only the anchor block and the last block are kept.
    void sent(const std::vector<std::uint64_t> &blocks, const std::string &backend);

    /// Returns the server that got a prompt with the same last or anchor block, or null.
    const std::string *lastServer(const std::vector<std::uint64_t> &blocks) const;

private:
    void remember(std::uint64_t block, const std::string &backend);

    struct Entry
    {
        std::uint64_t block = 0;
        std::string backend;
    };
    std::size_t m_capacity;
    std::list<Entry> m_entries;
    std::unordered_map<std::uint64_t, std::list<Entry>::iterator> m_byBlock;
};

} // namespace pomeloport
