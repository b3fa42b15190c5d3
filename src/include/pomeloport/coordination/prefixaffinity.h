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

/// Finds the backend servers that probably cache the leading blocks of a prompt: by cache events, by the router's own
/// recent choices, and by consistent hashing, which gives the same result at all routers.
namespace pomeloport
{

/// Returns the number of leading blocks of the prompt that are cached. Digests are chained, so the cached blocks form a
/// prefix and a binary search finds its end. Missing cache events can only make the result too small.
std::size_t cachedLeadingBlocks(const std::vector<std::uint64_t> &blocks,
                                const std::unordered_set<std::uint64_t> &cached);

/// Returns the block that represents a prompt in consistent hashing: the last one of the largest power of two of
/// blocks. Prompts with more than half of their length in common usually have it in common. Empty for prompts without
/// blocks.
std::optional<std::uint64_t> anchorBlock(const std::vector<std::uint64_t> &blocks);

/// A consistent-hashing ring over the members of a pool, which assigns prefixes to engines.
class AffinityRing
{
public:
    /// Builds the ring from the members' names. owners() returns positions in this list.
    explicit AffinityRing(const std::vector<std::string> &members);

    /// Returns up to count distinct positions of members, in ring order starting at the key.
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

/// Remembers the servers to which this router sent recent prompts. Evicts the oldest entry when full. Not thread safe.
class RecentPrefixes
{
public:
    explicit RecentPrefixes(std::size_t capacity);

    /// Records that a prompt is sent to a backend server. Only its anchor block and its last block are kept.
    void sent(const std::vector<std::uint64_t> &blocks, const std::string &backend);

    /// Returns the server that last received a prompt with the same last or else the same anchor block, or null.
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
