#include "pomeloport/coordination/configspread.h"

#include "confighistory.h"

#include "pomeloport/coordination/configpatch.h"
#include "pomeloport/coordination/rendezvous.h"

#include <algorithm>
#include <map>
#include <optional>
#include <random>

namespace pomeloport
{

using configspread::Peer;
using control::ConfigAnnounce;
using control::ConfigPull;

namespace
{

/// Number of rounds in which a new version is forwarded to peers.
constexpr std::uint32_t AnnouncementRounds = 2;
/// Number of peers that must report their version to confirm the configuration while the store does not answer; all
/// peers if there are fewer.
constexpr std::size_t ConfirmingPeers = 2;
/// Minimum time between two ConfigPull requests.
constexpr Duration PullInterval = std::chrono::milliseconds(200);
/// Time after which an unanswered fetch of the complete configuration may be repeated.
constexpr Duration FetchTimeout = std::chrono::milliseconds(1000);
/// Time after adopting a version during which peers with an older one are expected to receive it from the rounds; after
/// that it is sent to each peer whose heartbeat reports an older version.
constexpr Duration PushDelay = std::chrono::milliseconds(500);
/// Minimum time between two checks whether the store is reachable.
constexpr Duration ReachabilityCheckInterval = std::chrono::milliseconds(500);
/// Name of an object that never exists; reading it only tests whether the store is reachable.
constexpr const char *ReachabilityCheckName = "reachable";

} // namespace

/// State of the dissemination at one instance.
struct ConfigSpread::Implementation
{
    Implementation(ConfigSpreadSettings initialSettings, Instant now)
        : settings(std::move(initialSettings))
        , random(static_cast<std::minstd_rand::result_type>(settings.seed))
        , lastPeerMessage(now)
        , lastStoreReply(now)
        , confirmingSince(now)
        , nextGet(now)
    {
    }

    double uniform(double low, double high)
    {
        return std::uniform_real_distribution<double>(low, high)(random);
    }

    void send(const std::string &address, ControlMessage message)
    {
        actions.push_back(configspread::Send{address, std::move(message)});
    }

    std::uint64_t callStore(StoreOperation operation, std::string_view name, std::uint64_t after)
    {
        StoreCall call;
        call.id = ++lastCallId;
        call.operation = operation;
        call.kind = ConfigKind;
        call.name = name;
        call.ifVersion = after;
        actions.push_back(configspread::CallStore{std::move(call)});
        return lastCallId;
    }

    // Watching the store.

    /// Returns whether this instance should watch the store: it is one of the watchers chosen in its failure domain, no
    /// peers are expected, or its peers are silent.
    bool shouldWatch(Instant now) const
    {
        if (!peersExpected || peersSilent(now)) {
            return true;
        }
        const auto order = rendezvousOrder(settings.failureDomain, domainMembers());
        const auto end = order.begin() + std::min<std::ptrdiff_t>(settings.watchersPerDomain, std::ssize(order));
        return std::find(order.begin(), end, settings.self.instance) != end;
    }

    std::vector<std::string> domainMembers() const
    {
        std::vector<std::string> names{settings.self.instance};
        for (const auto &peer : peers) {
            if (peer.failureDomain == settings.failureDomain) {
                names.push_back(peer.instance);
            }
        }
        return names;
    }

    bool peersSilent(Instant now) const
    {
        return now - lastPeerMessage > settings.peerSilenceThreshold;
    }

    void pollStore(Instant now)
    {
        if (!confirmed && !storeConfirmed && getCallId == 0 && now >= nextGet) {
            getCallId = callStore(StoreOperation::Get, ConfigName, 0);
            getCallStart = now;
        }
        if (getCallId != 0 && now - getCallStart > settings.storeTimeout) {
            storeFailed = true;
        }
        if (!watcherDecided) {
            watcher = shouldWatch(now);
            watcherDecided = true;
        }
        watchingNow = watcher || (peersExpected && peersSilent(now));
        const bool started = storeConfirmed || confirmed;
        if (watchingNow && started && watchCallId == 0 && now >= nextWatch) {
            watchCallId = callStore(StoreOperation::Watch, {}, history.version());
        }
        if (needsReachabilityCheck(now) && reachabilityCallId == 0 && now >= nextReachabilityCheck) {
            nextReachabilityCheck = now + ReachabilityCheckInterval;
            reachabilityCallId = callStore(StoreOperation::Get, ReachabilityCheckName, 0);
        }
    }

