#pragma once

#include "pomeloport/protocol/enginemessages.h"

#include <cstdint>
#include <deque>
#include <list>
#include <unordered_map>
#include <vector>

/// The prefix cache of a stand-in engine.
namespace pomelofake
{

/// Keeps blocks of prompt prefixes in bounded memory, evicts the least recently used, and logs both as events.
class PrefixCache
{
public:
    /// Takes the capacity in tokens.
    explicit PrefixCache(std::uint64_t capacityTokens);

    /// Returns how many leading blocks are cached, and marks these as used.
    std::size_t lookUp(const std::vector<std::uint64_t> &blocks);

    /// Stores the blocks [begin, end) of a prompt.
    void store(const std::vector<std::uint64_t> &blocks, std::size_t begin, std::size_t end);

    /// Drops all blocks and events; sequence numbers start again at 1.
    void clear();

    /// Number of blocks kept.
    std::size_t size() const;

    /// Returns the kept events with a sequence number above the given one. Only the newest events are kept.
    std::vector<pomeloport::CacheEvent> eventsSince(std::uint64_t sequence) const;

    /// Sequence number of the newest event, 0 before the first.
    std::uint64_t lastSequence() const;

private:
    void storeOne(std::uint64_t block);
    void evictOldest();
    void log(std::uint64_t block, bool stored);

    std::size_t m_capacityBlocks;
    std::list<std::uint64_t> m_byUse;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_blocks;
    std::deque<pomeloport::CacheEvent> m_events;
    std::uint64_t m_lastSequence = 0;
};

} // namespace pomelofake
