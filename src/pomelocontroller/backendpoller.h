#pragma once

#include "pomeloport/coordination/pollplan.h"
#include "pomeloport/protocol/enginemessages.h"
#include "pomeloport/protocol/linkmessages.h"
#include "pomeloport/state/declarations.h"
#include "pomeloport/transport/httpclient.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace pomelocontroller
{

/// Polls backend servers for load reports and cache events, from the instance that is their home. In small regions it
/// also polls the cache events of engines that have another home. Not thread safe: all calls and handlers run on the
/// context's single thread.
class BackendPoller : public std::enable_shared_from_this<BackendPoller>
{
public:
    struct Handlers
    {
        std::function<void(const pomeloport::LoadReport &)> reported;
        /// The load report could not be read, or it names another server.
        std::function<void(const std::string &backend)> unreachable;
        /// Blocks were stored in or evicted from an engine's cache.
        std::function<void(const pomeloport::link::CacheUpdate &)> cacheChanged;
    };

    BackendPoller(std::shared_ptr<pomeloport::HttpClient> client,
                  pomeloport::PollLimits limits,
                  std::chrono::milliseconds timeout,
                  Handlers handlers);

    /// Replaces the servers to poll. The load and cache events of home servers are polled. Of the others, only engines
    /// are polled, for their cache events alone and less often. Servers that keep their address keep their state.
    void setServers(const std::vector<pomeloport::BackendServer> &home,
                    const std::vector<pomeloport::BackendServer> &others);

    /// Starts the polls that are due. Call about every 50 ms.
    void tick(std::chrono::steady_clock::time_point now);

private:
    struct Server
    {
        pomeloport::BackendServer server;
        std::chrono::steady_clock::time_point nextPoll{};
        std::chrono::steady_clock::time_point nextEventsRead{};
        bool home = false;
        /// A request to the server is in flight.
        bool polling = false;
        /// Identifies the server process that numbers the cache events.
        std::uint64_t epoch = 0;
        /// Sequence number of the last cache event received.
        std::uint64_t lastEvent = 0;
    };

    void pollLoad(Server &server);
    void handleLoadReply(const std::string &name, const std::optional<pomeloport::HttpReply> &reply);
    void pollEvents(Server &server);
    void handleEventsReply(const std::string &name, const std::optional<pomeloport::HttpReply> &reply);

    std::shared_ptr<pomeloport::HttpClient> m_client;
    pomeloport::PollLimits m_limits;
    pomeloport::PollPlan m_plan;
    std::chrono::milliseconds m_timeout;
    Handlers m_handlers;
    std::map<std::string, Server> m_servers;
};

} // namespace pomelocontroller