    /// Returns whether reachability of the store has to be tested because the peers cannot prove that this instance is
    /// up to date.
    bool needsReachabilityCheck(Instant now) const
    {
        return peersExpected && (peersSilent(now) || mostPeersDead());
    }

    /// Returns whether more instances of the region died within the last hour than are still alive, so that this
    /// instance may be in the smaller part of a partitioned region.
    bool mostPeersDead() const
    {
        return recentlyDead > peers.size() + 1;
    }

    void onStoreReply(const StoreReply &reply, Instant now)
    {
        const bool reached = reply.status != StoreStatus::Unavailable && reply.status != StoreStatus::Rejected;
        if (reached) {
            lastStoreReply = now;
        }
        if (reply.id == reachabilityCallId) {
            reachabilityCallId = 0;
            return;
        }
        if (reply.id == getCallId) {
            getCallId = 0;
            storeConfirmed = reached;
            storeFailed = !reached;
            nextGet = now + storeDelay(reached);
        } else if (reply.id == watchCallId) {
            watchCallId = 0;
            nextWatch = now + storeDelay(reached);
        }
        for (const auto &object : reply.objects) {
            adoptObject(object, now);
        }
    }

    /// Returns the delay before the next call of the same kind: none after a reply, otherwise exponential back-off with
    /// jitter.
    Duration storeDelay(bool reached)
    {
        if (reached) {
            storeRetry = Duration{};
            return Duration{};
        }
        storeRetry = std::clamp(storeRetry * 2, settings.minimumStoreRetry, settings.maximumStoreRetry);
        return fromSeconds(seconds(storeRetry) * uniform(0.5, 1.5));
    }

    void adoptObject(const StoreObject &object, Instant now)
    {
        if (object.name != ConfigName || object.removed || object.version <= history.version()) {
            return;
        }
        if (auto config = decodeConfigObject(object.value)) {
            const bool adopted = history.adopt(object.version, std::move(config->token), std::move(config->yaml));
            if (adopted) {
                onVersionAdopted(now);
            }
        }
    }

    // Dissemination.

    void onVersionAdopted(Instant now)
    {
        actions.push_back(configspread::Adopt{history.version(), history.token(), history.yaml()});
        adoptedAt = now;
        roundsLeft = AnnouncementRounds;
        nextRound = now;
        sendAnnouncementRound(now);
    }

    /// Sends the latest version to some peers if a round is due.
    void sendAnnouncementRound(Instant now)
    {
        if (roundsLeft == 0 || now < nextRound) {
            return;
        }
        const bool first = roundsLeft == AnnouncementRounds;
        --roundsLeft;
        nextRound = now + settings.roundDelay;
        const bool domainOnly = settings.policy == SpreadPolicy::DomainFirst;
        for (const auto *peer : pickPeers(domainOnly)) {
            send(peer->datagramAddress, history.latestAnnouncement());
        }
        if (domainOnly && first) {
            announceToOtherDomains();
        }
    }

    std::vector<const Peer *> pickPeers(bool domainOnly)
    {
        std::vector<const Peer *> candidates;
        for (const auto &peer : peers) {
            if (!domainOnly || peer.failureDomain == settings.failureDomain) {
                candidates.push_back(&peer);
            }
        }
        std::ranges::shuffle(candidates, random);
        candidates.resize(std::min<std::size_t>(candidates.size(), settings.fanout));
        return candidates;
    }

    /// Sends the version to one instance of each other failure domain if this instance is the one chosen to do so for
    /// its own domain. Hashing the version spreads this work over the instances.
    void announceToOtherDomains()
    {
        const auto key = std::to_string(history.version());
        if (rendezvousOwner(key, domainMembers()) != settings.self.instance) {
            return;
        }
        std::map<std::string, std::vector<std::string>> otherDomains;
        for (const auto &peer : peers) {
            if (peer.failureDomain != settings.failureDomain) {
                otherDomains[peer.failureDomain].push_back(peer.instance);
            }
        }
        for (const auto &[domain, names] : otherDomains) {
            const auto recipient = rendezvousOwner(key, names);
            send(std::ranges::find(peers, recipient, &Peer::instance)->datagramAddress, history.latestAnnouncement());
        }
    }

