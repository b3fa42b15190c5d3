#include "controller.h"

#include "steadynow.h"

#include "pomeloport/coordination/rendezvous.h"
#include "pomeloport/logging.h"

#include <algorithm>

/// The controller's side of the link to its router and of the queries of other controllers.
namespace pomelocontroller
{

using namespace pomeloport;

namespace
{

/// Time between two snapshots without a cause, for each backend server and at least.
constexpr Duration SnapshotInterval = std::chrono::milliseconds(250);
constexpr Duration SnapshotPerBackend = std::chrono::milliseconds(2);
/// At most; routers stop admitting when they hear nothing for a few of these.
constexpr Duration MaximumSnapshotInterval = std::chrono::seconds(1);
/// Time for a router or a peer to answer a question.
constexpr std::chrono::milliseconds QueryTimeout{1'000};
/// Added to a request's deadline while a group is waited for.
constexpr std::chrono::milliseconds GroupGrace{500};
constexpr std::uint64_t GroupRetryMs = 500;

} // namespace

// The router.

void Controller::routerConnected()
{
    logEvent(LogLevel::Info, "router_connected");
    m_routerStatus = {};
    m_sentConfig = 0;
    for (const auto &[backend, blocks] : m_cache) {
        m_router->send(link::CacheUpdate{backend, true, {blocks.begin(), blocks.end()}, {}});
    }
    feed(controlevent::Tick{});
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

void Controller::routerSent(LinkMessage message)
{
    std::visit(
        [this](const auto &value) {
            if constexpr (requires { take(value); }) {
                take(value);
            }
        },
        message);
}

void Controller::take(const link::RouterStatus &status)
{
    m_routerStatus = status;
    updateLeaving(steadyNow());
}

void Controller::sendSnapshot(Instant now)
{
    m_snapshotWanted = false;
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
    update.snapshot.instances = m_plane.instances();
    update.snapshot.backends = m_backends.views(now);
    update.snapshot.admitting = m_plane.config().admitting() && m_configVersion != 0;
    update.declarationsIncluded = m_sentConfig != m_configVersion;
    if (update.declarationsIncluded) {
        update.snapshot.declarations = m_declarations;
    }
    m_groups.enginesChanged(std::make_shared<const Snapshot>(update.snapshot), now);
    if (m_router->send(update)) {
        m_sentConfig = m_configVersion;
    }
}

void Controller::take(const link::GroupReserve &request)
{
    const auto *coordinator = coordinatorOf(request.model);
    if (coordinator && coordinator->id == m_self) {
        m_groups.reserve(request, steadyNow(), [weak = weak_from_this()](const LinkMessage &answer) {
            if (const auto self = weak.lock()) {
                self->m_router->send(answer);
            }
        });
        return;
    }
    if (coordinator) {
        reserveAt(*coordinator, request);
        return;
    }
    m_router->send(link::GroupRefused{
        request.query, Verdict::NotRun, ReasonCode::GroupUnavailable, "no group coordinator", GroupRetryMs});
}

void Controller::reserveAt(const InstanceView &coordinator, const link::GroupReserve &request)
{
    const auto answered = [weak = weak_from_this(), request, asked = coordinator.id](const auto &reply) {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        const auto query = request.query;
        const auto *present = self->coordinatorOf(request.model);
        if (!reply && present && present->id != asked) {
            // The coordinator died; its successor knows nothing of the request.
            self->take(request);
            return;
        }
        if (auto granted = reply ? std::get_if<link::GroupGranted>(&*reply) : nullptr) {
            auto answer = *granted;
            answer.query = query;
            self->m_router->send(answer);
            return;
        }
        link::GroupRefused answer{
            query, Verdict::NotRun, ReasonCode::GroupUnavailable, "the group coordinator did not answer", GroupRetryMs};
        if (const auto *refused = reply ? std::get_if<link::GroupRefused>(&*reply) : nullptr) {
            answer = *refused;
            answer.query = query;
        }
        self->m_router->send(answer);
    };
    m_peers->query(
        coordinator.peerAddress, request, std::chrono::milliseconds(request.deadlineMs) + GroupGrace, answered);
}

void Controller::take(const link::GroupRelease &release)
{
    const auto *coordinator = coordinatorOf(release.model);
    if (!coordinator || coordinator->id == m_self) {
        m_groups.release(release, steadyNow());
    } else {
        m_peers->tell(coordinator->peerAddress, release);
    }
}

const InstanceView *Controller::coordinatorOf(const std::string &model) const
{
    return groupCoordinatorOf(model, m_settings.region, m_instances);
}

void Controller::take(const link::ClaimHolderQuery &query)
{
    askHolder(query, [weak = weak_from_this(), number = query.query](link::ClaimHolderReply reply) {
        if (const auto self = weak.lock()) {
            reply.query = number;
            self->m_router->send(reply);
        }
    });
}

void Controller::take(const link::LiveStreamsReply &reply)
{
    auto query = m_routerQueries.extract(reply.query);
    if (query && query.mapped().streams) {
        query.mapped().streams(reply);
    }
}

void Controller::take(const link::ClaimHolderReply &reply)
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

void Controller::askRouterStreams(link::LiveStreamsQuery query, LiveStreamsCallback callback)
{
    query.query = ++m_lastRouterQuery;
    if (!m_router->send(query)) {
        callback({});
        return;
    }
    m_routerQueries[query.query] = {steadyNow() + QueryTimeout, std::move(callback), {}};
}

void Controller::askRouterHolder(link::ClaimHolderQuery query, ClaimHolderCallback callback)
{
    query.query = ++m_lastRouterQuery;
    if (!m_router->send(query)) {
        callback({});
        return;
    }
    m_routerQueries[query.query] = {steadyNow() + QueryTimeout, {}, std::move(callback)};
}

// Peers.

void Controller::peerAsked(PeerMessage message, const PeerLinks::Responder &respond)
{
    if (std::holds_alternative<peer::ConfigFetch>(message)) {
        const auto &config = m_plane.config();
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
        askRouterStreams(*streams, [respond](const auto &reply) { respond(reply); });
    } else if (const auto *holder = std::get_if<link::ClaimHolderQuery>(&message)) {
        askRouterHolder(*holder, [respond](const auto &reply) { respond(reply); });
    }
}

void Controller::askOwner(const link::LiveStreamsQuery &query, LiveStreamsCallback callback)
{
    if (query.owner.instance == m_self.instance) {
        askRouterStreams(query, std::move(callback));
        return;
    }
    const auto *owner = m_plane.membership().find(query.owner.instance);
    if (!owner) {
        callback({});
        return;
    }
    if (isLongDead(query.owner.instance)) {
        probeRouter(owner->httpAddress, std::move(callback));
        return;
    }
    m_peers->query(owner->peerAddress, query, QueryTimeout, [callback = std::move(callback)](const auto &reply) {
        const auto *answer = reply ? std::get_if<link::LiveStreamsReply>(&*reply) : nullptr;
        callback(answer ? *answer : link::LiveStreamsReply{});
    });
}

/// Concludes that an owner is gone when its router, too, takes no connection. A router serves on without its
/// controller, whose silence alone proves nothing.
void Controller::probeRouter(const std::string &address, LiveStreamsCallback callback)
{
    HttpCall call{address, "GET", "/healthz", {}, {}, QueryTimeout};
    m_http->send(std::move(call), [callback = std::move(callback)](const auto &reply, bool sent) {
        link::LiveStreamsReply answer;
        answer.ownerGone = !reply && !sent;
        callback(answer);
    });
}

void Controller::askHolder(const link::ClaimHolderQuery &query, ClaimHolderCallback callback)
{
    if (query.holder.instance == m_self.instance) {
        askRouterHolder(query, std::move(callback));
        return;
    }
    const auto *holder = m_plane.membership().find(query.holder.instance);
    if (!holder) {
        callback({});
        return;
    }
    m_peers->query(holder->peerAddress, query, QueryTimeout, [callback = std::move(callback)](const auto &reply) {
        const auto *answer = reply ? std::get_if<link::ClaimHolderReply>(&*reply) : nullptr;
        callback(answer ? *answer : link::ClaimHolderReply{});
    });
}

} // namespace pomelocontroller
