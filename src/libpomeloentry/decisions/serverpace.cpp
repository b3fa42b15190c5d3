#include "pomeloentry/decisions/serverpace.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace pomeloentry
{

namespace
{

/// Standings that are remembered at most. With more changes the share is that of an unknown standing.
constexpr std::size_t MaximumStandings = 32;
/// Changes that are remembered for the log at most.
constexpr std::size_t MaximumEvents = 64;

void dropOld(std::deque<Instant> &times, Instant now)
{
    while (!times.empty() && now - times.front() > ServerPace::LimitWindow) {
        times.pop_front();
    }
}

std::size_t recent(const std::deque<Instant> &times, Instant now)
{
    return static_cast<std::size_t>(
        std::ranges::count_if(times, [now](Instant at) { return now - at <= ServerPace::LimitWindow; }));
}

} // namespace

ServerPace::ServerPace(const PacePolicy &policy)
    : m_policy(policy)
{
}

std::uint32_t ServerPace::coldLimit(double rate) const
{
    // Zero would mean that there is no limit.
    const double limit = std::max(1.0, rate * m_policy.coldRateFactor + m_policy.coldRateMargin);
    return rate > 0 ? static_cast<std::uint32_t>(limit) : 0;
}

ServerPace::Server *ServerPace::find(std::uint32_t server)
{
    const auto found = m_servers.find(server);
    return found == m_servers.end() ? nullptr : &found->second;
}

const ServerPace::Server *ServerPace::find(std::uint32_t server) const
{
    const auto found = m_servers.find(server);
    return found == m_servers.end() ? nullptr : &found->second;
}

void ServerPace::record(std::uint32_t server, Step step, double size)
{
    if (m_events.size() >= MaximumEvents) {
        m_events.erase(m_events.begin());
    }
    m_events.push_back({server, step, static_cast<std::uint32_t>(size)});
}

void ServerPace::list(const std::vector<ListedServer> &servers, Instant now)
{
    std::erase_if(m_listedAt, [now](const auto &entry) { return now - entry.second > Memory; });
    if (!m_firstListed && !servers.empty()) {
        m_firstListed = now;
    }
    const bool isFirstList = !m_firstListed || now - *m_firstListed <= FirstListTime;
    auto previous = std::exchange(m_servers, {});
    m_servers.reserve(servers.size());
    for (const auto &listed : servers) {
        const bool isNew = m_listedAt.insert_or_assign(listed.key, now).second;
        const auto known = previous.find(listed.key);
        auto &server = m_servers[listed.key];
        if (known != previous.end()) {
            server = std::move(known->second);
            previous.erase(known);
        }
        server.slots = std::max(listed.slots, 1U);
        server.coldLimit = listed.coldLimit;
        auto remaining = listed.coldRemaining;
        if (!remaining && isNew && !isFirstList) {
            remaining = listed.coldTime;
        }
        if (remaining && *remaining > Duration::zero()) {
            setColdUntil(listed.key, server, listed.learnedAt + *remaining, isNew, now);
        }
        const bool isLimited = server.coldLimit > 0 && now < server.coldUntil;
        if (isNew && !isFirstList && !isLimited && m_policy.enabled) {
            beginWindow(listed.key, server);
        }
    }
    // A server that is not listed for a moment stays cold.
    for (auto &[key, server] : previous) {
        if (server.coldLimit > 0 && now < server.coldUntil) {
            m_servers.emplace(key, std::move(server));
        }
    }
    recount(now);
}

void ServerPace::setColdUntil(std::uint32_t key, Server &server, Instant until, bool isNew, Instant now)
{
    if (now >= until || until <= server.coldUntil) {
        return;
    }
    if (now >= server.coldUntil && server.coldLimit > 0) {
        record(key, Step::Cold, server.coldLimit);
        server.blockedUntil = isNew ? Instant{} : now + LimitWindow;
    }
    server.coldUntil = until;
    server.lastColdUntil = until;
}

void ServerPace::heardCold(std::uint32_t server, Duration remaining, Instant now)
{
    if (auto *found = find(server)) {
        setColdUntil(server, *found, now + remaining, false, now);
        recount(now);
    }
}

/// Counts the servers for which a limit or a window may hold, and ends the cold time of those that are warm again.
void ServerPace::recount(Instant now)
{
    m_active = 0;
    for (auto &[key, server] : m_servers) {
        if (server.coldLimit > 0 && server.coldUntil != Instant{} && now >= server.coldUntil) {
            server.coldUntil = Instant{};
            server.ownSends.clear();
            server.allSends.clear();
            record(key, Step::Warm, 0);
        }
        m_active += server.window > 0 || (server.coldLimit > 0 && now < server.coldUntil) ? 1 : 0;
    }
}

void ServerPace::setSenders(const SenderStanding &standing, Instant now)
{
    std::erase_if(m_formerStandings, [now](const auto &former) { return now - former.replacedAt > ShareDelay; });
    if (standing == m_standing) {
        return;
    }
    // An instance that has just started has kept to the smaller share of an unknown standing for long enough.
    if (m_standing.known) {
        m_formerStandings.push_back({m_standing, now});
    }
    if (m_formerStandings.size() > MaximumStandings) {
        auto unknown = m_standing;
        unknown.known = false;
        m_formerStandings.erase(m_formerStandings.begin());
        m_formerStandings.back() = {unknown, now};
    }
    m_standing = standing;
}

bool ServerPace::isIdle() const
{
    return m_active == 0;
}

bool ServerPace::isLimited(std::uint32_t server, Instant now) const
{
    const auto *found = find(server);
    return found && found->coldLimit > 0 && now < found->coldUntil;
}

bool ServerPace::wasCold(std::uint32_t server, Instant at) const
{
    const auto *found = find(server);
    return found && at < found->lastColdUntil;
}

bool ServerPace::isPaced(std::uint32_t server) const
{
    const auto *found = find(server);
    return found && found->window > 0;
}

bool ServerPace::limitPermits(std::uint32_t server, Instant now) const
{
    if (!isLimited(server, now)) {
        return true;
    }
    const auto &state = m_servers.at(server);
    if (now < state.blockedUntil || recent(state.allSends, now) >= state.coldLimit) {
        return false;
    }
    auto share = limitShare(m_standing, server, state.coldLimit);
    for (const auto &former : m_formerStandings) {
        if (now - former.replacedAt <= ShareDelay) {
            share = std::min(share, limitShare(former.standing, server, state.coldLimit));
        }
    }
    return recent(state.ownSends, now) < share;
}

bool ServerPace::windowPermits(std::uint32_t server, std::size_t inFlight, Instant now) const
{
    const auto *found = find(server);
    return !found || found->window <= 0 || static_cast<double>(inFlight) < std::floor(found->window)
        || now - found->lastSent >= ProbeInterval;
}

bool ServerPace::sent(std::uint32_t server, Instant now)
{
    auto *found = find(server);
    if (!found) {
        return true;
    }
    if (!limitPermits(server, now)) {
        return false;
    }
    found->lastSent = now;
    if (isLimited(server, now)) {
        found->ownSends.push_back(now);
        found->allSends.push_back(now);
        dropOld(found->ownSends, now);
        dropOld(found->allSends, now);
    }
    return true;
}

void ServerPace::sentElsewhere(std::uint32_t server, Instant at, Instant now)
{
    auto *found = find(server);
    if (!found) {
        return;
    }
    found->lastSent = std::max(found->lastSent, at);
    if (isLimited(server, now)) {
        found->allSends.push_back(at);
        dropOld(found->allSends, now);
    }
}

void ServerPace::answered(std::uint32_t server, Duration taken, Duration predicted, Instant now)
{
    auto *found = find(server);
    if (!found || found->window <= 0) {
        return;
    }
    const auto latest = pomeloport::fromSeconds(pomeloport::seconds(predicted) * m_policy.lateFactor) + LateMargin;
    if (predicted > Duration::zero() && taken > latest) {
        halveWindow(server, *found, now);
    } else {
        growWindow(server, *found);
    }
}

void ServerPace::answeredElsewhere(std::uint32_t server)
{
    auto *found = find(server);
    if (found && found->window > 0) {
        growWindow(server, *found);
    }
}

void ServerPace::failed(std::uint32_t server, Instant now)
{
    auto *found = find(server);
    if (found && found->window > 0) {
        halveWindow(server, *found, now);
    }
}

void ServerPace::recovered(std::uint32_t server, Instant now)
{
    auto *found = find(server);
    if (found && m_policy.enabled && found->window <= 0 && !isLimited(server, now)) {
        beginWindow(server, *found);
        recount(now);
    }
}

void ServerPace::beginWindow(std::uint32_t key, Server &server)
{
    server.window = std::max(1.0, std::floor(server.slots * m_policy.initialShare));
    server.halvedAt = Instant{};
    if (server.window >= server.slots) {
        server.window = 0;
        return;
    }
    record(key, Step::Begin, server.window);
}

void ServerPace::growWindow(std::uint32_t key, Server &server)
{
    server.window += 1;
    if (server.window >= server.slots) {
        server.window = 0;
        // A server that is cold stays counted for its limit.
        m_active -= server.coldLimit > 0 && server.coldUntil != Instant{} ? 0 : 1;
        record(key, Step::End, server.slots);
    }
}

void ServerPace::halveWindow(std::uint32_t key, Server &server, Instant now)
{
    if (server.halvedAt != Instant{} && now - server.halvedAt < HalvingInterval) {
        return;
    }
    server.halvedAt = now;
    server.window = std::max(1.0, std::floor(server.window / 2));
    record(key, Step::Halved, server.window);
}

ServerPace::Counts ServerPace::counts(Instant now) const
{
    Counts result;
    for (const auto &[key, server] : m_servers) {
        result.cold += now < server.coldUntil ? 1 : 0;
        result.paced += server.window > 0 ? 1 : 0;
    }
    return result;
}

std::vector<ServerPace::Event> ServerPace::takeEvents(Instant now)
{
    if (m_active > 0) {
        recount(now);
    }
    return std::exchange(m_events, {});
}

} // namespace pomeloentry