    void receive(const configspread::Received &event, Instant now)
    {
        lastPeerMessage = now;
        if (const auto *pull = std::get_if<ConfigPull>(&event.message)) {
            if (history.version() > pull->have) {
                send(event.address, history.announcement(pull->have));
            }
        } else if (const auto *announce = std::get_if<ConfigAnnounce>(&event.message)) {
            recordPeerVersion(event.sender.instance, announce->version);
            applyAnnouncement(*announce, event, now);
        }
    }

    void applyAnnouncement(const ConfigAnnounce &announce, const configspread::Received &event, Instant now)
    {
        if (announce.version <= history.version()) {
            return;
        }
        if (history.apply(announce.patches)) {
            onVersionAdopted(now);
        }
        if (announce.version <= history.version()) {
            return;
        }
        if (announce.patches.empty() || history.version() == 0) {
            fetch(event.sender.instance, now);
        } else {
            pull(event.address, now);
        }
    }

    void pull(const std::string &address, Instant now)
    {
        if (now >= nextPull) {
            nextPull = now + PullInterval;
            send(address, ConfigPull{history.version()});
        }
    }

    void fetch(const std::string &instance, Instant now)
    {
        const auto peer = std::ranges::find(peers, instance, &Peer::instance);
        if (peer == peers.end() || (fetchStart && now - *fetchStart < FetchTimeout)) {
            return;
        }
        fetchStart = now;
        actions.push_back(configspread::Fetch{peer->instance, peer->peerAddress});
    }

    void recordPeerVersion(const std::string &instance, std::uint64_t peerVersion)
    {
        if (!confirmed && peerVersion != 0) {
            peerVersions[instance] = std::max(peerVersions[instance], peerVersion);
        }
        highestPeerVersion = std::max(highestPeerVersion, peerVersion);
    }

    void onHeartbeat(const configspread::HeartbeatReceived &event, Instant now)
    {
        lastPeerMessage = now;
        recordPeerVersion(event.id.instance, event.configVersion);
        if (event.configVersion > history.version()) {
            if (history.version() == 0) {
                fetch(event.id.instance, now);
            } else {
                pull(event.datagramAddress, now);
            }
        } else if (event.configVersion < history.version() && now - adoptedAt > PushDelay) {
            send(event.datagramAddress, history.announcement(event.configVersion));
        }
    }

    void onPeersChanged(const configspread::PeersChanged &event, Instant now)
    {
        if (event.expectPeers && !peersExpected && !confirmed) {
            nextGet = now + fromSeconds(seconds(settings.maximumStartupDelay) * uniform(0, 1));
        }
        peers = event.peers;
        recentlyDead = event.recentlyDead;
        peersExpected = event.expectPeers;
        watcherDecided = false;
    }

    // Admission.

    void updateAdmission(Instant now)
    {
        const bool silent =
            peersExpected && now - std::max(lastPeerMessage, lastStoreReply) > settings.admissionSilenceLimit;
        const bool partitioned =
            peersExpected && mostPeersDead() && now - lastStoreReply > settings.admissionSilenceLimit;
        if ((silent || partitioned) && confirmed) {
            resetConfirmation(now);
        }
        if (!confirmed && !silent && !partitioned) {
            confirmed = isConfirmed(now);
        }
        const bool allowed = confirmed && history.version() != 0;
        if (allowed != admittingNow) {
            admittingNow = allowed;
            const char *reason = silent ? "no message from peers and no reply from the store"
                                        : "most peers have died and the store does not answer";
            actions.push_back(configspread::AdmissionChanged{allowed, allowed ? "configuration confirmed" : reason});
        }
    }

