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

/// Manages the backend servers whose home this instance is: holds the leases on the engines, orders which models they
/// load, cancels streams and frees memory that no live owner needs. Not thread safe: all calls and callbacks run on the
/// context's single thread.
class EngineOwner : public std::enable_shared_from_this<EngineOwner>
{
public:
    /// Asks the instance that owns some streams which of them are live, and passes its reply to the callback.
    using AskOwner = std::function<void(const pomeloport::link::LiveStreamsQuery &,
                                        std::function<void(const pomeloport::link::LiveStreamsReply &)>)>;

    /// Durations and intervals.
    struct Limits
    {
        pomeloport::LeaseLimits lease;
        pomeloport::OrderLimits order;
        pomeloport::SweepLimits sweep;
        /// Shortest interval between two readings of an engine's holdings.
        std::chrono::milliseconds sweepInterval{5000};
        /// Time-out of each request to a server.
        std::chrono::milliseconds callTimeout{1000};
    };

    EngineOwner(pomeloport::OwnerId self,
                std::string region,
                Limits limits,
                std::shared_ptr<pomeloport::HttpClient> client,
                std::shared_ptr<pomeloport::PlatformClient> platform,
                AskOwner askOwner);

    /// Replaces the managed servers. The instance may order its engines' share, among all engines of the fleet, of the
    /// weight loads per minute that the weight store permits.
    void setServers(const std::vector<pomeloport::BackendServer> &servers,
                    std::size_t fleetEngines,
                    double loadsPerMinute,
                    pomeloport::Instant now);

    /// Processes a load report, which shows the models that an engine has loaded.
    void reported(const pomeloport::LoadReport &report, pomeloport::Instant now);

    /// Starts the lease calls, orders and sweeps that are due. Call about every 50 ms.
    void tick(pomeloport::Instant now);

    /// Starts to release the leases; released() tells when that is done.
    void stop();

    /// Whether the store has confirmed that all leases are released.
    bool released() const;

private:
    struct SweepState
    {
        pomeloport::Instant nextAt{};
        bool reading = false;
    };

    void advanceLeases(pomeloport::Instant now);
    void advanceOrders(pomeloport::Instant now);
    void sendOrder(const pomeloport::OrderToSend &order);
    void advanceSweeps(pomeloport::Instant now);
    void readHoldings(const pomeloport::BackendServer &server);
    void handleSweepEvent(const pomeloport::SweepEvent &event);
    void execute(const pomeloport::SweepAction &action);
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
    std::map<std::string, SweepState> m_sweepStates;
    bool m_leaseCallInFlight = false;
};

} // namespace pomelocontroller
