#pragma once

#include "entrycore.h"
#include "peermesh.h"

#include "pomeloentry/fleetcopy.h"
#include "pomeloentry/fleetdocuments.h"
#include "pomeloentry/wire.h"

#include "pomeloport/transport/platformclient.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace pomeloentry
{

/// Keeps the fleet state current: from the platform's store where this instance is one of its readers, and else from
/// other instances, which tell how much they know. Publishes each new state to the core. All work runs on one strand.
class FleetWatch : public std::enable_shared_from_this<FleetWatch>
{
public:
    FleetWatch(std::shared_ptr<EntryCore> core, std::shared_ptr<PeerMesh> mesh);

    /// Starts to list, read and publish. The callback hears of each published state.
    void start(std::function<void(const FleetState &state)> published);

    void stop();

    /// An encoded FleetCopy for another instance that knows the changes up to these versions of the store. Safe from
    /// any thread.
    std::string encodedChangesSince(const KnownChanges &known);

private:
    /// How one kind is kept current.
    struct KindState
    {
        wire::DocumentKind kind{};
        FleetDocuments documents;
        /// Objects of the pages read so far.
        std::vector<pomeloport::StoreObject> listedObjects;
        std::uint64_t listAsOf = 0;
        std::unique_ptr<boost::asio::steady_timer> timer;
        std::uint32_t failures = 0;
        bool hasList = false;
        /// Whether a call to the store is under way or about to be repeated.
        bool callPending = false;
    };

    KindState &kind(wire::DocumentKind which);
    void list(KindState &kind, const std::string &after);
    void onListReply(KindState &kind, const pomeloport::StoreReply &reply);
    void watch(KindState &kind);
    void onWatchReply(KindState &kind, const pomeloport::StoreReply &reply);
    void continueReading(KindState &kind);
    void retryLater(KindState &kind, const pomeloport::StoreReply &reply);
    void recordStoreAnswer(KindState &kind);
    void publish(bool announce);
    void refreshCopies();
    void adoptRouting();
    void logChanges(const FleetState &before, const FleetState &next);
    void shareKnownChanges();
    void tick();
    void updateReaderRole(const std::vector<PeerView> &peers);
    void fetchIfBehind(const std::vector<PeerView> &peers);
    void fetchPeerState(const std::string &address);
    void onPeerState(const std::string &address, const std::optional<pomeloport::HttpReply> &reply);
    Instant removalTime(Instant now) const;

    std::shared_ptr<EntryCore> m_core;
    std::shared_ptr<PeerMesh> m_mesh;
    boost::asio::strand<boost::asio::io_context::executor_type> m_strand;
    pomeloport::PlatformClient m_store;
    std::array<KindState, 2> m_kinds;
    boost::asio::steady_timer m_tickTimer;
    std::function<void(const FleetState &)> m_published;
    std::shared_ptr<const RoutingTable> m_routing;
    /// The store's version of the routing document that was decoded last.
    std::uint64_t m_routingDecoded = 0;
    /// Documents that could not be read, with the version at which that was logged.
    std::map<std::string, std::uint64_t> m_unreadableVersions;
    std::mutex m_copyMutex;
    DocumentCopy m_routingCopy;
    DocumentCopy m_backendsCopy;
    Instant m_copiedAt{};
    /// The last encoded copy, and what it is for; a change is asked for by many at once.
    std::string m_encodedCopy;
    KnownChanges m_encodedFor;
    /// When another instance was first seen to know more.
    std::optional<Instant> m_behindSince;
    Instant m_storeFailedAt{};
    Instant m_storeCalledAt{};
    bool m_storeUnavailable = false;
    bool m_isReader = false;
    bool m_fetchingPeerState = false;
    bool m_stopped = false;
    std::uint64_t m_nextCall = 1;
};

} // namespace pomeloentry
