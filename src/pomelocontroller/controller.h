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

/// The controller of one instance: drives the control decisions with sockets and clocks. Everything runs on the only
/// thread of its context, as none of it is on the path of a request.
namespace pomelocontroller
{

/// One controller. Shared ownership keeps it alive while calls are under way.
class Controller : public std::enable_shared_from_this<Controller>
{
public:
    /// Opens all sockets and starts. Returns null, with a last reason, on failure. The incarnation must rise with each
    /// start of the instance's controller.
    static std::shared_ptr<Controller> start(boost::asio::io_context &context,
                                             const ControllerSettings &settings,
                                             std::uint64_t incarnation);

    /// Use start().
    Controller(boost::asio::io_context &context, const ControllerSettings &settings, std::uint64_t incarnation);

    /// Gives the leases back and calls when done. While the instance's router drains, the controller stays until it
    /// has ended.
    void stop(std::function<void()> stopped);

private:
    using LiveStreamsCallback = std::function<void(const pomeloport::link::LiveStreamsReply &)>;
    using ClaimHolderCallback = std::function<void(const pomeloport::link::ClaimHolderReply &)>;

    /// A question under way at the own router.
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

    // Control decisions.
    void feed(const pomeloport::ControlEvent &event);
    void carryOut(const pomeloport::ControlAction &action);
    void adopt(const pomeloport::configspread::Adopt &adopt);
    void fetchConfig(const pomeloport::configspread::Fetch &fetch);
    void instancesChanged();
    bool isLongDead(const std::string &instance) const;
    void releaseGroupsOfDead(pomeloport::Instant now);
    void sendOwnReport(pomeloport::Instant now, bool urgent);
    void hearReports();
    void updateLeaving(pomeloport::Instant now);

    // The platform's list.
    void readList(pomeloport::Instant now);
    void listAnswered(const std::optional<std::vector<pomeloport::PlatformInstance>> &list);

    // Backend servers.
    void updateServers();
    void cacheChanged(const pomeloport::link::CacheUpdate &update);

    // The router.
    void routerConnected();
    void routerLost();
    void routerSent(pomeloport::LinkMessage message);
    void take(const pomeloport::link::RouterStatus &status);
    void take(const pomeloport::link::GroupReserve &request);
    void take(const pomeloport::link::GroupRelease &release);
    void take(const pomeloport::link::ClaimHolderQuery &query);
    void take(const pomeloport::link::LiveStreamsReply &reply);
    void take(const pomeloport::link::ClaimHolderReply &reply);
    void sendSnapshot(pomeloport::Instant now);
    void expireRouterQueries(pomeloport::Instant now);

    // Peers.
    void peerAsked(pomeloport::PeerMessage message, const PeerLinks::Responder &respond);
    void reserveAt(const pomeloport::InstanceView &coordinator, const pomeloport::link::GroupReserve &request);
    void askOwner(const pomeloport::link::LiveStreamsQuery &query, LiveStreamsCallback callback);
    void probeRouter(const std::string &address, LiveStreamsCallback callback);
    void askHolder(const pomeloport::link::ClaimHolderQuery &query, ClaimHolderCallback callback);
    void askRouterStreams(pomeloport::link::LiveStreamsQuery query, LiveStreamsCallback callback);
    void askRouterHolder(pomeloport::link::ClaimHolderQuery query, ClaimHolderCallback callback);
    const pomeloport::InstanceView *coordinatorOf(const std::string &model) const;

    boost::asio::io_context &m_context;
    ControllerSettings m_settings;
    pomeloport::OwnerId m_self;
    std::minstd_rand m_random;
    std::shared_ptr<pomeloport::HttpClient> m_http;
    std::shared_ptr<pomeloport::PlatformClient> m_platform;
    pomeloport::ControlPlane m_plane;
    pomeloport::BackendTable m_backends;
    GroupDesk m_groups;
    std::shared_ptr<EngineOwner> m_owner;
    std::shared_ptr<BackendPoller> m_poller;
    std::shared_ptr<PeerLinks> m_peers;
    std::shared_ptr<RouterLink> m_router;
    std::shared_ptr<pomeloport::DatagramSocket> m_datagrams;
    boost::asio::steady_timer m_timer;

    pomeloport::Declarations m_declarations;
    std::uint64_t m_configVersion = 0;
    std::vector<pomeloport::InstanceView> m_instances;
    /// Instances that count as dead, and since when.
    std::map<std::string, pomeloport::Instant> m_deadSince;
    std::map<std::string, std::uint64_t> m_heardSequences;
    std::set<std::uint32_t> m_listedLeaving;
    std::map<std::string, std::unordered_set<std::uint64_t>> m_cache;

    pomeloport::link::RouterStatus m_routerStatus;
    pomeloport::Instant m_routerLostAt;
    std::uint64_t m_sentConfig = 0;
    std::map<std::uint64_t, RouterQuery> m_routerQueries;
    std::uint64_t m_lastRouterQuery = 0;

    pomeloport::Instant m_nextReport{};
    pomeloport::Instant m_nextSnapshot{};
    pomeloport::Instant m_lastSnapshot{};
    pomeloport::Instant m_nextList{};
    pomeloport::Instant m_nextSlow{};
    bool m_snapshotWanted = false;
    bool m_listing = false;
    bool m_leaving = false;
    std::function<void()> m_stopped;
    pomeloport::Instant m_stopAt{};
};

} // namespace pomelocontroller