    /// Requires the configuration to be confirmed anew, by store or peers, before work is admitted again.
    void resetConfirmation(Instant now)
    {
        confirmed = false;
        storeConfirmed = false;
        storeFailed = false;
        confirmingSince = now;
        peerVersions.clear();
        nextGet = std::max(nextGet, now);
    }

    /// Returns whether store or peers have confirmed that no higher version exists. While the store does not answer,
    /// the reports of several peers are required, and most of the region's instances must be alive.
    bool isConfirmed(Instant now) const
    {
        if (history.version() < highestPeerVersion) {
            return false;
        }
        if (storeConfirmed) {
            return !peersExpected || !peerVersions.empty() || now - confirmingSince >= settings.peerWait;
        }
        const auto needed = std::min(ConfirmingPeers, std::max<std::size_t>(peers.size(), 1));
        return storeFailed && peerVersions.size() >= needed && !mostPeersDead();
    }

    ConfigSpreadSettings settings;
    detail::ConfigHistory history;
    std::minstd_rand random;
    std::vector<Peer> peers;
    std::size_t recentlyDead = 0;
    bool peersExpected = false;
    Instant lastPeerMessage;
    Instant lastStoreReply;

    bool confirmed = false;
    bool storeConfirmed = false;
    bool storeFailed = false;
    bool admittingNow = false;
    Instant confirmingSince;
    std::map<std::string, std::uint64_t> peerVersions;
    std::uint64_t highestPeerVersion = 0;

    std::uint64_t lastCallId = 0;
    std::uint64_t getCallId = 0;
    std::uint64_t watchCallId = 0;
    std::uint64_t reachabilityCallId = 0;
    Instant getCallStart{};
    Instant nextGet;
    Instant nextWatch{};
    Instant nextReachabilityCheck{};
    Duration storeRetry{};
    bool watcher = false;
    bool watcherDecided = false;
    bool watchingNow = false;

    Instant adoptedAt{};
    std::uint32_t roundsLeft = 0;
    Instant nextRound{};
    Instant nextPull{};
    std::optional<Instant> fetchStart;
    std::vector<ConfigSpreadAction> actions;
};

ConfigSpread::ConfigSpread(ConfigSpreadSettings settings, Instant now)
    : m_implementation(std::make_unique<Implementation>(std::move(settings), now))
{
}

ConfigSpread::~ConfigSpread() = default;

std::vector<ConfigSpreadAction> ConfigSpread::handle(const ConfigSpreadEvent &event, Instant now)
{
    auto &state = *m_implementation;
    // Evaluate silence before the event that would end it: after a pause of the process, datagrams that were queued
    // meanwhile must not hide that no message arrived for too long.
    state.updateAdmission(now);
    if (std::holds_alternative<configspread::Tick>(event)) {
        state.pollStore(now);
        state.sendAnnouncementRound(now);
    } else if (const auto *answered = std::get_if<configspread::StoreAnswered>(&event)) {
        state.onStoreReply(answered->reply, now);
    } else if (const auto *received = std::get_if<configspread::Received>(&event)) {
        state.receive(*received, now);
    } else if (const auto *heartbeat = std::get_if<configspread::HeartbeatReceived>(&event)) {
        state.onHeartbeat(*heartbeat, now);
    } else if (const auto *changed = std::get_if<configspread::PeersChanged>(&event)) {
        state.onPeersChanged(*changed, now);
    } else if (const auto *fetched = std::get_if<configspread::Fetched>(&event)) {
        state.fetchStart.reset();
        if (state.history.adopt(fetched->version, fetched->token, fetched->yaml)) {
            state.onVersionAdopted(now);
        }
    } else {
        state.fetchStart.reset();
    }
    state.updateAdmission(now);
    return std::exchange(state.actions, {});
}

std::uint64_t ConfigSpread::version() const
{
    return m_implementation->history.version();
}

const std::string &ConfigSpread::token() const
{
    return m_implementation->history.token();
}

std::shared_ptr<const std::string> ConfigSpread::yaml() const
{
    return m_implementation->history.yaml();
}

bool ConfigSpread::admitting() const
{
    return m_implementation->admittingNow;
}

bool ConfigSpread::watching() const
{
    return m_implementation->watchingNow;
}

} // namespace pomeloport
