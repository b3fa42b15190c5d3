#pragma once

#include "entrycore.h"
#include "peermesh.h"

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

/// What one instance hands another that missed changes.
struct FleetCopy
{
    DocumentCopy routing;
    DocumentCopy backends;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(routing, backends);
    }
};

/// Keeps the fleet state current from the platform's store, and from other instances while the store does not answer
/// this one. Publishes each new state to the core. All work runs on one strand.
class FleetWatch : public std::enable_shared_from_this<FleetWatch>
{
public:
    FleetWatch(std::shared_ptr<EntryCore> core, std::shared_ptr<PeerMesh> mesh);

    /// Starts to list, watch and publish. The callback hears of each published state.
    void start(std::function<void(const FleetState &state)> published);

    void stop();

    /// An encoded FleetCopy for another instance. Safe from any thread.
    std::string encodedCopy() const;

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
    };

    Kind &kind(wire::DocumentKind which);
    void list(Kind &kind, const std::string &after);
    void listed(Kind &kind, const pomeloport::StoreReply &reply);
    void watch(Kind &kind);
    void watched(Kind &kind, const pomeloport::StoreReply &reply);
    void retryLater(Kind &kind, const pomeloport::StoreReply &reply);
    void storeAnswered(Kind &kind);
    void changed(Kind &kind);
    void publish();
    void tick();
    void comparePeers();
    void pull(const std::string &address);
    void pulled(const std::string &address, const std::optional<pomeloport::HttpReply> &reply);
    void registerSelf();
    void tellKnown();
    Instant removeAt(Instant now) const;

    std::shared_ptr<EntryCore> m_core;
    std::shared_ptr<PeerMesh> m_mesh;
    boost::asio::strand<boost::asio::io_context::executor_type> m_strand;
    pomeloport::PlatformClient m_store;
    std::array<Kind, 3> m_kinds;
    boost::asio::steady_timer m_ticker;
    std::function<void(const FleetState &)> m_published;
    std::shared_ptr<const RoutingTable> m_routing;
    /// Documents that could not be read, with the version at which that was logged.
    std::map<std::string, std::uint64_t> m_unreadable;
    mutable std::mutex m_copyMutex;
    FleetCopy m_copy;
    /// When another instance was first seen to know more.
    std::optional<Instant> m_behindSince;
    Instant m_storeFailedAt{};
    bool m_storeAway = false;
    bool m_pulling = false;
    bool m_registered = false;
    bool m_registering = false;
    bool m_stopped = false;
    std::uint64_t m_nextCall = 1;
};

} // namespace pomeloentry
