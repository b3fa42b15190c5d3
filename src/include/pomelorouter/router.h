#pragma once

#include "pomelorouter/routersettings.h"

#include "pomeloport/state/snapshot.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

/// The router process: HTTP interfaces of callers and operators, admission, routing and streaming of answers.
namespace pomelorouter
{

struct RouterCore;

/// One router. Thread-safe.
class Router
{
public:
    /// Starts listening and connects to the controller. The incarnation identifies this start of the process. Returns
    /// null and sets the last reason if an address cannot be used. The context must outlive the router.
    static std::shared_ptr<Router> start(boost::asio::io_context &context,
                                         const RouterSettings &settings,
                                         std::uint64_t incarnation);

    ~Router();
    Router(const Router &) = delete;
    Router &operator=(const Router &) = delete;

    /// The address "IP:port" that the router listens on.
    std::string address() const;

    /// Replaces the current snapshot and counts it as made now. For routers without a controller; a controller's
    /// snapshots arrive over the link.
    void publish(std::shared_ptr<const pomeloport::Snapshot> snapshot);

    /// Starts a drain: leaves discovery, keeps admitting requests until discovery answers cached by callers have
    /// expired, waits until all requests have ended, and then calls the onDrained() handler once. Later calls have no
    /// effect.
    void drain();

    /// Ends a drain that has started: requests that are still open get a failure with a true verdict, and the
    /// onDrained() handler follows once these are written, about 300 ms later at the latest.
    void endDrain();

    /// Sets the handler that is called when the drain has ended. Call it before drain().
    void onDrained(std::function<void()> handler);

    /// Whether requests were given up because the drain ended before them.
    bool gaveUpRequests() const;

    /// Number of requests that were admitted and have not ended.
    std::uint64_t openRequests() const;

private:
    explicit Router(std::shared_ptr<RouterCore> core);

    std::shared_ptr<RouterCore> m_core;
};

} // namespace pomelorouter
