#include "controller.h"

#include "steadynow.h"

#include "pomeloport/coordination/rendezvous.h"
#include "pomeloport/logging.h"

#include <algorithm>

/// The parts of Controller that exchange messages with the instance's router and with other controllers.
namespace pomelocontroller
{

using namespace pomeloport;

namespace
{

/// Shortest interval between periodic snapshots. Changes request snapshots in between.
constexpr Duration SnapshotInterval = std::chrono::milliseconds(250);
/// The interval grows with the number of backend servers, as snapshots do.
constexpr Duration SnapshotPerBackend = std::chrono::milliseconds(2);
/// Upper bound of the interval. Routers stop admitting when they receive no snapshot for a few times this long.
constexpr Duration MaximumSnapshotInterval = std::chrono::seconds(1);
/// Time for the router or a peer to answer a query.
constexpr std::chrono::milliseconds QueryTimeout{1'000};
/// Added to the request's deadline when waiting for a remote coordinator, so that its refusal at the deadline still
/// arrives.
constexpr std::chrono::milliseconds GroupGrace{500};
constexpr std::uint64_t GroupRetryMs = 500;

} // namespace

// The router.

void Controller::routerConnected()
{
    logEvent(LogLevel::Info, "router_connected");
    m_routerStatus = {};
    m_sentConfigVersion = 0;
    for (const auto &[backend, blocks] : m_cachedBlocks) {
        m_routerLink->send(link::CacheUpdate{backend, true, {blocks.begin(), blocks.end()}, {}});
    }
    handleEvent(controlevent::Tick{});
    sendSnapshot(steadyNow());
}

void Controller::routerLost()
{
    logEvent(LogLevel::Warning, "router_lost");
    m_routerLostAt = steadyNow();
    for (auto &[number, query] : m_routerQueries) {
        query.deadline = {};
    }
    expireRouterQueries(steadyNow());
}

void Controller::routerMessageReceived(LinkMessage message)
{
    std::visit(
        [this](const auto &value) {
            if constexpr (requires { handleRouterMessage(value); }) {
                handleRouterMessage(value);
            }
        },
        message);
}

void Controller::handleRouterMessage(const link::RouterStatus &status)
{
    m_routerStatus = status;
    updateLeaving(steadyNow());
}

void Controller::sendSnapshot(Instant now)
{
    m_snapshotRequested = false;
    m_lastSnapshot = now;
    const auto backends = static_cast<int>(m_backends.servers().size());
    m_nextSnapshot =
        now + std::clamp<Duration>(SnapshotPerBackend * backends, SnapshotInterval, MaximumSnapshotInterval);
    link::SnapshotUpdate update;
    update.madeAtUs = now.time_since_epoch().count();
    update.snapshot.self = m_self;
    update.snapshot.region = m_settings.region;
    update.snapshot.failureDomain = m_settings.failureDomain;
    update.snapshot.configVersion = m_configVersion;
    update.snapshot.instances = m_controlPlane.instances();
    update.snapshot.backends = m_backends.views(now);
    update.snapshot.admitting = m_controlPlane.config().admitting() && m_configVersion != 0;
    update.declarationsIncluded = m_sentConfigVersion != m_configVersion;
    if (update.declarationsIncluded) {
        update.snapshot.declarations = m_declarations;
    }
    m_groups.enginesChanged(std::make_shared<const Snapshot>(update.snapshot), now);
    if (m_routerLink->send(update)) {
        m_sentConfigVersion = m_configVersion;
    }
}

void Controller::handleRouterMessage(const link::GroupReserve &request)
{
    const auto *coordinator = coordinatorOf(request.model);
    if (coordinator && coordinator->id == m_self) {
        m_groups.reserve(request, steadyNow(), [weak = weak_from_this()](const LinkMessage &answer) {
            if (const auto self = weak.lock()) {
                self->m_routerLink->send(answer);
            }
        });
        return;
    }
    if (coordinator) {
        forwardReserve(*coordinator, request);
        return;
    }
    m_routerLink->send(link::GroupRefused{
        request.query, Verdict::NotRun, ReasonCode::GroupUnavailable, "no group coordinator", GroupRetryMs});
}

void Controller::forwardReserve(const InstanceView &coordinator, const link::GroupReserve &request)
{
    const auto answered = [weak = weak_from_this(), request, askedCoordinator = coordinator.id](const auto &reply) {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        const auto query = request.query;
        const auto *current = self->coordinatorOf(request.model);
        if (!reply && current && current->id != askedCoordinator) {
            // Another instance has become the coordinator and has not received the request: send it there.
            self->handleRouterMessage(request);
            return;
        }
        if (auto granted = reply ? std::get_if<link::GroupGranted>(&*reply) : nullptr) {
            auto answer = *granted;
            answer.query = query;
            self->m_routerLink->send(answer);
            return;
        }
        link::GroupRefused answer{
            query, Verdict::NotRun, ReasonCode::GroupUnavailable, "the group coordinator did not answer", GroupRetryMs};
        if (const auto *refused = reply ? std::get_if<link::GroupRefused>(&*reply) : nullptr) {
            answer = *refused;
            answer.query = query;
        }
        self->m_routerLink->send(answer);
    };
    m_peerLinks->query(
        coordinator.peerAddress, request, std::chrono::milliseconds(request.deadlineMs) + GroupGrace, answered);
}

void Controller::handleRouterMessage(const link::GroupRelease &release)
{
    const auto *coordinator = coordinatorOf(release.model);
    if (!coordinator || coordinator->id == m_self) {
        m_groups.release(release, steadyNow());
    } else {
        m_peerLinks->notify(coordinator->peerAddress, release);
    }
}

const InstanceView *Controller::coordinatorOf(const std::string &model) const
{
    return groupCoordinatorOf(model, m_settings.region, m_instances);
}

void Controller::handleRouterMessage(const link::ClaimHolderQuery &query)
{
    queryClaimHolder(query, [weak = weak_from_this(), number = query.query](link::ClaimHolderReply reply) {
        if (const auto self = weak.lock()) {
            reply.query = number;
            self->m_routerLink->send(reply);
        }
    });
}

void Controller::handleRouterMessage(const link::LiveStreamsReply &reply)
{
    auto query = m_routerQueries.extract(reply.query);
    if (query && query.mapped().streams) {
        query.mapped().streams(reply);
    }
}

void Controller::handleRouterMessage(const link::ClaimHolderReply &reply)
{
    auto query = m_routerQueries.extract(reply.query);
    if (query && query.mapped().holder) {
        query.mapped().holder(reply);
    }
}

void Controller::expireRouterQueries(Instant now)
{
    std::vector<RouterQuery> expired;
    for (auto query = m_routerQueries.begin(); query != m_routerQueries.end();) {
        if (query->second.deadline <= now) {
            expired.push_back(std::move(query->second));
            query = m_routerQueries.erase(query);
        } else {
            ++query;
        }
    }
    for (const auto &query : expired) {
        if (query.streams) {
            query.streams({});
        }
        if (query.holder) {
            query.holder({});
        }
    }
}

void Controller::queryRouterStreams(link::LiveStreamsQuery query, LiveStreamsCallback callback)
{
    query.query = ++m_lastRouterQuery;
    if (!m_routerLink->send(query)) {
        callback({});
        return;
    }
    m_routerQueries[query.query] = {steadyNow() + QueryTimeout, std::move(callback), {}};
}

void Controller::queryRouterClaimHolder(link::ClaimHolderQuery query, ClaimHolderCallback callback)
{
    query.query = ++m_lastRouterQuery;
    if (!m_routerLink->send(query)) {
        callback({});
        return;
    }
    m_routerQueries[query.query] = {steadyNow() + QueryTimeout, {}, std::move(callback)};
}

// Peers.

void Controller::handlePeerMessage(PeerMessage message, const PeerLinks::Responder &respond)
{
    if (std::holds_alternative<peer::ConfigFetch>(message)) {
        const auto &config = m_controlPlane.config();
        peer::ConfigFetched reply{0, config.version(), config.token(), {}};
        if (config.yaml()) {
            reply.yaml = *config.yaml();
        }
        respond(std::move(reply));
    } else if (const auto *reserve = std::get_if<link::GroupReserve>(&message)) {
        m_groups.reserve(*reserve, steadyNow(), [respond](const LinkMessage &answer) {
            if (const auto *granted = std::get_if<link::GroupGranted>(&answer)) {
                respond(*granted);
            } else if (const auto *refused = std::get_if<link::GroupRefused>(&answer)) {
                respond(*refused);
            }
        });
    } else if (const auto *release = std::get_if<link::GroupRelease>(&message)) {
        m_groups.release(*release, steadyNow());
    } else if (const auto *streams = std::get_if<link::LiveStreamsQuery>(&message)) {
        queryRouterStreams(*streams, [respond](const auto &reply) { respond(reply); });
    } else if (const auto *holder = std::get_if<link::ClaimHolderQuery>(&message)) {
        queryRouterClaimHolder(*holder, [respond](const auto &reply) { respond(reply); });
    }
}

void Controller::askOwner(const link::LiveStreamsQuery &query, LiveStreamsCallback callback)
{
    if (query.owner.instance == m_self.instance) {
        queryRouterStreams(query, std::move(callback));
        return;
    }
    const auto *owner = m_controlPlane.membership().find(query.owner.instance);
    if (!owner) {
        callback({});
        return;
    }
    if (isPresumedGone(query.owner.instance)) {
        probeRouter(owner->httpAddress, std::move(callback));
        return;
    }
    m_peerLinks->query(owner->peerAddress, query, QueryTimeout, [callback = std::move(callback)](const auto &reply) {
        const auto *answer = reply ? std::get_if<link::LiveStreamsReply>(&*reply) : nullptr;
        callback(answer ? *answer : link::LiveStreamsReply{});
    });
}

/// Reports an owner as gone only if its router does not accept a connection either. An unresponsive controller proves
/// nothing, since the router continues to serve streams without it.
void Controller::probeRouter(const std::string &address, LiveStreamsCallback callback)
{
    HttpCall call{address, "GET", "/healthz", {}, {}, QueryTimeout};
    m_http->send(std::move(call), [callback = std::move(callback)](const auto &reply, bool sent) {
        link::LiveStreamsReply answer;
        answer.ownerGone = !reply && !sent;
        callback(answer);
    });
}

void Controller::queryClaimHolder(const link::ClaimHolderQuery &query, ClaimHolderCallback callback)
{
    if (query.holder.instance == m_self.instance) {
        queryRouterClaimHolder(query, std::move(callback));
        return;
    }
    const auto *holder = m_controlPlane.membership().find(query.holder.instance);
    if (!holder) {
        callback({});
        return;
    }
    m_peerLinks->query(holder->peerAddress, query, QueryTimeout, [callback = std::move(callback)](const auto &reply) {
        const auto *answer = reply ? std::get_if<link::ClaimHolderReply>(&*reply) : nullptr;
        callback(answer ? *answer : link::ClaimHolderReply{});
    });
}

} // namespace pomelocontroller
