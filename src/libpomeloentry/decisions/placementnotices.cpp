#include "pomeloentry/decisions/entryplacement.h"

#include "pomeloentry/decisions/evacuation.h"

#include <algorithm>

/// The part of EntryPlacement that keeps what backend servers say of themselves.
namespace pomeloentry
{

using pomeloport::Route;

namespace
{

/// Number of servers that the metrics page lists by name.
constexpr std::size_t MaximumListedServers = 100;

} // namespace

std::size_t EntryPlacement::usableServers(const ServiceView &service, Instant now) const
{
    std::size_t result = 0;
    for (std::size_t i = 0; i < service.backends.size(); ++i) {
        const bool leaves = service.backends[i]->leaving
            || m_notices.standing(service.keys[i], now) == ServerNotices::Standing::Leaving;
        result += leaves ? 0 : 1;
    }
    return result;
}

bool EntryPlacement::isEvacuatedServer(const std::string &backend) const
{
    const auto found = m_state->backends.find(backend);
    return found != m_state->backends.end() && isEvacuated(*m_state, found->second);
}

std::optional<Instant> EntryPlacement::commonPauseEnd(const CallWork &work, Instant now) const
{
    const auto found = m_services.find(work.service);
    std::optional<Instant> result;
    for (std::size_t i = 0; found != m_services.end() && i < found->second.backends.size(); ++i) {
        const auto key = found->second.keys[i];
        const auto standing = m_notices.standing(key, now);
        if (found->second.backends[i]->leaving || standing == ServerNotices::Standing::Leaving
            || !work.regions.permits(found->second.backends[i]->failureDomain)) {
            continue;
        }
        const auto end = m_notices.pausedUntil(key, now);
        if (!end) {
            return std::nullopt;
        }
        result = result ? std::min(*result, *end) : *end;
    }
    return result;
}

bool EntryPlacement::running(Instant now)
{
    const std::lock_guard lock(m_mutex);
    return m_freshness.running(now);
}

void EntryPlacement::evacuationsAnswered(Instant askedAt)
{
    const std::lock_guard lock(m_mutex);
    m_freshness.answered(askedAt);
}

bool EntryPlacement::knowsEvacuations(Instant now) const
{
    const std::lock_guard lock(m_mutex);
    return m_freshness.maySend(now);
}

EntryPlacement::NoticeOutcome EntryPlacement::noticed(std::uint32_t server,
                                                      const ServerNotice &notice,
                                                      NoticeSource source,
                                                      Instant now)
{
    NoticeOutcome result;
    {
        const std::lock_guard lock(m_mutex);
        result.change = m_notices.heard(server, notice, source, now);
        if (notice.cold > Duration::zero()) {
            m_pace.heardCold(server, notice.cold, now);
        }
        result.pausedUntil = m_notices.pausedUntil(server, now);
    }
    if (result.change != ServerNotices::Change::None && source == NoticeSource::Answer) {
        reportChange(WorkChange::Notice);
    }
    return result;
}

bool EntryPlacement::reportsWrongNotice(std::uint32_t server, Instant now)
{
    const std::lock_guard lock(m_mutex);
    return m_notices.reportsWrongValue(server, now);
}

std::vector<NoticeMessage> EntryPlacement::noticeMessages(Instant now)
{
    const std::lock_guard lock(m_mutex);
    return m_notices.messages(now);
}

std::string EntryPlacement::nameOf(std::uint32_t server) const
{
    const std::lock_guard lock(m_mutex);
    const auto service = m_serviceByKey.find(server);
    if (service == m_serviceByKey.end()) {
        return {};
    }
    const auto &view = m_services.at(service->second);
    const auto position = static_cast<std::size_t>(std::ranges::find(view.keys, server) - view.keys.begin());
    if (position < view.backends.size()) {
        return view.backends[position]->id;
    }
    const auto evacuated = std::ranges::find_if(
        m_state->backends, [server](const auto &entry) { return backendKey(entry.second) == server; });
    return evacuated == m_state->backends.end() ? std::string() : evacuated->first;
}

bool EntryPlacement::mayBeSent(const Route &route, Instant now) const
{
    const std::lock_guard lock(m_mutex);
    const auto permits = [this, now](const std::string &backend) {
        const auto key = keyOf(backend);
        return !isEvacuatedServer(backend) && (key == 0 || m_notices.mayGetRequests(key, now));
    };
    return m_freshness.maySend(now) && permits(route.members.front().backend)
        && std::ranges::all_of(route.helpers, [&permits](const auto &helper) { return permits(helper.backend); });
}

std::string EntryPlacement::noticeMetricsText(Instant now) const
{
    const std::lock_guard lock(m_mutex);
    const auto counts = m_notices.counts(now);
    std::string out = "# HELP pomelo_servers_leaving Backend servers that said that they leave.\n"
                      "# TYPE pomelo_servers_leaving gauge\npomelo_servers_leaving "
        + std::to_string(counts.leaving)
        + "\n# HELP pomelo_servers_paused Backend servers that want no requests for a time.\n"
          "# TYPE pomelo_servers_paused gauge\npomelo_servers_paused "
        + std::to_string(counts.paused)
        + "\n# HELP pomelo_server_pause_seconds Remaining time for which a backend server wants no requests.\n"
          "# TYPE pomelo_server_pause_seconds gauge\n";
    std::size_t listed = 0;
    for (const auto &[id, backend] : m_state->backends) {
        const auto until = m_notices.pausedUntil(backendKey(backend), now);
        if (until && listed++ < MaximumListedServers) {
            out += "pomelo_server_pause_seconds{server=\"" + id + "\"} "
                + std::to_string(pomeloport::seconds(*until - now)) + "\n";
        }
    }
    return out;
}

} // namespace pomeloentry
