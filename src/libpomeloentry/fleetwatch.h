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
    std::string encodedCopy(const KnownChanges &known);

private:
    /// How one kind is kept current.
    struct Kind
    {
        wire::DocumentKind kind{};
        FleetDocuments documents;
        /// Objects of the pages read so far.
        std::vector<pomeloport::StoreObject> pages;
        std::uint64_t firstPageAsOf = 0;
        std::unique_ptr<boost::asio::steady_timer> timer;
        std::uint32_t failures = 0;
        bool listed = false;
        /// Whether a call to the store is under way or about to be repeated.
        bool calling = false;
    };

    Kind &kind(wire::DocumentKind which);
    void list(Kind &kind, const std::string &after);
    void listed(Kind &kind, const pomeloport::StoreReply &reply);
    void watch(Kind &kind);
    void watched(Kind &kind, const pomeloport::StoreReply &reply);
    void read(Kind &kind);
    void retryLater(Kind &kind, const pomeloport::StoreReply &reply);
    void storeAnswered(Kind &kind);
    void publish(bool announce);
    void copyDocuments();
    void adoptRouting();
    void logChanges(const FleetState &before, const FleetState &next);
    void tellKnown();
    void tick();
    void chooseReaders(const std::vector<PeerView> &peers);
    void comparePeers(const std::vector<PeerView> &peers);
    void pull(const std::string &address);
    void pulled(const std::string &address, const std::optional<pomeloport::HttpReply> &reply);
    Instant removeAt(Instant now) const;

    std::shared_ptr<EntryCore> m_core;
    std::shared_ptr<PeerMesh> m_mesh;
    boost::asio::strand<boost::asio::io_context::executor_type> m_strand;
    pomeloport::PlatformClient m_store;
    std::array<Kind, 2> m_kinds;
    boost::asio::steady_timer m_ticker;
    std::function<void(const FleetState &)> m_published;
    std::shared_ptr<const RoutingTable> m_routing;
    /// The store's version of the routing document that was decoded last.
    std::uint64_t m_routingDecoded = 0;
    /// Documents that could not be read, with the version at which that was logged.
    std::map<std::string, std::uint64_t> m_unreadable;
    std::mutex m_copyMutex;
    DocumentCopy m_routingCopy;
    DocumentCopy m_backendsCopy;
    Instant m_copiedAt{};
    /// The last encoded copy, and what it is for; a change is asked for by many at once.
    std::string m_encoded;
    KnownChanges m_encodedFor;
    /// When another instance was first seen to know more.
    std::optional<Instant> m_behindSince;
    Instant m_storeFailedAt{};
    Instant m_storeCalledAt{};
    bool m_storeAway = false;
    bool m_reading = false;
    bool m_pulling = false;
    bool m_stopped = false;
    std::uint64_t m_nextCall = 1;
};

} // namespace pomeloentry
