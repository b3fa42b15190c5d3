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

/// Reads load reports and cache events of the backend servers whose home this instance is. Runs on the context's only
/// thread.
class BackendPoller : public std::enable_shared_from_this<BackendPoller>
{
public:
    struct Handlers
    {
        std::function<void(const pomeloport::LoadReport &)> reported;
        std::function<void(const std::string &backend)> unreachable;
        std::function<void(const pomeloport::link::CacheUpdate &)> cacheChanged;
    };

    BackendPoller(std::shared_ptr<pomeloport::HttpClient> client,
                  pomeloport::PollLimits limits,
                  std::chrono::milliseconds timeout,
                  Handlers handlers);

    /// Replaces the servers to read: those whose home this instance is, and others of which only the cache events are
    /// read, less often.
    void setServers(const std::vector<pomeloport::BackendServer> &home,
                    const std::vector<pomeloport::BackendServer> &others);

    /// Starts the readings that are due; call every 20 ms or so.
    void tick(std::chrono::steady_clock::time_point now);

private:
    struct Server
    {
        pomeloport::BackendServer server;
        std::chrono::steady_clock::time_point nextPoll{};
        std::chrono::steady_clock::time_point nextEvents{};
        bool home = false;
        bool polling = false;
        std::uint64_t epoch = 0;
        std::uint64_t lastEvent = 0;
    };

    void pollLoad(Server &server);
    void loadAnswered(const std::string &name, const std::optional<pomeloport::HttpReply> &reply);
    void pollEvents(Server &server);
    void eventsAnswered(const std::string &name, const std::optional<pomeloport::HttpReply> &reply);

    std::shared_ptr<pomeloport::HttpClient> m_client;
    pomeloport::PollLimits m_limits;
    pomeloport::PollPlan m_plan;
    std::chrono::milliseconds m_timeout;
    Handlers m_handlers;
    std::map<std::string, Server> m_servers;
};

} // namespace pomelocontroller
