#include "pomeloentry/knowledge/storeoutage.h"

#include <algorithm>

namespace pomeloentry
{

namespace
{

/// Entries that expired during an outage of the store are written again within about two seconds of its return, and
/// instances learn of that a moment later: after the pause between two watches, or from peers.
constexpr Duration LapseGracePeriod = std::chrono::milliseconds(2250);
/// Failures with shorter pauses are one outage. A failure further back than this explains no missing entries unless the
/// store is known to have returned later.
constexpr Duration OutageMemory = std::chrono::milliseconds(4000);
/// Shorter outages let no entry expire, since its owner misses one heartbeat at most.
constexpr Duration MinimumOutage = std::chrono::milliseconds(500);

} // namespace

void StoreOutage::answered(Instant now)
{
    if (isOpen()) {
        m_returned = now - m_lastFailure <= OutageMemory ? now : m_lastFailure;
    }
    m_answers.push_back(now);
    while (now - m_answers.front() > OutageMemory) {
        m_answers.pop_front();
    }
}

void StoreOutage::failed(Instant from, Instant until)
{
    const bool continues = m_lastFailure != Instant{} && from - m_lastFailure <= OutageMemory;
    m_began = continues ? std::min(m_began, from) : from;
    if (until <= m_lastFailure) {
        return;
    }
    m_lastFailure = until;
    const auto answer = std::ranges::upper_bound(m_answers, until);
    m_returned = answer == m_answers.end() ? std::nullopt : std::optional(*answer);
}

bool StoreOutage::isOpen() const
{
    return m_lastFailure != Instant{} && !m_returned;
}

Instant StoreOutage::removalTime(Instant now) const
{
    if (m_lastFailure == Instant{} || (isOpen() && now - m_lastFailure > OutageMemory)) {
        return now;
    }
    const auto returned = m_returned.value_or(now);
    return returned - m_began < MinimumOutage ? now : std::max(now, returned + LapseGracePeriod);
}

Instant StoreOutage::lastFailure() const
{
    return m_lastFailure;
}

} // namespace pomeloentry
