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

/// Rounds in which a new version is passed on.
constexpr std::uint32_t SpreadRounds = 2;
/// Peers whose word a fresh instance needs while the store does not answer, or all where there are fewer.
constexpr std::size_t ConfirmingPeers = 2;
/// Least time between two requests for what a peer has and this instance lacks.
constexpr Duration PullInterval = std::chrono::milliseconds(200);
/// Time after which an unanswered request for the whole configuration may be repeated.
constexpr Duration FetchPatience = std::chrono::milliseconds(1000);
/// Time after an adoption in which the ordinary spread is given its chance before peers are told one by one.
constexpr Duration PushDelay = std::chrono::milliseconds(500);
/// Time between two checks whether the store can be reached.
constexpr Duration CheckInterval = std::chrono::milliseconds(500);
/// Name of an object that never exists; reading it shows whether the store can be reached.
constexpr const char *CheckName = "reachable";

} // namespace

/// All state of one instance's spread.
struct ConfigSpread::Implementation
{
    Implementation(ConfigSpreadSettings spreadSettings, Instant now)
        : settings(std::move(spreadSettings))
        , random(static_cast<std::minstd_rand::result_type>(settings.seed))
        , lastPeer(now)
        , lastStore(now)
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
        call.id = ++lastCall;
        call.operation = operation;
        call.kind = ConfigKind;
        call.name = name;
        call.ifVersion = after;
        actions.push_back(configspread::CallStore{std::move(call)});
        return lastCall;
    }

    // Watching the store.

    /// Whether the instance is among the chosen of its failure domain, or hears from no peer at all.
    bool shouldWatch(Instant now) const
    {
        if (!peersExpected || quiet(now)) {
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

    bool quiet(Instant now) const
    {
        return now - lastPeer > settings.quietTime;
    }

    void askStore(Instant now)
    {
        if (!confirmed && !storeConfirmed && getCall == 0 && now >= nextGet) {
            getCall = callStore(StoreOperation::Get, ConfigName, 0);
            getSince = now;
        }
        if (getCall != 0 && now - getSince > settings.storePatience) {
            storeFailed = true;
        }
        if (!watchKnown) {
            watcher = shouldWatch(now);
            watchKnown = true;
        }
        watchNow = watcher || (peersExpected && quiet(now));
        const bool started = storeConfirmed || confirmed;
        if (watchNow && started && watchCall == 0 && now >= nextWatch) {
            watchCall = callStore(StoreOperation::Watch, {}, history.version());
        }
        if (needsCheck(now) && checkCall == 0 && now >= nextCheck) {
            nextCheck = now + CheckInterval;
            checkCall = callStore(StoreOperation::Get, CheckName, 0);
        }
    }

    /// Whether the store must show that it can be reached, because the peers do not suffice.
    bool needsCheck(Instant now) const
    {
        return peersExpected && (quiet(now) || minority());
    }

    /// Whether most of the region's instances went missing within the last hour.
    bool minority() const
    {
        return lost > peers.size() + 1;
    }

    void storeAnswered(const StoreReply &reply, Instant now)
    {
        const bool reached = reply.status != StoreStatus::Unavailable && reply.status != StoreStatus::Rejected;
        if (reached) {
            lastStore = now;
        }
        if (reply.id == checkCall) {
            checkCall = 0;
            return;
        }
        if (reply.id == getCall) {
            getCall = 0;
            storeConfirmed = reached;
            storeFailed = !reached;
            nextGet = now + storeDelay(reached);
        } else if (reply.id == watchCall) {
            watchCall = 0;
            nextWatch = now + storeDelay(reached);
        }
        for (const auto &object : reply.objects) {
            takeObject(object, now);
        }
    }

    /// Delay before the next call of the same kind; grows with jitter while the store does not answer.
    Duration storeDelay(bool reached)
    {
        if (reached) {
            storeRetry = Duration{};
            return Duration{};
        }
        storeRetry = std::clamp(storeRetry * 2, settings.firstStoreRetry, settings.maximumStoreRetry);
        return fromSeconds(seconds(storeRetry) * uniform(0.5, 1.5));
    }

    void takeObject(const StoreObject &object, Instant now)
    {
        if (object.name != ConfigName || object.removed || object.version <= history.version()) {
            return;
        }
        if (auto config = decodeConfigObject(object.value)) {
            const bool adopted = history.adopt(object.version, std::move(config->token), std::move(config->yaml));
            if (adopted) {
                inForce(now);
            }
        }
    }

    // Spreading.

    void inForce(Instant now)
    {
        actions.push_back(configspread::Adopt{history.version(), history.token(), history.yaml()});
        adoptedAt = now;
        roundsLeft = SpreadRounds;
        nextRound = now;
        spreadRound(now);
    }

    void spreadRound(Instant now)
    {
        if (roundsLeft == 0 || now < nextRound) {
            return;
        }
        const bool first = roundsLeft == SpreadRounds;
        --roundsLeft;
        nextRound = now + settings.roundDelay;
        const bool domainOnly = settings.policy == SpreadPolicy::DomainFirst;
        for (const auto *peer : pickPeers(domainOnly)) {
            send(peer->datagramAddress, history.news());
        }
        if (domainOnly && first) {
            leaveDomain();
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

    /// Sends the news to one instance of each other domain, if this instance is its own domain's exit.
    void leaveDomain()
    {
        const auto key = std::to_string(history.version());
        if (rendezvousOwner(key, domainMembers()) != settings.self.instance) {
            return;
        }
        std::map<std::string, std::vector<std::string>> others;
        for (const auto &peer : peers) {
            if (peer.failureDomain != settings.failureDomain) {
                others[peer.failureDomain].push_back(peer.instance);
            }
        }
        for (const auto &[domain, names] : others) {
            const auto exit = rendezvousOwner(key, names);
            send(std::ranges::find(peers, exit, &Peer::instance)->datagramAddress, history.news());
        }
    }

    void receive(const configspread::Received &event, Instant now)
    {
        lastPeer = now;
        if (const auto *pull = std::get_if<ConfigPull>(&event.message)) {
            if (history.version() > pull->have) {
                send(event.address, history.announcement(pull->have));
            }
        } else if (const auto *announce = std::get_if<ConfigAnnounce>(&event.message)) {
            heard(event.sender.instance, announce->version);
            takeAnnouncement(*announce, event, now);
        }
    }

    void takeAnnouncement(const ConfigAnnounce &announce, const configspread::Received &event, Instant now)
    {
        if (announce.version <= history.version()) {
            return;
        }
        if (history.apply(announce.patches)) {
            inForce(now);
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
        if (peer == peers.end() || (fetchSince && now - *fetchSince < FetchPatience)) {
            return;
        }
        fetchSince = now;
        actions.push_back(configspread::Fetch{peer->instance, peer->peerAddress});
    }

    void heard(const std::string &instance, std::uint64_t peerVersion)
    {
        if (!confirmed && peerVersion != 0) {
            heardVersions[instance] = std::max(heardVersions[instance], peerVersion);
        }
        highestHeard = std::max(highestHeard, peerVersion);
    }

    void peerHeard(const configspread::PeerHeard &event, Instant now)
    {
        lastPeer = now;
        heard(event.id.instance, event.configVersion);
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

    void peersChanged(const configspread::PeersChanged &event, Instant now)
    {
        if (event.expected && !peersExpected && !confirmed) {
            nextGet = now + fromSeconds(seconds(settings.startSpread) * uniform(0, 1));
        }
        peers = event.peers;
        lost = event.lost;
        peersExpected = event.expected;
        watchKnown = false;
    }

    // Admission.

    void updateAdmission(Instant now)
    {
        const bool silent = peersExpected && now - std::max(lastPeer, lastStore) > settings.silenceLimit;
        const bool cutOff = peersExpected && minority() && now - lastStore > settings.silenceLimit;
        if ((silent || cutOff) && confirmed) {
            forgetConfirmation(now);
        }
        if (!confirmed && !silent && !cutOff) {
            confirmed = isConfirmed(now);
        }
        const bool allowed = confirmed && history.version() != 0;
        if (allowed != admittingNow) {
            admittingNow = allowed;
            const char *reason = silent ? "no word from store and peers" : "most peers and the store are missing";
            actions.push_back(configspread::AdmissionChanged{allowed, allowed ? "configuration confirmed" : reason});
        }
    }

    void forgetConfirmation(Instant now)
    {
        confirmed = false;
        storeConfirmed = false;
        storeFailed = false;
        confirmingSince = now;
        heardVersions.clear();
        nextGet = std::max(nextGet, now);
    }

    /// Whether store and peers have shown that no higher version exists.
    bool isConfirmed(Instant now) const
    {
        if (history.version() < highestHeard) {
            return false;
        }
        if (storeConfirmed) {
            return !peersExpected || !heardVersions.empty() || now - confirmingSince >= settings.peerWait;
        }
        const auto needed = std::min(ConfirmingPeers, std::max<std::size_t>(peers.size(), 1));
        return storeFailed && heardVersions.size() >= needed && !minority();
    }

    ConfigSpreadSettings settings;
    detail::ConfigHistory history;
    std::minstd_rand random;
    std::vector<Peer> peers;
    std::size_t lost = 0;
    bool peersExpected = false;
    Instant lastPeer;
    Instant lastStore;

    bool confirmed = false;
    bool storeConfirmed = false;
    bool storeFailed = false;
    bool admittingNow = false;
    Instant confirmingSince;
    std::map<std::string, std::uint64_t> heardVersions;
    std::uint64_t highestHeard = 0;

    std::uint64_t lastCall = 0;
    std::uint64_t getCall = 0;
    std::uint64_t watchCall = 0;
    std::uint64_t checkCall = 0;
    Instant getSince{};
    Instant nextGet;
    Instant nextWatch{};
    Instant nextCheck{};
    Duration storeRetry{};
    bool watcher = false;
    bool watchKnown = false;
    bool watchNow = false;

    Instant adoptedAt{};
    std::uint32_t roundsLeft = 0;
    Instant nextRound{};
    Instant nextPull{};
    std::optional<Instant> fetchSince;
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
    // Silence is judged before the event that ends it: a process that was paused finds old datagrams waiting.
    state.updateAdmission(now);
    if (std::holds_alternative<configspread::Tick>(event)) {
        state.askStore(now);
        state.spreadRound(now);
    } else if (const auto *answered = std::get_if<configspread::StoreAnswered>(&event)) {
        state.storeAnswered(answered->reply, now);
    } else if (const auto *received = std::get_if<configspread::Received>(&event)) {
        state.receive(*received, now);
    } else if (const auto *heard = std::get_if<configspread::PeerHeard>(&event)) {
        state.peerHeard(*heard, now);
    } else if (const auto *changed = std::get_if<configspread::PeersChanged>(&event)) {
        state.peersChanged(*changed, now);
    } else if (const auto *fetched = std::get_if<configspread::Fetched>(&event)) {
        state.fetchSince.reset();
        if (state.history.adopt(fetched->version, fetched->token, fetched->yaml)) {
            state.inForce(now);
        }
    } else {
        state.fetchSince.reset();
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
    return m_implementation->watchNow;
}

} // namespace pomeloport
