#include "pomelofake/prefixcache.h"

#include <algorithm>

namespace pomelofake
{

namespace
{

constexpr std::size_t MaximumKeptEvents = 4096;

} // namespace

PrefixCache::PrefixCache(std::uint64_t capacityTokens)
    : m_capacityBlocks(capacityTokens / pomeloport::PrefixBlockTokens)
{
}

std::size_t PrefixCache::lookUp(const std::vector<std::uint64_t> &blocks)
{
    std::size_t hits = 0;
    for (const auto block : blocks) {
        const auto found = m_blocks.find(block);
        if (found == m_blocks.end()) {
            break;
        }
        m_byUse.splice(m_byUse.end(), m_byUse, found->second);
        ++hits;
    }
    return hits;
}

void PrefixCache::store(const std::vector<std::uint64_t> &blocks, std::size_t begin, std::size_t end)
{
    const auto last = std::min({end, blocks.size(), begin + m_capacityBlocks});
    for (std::size_t i = begin; i < last; ++i) {
        storeOne(blocks[i]);
    }
}

void PrefixCache::clear()
{
    m_byUse.clear();
    m_blocks.clear();
    m_events.clear();
    m_lastSequence = 0;
}

std::size_t PrefixCache::size() const
{
    return m_blocks.size();
}

std::vector<pomeloport::CacheEvent> PrefixCache::eventsSince(std::uint64_t sequence) const
{
    const auto first = std::ranges::upper_bound(m_events, sequence, {}, &pomeloport::CacheEvent::sequence);
    return {first, m_events.end()};
}

std::uint64_t PrefixCache::lastSequence() const
{
    return m_lastSequence;
}

void PrefixCache::storeOne(std::uint64_t block)
{
    const auto found = m_blocks.find(block);
    if (found != m_blocks.end()) {
        m_byUse.splice(m_byUse.end(), m_byUse, found->second);
        return;
    }
    if (m_blocks.size() >= m_capacityBlocks) {
        evictOldest();
    }
    m_blocks.emplace(block, m_byUse.insert(m_byUse.end(), block));
    log(block, true);
}

void PrefixCache::evictOldest()
{
    const auto oldest = m_byUse.front();
    m_byUse.pop_front();
    m_blocks.erase(oldest);
    log(oldest, false);
}

void PrefixCache::log(std::uint64_t block, bool stored)
{
    m_events.push_back({++m_lastSequence, block, stored});
    if (m_events.size() > MaximumKeptEvents) {
        m_events.pop_front();
    }
}

} // namespace pomelofake
