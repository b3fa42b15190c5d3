#include "engineowner.h"

#include "steadynow.h"

#include "pomeloport/coordination/pollplan.h"
#include "pomeloport/logging.h"
#include "pomeloport/protocol/enginemessages.h"

#include <set>

namespace pomelocontroller
{

using namespace pomeloport;

namespace
{

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusConflict = 409;

OrderResult resultOf(const std::optional<HttpReply> &reply, bool sent)
{
    if (!reply) {
        return sent ? OrderResult::Lost : OrderResult::Refused;
    }
    if (reply->status == StatusOk) {
        return OrderResult::Accepted;
    }
    const auto refusal = reply->status == StatusConflict ? decodeRefusal(reply->body) : std::nullopt;
    if (refusal && refusal->code == RefusalCode::Fenced) {
        return OrderResult::Fenced;
    }
    return OrderResult::Refused;
}

} // namespace

EngineOwner::EngineOwner(OwnerId self,
                         std::string region,
                         Limits limits,
                         std::shared_ptr<HttpClient> client,
                         std::shared_ptr<PlatformClient> platform,
                         AskOwner askOwner)
    : m_self(self)
    , m_limits(limits)
    , m_client(std::move(client))
    , m_platform(std::move(platform))
    , m_askOwner(std::move(askOwner))
    , m_leases(std::move(self), std::move(region), limits.lease)
    , m_orders(limits.order)
    , m_sweep(limits.sweep)
{
}

void EngineOwner::setServers(const std::vector<BackendServer> &servers,
                             std::size_t fleetEngines,
                             double loadsPerMinute,
                             Instant now)
{
    std::set<std::string> engines;
    std::vector<EngineTarget> targets;
    auto previous = std::exchange(m_servers, {});
    for (const auto &server : servers) {
        m_servers[server.name] = server;
        m_sweepStates.try_emplace(server.name, SweepState{now + m_limits.sweepInterval, false});
        previous.erase(server.name);
        if (server.kind == BackendKind::Engine) {
            engines.insert(server.name);
            targets.push_back({server.name, server.load, "general", server.checksFencing});
        }
    }
    for (const auto &[name, server] : previous) {
        m_sweep.forget(name);
        m_sweepStates.erase(name);
    }
    m_leases.setHomeEngines(std::move(engines));
    m_orders.setTargets(std::move(targets), fleetEngines, loadsPerMinute, now);
}

void EngineOwner::reported(const LoadReport &report, Instant now)
{
    m_orders.reported(report, now);
}

void EngineOwner::tick(Instant now)
{
    advanceLeases(now);
    advanceOrders(now);
    advanceSweeps(now);
}

void EngineOwner::stop()
{
    m_leases.stop();
}

bool EngineOwner::released() const
{
    return m_leases.released();
}

void EngineOwner::advanceLeases(Instant now)
{
    if (m_leaseCallInFlight) {
        return;
    }
    const auto call = m_leases.advance(now);
    if (!call) {
        return;
    }
    m_leaseCallInFlight = true;
    m_platform->call(*call, [weak = weak_from_this()](const StoreReply &reply) {
        if (const auto self = weak.lock()) {
            self->m_leaseCallInFlight = false;
            self->m_leases.answered(reply, steadyNow());
            self->advanceLeases(steadyNow());
        }
    });
}

void EngineOwner::advanceOrders(Instant now)
{
    const auto permit = [this](const EngineTarget &target, Instant at) {
        return m_leases.orderFencingNumber(target.engine, target.checksFencing, at);
    };
    for (const auto &order : m_orders.advance(permit, now)) {
        sendOrder(order);
    }
}

void EngineOwner::sendOrder(const OrderToSend &order)
{
    const auto server = m_servers.find(order.engine);
    if (server == m_servers.end()) {
        return;
    }
    logEvent(LogLevel::Info,
             "order_sent",
             {{"engine", order.engine}, {"fencing", order.order.fencingNumber}, {"items", order.order.load.size()}});
    HttpCall call{server->second.address, "POST", "/v1/orders", encode(order.order), {}, m_limits.callTimeout};
    m_client->send(std::move(call), [weak = weak_from_this(), engine = order.engine](auto reply, bool sent) {
        if (const auto self = weak.lock()) {
            self->m_orders.answered(engine, resultOf(reply, sent), steadyNow());
        }
    });
}

void EngineOwner::advanceSweeps(Instant now)
{
    for (auto &[name, sweep] : m_sweepStates) {
        if (!sweep.reading && now >= sweep.nextAt) {
            sweep.reading = true;
            readHoldings(m_servers.at(name));
        }
    }
}

void EngineOwner::readHoldings(const BackendServer &server)
{
    HttpCall call{server.address, "GET", "/v1/holdings", {}, {}, m_limits.callTimeout};
    m_client->send(std::move(call), [weak = weak_from_this(), name = server.name](auto reply, bool) {
        const auto self = weak.lock();
        const auto known = self ? self->m_sweepStates.find(name) : std::map<std::string, SweepState>::iterator{};
        if (!self || known == self->m_sweepStates.end()) {
            return;
        }
        const auto interval = pollPlan({.holdings = self->m_limits.sweepInterval}, self->m_sweepStates.size()).holdings;
        known->second = {steadyNow() + interval, false};
        auto holdings = reply && reply->status == StatusOk ? decodeEngineHoldings(reply->body) : std::nullopt;
        if (holdings && holdings->engine == name) {
            self->handleSweepEvent(sweepevent::HoldingsRead{std::move(*holdings)});
        }
    });
}

void EngineOwner::handleSweepEvent(const SweepEvent &event)
{
    for (const auto &action : m_sweep.handle(event, steadyNow())) {
        execute(action);
    }
}

void EngineOwner::execute(const SweepAction &action)
{
    if (const auto *ask = std::get_if<sweepaction::AskOwner>(&action)) {
        m_askOwner(ask->query, [weak = weak_from_this(), query = ask->query.query](const auto &reply) {
            if (const auto self = weak.lock()) {
                auto numbered = reply;
                numbered.query = query;
                self->handleSweepEvent(sweepevent::OwnerAnswered{std::move(numbered)});
            }
        });
    } else if (const auto *cancel = std::get_if<sweepaction::CancelStream>(&action)) {
        const auto address = toString(cancel->stream);
        logEvent(LogLevel::Info, "orphan_cancelled", {{"engine", cancel->engine}, {"stream", address}});
        callServer(cancel->engine, "POST", "/v1/cancel", R"({"stream":")" + address + "\"}");
    } else if (const auto *blob = std::get_if<sweepaction::FreeBlob>(&action)) {
        logEvent(LogLevel::Info, "orphan_freed", {{"engine", blob->engine}, {"blob", blob->blob}});
        callServer(blob->engine, "DELETE", "/v1/kv/" + blob->blob, {});
    }
}

void EngineOwner::callServer(const std::string &name,
                             const char *method,
                             const std::string &target,
                             const std::string &body)
{
    const auto server = m_servers.find(name);
    if (server != m_servers.end()) {
        HttpCall call{server->second.address, method, target, body, {}, m_limits.callTimeout};
        m_client->send(std::move(call), [](const auto &, bool) {});
    }
}

} // namespace pomelocontroller
