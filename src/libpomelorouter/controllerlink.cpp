#include "controllerlink.h"

#include "requestsession.h"
#include "routercore.h"

#include "pomeloport/lastreason.h"
#include "pomeloport/logging.h"

namespace pomelorouter
{

namespace
{

using namespace pomeloport;

constexpr std::chrono::seconds StatusInterval{1};

event::GroupRefused controllerUnreachable()
{
    return {{Verdict::NotRun,
             ReasonCode::GroupUnavailable,
             "the controller of this instance is unreachable",
             std::chrono::milliseconds(1000)}};
}

} // namespace

ControllerLink::ControllerLink(RouterCore &core)
    : m_core(core)
    , m_timer(core.context)
{
}

bool ControllerLink::start()
{
    const auto weak = weak_from_this();
    FramedHandlers handlers;
    handlers.opened = [weak](const std::shared_ptr<FramedConnection> &) {
        if (const auto self = weak.lock()) {
            self->opened();
        }
    };
    handlers.received = [weak](const std::shared_ptr<FramedConnection> &, const std::string &message) {
        if (const auto self = weak.lock()) {
            self->received(message);
        }
    };
    handlers.closed = [weak](const std::shared_ptr<FramedConnection> &) {
        if (const auto self = weak.lock()) {
            self->closed();
        }
    };
    const auto &settings = m_core.settings;
    m_client = FramedClient::start(m_core.context, settings.controller, settings.linkKey, {}, std::move(handlers));
    if (!m_client) {
        return false;
    }
    armStatusTimer();
    return true;
}

void ControllerLink::send(const LinkMessage &message)
{
    if (m_client) {
        m_client->send(encode(message));
    }
}

void ControllerLink::armStatusTimer()
{
    m_timer.expires_after(StatusInterval);
    m_timer.async_wait([weak = weak_from_this()](boost::system::error_code error) {
        const auto self = weak.lock();
        if (!error && self) {
            self->sendStatus();
            self->armStatusTimer();
        }
    });
}

void ControllerLink::sendStatus()
{
    link::RouterStatus status;
    status.routerIncarnation = m_core.owner.incarnation;
    status.openRequests = m_core.openRequests;
    status.load = m_core.load();
    status.draining = m_core.draining();
    status.drained = m_core.drained;
    send(status);
}

void ControllerLink::opened()
{
    logEvent(LogLevel::Info, "controller_connected", {});
    sendStatus();
}

/// Fails all pending queries, since their answers cannot arrive over a new connection.
void ControllerLink::closed()
{
    logEvent(LogLevel::Warning, "controller_disconnected", {});
    std::unordered_map<QueryId, GroupCallback> groups;
    std::unordered_map<QueryId, HolderCallback> holders;
    {
        const std::lock_guard lock(m_mutex);
        groups.swap(m_groupCallbacks);
        holders.swap(m_holderCallbacks);
    }
    for (const auto &[query, callback] : groups) {
        callback(controllerUnreachable());
    }
    for (const auto &[query, callback] : holders) {
        callback(link::ClaimHolderState::Unreachable);
    }
}

void ControllerLink::reserveGroup(link::GroupReserve message, GroupCallback callback)
{
    {
        const std::lock_guard lock(m_mutex);
        message.query = ++m_lastQueryId;
        m_groupCallbacks.emplace(message.query, std::move(callback));
    }
    if (!m_client || !m_client->send(encode(LinkMessage(message)))) {
        completeGroupQuery(message.query, controllerUnreachable());
    }
}

void ControllerLink::releaseGroup(link::GroupRelease message)
{
    send(std::move(message));
}

void ControllerLink::askHolder(link::ClaimHolderQuery message, HolderCallback callback)
{
    {
        const std::lock_guard lock(m_mutex);
        message.query = ++m_lastQueryId;
        m_holderCallbacks.emplace(message.query, std::move(callback));
    }
    if (!m_client || !m_client->send(encode(LinkMessage(message)))) {
        completeHolderQuery(message.query, link::ClaimHolderState::Unreachable);
    }
}

void ControllerLink::completeGroupQuery(QueryId query, FlowEvent event)
{
    GroupCallback callback;
    {
        const std::lock_guard lock(m_mutex);
        auto found = m_groupCallbacks.extract(query);
        if (!found) {
            return;
        }
        callback = std::move(found.mapped());
    }
    callback(std::move(event));
}

void ControllerLink::completeHolderQuery(QueryId query, link::ClaimHolderState state)
{
    HolderCallback callback;
    {
        const std::lock_guard lock(m_mutex);
        auto found = m_holderCallbacks.extract(query);
        if (!found) {
            return;
        }
        callback = std::move(found.mapped());
    }
    callback(state);
}

void ControllerLink::received(const std::string &bytes)
{
    auto message = decodeLinkMessage(bytes);
    if (!message) {
        logEvent(LogLevel::Warning, "link_message_rejected", {{"reason", lastReason()}});
        return;
    }
    std::visit(
        [this](auto &value) {
            if constexpr (requires { handle(value); }) {
                handle(value);
            }
        },
        *message);
}

void ControllerLink::handle(link::SnapshotUpdate &message)
{
    const Instant madeAt{Duration{message.madeAtUs}};
    auto snapshot = m_assembler.apply(std::move(message), monotonicNow());
    if (!snapshot) {
        logEvent(LogLevel::Warning, "snapshot_rejected", {{"reason", lastReason()}});
        return;
    }
    m_core.publish(std::move(snapshot), madeAt);
}

void ControllerLink::handle(const link::CacheUpdate &message)
{
    m_assembler.apply(message);
}

void ControllerLink::handle(const link::GroupGranted &message)
{
    event::GroupGranted granted;
    granted.route.reservation = message.reservation;
    for (const auto &member : message.members) {
        granted.route.members.push_back({member.backend, member.segmentBegin, member.segmentEnd});
    }
    completeGroupQuery(message.query, std::move(granted));
}

void ControllerLink::handle(const link::GroupRefused &message)
{
    event::GroupRefused refused{{message.verdict, message.reason, message.detail, std::nullopt}};
    if (message.retryAfterMs > 0) {
        refused.failure.retryAfter = std::chrono::milliseconds(message.retryAfterMs);
    }
    completeGroupQuery(message.query, std::move(refused));
}

void ControllerLink::handle(const link::LiveStreamsQuery &message)
{
    link::LiveStreamsReply reply;
    reply.query = message.query;
    reply.answered = message.owner.instance == m_core.owner.instance;
    reply.ownerGone = reply.answered && message.owner.incarnation < m_core.owner.incarnation;
    if (reply.answered && message.owner == m_core.owner) {
        reply.live = m_core.registry.open(message.sequences);
    }
    send(reply);
}

void ControllerLink::handle(const link::ClaimHolderQuery &message)
{
    const auto holder = parseStreamAddress(message.token);
    link::ClaimHolderReply reply;
    reply.query = message.query;
    if (!holder || holder->owner.instance != m_core.owner.instance) {
        send(reply);
        return;
    }
    if (holder->owner.incarnation < m_core.owner.incarnation) {
        reply.state = link::ClaimHolderState::Gone;
        send(reply);
        return;
    }
    const auto session = m_core.registry.find(holder->sequence);
    if (!session) {
        reply.state = link::ClaimHolderState::Uncertain;
        send(reply);
        return;
    }
    session->queryClaimState([weak = weak_from_this(), reply](link::ClaimHolderState state) mutable {
        if (const auto self = weak.lock()) {
            reply.state = state;
            self->send(reply);
        }
    });
}

void ControllerLink::handle(const link::ClaimHolderReply &message)
{
    completeHolderQuery(message.query, message.state);
}

void ControllerLink::handle(const link::Drain &message)
{
    if (message.requested) {
        m_core.drain();
    }
}

} // namespace pomelorouter
