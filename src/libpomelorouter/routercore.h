#pragma once

#include "drainplan.h"
#include "requestregistry.h"
#include "tracering.h"

#include "pomelorouter/requestmetrics.h"
#include "pomelorouter/routersettings.h"

#include "pomeloport/coordination/placement.h"
#include "pomeloport/state/published.h"
#include "pomeloport/state/snapshot.h"
#include "pomeloport/transport/httpclient.h"
#include "pomeloport/transport/httpserver.h"
#include "pomeloport/transport/platformclient.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

/// State shared by the parts of one router.
namespace pomelorouter
{

class ControllerLink;

/// Reads the monotonic clock.
pomeloport::Instant monotonicNow();

/// Reads the wall clock.
pomeloport::WallTime wallNow();

/// State shared by the HTTP interface, the sessions and the controller link. Members are thread-safe unless noted.
struct RouterCore : std::enable_shared_from_this<RouterCore>
{
    RouterCore(boost::asio::io_context &ioContext, RouterSettings routerSettings, std::uint64_t incarnation);

    /// Publishes a snapshot to request handling. Its staleness counts from madeAt, when the controller made it, and at
    /// the latest from now.
    void publish(std::shared_ptr<const pomeloport::Snapshot> next, pomeloport::Instant madeAt);

    /// Notifies the waiting request that is first in line for freed capacity, if any.
    void notifyNextWaiting();

    /// Counts an open request as ended.
    void requestEnded();

    /// Starts a drain; see Router::drain().
    void drain();

    /// Ends a drain that has started; see Router::endDrain().
    void endDrain();

    /// Whether a drain has started.
    bool draining() const;

    /// Returns the failure for new requests while none are admitted; empty if requests are admitted.
    std::optional<pomeloport::Failure> admissionRefusal() const;

    /// Whether the snapshot is older than RouterSettings::controllerGrace and so may be stale. False without a
    /// controller.
    bool snapshotStale() const;

    /// Open requests as a fraction of their limit, 0 to 1.
    double load() const;

    /// Returns the address of a backend server; empty if the snapshot does not list it.
    std::string backendAddress(const std::string &name) const;

    boost::asio::io_context &context;
    const RouterSettings settings;
    /// The owner ID in the addresses of this router's streams and claims.
    const pomeloport::OwnerId owner;
    pomeloport::Published<pomeloport::Snapshot> snapshot;
    pomeloport::Placement placement;
    pomeloport::HttpClient client;
    std::unique_ptr<pomeloport::PlatformClient> platform;
    RequestMetrics metrics;
    TraceRing traces;
    RequestRegistry registry;
    /// When the last snapshot was made, as a count of the monotonic clock; 0 before the first one.
    std::atomic<pomeloport::Duration::rep> snapshotMadeAt{0};
    /// Set before the server starts; null without a controller.
    std::shared_ptr<ControllerLink> link;
    std::shared_ptr<pomeloport::HttpServer> server;
    std::atomic<std::uint64_t> nextSequence{1};
    std::atomic<std::uint64_t> openRequests{0};
    /// Whether the store was available at the last call; decides how claims are acquired.
    std::atomic<bool> storeHealthy{true};
    /// Whether the drain has ended.
    std::atomic<bool> drained{false};
    /// Whether requests were given up at the end of the drain.
    std::atomic<bool> gaveUpRequests{false};
    std::function<void()> onDrained;

private:
    void armDrainTimer();
    void checkDrained();
    void giveUpRequests();

    mutable std::mutex m_drainMutex;
    DrainPlan m_drainPlan;
    boost::asio::steady_timer m_drainTimer;
};

} // namespace pomelorouter
