#include "backendpoller.h"

#include <algorithm>

namespace pomelocontroller
{

using namespace pomeloport;

namespace
{

constexpr unsigned StatusOk = 200;
/// Maximum size of the events of an engine, which after a restart name all blocks of its cache. One reply of each
/// engine is received at a time.
constexpr std::size_t MaximumEventsBytes = 16 * 1024 * 1024;

} // namespace

BackendPoller::BackendPoller(std::shared_ptr<HttpClient> client,
                             PollLimits limits,
                             std::chrono::milliseconds timeout,
                             Handlers handlers)
    : m_client(std::move(client))
    , m_limits(limits)
    , m_plan(pollPlan(limits, 0))
    , m_timeout(timeout)
    , m_handlers(std::move(handlers))
{
}

void BackendPoller::setServers(const std::vector<BackendServer> &home, const std::vector<BackendServer> &others)
{
    m_plan = pollPlan(m_limits, home.size());
    auto previous = std::exchange(m_servers, {});
    const auto addServer = [&](const BackendServer &server, bool isHome) {
        const auto known = previous.find(server.name);
        auto &entry = m_servers[server.name];
        if (known != previous.end() && known->second.server.address == server.address) {
            entry = std::move(known->second);
        }
        entry.server = server;
        if (isHome && !entry.home) {
            entry.nextPoll = {};
        }
        entry.home = isHome;
    };
    for (const auto &server : home) {
        addServer(server, true);
    }
    for (const auto &server : others) {
        if (server.kind == BackendKind::Engine) {
            addServer(server, false);
        }
    }
}

void BackendPoller::tick(std::chrono::steady_clock::time_point now)
{
    for (auto &[name, server] : m_servers) {
        if (server.polling || now < server.nextPoll) {
            continue;
        }
        server.polling = true;
        server.nextPoll = now + (server.home ? m_plan.load : m_plan.events * NonHomeEventIntervalFactor);
        if (server.home) {
            pollLoad(server);
        } else {
            pollEvents(server);
        }
    }
}

void BackendPoller::pollLoad(Server &server)
{
    HttpCall call{server.server.address, "GET", "/v1/load", {}, {}, m_timeout};
    m_client->send(std::move(call), [weak = weak_from_this(), name = server.server.name](auto reply, bool) {
        if (const auto self = weak.lock()) {
            self->handleLoadReply(name, reply);
        }
    });
}

void BackendPoller::handleLoadReply(const std::string &name, const std::optional<HttpReply> &reply)
{
    const auto found = m_servers.find(name);
    if (found == m_servers.end()) {
        return;
    }
    auto report = reply && reply->status == StatusOk ? decodeLoadReport(reply->body) : std::nullopt;
    if (!report || report->engine != name) {
        found->second.polling = false;
        m_handlers.unreachable(name);
        return;
    }
    m_handlers.reported(*report);
    const auto now = std::chrono::steady_clock::now();
    if (found->second.server.kind == BackendKind::Engine && now >= found->second.nextEventsRead) {
        found->second.nextEventsRead = now + m_plan.events;
        pollEvents(found->second);
    } else {
        found->second.polling = false;
    }
}

void BackendPoller::pollEvents(Server &server)
{
    const auto target = "/v1/events?since=" + std::to_string(server.lastEvent);
    HttpCall call{server.server.address, "GET", target, {}, {}, m_timeout, MaximumEventsBytes};
    m_client->send(std::move(call), [weak = weak_from_this(), name = server.server.name](auto reply, bool) {
        if (const auto self = weak.lock()) {
            self->handleEventsReply(name, reply);
        }
    });
}

void BackendPoller::handleEventsReply(const std::string &name, const std::optional<HttpReply> &reply)
{
    const auto found = m_servers.find(name);
    if (found == m_servers.end()) {
        return;
    }
    auto &server = found->second;
    server.polling = false;
    const auto events = reply && reply->status == StatusOk ? decodeCacheEvents(reply->body) : std::nullopt;
    if (!events) {
        return;
    }
    link::CacheUpdate update;
    update.backend = name;
    update.reset = events->epoch != server.epoch;
    if (update.reset && server.lastEvent != 0) {
        // The server has restarted and numbers its events anew: clear its blocks and read from the first event.
        server.epoch = events->epoch;
        server.lastEvent = 0;
        m_handlers.cacheChanged(update);
        return;
    }
    server.epoch = events->epoch;
    server.lastEvent = std::max(server.lastEvent, events->lastSequence);
    std::map<std::uint64_t, bool> storedByBlock;
    for (const auto &event : events->events) {
        storedByBlock[event.block] = event.stored;
    }
    for (const auto &[block, stored] : storedByBlock) {
        (stored ? update.added : update.removed).push_back(block);
    }
    if (update.reset || !update.added.empty() || !update.removed.empty()) {
        m_handlers.cacheChanged(update);
    }
}

} // namespace pomelocontroller
