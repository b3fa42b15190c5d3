#include "decisions/placementdetail.h"

#include <cstdint>
#include <string>
#include <unordered_map>

/// The part of EntryPlacement that knows what backend servers leave unread.
namespace pomeloentry
{

namespace
{

constexpr std::size_t MaximumListedServers = 100;

} // namespace

std::optional<UnreadRequests::Change> EntryPlacement::requestWaits(const CallWork &work,
                                                                   std::uint32_t attempt,
                                                                   std::uint32_t server,
                                                                   std::size_t bytes,
                                                                   Instant now)
{
    const std::lock_guard lock(m_mutex);
    return m_unread.setWaiting(detail::itemKey(work, attempt), server, bytes, now);
}

/// Whether the servers that the call may be sent to leave so much unread that none gets a new request. They may go on
/// reading at any time or not at all, so the call does not wait for that.
bool EntryPlacement::noServerReads(const CallWork &work) const
{
    const auto found = m_services.find(work.service);
    if (found == m_services.end()) {
        return false;
    }
    std::size_t unread = 0;
    for (std::size_t i = 0; i < found->second.backends.size(); ++i) {
        const auto *backend = found->second.backends[i];
        if (backend->leaving || !work.regions.permits(backend->failureDomain)) {
            continue;
        }
        if (m_unread.permits(found->second.keys[i])) {
            return false;
        }
        ++unread;
    }
    return unread > 0;
}

std::string EntryPlacement::unreadMetricsText() const
{
    const std::lock_guard lock(m_mutex);
    std::string out = "# HELP pomelo_server_unread_bytes Bytes of requests that wait since a backend server does not "
                      "read them.\n# TYPE pomelo_server_unread_bytes gauge\n";
    const auto waiting = m_unread.waiting();
    if (waiting.empty()) {
        return out;
    }
    std::unordered_map<std::uint32_t, const std::string *> names;
    for (const auto &[name, backend] : m_state->backends) {
        names.emplace(backendKey(backend), &name);
    }
    std::size_t listed = 0;
    for (const auto &[key, bytes] : waiting) {
        const auto found = names.find(key);
        if (found == names.end()) {
            continue;
        }
        out += "pomelo_server_unread_bytes{server=\"" + *found->second + "\"} " + std::to_string(bytes) + "\n";
        if (++listed == MaximumListedServers) {
            break;
        }
    }
    return out;
}

} // namespace pomeloentry
