#pragma once

#include "pomeloport/coordination/leases.h"
#include "pomeloport/coordination/orders.h"
#include "pomeloport/coordination/orphansweep.h"
#include "pomeloport/state/declarations.h"
#include "pomeloport/transport/httpclient.h"
#include "pomeloport/transport/platformclient.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pomelocontroller
{

/// Cares for the engines whose home this instance is: keeps the leases on them, orders their models and frees memory
/// that no live owner needs. Runs on the context's only thread.
class EngineOwner : public std::enable_shared_from_this<EngineOwner>
{
public:
    /// Asks the owner of streams, wherever it is, and passes its answer on.
    using AskOwner = std::function<void(const pomeloport::link::LiveStreamsQuery &,
                                        std::function<void(const pomeloport::link::LiveStreamsReply &)>)>;

    /// Times of this part.
    struct Limits
    {
        pomeloport::LeaseLimits lease;
        pomeloport::OrderLimits order;
        pomeloport::SweepLimits sweep;
        std::chrono::milliseconds sweepInterval{5000};
        std::chrono::milliseconds callTimeout{1000};
    };

    EngineOwner(pomeloport::OwnerId self,
                std::string region,
                Limits limits,
                std::shared_ptr<pomeloport::HttpClient> client,
                std::shared_ptr<pomeloport::PlatformClient> platform,
                AskOwner askOwner);

    /// Replaces the servers to care for.
    void setServers(const std::vector<pomeloport::BackendServer> &servers,
                    std::size_t fleetEngines,
                    double loadsPerMinute,
                    pomeloport::Instant now);

    /// Takes what an engine reports.
    void reported(const pomeloport::LoadReport &report, pomeloport::Instant now);

    /// Does what is due; call every 50 ms or so.
    void tick(pomeloport::Instant now);

    /// Gives the leases back.
    void stop();

    /// Whether the leases were given back.
    bool released() const;

private:
    struct Sweep
    {
        pomeloport::Instant nextAt{};
        bool reading = false;
    };

    void advanceLeases(pomeloport::Instant now);
    void advanceOrders(pomeloport::Instant now);
    void sendOrder(const pomeloport::OrderToSend &order);
    void advanceSweeps(pomeloport::Instant now);
    void readHoldings(const pomeloport::BackendServer &server);
    void sweep(const pomeloport::SweepEvent &event);
    void carryOut(const pomeloport::SweepAction &action);
    void callServer(const std::string &name, const char *method, const std::string &target, const std::string &body);

    pomeloport::OwnerId m_self;
    Limits m_limits;
    std::shared_ptr<pomeloport::HttpClient> m_client;
    std::shared_ptr<pomeloport::PlatformClient> m_platform;
    AskOwner m_askOwner;
    pomeloport::LeaseManager m_leases;
    pomeloport::OrderReconciler m_orders;
    pomeloport::OrphanSweep m_sweep;
    std::map<std::string, pomeloport::BackendServer> m_servers;
    std::map<std::string, Sweep> m_sweeps;
    bool m_leaseCall = false;
};

} // namespace pomelocontroller
