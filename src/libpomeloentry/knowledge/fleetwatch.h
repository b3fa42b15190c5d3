#pragma once

#include "knowledge/peermesh.h"
#include "program/entrycore.h"

#include "pomeloentry/knowledge/fleetcopy.h"
#include "pomeloentry/knowledge/storereaders.h"
#include "pomeloentry/knowledge/storereplica.h"
#include "pomeloentry/wire.h"

#include "pomeloport/transport/platformclient.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <array>
#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace pomeloentry
{

/// Keeps the fleet state up to date. A store reader watches the platform's store; the other instances fetch changes
/// from peers, whose messages name the store versions that they know. Publishes each new state to the core. All work
/// runs on one strand.
class FleetWatch : public std::enable_shared_from_this<FleetWatch>
{
public:
    FleetWatch(std::shared_ptr<EntryCore> core, std::shared_ptr<PeerMesh> mesh);

    /// Starts listing and watching. The callback is called with each published state.
    void start(std::function<void(const FleetState &state)> onPublished);

    /// Sets the callback that runs when the store has come back from an older copy. Call before start().
    void onStoreRestored(std::function<void()> callback);

    /// Metrics of restores of the store, as text. Thread safe.
    std::string metricsText() const;

    void stop();

    /// Returns an encoded FleetCopy for a peer that knows the changes up to the given store versions, with evacuations
    /// only if the peer reads them. Thread safe.
    std::string encodedChangesSince(const KnownChanges &known, bool withEvacuations);

private:
    std::span<const wire::DocumentKind> readKinds() const;
    bool knowsEvacuations() const;
    void callStore(wire::DocumentKind kind);
    void callStoreForAll();
    void onStoreReply(wire::DocumentKind kind, const pomeloport::StoreReply &reply);
    void logReply(wire::DocumentKind kind, const pomeloport::StoreReply &reply, const ReplyOutcome &outcome) const;
    void publish(bool announce);
    void refreshCopies();
    void adoptRouting();
    const BackendEntry *decodedBackend(const std::string &name, const StoredDocument &document);
    void logChanges(const FleetState &before, const FleetState &next);
    void logEvacuations(const FleetState &before, const FleetState &next, std::string_view source);
    void shareKnownChanges();
    void tick();
    void updateReaderRole(const std::vector<PeerView> &peers);
    void fetchIfBehind(const std::vector<PeerView> &peers, bool atOnce);
    void fetchPeerState(const PeerView &peer);
    void onPeerEvacuations(StoreVersion version);
    bool isAhead(const PeerView &peer, bool onlyEvacuations) const;
    bool hasUnknownRetained(const PeerView &peer) const;
    bool awaitsRetained() const;
    KnownChanges knownUpTo() const;
    std::uint64_t retainedDigest() const;
    void noteEra(std::string_view source);
    void noteRetained();
    void askPeer(const std::vector<PeerView> &peers);
    bool onPeerState(const PeerView &peer, const std::optional<pomeloport::HttpReply> &reply);

    std::shared_ptr<EntryCore> m_core;
    std::shared_ptr<PeerMesh> m_mesh;
    boost::asio::strand<boost::asio::io_context::executor_type> m_strand;
    pomeloport::PlatformClient m_store;
    StoreReplica m_replica;
    /// Wake the calls for each kind of documents.
    std::array<boost::asio::steady_timer, StoreReplica::Kinds> m_callTimers;
    boost::asio::steady_timer m_tickTimer;
    std::function<void(const FleetState &)> m_onPublished;
    std::shared_ptr<const RoutingTable> m_routing;
    /// Hash of the last routing document that was decoded, successfully or not.
    std::uint64_t m_routingDecoded = 0;
    /// Decoded document of a backend server; without a value if that version cannot be read.
    struct DecodedBackend
    {
        StoreVersion version;
        /// Hash of the text.
        std::uint64_t textHash = 0;
        std::optional<BackendEntry> backend;
    };
    std::map<std::string, DecodedBackend> m_decodedBackends;
    mutable std::mutex m_copyMutex;
    DocumentCopy m_routingCopy;
    DocumentCopy m_backendsCopy;
    DocumentCopy m_evacuationsCopy;
    /// Digest of what is retained in the copies.
    std::uint64_t m_copiedDigest = 0;
    Instant m_copiedAt{};
    /// The last encoded copy and the versions it was made for. Cached, since many peers fetch the same change at once.
    std::string m_encodedCopy;
    Instant m_encodedAt{};
    KnownChanges m_encodedFor;
    bool m_encodedWithEvacuations = false;
    /// Store version up to which the evacuations are known. Requires the mutex of the copies.
    StoreVersion m_evacuationsAsOf;
    std::function<void()> m_onStoreRestored;
    /// Era of the store that was logged last.
    std::uint64_t m_loggedEra = 0;
    std::atomic<std::uint64_t> m_restores{0};
    /// Documents used otherwise than the restored store has them.
    std::atomic<std::uint64_t> m_retainedDocuments{0};
    /// Digests of what peers retained that were merged in this era.
    std::set<std::uint64_t> m_mergedDigests;
    /// Since when a peer has been known to have changes that this instance lacks.
    std::optional<Instant> m_behindSince;
    Instant m_startedAt{};
    /// Whether no configuration is published since a peer may know a later one than the restored store.
    bool m_awaitsRetained = false;
    /// End of the time after the start in which state is expected from peers.
    Instant m_readsStoreFrom{};
    StartReads m_startReads;
    bool m_fetchingPeerState = false;
    /// From when peers may be asked for evacuations again; zero unless one that serves callers had none to tell of.
    Instant m_evacuationsFetchFrom{};
    /// Whether calls wait because this process was stopped and may have missed an evacuation.
    bool m_isUnconfirmed = false;
    /// Whether it was logged that calls are refused until the evacuations are known.
    bool m_loggedMissingEvacuations = false;
    /// Whether the last peer that was asked for its state did not answer.
    bool m_peerFetchFailed = false;
    bool m_stopped = false;
};

} // namespace pomeloentry
