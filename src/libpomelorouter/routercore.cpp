#include "routercore.h"

#include "controllerlink.h"
#include "requestsession.h"

#include "pomeloport/logging.h"

#include <algorithm>
#include <chrono>

namespace pomelorouter
{

namespace
{

using namespace pomeloport;

/// Interval at which a draining router checks whether it may exit.
constexpr std::chrono::milliseconds DrainCheckInterval{50};
/// Retry delay given to callers with a temporary refusal.
constexpr std::chrono::milliseconds RefusedRetryAfter{1000};

std::unique_ptr<PlatformClient> makePlatform(boost::asio::io_context &context, const RouterSettings &settings)
{
    if (settings.platform.empty()) {
        return nullptr;
    }
    return std::make_unique<PlatformClient>(context, settings.platform, settings.platformTimeout);
}

} // namespace

Instant monotonicNow()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

WallTime wallNow()
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

RouterCore::RouterCore(boost::asio::io_context &ioContext, RouterSettings routerSettings, std::uint64_t incarnation)
    : context(ioContext)
    , settings(std::move(routerSettings))
    , owner{settings.instance, incarnation}
    , snapshot(std::make_shared<const Snapshot>())
    , placement(incarnation ^ std::hash<std::string>{}(settings.instance))
    , client(ioContext)
    , platform(makePlatform(ioContext, settings))
    , metrics(settings.metricsOrganisations)
    , traces(settings.traceRequests)
    , m_drainTimer(ioContext)
{
}

void RouterCore::publish(std::shared_ptr<const Snapshot> next, Instant madeAt)
{
    const auto previous = snapshot.current();
    if (previous->configVersion != next->configVersion || previous->admitting != next->admitting) {
        logEvent(LogLevel::Info,
                 "snapshot_published",
                 {{"config_version", next->configVersion},
                  {"admitting", next->admitting},
                  {"instances", next->instances.size()},
                  {"backends", next->backends.size()}});
    }
    snapshot.publish(next);
    snapshotMadeAt = std::min(madeAt, monotonicNow()).time_since_epoch().count();
    placement.update(std::move(next), monotonicNow());
    notifyNextWaiting();
}

void RouterCore::notifyNextWaiting()
{
    const auto *waiting = placement.nextWaiting(monotonicNow());
    if (!waiting) {
        return;
    }
    if (const auto session = registry.find(waiting)) {
        session->capacityFreed();
    }
}

void RouterCore::requestEnded()
{
    --openRequests;
}

void RouterCore::drain()
{
    const auto current = snapshot.current();
    const auto discoveryLifetime = std::chrono::milliseconds(current->declarations.limits.discoveryLifetimeMs);
    {
        const std::lock_guard lock(m_drainMutex);
        if (m_drainPlan.started()) {
            return;
        }
        m_drainPlan.start(monotonicNow(),
                          discoveryLifetime,
                          settings.drainPropagation,
                          current->configVersion > 0,
                          settings.drainLimit);
    }
    logEvent(LogLevel::Info, "drain_started", {{"open_requests", openRequests.load()}});
    if (server) {
        server->closeAfterReply();
    }
    if (link) {
        link->sendStatus();
    }
    armDrainTimer();
}

void RouterCore::endDrain()
{
    const std::lock_guard lock(m_drainMutex);
    m_drainPlan.endAt(monotonicNow());
}

bool RouterCore::draining() const
{
    const std::lock_guard lock(m_drainMutex);
    return m_drainPlan.started();
}

bool RouterCore::snapshotStale() const
{
    const Instant madeAt{Duration{snapshotMadeAt.load()}};
    return link && monotonicNow() - madeAt > settings.controllerGrace;
}

std::optional<Failure> RouterCore::admissionRefusal() const
{
    {
        const std::lock_guard lock(m_drainMutex);
        if (!m_drainPlan.admits(monotonicNow())) {
            return Failure{Verdict::NotRun, ReasonCode::Stopping, "this instance is stopping", std::nullopt};
        }
    }
    if (!snapshot.current()->admitting || snapshotStale()) {
        return Failure{
            Verdict::NotRun, ReasonCode::NotAdmitting, "this instance is not admitting requests", RefusedRetryAfter};
    }
    if (openRequests >= settings.maximumOpenRequests) {
        return Failure{Verdict::NotRun,
                       ReasonCode::Overloaded,
                       "this instance has reached its limit of open requests",
                       RefusedRetryAfter};
    }
    return std::nullopt;
}

void RouterCore::armDrainTimer()
{
    m_drainTimer.expires_after(DrainCheckInterval);
    m_drainTimer.async_wait([weak = weak_from_this()](boost::system::error_code error) {
        const auto self = weak.lock();
        if (!error && self) {
            self->checkDrained();
        }
    });
}

void RouterCore::checkDrained()
{
    if (drained) {
        if (onDrained) {
            onDrained();
        }
        return;
    }
    const auto busy = server ? server->busyConnections() : 0;
    bool givesUp = false;
    {
        const std::lock_guard lock(m_drainMutex);
        const auto now = monotonicNow();
        drained = m_drainPlan.finished(now, registry.size() + busy);
        givesUp = !drained && m_drainPlan.givesUp(now);
    }
    if (givesUp) {
        giveUpRequests();
    }
    if (drained) {
        logEvent(LogLevel::Info, "drain_ended", {});
        if (link) {
            link->sendStatus();
        }
    }
    armDrainTimer();
}

/// Gives each open request its final answer.
void RouterCore::giveUpRequests()
{
    const auto sessions = registry.all();
    if (!sessions.empty()) {
        gaveUpRequests = true;
        logEvent(LogLevel::Warning, "giving_up", {{"open_requests", sessions.size()}});
    }
    for (const auto &session : sessions) {
        session->abandon(RefusedRetryAfter);
    }
}

double RouterCore::load() const
{
    const auto limit = static_cast<double>(std::max<std::uint64_t>(1, settings.maximumOpenRequests));
    return std::min(1.0, static_cast<double>(openRequests.load()) / limit);
}

std::string RouterCore::backendAddress(const std::string &name) const
{
    const auto current = snapshot.current();
    const auto found = std::ranges::find_if(
        current->backends, [&name](const BackendView &backend) { return backend.server.name == name; });
    return found == current->backends.end() ? std::string() : found->server.address;
}

} // namespace pomelorouter
