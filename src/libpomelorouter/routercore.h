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

/// What the parts of one router share.
namespace pomelorouter
{

class ControllerLink;

/// Reads the monotonic clock.
pomeloport::Instant monotonicNow();

/// Reads the calendar clock.
pomeloport::WallTime wallNow();

/// State shared by the HTTP interface, the sessions and the link. Members are safe from any thread, except where said.
struct RouterCore : std::enable_shared_from_this<RouterCore>
{
    RouterCore(boost::asio::io_context &ioContext, RouterSettings routerSettings, std::uint64_t incarnation);

    /// Publishes a snapshot to the request path; its age counts from the time at which the controller made it.
    void publish(std::shared_ptr<const pomeloport::Snapshot> next, pomeloport::Instant madeAt);

    /// Tells the request that should get freed capacity first.
    void wakeNext();

    /// Notes that a request ended.
    void requestEnded();

    /// Starts leaving; see Router::drain().
    void drain();

    /// Whether a drain has started.
    bool draining() const;

    /// Why no request is admitted now; empty when requests are admitted.
    std::optional<pomeloport::Failure> admissionRefusal() const;

    /// Whether the controller has been silent for longer than the settings allow beyond its
    /// usual interval, so that the snapshot may be stale.
    bool snapshotStale() const;

    /// Open requests over the limit, 0 to 1.
    double load() const;

    /// The address of a backend server; empty when unknown.
    std::string backendAddress(const std::string &name) const;

    boost::asio::io_context &context;
    const RouterSettings settings;
    /// Owner of this router's streams and claims.
    const pomeloport::OwnerId owner;
    pomeloport::Published<pomeloport::Snapshot> snapshot;
    pomeloport::Placement placement;
    pomeloport::HttpClient client;
    std::unique_ptr<pomeloport::PlatformClient> platform;
    RequestMetrics metrics;
    TraceRing traces;
    RequestRegistry registry;
    /// When the last snapshot was made, as a count of the monotonic clock; 0 before.
    std::atomic<pomeloport::Duration::rep> snapshotAt{0};
    /// Set before requests arrive; null without a controller.
    std::shared_ptr<ControllerLink> link;
    std::shared_ptr<pomeloport::HttpServer> server;
    std::atomic<std::uint64_t> nextSequence{1};
    std::atomic<std::uint64_t> openRequests{0};
    /// Whether the last call to the platform's store was answered.
    std::atomic<bool> storeHealthy{true};
    /// Whether the drain has ended.
    std::atomic<bool> drained{false};
    std::function<void()> onDrained;

private:
    void armDrainTimer();
    void checkDrained();

    mutable std::mutex m_drainMutex;
    DrainPlan m_drainPlan;
    boost::asio::steady_timer m_drainTimer;
};

} // namespace pomelorouter
