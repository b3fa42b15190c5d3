#include "pomeloentry/decisions/unreadrequests.h"

#include <algorithm>

namespace pomeloentry
{

UnreadRequests::UnreadRequests(std::size_t limit)
    : m_limit(limit)
{
}

std::optional<UnreadRequests::Change> UnreadRequests::setWaiting(std::uint64_t attempt,
                                                                 std::uint32_t server,
                                                                 std::size_t bytes,
                                                                 Instant now)
{
    auto &entry = m_servers[server];
    auto &attemptBytes = entry.attempts[attempt];
    entry.bytes += bytes - attemptBytes;
    attemptBytes = bytes;
    if (bytes == 0) {
        entry.attempts.erase(attempt);
    }
    std::optional<Change> change;
    if (!entry.excludedSince && m_limit > 0 && entry.bytes > m_limit) {
        entry.excludedSince = now;
        change = Change{true, entry.bytes, Duration::zero()};
    } else if (entry.excludedSince && entry.bytes <= m_limit / 2) {
        change = Change{false, entry.bytes, now - *entry.excludedSince};
        entry.excludedSince.reset();
    }
    if (entry.attempts.empty()) {
        m_servers.erase(server);
    }
    return change;
}

bool UnreadRequests::permits(std::uint32_t server) const
{
    const auto found = m_servers.find(server);
    return found == m_servers.end() || !found->second.excludedSince;
}

std::vector<UnreadRequests::Waiting> UnreadRequests::waiting() const
{
    std::vector<Waiting> result;
    for (const auto &[server, entry] : m_servers) {
        result.push_back({server, entry.bytes});
    }
    std::ranges::sort(result, std::ranges::greater{}, &Waiting::bytes);
    return result;
}

} // namespace pomeloentry
