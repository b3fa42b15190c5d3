#include "pomeloentry/decisions/servernotices.h"

#include <algorithm>

namespace pomeloentry
{

namespace
{

/// Part of a pause by which it is extended at most, and the maximum extension.
constexpr double ExtensionShare = 0.125;
constexpr Duration MaximumExtension = std::chrono::milliseconds(500);
/// Answers after which a server that was paused gets requests as before.
constexpr std::uint32_t AnswersToReturn = 4;
/// Requests that each answer permits during the return.
constexpr std::uint32_t RequestsPerAnswer = 2;
/// A server that is returning gets another request if the last one has no answer for this long.
constexpr Duration ReturnProbeInterval = std::chrono::seconds(1);
/// Wrong values of one server are reported at most once in this time.
constexpr Duration WrongValueInterval = std::chrono::seconds(10);

} // namespace

ServerNotices::ServerNotices(double spread)
    : m_spread(spread)
{
}

bool ServerNotices::isLeaving(const State &state, Instant now)
{
    return state.leavingHeardAt != Instant{} && now - state.leavingHeardAt <= MaximumAge;
}

bool ServerNotices::isExpired(const State &state, Instant now)
{
    return !isLeaving(state, now) && now >= state.pausedUntil && now >= state.discouragedUntil
        && (!state.returning || now - state.pausedUntil > MaximumAge)
        && now - state.wrongReportedAt > WrongValueInterval;
}

/// Returns the state of a server, a new one if none is known; null if there are too many to remember another one.
ServerNotices::State *ServerNotices::stateFor(std::uint32_t server, Instant now)
{
    if (const auto found = m_servers.find(server); found != m_servers.end()) {
        return &found->second;
    }
    if (m_servers.size() >= MaximumServers) {
        std::erase_if(m_servers, [now](const auto &entry) { return isExpired(entry.second, now); });
    }
    return m_servers.size() < MaximumServers ? &m_servers[server] : nullptr;
}

ServerNotices::Change ServerNotices::heard(std::uint32_t server,
                                           const ServerNotice &notice,
                                           NoticeSource source,
                                           Instant now)
{
    auto *state = notice.empty() ? nullptr : stateFor(server, now);
    if (!state) {
        return Change::None;
    }
    state->isOwn = state->isOwn || source == NoticeSource::Answer;
    auto change = Change::None;
    if (notice.pause && *notice.pause > Duration::zero()) {
        change = pause(*state, std::min(*notice.pause, MaximumAge), source, now);
    }
    if (notice.leaving) {
        change = isLeaving(*state, now) ? change : Change::Leaves;
        state->leavingHeardAt = now;
    }
    return change;
}

ServerNotices::Change ServerNotices::pause(State &state, Duration pause, NoticeSource source, Instant now) const
{
    if (source != NoticeSource::Answer) {
        const bool isNew = now >= state.discouragedUntil && now >= state.pausedUntil;
        state.discouragedUntil = std::max(state.discouragedUntil, now + pause);
        return isNew ? Change::Pauses : Change::None;
    }
    const auto extension =
        std::min(MaximumExtension, pomeloport::fromSeconds(pomeloport::seconds(pause) * ExtensionShare));
    const auto until = now + pause + pomeloport::fromSeconds(pomeloport::seconds(extension) * m_spread);
    const bool isNew = now >= state.pausedUntil;
    if (until > state.pausedUntil) {
        state.pausedUntil = until;
        state.returning = true;
        state.sentSince = 0;
        state.answeredSince = 0;
    }
    return isNew ? Change::Pauses : Change::None;
}

ServerNotices::Standing ServerNotices::standing(std::uint32_t server, Instant now) const
{
    const auto found = m_servers.find(server);
    if (found == m_servers.end()) {
        return Standing::Open;
    }
    const auto &state = found->second;
    if (isLeaving(state, now)) {
        return Standing::Leaving;
    }
    if (now < state.pausedUntil) {
        return Standing::Paused;
    }
    if (state.returning) {
        const bool mayProbe = now - state.lastSent > ReturnProbeInterval;
        const bool permitted = mayProbe || state.sentSince < 1 + RequestsPerAnswer * state.answeredSince;
        return permitted ? Standing::Open : Standing::Returning;
    }
    return now < state.discouragedUntil ? Standing::Discouraged : Standing::Open;
}

bool ServerNotices::mayGetRequests(std::uint32_t server, Instant now) const
{
    const auto found = m_servers.find(server);
    return found == m_servers.end() || (!isLeaving(found->second, now) && now >= found->second.pausedUntil);
}

void ServerNotices::sent(std::uint32_t server, Instant now)
{
    const auto found = m_servers.find(server);
    if (found != m_servers.end() && found->second.returning && now >= found->second.pausedUntil) {
        ++found->second.sentSince;
        found->second.lastSent = now;
    }
}

bool ServerNotices::answered(std::uint32_t server, Instant now)
{
    const auto found = m_servers.find(server);
    if (found == m_servers.end() || !found->second.returning || now < found->second.pausedUntil
        || found->second.sentSince == 0) {
        return false;
    }
    found->second.returning = ++found->second.answeredSince < AnswersToReturn;
    return !found->second.returning;
}

std::optional<Instant> ServerNotices::pausedUntil(std::uint32_t server, Instant now) const
{
    const auto found = m_servers.find(server);
    return found != m_servers.end() && now < found->second.pausedUntil ? std::optional(found->second.pausedUntil)
                                                                       : std::nullopt;
}

bool ServerNotices::reportsWrongValue(std::uint32_t server, Instant now)
{
    auto *state = stateFor(server, now);
    if (!state || (state->wrongReportedAt != Instant{} && now - state->wrongReportedAt <= WrongValueInterval)) {
        return false;
    }
    state->wrongReportedAt = now;
    return true;
}

std::vector<NoticeMessage> ServerNotices::messages(Instant now)
{
    std::vector<NoticeMessage> all;
    for (const auto &[server, state] : m_servers) {
        const bool isPaused = now < state.pausedUntil;
        if (!state.isOwn || (!isLeaving(state, now) && !isPaused)) {
            continue;
        }
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(state.pausedUntil - now).count();
        all.push_back({server, isLeaving(state, now), isPaused ? static_cast<std::uint32_t>(left) : 0});
    }
    std::ranges::sort(all, {}, &NoticeMessage::server);
    std::vector<NoticeMessage> result;
    for (std::size_t i = 0; i < std::min(all.size(), MaximumMessages); ++i) {
        result.push_back(all[m_rotation++ % all.size()]);
    }
    return result;
}

ServerNotices::Counts ServerNotices::counts(Instant now) const
{
    Counts result;
    for (const auto &[server, state] : m_servers) {
        result.leaving += isLeaving(state, now) ? 1 : 0;
        result.paused += now < state.pausedUntil ? 1 : 0;
    }
    return result;
}

void ServerNotices::expire(Instant now)
{
    std::erase_if(m_servers, [now](const auto &entry) { return isExpired(entry.second, now); });
}

} // namespace pomeloentry
