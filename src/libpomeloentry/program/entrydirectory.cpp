#include "program/entrydirectory.h"

#include "knowledge/storecalls.h"

#include "pomeloentry/knowledge/storereaders.h"
#include "pomeloentry/wire.h"

#include "pomeloport/logging.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace pomeloentry
{

using namespace pomeloport;
namespace asio = boost::asio;

namespace
{

/// The first lists of a new fleet may lack instances that are still starting, so they are repeated soon. Later, peers
/// announce new instances faster than the store does.
constexpr std::uint32_t EarlyLists = 2;
constexpr std::chrono::milliseconds EarlyInterval{2'500};
constexpr std::chrono::milliseconds ListInterval{30'000};
/// List interval while there is no live peer.
constexpr std::chrono::milliseconds NoPeersInterval{2'000};
/// Time after a start in which the seeds can introduce this instance to others, which makes a list needless.
constexpr std::chrono::milliseconds IntroductionTime{700};
/// Interval at which an instance that needs no list checks whether that has changed.
constexpr std::chrono::milliseconds RoleCheckInterval{1'000};
/// A listed instance is removed after this much silence, which is longer than a network outage is expected to last. If
/// it is still alive, it registers again.
constexpr Duration RemovalSilence = std::chrono::minutes(10);

} // namespace

EntryDirectory::EntryDirectory(std::shared_ptr<EntryCore> core, std::shared_ptr<PeerMesh> mesh)
    : m_core(std::move(core))
    , m_mesh(std::move(mesh))
    , m_strand(asio::make_strand(m_core->context))
    , m_store(m_core->context, m_core->settings.storeAddress, StoreTimeout, wire::storeCodec())
    , m_timer(m_strand)
{
}

void EntryDirectory::start()
{
    asio::post(m_strand, [self = shared_from_this()] {
        self->scheduleNextList(self->m_core->settings.isSeed ? std::chrono::milliseconds(0)
                                                             : jittered(IntroductionTime));
    });
}

void EntryDirectory::stop()
{
    asio::post(m_strand, [self = shared_from_this()] {
        self->m_stopped = true;
        self->m_timer.cancel();
    });
}

void EntryDirectory::storeRestored()
{
    asio::post(m_strand, [self = shared_from_this()] {
        if (self->m_stopped) {
            return;
        }
        // A list in progress may be of the earlier era, and no write may carry a revision from there.
        self->m_listCall = 0;
        self->m_completedLists = 0;
        self->scheduleNextList(jittered(FirstRetryDelay));
    });
}

void EntryDirectory::send(StoreCall call, std::function<void(const StoreReply &)> callback)
{
    call.id = m_nextCall++;
    call.kind = wire::kindName(wire::DocumentKind::Entries);
    m_store.call(call, [self = shared_from_this(), callback = std::move(callback)](StoreReply reply) {
        asio::post(self->m_strand, [self, callback, reply = std::move(reply)] {
            if (!self->m_stopped) {
                callback(reply);
            }
        });
    });
}

void EntryDirectory::list(const std::string &after)
{
    StoreCall call;
    call.operation = StoreOperation::List;
    call.after = after;
    // The first list decides whether this instance must register and so has to be current; later ones only serve to
    // find peers.
    call.mayBeStale = m_completedLists > 0;
    if (after.empty()) {
        m_listedObjects.clear();
        m_listEra.reset();
    }
    m_listCall = m_nextCall;
    send(call, [this](const StoreReply &reply) {
        if (reply.id == m_listCall) {
            onListReply(reply);
        }
    });
}

void EntryDirectory::onListReply(const StoreReply &reply)
{
    const bool isOtherEra = m_listEra && reply.era && *reply.era != *m_listEra;
    if (reply.status != StoreStatus::Ok || isOtherEra) {
        m_listedObjects.clear();
        ++m_failedLists;
        scheduleNextList();
        return;
    }
    m_failedLists = 0;
    m_listEra = reply.era;
    m_listedObjects.insert(m_listedObjects.end(), reply.objects.begin(), reply.objects.end());
    if (reply.more && !reply.objects.empty()) {
        list(reply.objects.back().name);
        return;
    }
    const auto &self = m_core->settings.instance;
    const auto own = std::ranges::find(m_listedObjects, self, &StoreObject::name);
    if (own == m_listedObjects.end() || own->value != m_core->settings.peerAddress) {
        registerSelf(own == m_listedObjects.end() ? nullptr : &*own);
    }
    for (const auto &object : m_listedObjects) {
        if (object.name != self && !object.value.empty()) {
            m_mesh->learn({object.value, {}, false});
        }
    }
    ++m_completedLists;
    removeSilentInstances();
    m_listedObjects.clear();
    scheduleNextList();
}

void EntryDirectory::scheduleNextList()
{
    auto interval = m_completedLists < EarlyLists ? EarlyInterval : ListInterval;
    if (m_mesh->live().empty()) {
        interval = NoPeersInterval;
    }
    if (m_failedLists > 0) {
        interval = m_completedLists == 0 ? retryDelay(m_failedLists) : EarlyInterval;
    }
    scheduleNextList(jittered(interval));
}

void EntryDirectory::scheduleNextList(std::chrono::milliseconds interval)
{
    m_timer.expires_after(interval);
    m_timer.async_wait([self = shared_from_this()](boost::system::error_code error) {
        if (error || self->m_stopped) {
            return;
        }
        if (self->needsList()) {
            self->list({});
        } else {
            self->scheduleNextList(jittered(RoleCheckInterval));
        }
    });
}

/// Whether this instance needs the list or has to be on it: the readers of the store are registered, through whom
/// others find the rest of the fleet. An instance without peers looks for them.
bool EntryDirectory::needsList() const
{
    const auto peers = m_mesh->live();
    return peers.empty() || readsStore(m_mesh->ownCandidate(), readerCandidates(peers));
}

/// Writes this instance's peer address to the store. A failed write is repeated after the next list.
void EntryDirectory::registerSelf(const StoreObject *existing)
{
    StoreCall call;
    call.operation = existing ? StoreOperation::Update : StoreOperation::Create;
    call.name = m_core->settings.instance;
    call.value = m_core->settings.peerAddress;
    call.ifVersion = existing ? existing->version : 0;
    send(call, [](const StoreReply &reply) {
        logEvent(LogLevel::Info, "registered", {{"status", nameOf(reply.status)}, {"as_of", reply.storeVersion}});
    });
}

/// Removes instances from the store that were silent for RemovalSilence; only the first-ranked instance does so.
void EntryDirectory::removeSilentInstances()
{
    const auto now = steadyNow();
    const auto peers = m_mesh->live();
    const auto isLive = [&peers](const std::string &name) {
        return std::ranges::find(peers, name, &PeerView::instance) != peers.end();
    };
    std::erase_if(m_silentSince, [this, &isLive](const auto &entry) {
        return isLive(entry.first)
            || std::ranges::find(m_listedObjects, entry.first, &StoreObject::name) == m_listedObjects.end();
    });
    const auto candidates = readerCandidates(peers);
    const bool first = ranksFirst(m_mesh->ownCandidate(), candidates);
    for (const auto &object : m_listedObjects) {
        if (object.name == m_core->settings.instance || isLive(object.name)) {
            continue;
        }
        const auto silentSince = m_silentSince.try_emplace(object.name, now).first->second;
        if (!first || now - silentSince < RemovalSilence) {
            continue;
        }
        StoreCall call;
        call.operation = StoreOperation::Remove;
        call.name = object.name;
        call.ifVersion = object.version;
        send(call, [name = object.name, silent = now - silentSince](const StoreReply &reply) {
            logEvent(LogLevel::Info,
                     "instance_removed",
                     {{"instance", name}, {"silent_ms", silent.count() / 1000}, {"status", nameOf(reply.status)}});
        });
    }
}

} // namespace pomeloentry
