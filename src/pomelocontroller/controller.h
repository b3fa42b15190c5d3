#pragma once

#include "backendpoller.h"
#include "controllersettings.h"
#include "engineowner.h"
#include "groupdesk.h"
#include "peerlinks.h"
#include "routerlink.h"

#include "pomeloport/coordination/backendtable.h"
#include "pomeloport/coordination/controlplane.h"
#include "pomeloport/transport/datagramsocket.h"
#include "pomeloport/transport/platformclient.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <unordered_set>
#include <vector>

/// The controller process of one instance: connects the I/O-free control logic to sockets and clocks. Everything runs
/// on the context's single thread, since requests do not pass through this process.
namespace pomelocontroller
{

/// Keeps one instance in contact with its peers, the platform and the backend servers, and sends the resulting state to
/// the instance's router. Completion handlers hold weak references to it.
class Controller : public std::enable_shared_from_this<Controller>
{
public:
    /// Opens all sockets and starts. On failure, returns null and sets the last reason. The incarnation must increase
    /// with each start of the instance's controller.
    static std::shared_ptr<Controller> start(boost::asio::io_context &context,
                                             const ControllerSettings &settings,
                                             std::uint64_t incarnation);

    /// For std::make_shared() only; call start() instead.
    Controller(boost::asio::io_context &context, const ControllerSettings &settings, std::uint64_t incarnation);

    /// Releases the leases and calls back when done. While the instance's router drains, the controller keeps running
    /// until the drain has ended.
    void stop(std::function<void()> onStopped);

private:
    using LiveStreamsCallback = std::function<void(const pomeloport::link::LiveStreamsReply &)>;
    using ClaimHolderCallback = std::function<void(const pomeloport::link::ClaimHolderReply &)>;

    /// A pending query to the instance's router. Exactly one of the callbacks is set.
    struct RouterQuery
    {
        pomeloport::Instant deadline{};
        LiveStreamsCallback streams;
        ClaimHolderCallback holder;
    };

    bool open();
    void armTick();
    void tick();
    void checkStop(pomeloport::Instant now);

    // Control logic.
    void handleEvent(const pomeloport::ControlEvent &event);
    void execute(const pomeloport::ControlAction &action);
    void adopt(const pomeloport::configspread::Adopt &adopt);
    void fetchConfig(const pomeloport::configspread::Fetch &fetch);
    void instancesChanged();
    bool isPresumedGone(const std::string &instance) const;
    void releaseGroupsOfGoneInstances(pomeloport::Instant now);
    void sendOwnReport(pomeloport::Instant now, bool urgent);
    void processPeerReports();
    void updateLeaving(pomeloport::Instant now);

    // The platform's instance list.
    void readPlatformList(pomeloport::Instant now);
    void handlePlatformList(const std::optional<std::vector<pomeloport::PlatformInstance>> &list);

    // Backend servers.
    void updateServers();
    void cacheChanged(const pomeloport::link::CacheUpdate &update);

    // The router.
    void routerConnected();
    void routerLost();
    void routerMessageReceived(pomeloport::LinkMessage message);
    void handleRouterMessage(const pomeloport::link::RouterStatus &status);
    void handleRouterMessage(const pomeloport::link::GroupReserve &request);
    void handleRouterMessage(const pomeloport::link::GroupRelease &release);
    void handleRouterMessage(const pomeloport::link::ClaimHolderQuery &query);
    void handleRouterMessage(const pomeloport::link::LiveStreamsReply &reply);
    void handleRouterMessage(const pomeloport::link::ClaimHolderReply &reply);
    void sendSnapshot(pomeloport::Instant now);
    void expireRouterQueries(pomeloport::Instant now);

    // Peers.
    void handlePeerMessage(pomeloport::PeerMessage message, const PeerLinks::Responder &respond);
    void forwardReserve(const pomeloport::InstanceView &coordinator, const pomeloport::link::GroupReserve &request);
    void askOwner(const pomeloport::link::LiveStreamsQuery &query, LiveStreamsCallback callback);
    void probeRouter(const std::string &address, LiveStreamsCallback callback);
    void queryClaimHolder(const pomeloport::link::ClaimHolderQuery &query, ClaimHolderCallback callback);
    void queryRouterStreams(pomeloport::link::LiveStreamsQuery query, LiveStreamsCallback callback);
    void queryRouterClaimHolder(pomeloport::link::ClaimHolderQuery query, ClaimHolderCallback callback);
    const pomeloport::InstanceView *coordinatorOf(const std::string &model) const;

    boost::asio::io_context &m_context;
    ControllerSettings m_settings;
    pomeloport::OwnerId m_self;
    std::minstd_rand m_random;
    std::shared_ptr<pomeloport::HttpClient> m_http;
    std::shared_ptr<pomeloport::PlatformClient> m_platform;
    pomeloport::ControlPlane m_controlPlane;
    pomeloport::BackendTable m_backends;
    GroupReservations m_groups;
    std::shared_ptr<EngineOwner> m_engineOwner;
    std::shared_ptr<BackendPoller> m_poller;
    std::shared_ptr<PeerLinks> m_peerLinks;
    std::shared_ptr<RouterLink> m_routerLink;
    std::shared_ptr<pomeloport::DatagramSocket> m_datagrams;
    boost::asio::steady_timer m_timer;

    pomeloport::Declarations m_declarations;
    std::uint64_t m_configVersion = 0;
    std::vector<pomeloport::InstanceView> m_instances;
    /// When each dead instance was first seen as dead.
    std::map<std::string, pomeloport::Instant> m_deadSince;
    /// Sequence number of the last report processed from each peer.
    std::map<std::string, std::uint64_t> m_processedSequences;
    /// Short names of the servers that the platform lists as leaving; empty unless this instance is a watcher.
    std::set<std::uint32_t> m_listedLeaving;
    /// Blocks in each engine's cache, kept to bring a reconnecting router up to date.
    std::map<std::string, std::unordered_set<std::uint64_t>> m_cachedBlocks;

    pomeloport::link::RouterStatus m_routerStatus;
    pomeloport::Instant m_routerLostAt;
    /// Version of the declarations that the connected router last received; 0 for none.
    std::uint64_t m_sentConfigVersion = 0;
    std::map<std::uint64_t, RouterQuery> m_routerQueries;
    std::uint64_t m_lastRouterQuery = 0;

    pomeloport::Instant m_nextReport{};
    pomeloport::Instant m_nextSnapshot{};
    pomeloport::Instant m_lastSnapshot{};
    pomeloport::Instant m_nextListRead{};
    pomeloport::Instant m_nextSlowTick{};
    bool m_snapshotRequested = false;
    bool m_listReadInProgress = false;
    /// Whether peers are told that callers should not be sent to this instance.
    bool m_leaving = false;
    /// Set once stop() was called, until the callback has run.
    std::function<void()> m_onStopped;
    pomeloport::Instant m_stopRequestedAt{};
};

} // namespace pomelocontroller
