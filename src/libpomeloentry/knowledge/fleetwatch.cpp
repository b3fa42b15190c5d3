#include "knowledge/fleetwatch.h"

#include "knowledge/storecalls.h"
#include "session/noticelog.h"

#include "pomeloentry/decisions/evacuation.h"

#include "pomeloport/lastreason.h"
#include "pomeloport/logging.h"

#include <xxhash.h>

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <random>
#include <utility>

namespace pomeloentry
{

using namespace pomeloport;
namespace asio = boost::asio;

namespace
{

/// Kinds of documents that instances hold; evacuations come last, as not every platform has them.
constexpr std::array DocumentKinds{wire::DocumentKind::Routing,
                                   wire::DocumentKind::Backends,
                                   wire::DocumentKind::Evacuations};
static_assert(DocumentKinds.size() == StoreReplica::Kinds);
/// A store reader fetches state from a peer only after it has been behind for this long, since the store's own reply
/// usually arrives before.
constexpr Duration ReaderFetchDelay = std::chrono::milliseconds(250);
/// Other instances wait this long before fetching, so that one fetch covers several changes.
constexpr Duration FetchDelay = std::chrono::milliseconds(20);
constexpr std::chrono::milliseconds TickInterval{100};
/// The same while a peer is asked for evacuations that may have been missed, since calls wait for the answer.
constexpr std::chrono::milliseconds AskInterval{10};
/// Time after a start in which an instance that is no seed waits for the state of a peer before it reads the store. All
/// instances of a fleet may start at once, and the store limits the rate of calls.
constexpr std::chrono::milliseconds PeerStateTime{500};
/// Maximum size of the state of a peer. One is fetched at a time.
constexpr std::size_t MaximumCopyBytes = 32 * 1024 * 1024;
constexpr std::chrono::milliseconds FetchTimeout{800};
/// How long an encoded copy is sent that holds remaining times, as all peers of a failure domain may fetch it at once.
constexpr Duration EncodedCopyTime = std::chrono::milliseconds(50);
/// Interval at which a starting instance asks for the evacuations again after a peer that serves callers had none to
/// tell of, as an instance of an earlier version. It then reads the store as well.
constexpr Duration EvacuationsFetchInterval = std::chrono::seconds(1);
/// Time after a start in which an instance does not serve by what a restored store has before it has heard from an
/// instance that serves callers, which may know later states. Instances introduce themselves within milliseconds.
constexpr Duration RetainedStateTime = std::chrono::milliseconds(500);
/// Era of a store that may have been restored.
constexpr std::uint64_t FirstRestoredEra = 2;

/// The same for the first fetch of an instance without state, so that another peer is asked within a second if this one
/// has just lost power. Peers answer within milliseconds.
constexpr std::chrono::milliseconds FirstFetchTimeout{300};

/// Returns a random one of the first peers of a list.
const PeerView *randomOf(const std::vector<const PeerView *> &peers, std::size_t count)
{
    static thread_local std::mt19937_64 random{std::random_device{}()};
    return peers[random() % count];
}

/// A random number in [0, 1).
double drawnShare()
{
    static thread_local std::mt19937_64 random{std::random_device{}()};
    return std::uniform_real_distribution<double>(0, 1)(random);
}

std::uint64_t hashOf(const std::string &text)
{
    return XXH64(text.data(), text.size(), 0);
}

std::size_t indexOf(wire::DocumentKind kind)
{
    return static_cast<std::size_t>(kind);
}

} // namespace

FleetWatch::FleetWatch(std::shared_ptr<EntryCore> core, std::shared_ptr<PeerMesh> mesh)
    : m_core(std::move(core))
    , m_mesh(std::move(mesh))
    , m_strand(asio::make_strand(m_core->context))
    , m_store(m_core->context, m_core->settings.storeAddress, StoreTimeout, wire::storeCodec())
    , m_replica(jittered, m_core->settings.stableTime)
    , m_callTimers{asio::steady_timer(m_strand), asio::steady_timer(m_strand), asio::steady_timer(m_strand)}
    , m_tickTimer(m_strand)
{
}

void FleetWatch::start(std::function<void(const FleetState &)> onPublished)
{
    m_onPublished = std::move(onPublished);
    m_mesh->onPeerEvacuations([weak = weak_from_this()](StoreVersion version) {
        if (const auto self = weak.lock()) {
            self->onPeerEvacuations(version);
        }
    });
    asio::post(m_strand, [self = shared_from_this()] {
        const auto delay = self->m_core->settings.isSeed ? std::chrono::milliseconds(0) : jittered(PeerStateTime);
        self->m_startedAt = steadyNow();
        self->m_readsStoreFrom = self->m_startedAt + delay;
        self->m_startReads = StartReads(self->m_readsStoreFrom);
        self->tick();
    });
}

void FleetWatch::onStoreRestored(std::function<void()> callback)
{
    m_onStoreRestored = std::move(callback);
}

void FleetWatch::stop()
{
    asio::post(m_strand, [self = shared_from_this()] {
        self->m_stopped = true;
        self->m_tickTimer.cancel();
        for (auto &timer : self->m_callTimers) {
            timer.cancel();
        }
    });
}

std::string FleetWatch::encodedChangesSince(const KnownChanges &known, bool withEvacuations)
{
    const std::lock_guard lock(m_copyMutex);
    const auto now = steadyNow();
    const bool hasTimes = !m_backendsCopy.removalDelaysMs.empty() || m_retainedDocuments > 0;
    const bool isRecent = !hasTimes || now - m_encodedAt < EncodedCopyTime;
    if (isRecent && !m_encodedCopy.empty() && m_encodedFor == known && m_encodedWithEvacuations == withEvacuations) {
        return m_encodedCopy;
    }
    FleetCopy copy;
    const bool retainsOther = m_retainedDocuments > 0 && m_copiedDigest != known.retained;
    if (m_routingCopy.lastChangeVersion > known.routing || retainsOther) {
        copy.routing = m_routingCopy;
    }
    if (m_backendsCopy.lastChangeVersion > known.backends || retainsOther) {
        copy.backends = m_backendsCopy;
    }
    if (withEvacuations && (m_evacuationsCopy.asOf > known.evacuations || retainsOther)) {
        copy.evacuations = m_evacuationsCopy;
    }
    for (auto *documents : {&copy.routing, &copy.backends, &copy.evacuations}) {
        if (*documents) {
            (*documents)->subtractAge(now - m_copiedAt);
        }
    }
    m_encodedCopy = encodeFleetCopy(copy);
    m_encodedAt = now;
    m_encodedFor = known;
    m_encodedWithEvacuations = withEvacuations;
    return m_encodedCopy;
}

/// The kinds that are read: evacuations only where the platform has them.
std::span<const wire::DocumentKind> FleetWatch::readKinds() const
{
    return std::span(DocumentKinds).first(DocumentKinds.size() - (m_core->settings.evacuationBound ? 0 : 1));
}

/// Whether the evacuations are known, or the platform has none.
bool FleetWatch::knowsEvacuations() const
{
    return !m_core->settings.evacuationBound || m_replica.isKnown(wire::DocumentKind::Evacuations);
}

/// Sends the call for a kind if one is due, or waits until it is.
void FleetWatch::callStore(wire::DocumentKind kind)
{
    if (m_stopped) {
        return;
    }
    const auto now = steadyNow();
    if (const auto call = m_replica.nextCall(kind, now)) {
        if (call->newConnection && m_replica.hasOverdueWatch(kind)) {
            logEvent(LogLevel::Info,
                     "watch_overdue",
                     {{"kind", nameOf(kind)}, {"era", m_replica.era()}, {"as_of", call->ifVersion}});
        }
        m_store.call(*call, [self = shared_from_this(), kind](StoreReply reply) {
            asio::post(self->m_strand, [self, kind, reply = std::move(reply)] { self->onStoreReply(kind, reply); });
        });
    }
    auto &timer = m_callTimers.at(indexOf(kind));
    const auto wakeAt = m_replica.wakeAt(kind);
    if (!wakeAt) {
        timer.cancel();
        return;
    }
    timer.expires_at(*wakeAt);
    timer.async_wait([self = shared_from_this(), kind](boost::system::error_code error) {
        if (!error) {
            self->callStore(kind);
        }
    });
}

void FleetWatch::callStoreForAll()
{
    for (const auto kind : readKinds()) {
        callStore(kind);
    }
}

void FleetWatch::onStoreReply(wire::DocumentKind kind, const StoreReply &reply)
{
    if (m_stopped) {
        return;
    }
    const auto now = steadyNow();
    const auto outcome = m_replica.onReply(kind, reply, now);
    noteEra("store");
    logReply(kind, reply, outcome);
    if (outcome.answered) {
        m_core->placement.storeAnswered(now);
    } else if (m_replica.contact(now) == StoreContact::Failing) {
        m_core->placement.storeFailed(now);
    }
    if (outcome.documentsChanged) {
        publish(true);
    } else if (outcome.changesPending || outcome.listed) {
        refreshCopies();
    }
    shareKnownChanges();
    callStoreForAll();
}

void FleetWatch::logReply(wire::DocumentKind kind, const StoreReply &reply, const ReplyOutcome &outcome) const
{
    const auto &documents = m_replica.documents(kind);
    if (outcome.storeLost) {
        logEvent(LogLevel::Warning,
                 "dependency_lost",
                 {{"dependency", "store"}, {"kind", nameOf(kind)}, {"status", nameOf(reply.status)}});
    }
    if (outcome.regainedAfter) {
        logEvent(LogLevel::Info,
                 "dependency_regained",
                 {{"dependency", "store"}, {"last_failure_ms", outcome.regainedAfter->count() / 1000}});
    }
    if (outcome.isOfEarlierEra) {
        logEvent(LogLevel::Warning,
                 "reply_of_earlier_era",
                 {{"kind", nameOf(kind)}, {"era", reply.era.value_or(0)}, {"current", m_replica.era()}});
    }
    if (outcome.historyGone) {
        logEvent(LogLevel::Info, "history_gone", {{"kind", nameOf(kind)}});
    }
    if (outcome.removalDelay) {
        logEvent(LogLevel::Info,
                 "removals_delayed",
                 {{"kind", nameOf(kind)},
                  {"pending", documents.pendingRemovals()},
                  {"delay_ms", outcome.removalDelay->count() / 1000},
                  {"as_of", documents.asOf().revision}});
    }
    if (outcome.listed) {
        logEvent(LogLevel::Info,
                 "listed",
                 {{"kind", nameOf(kind)},
                  {"documents", documents.documents().size()},
                  {"era", documents.asOf().era},
                  {"as_of", documents.asOf().revision},
                  {"missing", documents.unconfirmedDocuments()},
                  {"withheld", documents.withheldDocuments()}});
    }
}

void FleetWatch::adoptRouting()
{
    const auto &documents = m_replica.documents(wire::DocumentKind::Routing).documents();
    const auto document = documents.find(std::string(wire::routingName()));
    if (document == documents.end()) {
        return;
    }
    const auto hash = hashOf(document->second.text);
    if (hash == m_routingDecoded) {
        return;
    }
    m_routingDecoded = hash;
    auto decoded = wire::decodeRouting(document->second.text);
    if (!decoded) {
        logEvent(LogLevel::Error,
                 "configuration_unreadable",
                 {{"store_version", document->second.version.revision}, {"detail", lastReason()}});
        return;
    }
    // The applied version never decreases: a peer's copy may be older than the routing in use.
    if (m_routing && decoded->version < m_routing->version) {
        return;
    }
    if (!m_routing || decoded->version != m_routing->version) {
        logEvent(LogLevel::Info,
                 "configuration",
                 {{"version", decoded->version}, {"store_version", document->second.version.revision}});
    }
    m_routing = std::move(decoded);
}

void FleetWatch::logChanges(const FleetState &before, const FleetState &next)
{
    for (const auto &[name, backend] : next.backends) {
        const auto known = before.backends.find(name);
        if (known == before.backends.end() || known->second != backend) {
            logEvent(LogLevel::Info,
                     "backend",
                     {{"backend", name},
                      {"service", backend.service},
                      {"address", backend.address},
                      {"domain", backend.failureDomain},
                      {"leaving", backend.leaving},
                      {"started_at", backend.startedAt},
                      {"as_of", m_replica.documents(wire::DocumentKind::Backends).asOf().revision}});
        }
    }
    for (const auto &[name, backend] : before.backends) {
        if (!next.backends.contains(name)) {
            logEvent(LogLevel::Info, "backend_gone", {{"backend", name}, {"service", backend.service}});
        }
    }
}

/// Logs the failure domains whose evacuation has begun or ended.
void FleetWatch::logEvacuations(const FleetState &before, const FleetState &next, std::string_view source)
{
    const auto &replica = m_replica.documents(wire::DocumentKind::Evacuations);
    const auto changes = evacuationChanges(before.evacuatedDomains, next.evacuatedDomains);
    for (const auto &domain : changes.began) {
        logEvent(LogLevel::Warning,
                 "evacuation",
                 {{"domain", domain},
                  {"version", replica.documents().at(domain).version.revision},
                  {"source", source},
                  {"in_force", next.evacuatedDomains.size()}});
    }
    for (const auto &domain : changes.ended) {
        logEvent(LogLevel::Warning,
                 "evacuation_end",
                 {{"domain", domain},
                  {"version", replica.lastChangeVersion().revision},
                  {"source", source},
                  {"in_force", next.evacuatedDomains.size()}});
    }
}

/// Returns the decoded document of a backend server, or null if it cannot be read. Each version is decoded once, since
/// most changes concern a single one of many backend servers.
const BackendEntry *FleetWatch::decodedBackend(const std::string &name, const StoredDocument &document)
{
    auto &decoded = m_decodedBackends[name];
    const auto hash = hashOf(document.text);
    // A restore gives the same text another version, or a later text of a peer the same version.
    const bool isKnown = hash == decoded.textHash
        && (document.version == decoded.version || document.version.era != decoded.version.era);
    decoded.version = document.version;
    decoded.textHash = hash;
    if (!isKnown) {
        decoded.backend = wire::decodeBackend(name, document.text);
        if (decoded.backend) {
            decoded.backend->learnedAt = steadyNow();
        } else {
            logEvent(LogLevel::Warning, "backend_unreadable", {{"backend", name}, {"detail", lastReason()}});
        }
    }
    return decoded.backend ? &*decoded.backend : nullptr;
}

/// Decodes the documents and publishes the resulting state; with announce, which changes read from the store need,
/// peers are notified at once. No configuration is published before the evacuations are known, or while a peer may know
/// a later one than a restored store, so that no call is admitted.
void FleetWatch::publish(bool announce)
{
    adoptRouting();
    auto next = std::make_shared<FleetState>();
    m_awaitsRetained = awaitsRetained();
    next->routing = knowsEvacuations() && !m_awaitsRetained ? m_routing : nullptr;
    if (m_routing && !knowsEvacuations() && !std::exchange(m_loggedMissingEvacuations, true)) {
        logEvent(LogLevel::Info, "evacuations_awaited", {{"version", m_routing->version}});
    }
    next->backendsListed = m_replica.isKnown(wire::DocumentKind::Backends);
    for (const auto &[name, document] : m_replica.documents(wire::DocumentKind::Evacuations).documents()) {
        next->evacuatedDomains.insert(name);
    }
    const auto &documents = m_replica.documents(wire::DocumentKind::Backends).documents();
    std::erase_if(m_decodedBackends, [&documents](const auto &entry) { return !documents.contains(entry.first); });
    for (const auto &[name, document] : documents) {
        if (const auto *backend = decodedBackend(name, document)) {
            next->backends.emplace(name, *backend);
        }
    }
    logChanges(*m_core->fleet.current(), *next);
    logEvacuations(*m_core->fleet.current(), *next, announce ? "store" : "peer");
    refreshCopies();
    m_core->placement.update(next, steadyNow());
    m_core->fleet.publish(next);
    shareKnownChanges();
    if (announce) {
        m_mesh->announceKnownChanges();
    }
    if (m_onPublished) {
        m_onPublished(*next);
    }
}

/// Updates the copies of the documents that peers fetch through other threads.
void FleetWatch::refreshCopies()
{
    const auto now = steadyNow();
    const std::lock_guard lock(m_copyMutex);
    m_routingCopy = m_replica.documents(wire::DocumentKind::Routing).copy(now);
    m_backendsCopy = m_replica.documents(wire::DocumentKind::Backends).copy(now);
    m_evacuationsCopy = m_replica.documents(wire::DocumentKind::Evacuations).copy(now);
    m_copiedDigest = retainedDigest();
    m_copiedAt = now;
    m_encodedCopy.clear();
}

void FleetWatch::shareKnownChanges()
{
    noteRetained();
    if (retainedDigest() != m_copiedDigest) {
        refreshCopies();
    }
    const KnownChanges known{m_replica.documents(wire::DocumentKind::Routing).lastChangeVersion(),
                             m_replica.documents(wire::DocumentKind::Backends).lastChangeVersion(),
                             m_replica.documents(wire::DocumentKind::Evacuations).lastChangeVersion(),
                             retainedDigest()};
    {
        const std::lock_guard lock(m_copyMutex);
        m_evacuationsAsOf = m_replica.documents(wire::DocumentKind::Evacuations).asOf();
    }
    m_mesh->setStoreKnowledge(
        known, m_routing && knowsEvacuations() && !m_awaitsRetained, m_replica.contact(steadyNow()));
}

void FleetWatch::tick()
{
    if (m_stopped) {
        return;
    }
    bool documentsChanged = false;
    for (const auto kind : readKinds()) {
        documentsChanged = m_replica.applyDueChanges(kind, steadyNow()) || documentsChanged;
    }
    if (documentsChanged || (m_awaitsRetained && !awaitsRetained())) {
        publish(false);
    }
    logServerPace(*m_core);
    const auto peers = m_mesh->live();
    shareKnownChanges();
    updateReaderRole(peers);
    const bool isUnconfirmed = m_core->placement.running(steadyNow());
    if (std::exchange(m_isUnconfirmed, isUnconfirmed) != isUnconfirmed) {
        logEvent(LogLevel::Warning, "evacuations_unconfirmed", {{"unconfirmed", isUnconfirmed}});
    }
    if (isUnconfirmed) {
        askPeer(peers);
    }
    fetchIfBehind(peers, false);
    m_tickTimer.expires_after(isUnconfirmed || m_awaitsRetained ? AskInterval : TickInterval);
    m_tickTimer.async_wait([self = shared_from_this()](boost::system::error_code error) {
        if (!error) {
            self->tick();
        }
    });
}

void FleetWatch::updateReaderRole(const std::vector<PeerView> &peers)
{
    const bool isReader = readsStore(m_mesh->ownCandidate(), readerCandidates(peers));
    if (isReader != m_replica.isReader()) {
        m_replica.setReader(isReader);
        logEvent(LogLevel::Info, "store_reader", {{"reads", isReader}, {"live_instances", peers.size() + 1}});
    }
    const auto now = steadyNow();
    if (now < m_readsStoreFrom) {
        return;
    }
    const bool peerReads =
        std::ranges::any_of(peers, [](const PeerView &peer) { return peer.contact == StoreContact::Answering; });
    const bool lacksState =
        !std::ranges::all_of(readKinds(), [this](wire::DocumentKind kind) { return m_replica.isKnown(kind); });
    const bool isTurn = !isReader && lacksState && m_startReads.takeTurn(peers.size(), peerReads, drawnShare(), now);
    for (const auto kind : readKinds()) {
        const bool peersLack = kind == wire::DocumentKind::Evacuations && m_evacuationsFetchFrom != Instant{};
        if (isReader || (!m_replica.isKnown(kind) && (isTurn || peersLack))) {
            m_replica.read(kind, now);
        }
    }
    callStoreForAll();
}

/// Asks a peer whether this process has missed an evacuation while it was stopped.
void FleetWatch::askPeer(const std::vector<PeerView> &peers)
{
    std::vector<const PeerView *> serving;
    for (const auto &peer : peers) {
        if (peer.state != EntryState::Starting) {
            serving.push_back(&peer);
        }
    }
    if (!serving.empty() && !m_fetchingPeerState) {
        fetchPeerState(*randomOf(serving, serving.size()));
    }
}

/// Called on any thread with the version of the evacuations that a peer's message names. An evacuation has a bound of
/// its own, so a change is fetched at once.
void FleetWatch::onPeerEvacuations(StoreVersion version)
{
    if (!m_core->settings.evacuationBound) {
        return;
    }
    {
        const std::lock_guard lock(m_copyMutex);
        if (version <= m_evacuationsAsOf) {
            return;
        }
    }
    asio::post(m_strand, [self = shared_from_this()] {
        if (!self->m_stopped) {
            self->fetchIfBehind(self->m_mesh->live(), true);
        }
    });
}

/// Store versions up to which this instance knows the changes, and the digest of what it retains.
KnownChanges FleetWatch::knownUpTo() const
{
    return {m_replica.documents(wire::DocumentKind::Routing).asOf(),
            m_replica.documents(wire::DocumentKind::Backends).asOf(),
            m_replica.documents(wire::DocumentKind::Evacuations).asOf(),
            retainedDigest()};
}

/// Digest of the documents of all kinds that are used otherwise than the restored store has them; zero without any.
std::uint64_t FleetWatch::retainedDigest() const
{
    std::uint64_t result = 0;
    for (const auto kind : readKinds()) {
        if (const auto digest = m_replica.documents(kind).retainedDigest()) {
            result = XXH64(&digest, sizeof(digest), result + indexOf(kind));
        }
    }
    return result;
}

/// Logs and counts a new era of the store. Whoever writes to the store writes again what the restored store has lost.
void FleetWatch::noteEra(std::string_view source)
{
    const auto before = std::exchange(m_loggedEra, m_replica.era());
    if (before == m_loggedEra) {
        return;
    }
    m_mergedDigests.clear();
    logEvent(before == 0 ? LogLevel::Info : LogLevel::Warning,
             "store_era",
             {{"before", before},
              {"era", m_loggedEra},
              {"source", source},
              {"routing_as_of", m_replica.documents(wire::DocumentKind::Routing).asOf().revision},
              {"backends_as_of", m_replica.documents(wire::DocumentKind::Backends).asOf().revision}});
    if (before == 0) {
        return;
    }
    ++m_restores;
    if (m_onStoreRestored) {
        m_onStoreRestored();
    }
}

/// Logs how many documents are used otherwise than the restored store has them, when that changes.
void FleetWatch::noteRetained()
{
    std::uint64_t missing = 0;
    std::uint64_t withheld = 0;
    for (const auto kind : readKinds()) {
        missing += m_replica.documents(kind).unconfirmedDocuments();
        withheld += m_replica.documents(kind).withheldDocuments();
    }
    if (m_retainedDocuments.exchange(missing + withheld) != missing + withheld) {
        logEvent(LogLevel::Info,
                 "restore_retained",
                 {{"era", m_replica.era()}, {"missing", missing}, {"withheld", withheld}});
    }
}

std::string FleetWatch::metricsText() const
{
    return "# TYPE pomelo_store_restores_total counter\npomelo_store_restores_total " + std::to_string(m_restores)
        + "\n# TYPE pomelo_store_retained_documents gauge\npomelo_store_retained_documents "
        + std::to_string(m_retainedDocuments) + "\n";
}

/// Whether a peer retains documents after a restore that this instance has not heard of.
bool FleetWatch::hasUnknownRetained(const PeerView &peer) const
{
    const auto &known = peer.known;
    if (known.retained == 0 || m_mergedDigests.contains(known.retained)) {
        return false;
    }
    // A peer that has not read all kinds again yet does not know either what it will retain.
    const auto era = m_replica.era();
    const bool isComplete = known.routing.era >= era && known.backends.era >= era
        && (!m_core->settings.evacuationBound || known.evacuations.era >= era);
    return isComplete && known.retained != retainedDigest();
}

/// Whether an instance that has just started waits for a peer that serves callers, since the store may have come back
/// from a copy that is older than what the peers know.
bool FleetWatch::awaitsRetained() const
{
    if (m_replica.era() < FirstRestoredEra || m_core->fleet.current()->routing
        || steadyNow() >= m_startedAt + RetainedStateTime) {
        return false;
    }
    bool hasServingPeer = false;
    for (const auto &peer : m_mesh->live()) {
        if (peer.state == EntryState::Ready && peer.known.routing.era >= m_replica.era()) {
            hasServingPeer = true;
            if (hasUnknownRetained(peer)) {
                return true;
            }
        }
    }
    return !hasServingPeer;
}

/// Whether a peer has changes that this instance lacks.
bool FleetWatch::isAhead(const PeerView &peer, bool onlyEvacuations) const
{
    const bool lacksEvacuations = !knowsEvacuations() && steadyNow() >= m_evacuationsFetchFrom;
    // A peer that serves callers has a list of evacuations, also if that is empty and so has no version.
    const bool hasEvacuations = m_core->settings.evacuationBound
        && (peer.known.evacuations > m_replica.documents(wire::DocumentKind::Evacuations).asOf()
            || (lacksEvacuations && peer.state != EntryState::Starting));
    if (hasEvacuations || onlyEvacuations) {
        return hasEvacuations;
    }
    return peer.known.routing > m_replica.documents(wire::DocumentKind::Routing).asOf()
        || peer.known.backends > m_replica.documents(wire::DocumentKind::Backends).asOf() || hasUnknownRetained(peer);
}

/// Fetches the state of a peer that is ahead of this instance; with atOnce without delay, and only one that is ahead in
/// the evacuations.
void FleetWatch::fetchIfBehind(const std::vector<PeerView> &peers, bool atOnce)
{
    const auto now = steadyNow();
    const bool lacksEvacuations = !knowsEvacuations() && now >= m_evacuationsFetchFrom;
    std::vector<const PeerView *> ahead;
    for (const auto &peer : peers) {
        if (isAhead(peer, atOnce)) {
            ahead.push_back(&peer);
        }
    }
    if (ahead.empty()) {
        m_behindSince = atOnce ? m_behindSince : std::nullopt;
        return;
    }
    if (!m_behindSince) {
        m_behindSince = now;
    }
    const bool isListed =
        m_replica.isKnown(wire::DocumentKind::Routing) && m_replica.isKnown(wire::DocumentKind::Backends);
    // The store does not tell what a peer retains.
    const bool waitsForStore = m_replica.isReader() && isListed && !lacksEvacuations
        && !std::ranges::any_of(ahead, [this](const auto *peer) { return hasUnknownRetained(*peer); });
    const auto delay = waitsForStore ? ReaderFetchDelay : FetchDelay;
    if ((!atOnce && now - *m_behindSince < delay) || m_fetchingPeerState) {
        return;
    }
    // Any peer that is ahead has the changes; those in the own failure domain are preferred.
    const auto otherDomainsBegin = std::partition(ahead.begin(), ahead.end(), [this](const auto *peer) {
        return peer->failureDomain == m_core->settings.failureDomain;
    });
    const auto choiceCount = static_cast<std::size_t>(
        otherDomainsBegin == ahead.begin() ? std::ssize(ahead) : otherDomainsBegin - ahead.begin());
    fetchPeerState(*randomOf(ahead, choiceCount));
}

void FleetWatch::fetchPeerState(const PeerView &peer)
{
    m_fetchingPeerState = true;
    const auto known = knownUpTo();
    auto target = "/state?routing=" + encodeStoreVersion(known.routing)
        + "&backends=" + encodeStoreVersion(known.backends) + "&retained=" + std::to_string(known.retained);
    if (m_core->settings.evacuationBound) {
        target += "&evacuations=" + encodeStoreVersion(known.evacuations);
    }
    const bool isFirst = !m_routing && !m_peerFetchFailed;
    HttpCall call{peer.address, "GET", target, {}, {}, isFirst ? FirstFetchTimeout : FetchTimeout};
    call.maximumReplyBytes = MaximumCopyBytes;
    const auto askedAt = steadyNow();
    m_core->client.send(std::move(call), [self = shared_from_this(), peer, askedAt](auto reply, bool) {
        asio::post(self->m_strand, [self, peer, askedAt, reply = std::move(reply)] {
            if (self->onPeerState(peer, reply)) {
                self->m_core->placement.evacuationsAnswered(askedAt);
            }
        });
    });
}

/// Applies the state of a peer. Returns whether the peer answered with it.
bool FleetWatch::onPeerState(const PeerView &peer, const std::optional<HttpReply> &reply)
{
    constexpr unsigned StatusOk = 200;
    m_fetchingPeerState = false;
    m_behindSince.reset();
    const auto copy = reply && reply->status == StatusOk ? decodeFleetCopy(reply->body) : std::nullopt;
    m_peerFetchFailed = !copy;
    if (!copy) {
        logEvent(LogLevel::Warning, "peer_state_unavailable", {{"address", peer.address}});
        return false;
    }
    const auto now = steadyNow();
    const auto knownKinds = [this] {
        return std::ranges::count_if(readKinds(), [this](wire::DocumentKind kind) { return m_replica.isKnown(kind); });
    };
    const auto knownBefore = knownKinds();
    const auto merge = [this, now](wire::DocumentKind kind, const std::optional<DocumentCopy> &documents) {
        return documents && m_replica.merge(kind, *documents, now);
    };
    const bool routing = merge(wire::DocumentKind::Routing, copy->routing);
    const bool backends = merge(wire::DocumentKind::Backends, copy->backends);
    const bool evacuations = merge(wire::DocumentKind::Evacuations, copy->evacuations);
    noteEra("peer");
    if (peer.known.retained != 0 && (copy->routing || copy->backends || copy->evacuations)) {
        m_mergedDigests.insert(peer.known.retained);
    }
    if (peer.state != EntryState::Starting && !knowsEvacuations()) {
        m_evacuationsFetchFrom = now + EvacuationsFetchInterval;
        m_replica.retryUntilKnown(wire::DocumentKind::Evacuations);
    }
    logEvent(LogLevel::Info,
             "state_from_peer",
             {{"address", peer.address},
              {"routing", routing},
              {"backends", backends},
              {"era", m_replica.era()},
              {"routing_as_of", m_replica.documents(wire::DocumentKind::Routing).asOf().revision},
              {"backends_as_of", m_replica.documents(wire::DocumentKind::Backends).asOf().revision},
              {"removals_delayed", m_replica.documents(wire::DocumentKind::Backends).pendingRemovals()},
              {"bytes", reply->body.size()}});
    // Calls wait for the first list of a kind, also if that is empty and so changes no document.
    if (routing || backends || evacuations || knownKinds() != knownBefore) {
        publish(false);
    } else {
        refreshCopies();
        shareKnownChanges();
    }
    return true;
}

} // namespace pomeloentry
