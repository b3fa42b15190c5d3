#pragma once

#include "pomelorouter/routersettings.h"

#include "pomeloport/state/snapshot.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

/// The router: callers' and operators' HTTP interface, admission, routing and streams.
namespace pomelorouter
{

struct RouterCore;

/// One router. Safe from any thread.
class Router
{
public:
    /// Listens and connects to the controller. The incarnation names this start of the process. Returns null, with a
    /// last reason, when an address cannot be used. The context must outlive the router.
    static std::shared_ptr<Router> start(boost::asio::io_context &context,
                                         const RouterSettings &settings,
                                         std::uint64_t incarnation);

    ~Router();
    Router(const Router &) = delete;
    Router &operator=(const Router &) = delete;

    /// The address listened on.
    std::string address() const;

    /// Makes a snapshot current. The link to the controller calls it for every update.
    void publish(std::shared_ptr<const pomeloport::Snapshot> snapshot);

    /// Leaves discovery, serves on until callers' cached answers have run out and all requests have ended, and then
    /// calls the handler once. Repeated calls have no effect but for the first one's handler.
    void drain();

    /// Sets what drain() calls at its end. Call before drain().
    void onDrained(std::function<void()> handler);

    /// Requests admitted and not ended.
    std::uint64_t openRequests() const;

private:
    explicit Router(std::shared_ptr<RouterCore> core);

    std::shared_ptr<RouterCore> m_core;
};

} // namespace pomelorouter
