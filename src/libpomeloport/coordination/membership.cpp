#include "pomeloport/coordination/membership.h"

#include "memberlist.h"
#include "regiontable.h"

#include "pomeloport/coordination/rendezvous.h"

#include <algorithm>
#include <bit>
#include <deque>
#include <map>
#include <random>
#include <set>

namespace pomeloport
{

using control::Ack;
using control::Gossip;
using control::MemberRecord;
using control::Ping;
using control::PingRequest;
using control::RegionContact;
using control::RegionExchange;
using control::RegionSummary;
using control::SyncOffer;
using control::SyncRecords;
using detail::MergeResult;

namespace
{

/// Records and summaries that fit a heartbeat.
constexpr std::size_t RecordsPerGossip = 4;
constexpr std::size_t RegionsPerGossip = 1;
/// Records in one datagram of a synchronisation.
constexpr std::size_t RecordsPerSync = 7;
/// Digest entries in one datagram.
constexpr std::size_t EntriesPerOffer = 110;
/// Contacts and lagging instances named in a summary.
constexpr std::size_t ContactsPerRegion = 3;
constexpr std::size_t LaggingPerRegion = 3;
/// Least time between two synchronisations that this instance starts.
constexpr Duration SyncInterval = std::chrono::seconds(1);
/// Peers that hear at once of an instance that died or leaves.
constexpr std::size_t UrgentPeers = 2;
/// Time between two heartbeats to a suspect.
constexpr Duration VerifyInterval = std::chrono::milliseconds(400);
/// A gap between two ticks that means that this process was paused and knows nothing of its peers.
constexpr Duration PauseThreshold = std::chrono::seconds(1);

} // namespace

/// All state of one instance's membership.
struct Membership::Implementation
{
    /// A heartbeat without an answer so far.
    struct Probe
    {
        std::uint64_t number = 0;
        std::string name;
        Instant sentAt{};
        bool helpersAsked = false;
    };

    Implementation(MembershipSettings membershipSettings, Instant now)
        : settings(std::move(membershipSettings))
        , list(settings.self, settings.suspicionTime, settings.deadRetention)
        , random(static_cast<std::minstd_rand::result_type>(settings.seed))
        , startedAt(now)
        , lastTick(now)
        , nextProbe(now + jittered(settings.probeInterval))
        , nextStranger(now)
        , nextSummary(now + settings.summaryInterval)
    {
    }

    // Time, sending and choosing.

    Duration jittered(Duration duration)
    {
        std::uniform_real_distribution<double> factor(0.75, 1.25);
        return fromSeconds(seconds(duration) * factor(random));
    }

    void send(const std::string &address, ControlMessage message)
    {
        actions.push_back(membership::Send{address, std::move(message)});
    }

    void changed()
    {
        actions.push_back(membership::Changed{});
    }

    std::uint32_t regionTransmissions() const
    {
        return static_cast<std::uint32_t>(std::bit_width(list.peers().size() + 1));
    }

    /// What a heartbeat to a receiver carries. A receiver that is held against being alive is told so, to refute it.
    Gossip gossipFor(const std::string &receiver)
    {
        Gossip gossip;
        gossip.self = list.self();
        gossip.memberDigest = list.digest();
        gossip.configVersion = self.configVersion;
        gossip.records = list.takeNews(RecordsPerGossip);
        gossip.regions = regions.takeNews(RegionsPerGossip);
        const auto *known = receiver.empty() ? nullptr : list.find(receiver);
        if (known && (known->state == InstanceState::Suspect || known->state == InstanceState::Dead)) {
            gossip.records.push_back(*known);
        }
        return gossip;
    }

    // Heartbeats.

    void tick(Instant now)
    {
        if (now - lastTick > PauseThreshold) {
            probes.clear();
            list.restartSuspicion(now);
        }
        lastTick = now;
        checkProbes(now);
        if (list.expire(now)) {
            changed();
            pushNews();
        }
        verifySuspects(now);
        if (now >= nextProbe) {
            nextProbe = now + jittered(settings.probeInterval);
            probeNext(now);
        }
        if (now >= nextStranger) {
            nextStranger = now + jittered(settings.strangerInterval);
            probeStranger();
        }
        if (now >= nextSummary) {
            nextSummary = now + settings.summaryInterval;
            summarise(now);
        }
    }

    void checkProbes(Instant now)
    {
        std::vector<Probe> open;
        for (auto &probe : probes) {
            const auto *record = list.find(probe.name);
            if (!record || record->state == InstanceState::Dead) {
                continue;
            }
            if (now - probe.sentAt >= settings.probeInterval) {
                list.suspect(probe.name, now);
                changed();
                continue;
            }
            if (!probe.helpersAsked && now - probe.sentAt >= settings.ackTimeout) {
                probe.helpersAsked = true;
                askHelpers(probe.number, *record);
            }
            open.push_back(probe);
        }
        probes = std::move(open);
    }

    /// Sends heartbeats to suspects, so that they hear of the suspicion and can refute it to each peer directly.
    void verifySuspects(Instant now)
    {
        const auto suspects = list.suspects();
        std::erase_if(verifyAt, [&](const auto &entry) { return !std::ranges::binary_search(suspects, entry.first); });
        for (const auto &name : suspects) {
            const auto *record = list.find(name);
            const auto [entry, fresh] = verifyAt.try_emplace(name, now + jittered(settings.ackTimeout));
            if (!fresh && now >= entry->second) {
                entry->second = now + jittered(VerifyInterval);
                send(record->datagramAddress, Ping{++lastNumber, {}, gossipFor(name)});
            }
        }
    }

    void askHelpers(std::uint64_t number, const MemberRecord &target)
    {
        auto candidates = list.peers();
        std::erase(candidates, target.id.instance);
        std::ranges::shuffle(candidates, random);
        candidates.resize(std::min<std::size_t>(candidates.size(), settings.helpers));
        for (const auto &name : candidates) {
            send(list.find(name)->datagramAddress, PingRequest{number, target.datagramAddress});
        }
    }

    /// Goes through all peers in a random order, then through a new one.
    void probeNext(Instant now)
    {
        while (!order.empty()) {
            const auto name = order.front();
            order.pop_front();
            const auto *record = list.find(name);
            if (record && record->state != InstanceState::Dead) {
                probe(*record, now);
                return;
            }
        }
        auto names = list.peers();
        std::ranges::shuffle(names, random);
        order.assign(names.begin(), names.end());
        if (!order.empty()) {
            probeNext(now);
        }
    }

    void probe(const MemberRecord &record, Instant now)
    {
        probes.push_back({++lastNumber, record.id.instance, now, false});
        send(record.datagramAddress, Ping{lastNumber, {}, gossipFor(record.id.instance)});
    }

    /// Tries one address that no live peer has: a dead instance's, a seed's, a listed one's or another region's.
    void probeStranger()
    {
        std::set<std::string> live{list.self().datagramAddress};
        for (const auto &name : list.peers()) {
            live.insert(list.find(name)->datagramAddress);
        }
        std::vector<std::string> candidates;
        for (const auto &name : list.dead()) {
            candidates.push_back(list.find(name)->datagramAddress);
        }
        candidates.insert(candidates.end(), addresses.begin(), addresses.end());
        std::erase_if(candidates, [&](const auto &address) { return live.contains(address); });
        if (candidates.empty()) {
            return;
        }
        const bool alone = live.size() == 1;
        std::ranges::shuffle(candidates, random);
        candidates.resize(std::min<std::size_t>(candidates.size(), alone ? settings.helpers : 1));
        for (const auto &address : candidates) {
            send(address, Ping{++lastNumber, {}, gossipFor(nameAt(address))});
        }
    }

    std::string nameAt(const std::string &address) const
    {
        for (const auto &name : list.dead()) {
            if (list.find(name)->datagramAddress == address) {
                return name;
            }
        }
        return {};
    }

    /// Sends heartbeats with the news to some peers at once, instead of with the next regular ones.
    void pushNews()
    {
        auto names = list.peers();
        std::ranges::shuffle(names, random);
        names.resize(std::min(names.size(), UrgentPeers));
        for (const auto &name : names) {
            send(list.find(name)->datagramAddress, Ping{++lastNumber, {}, gossipFor(name)});
        }
    }

    // Receiving.

    void receive(const membership::Received &event, Instant now)
    {
        std::visit([&](const auto &message) { take(message, event, now); }, event.message);
    }

    void take(const Ping &ping, const membership::Received &event, Instant now)
    {
        takeGossip(ping.gossip, event.address, now);
        Ack ack{ping.number, ping.relayTo, gossipFor(ping.gossip.self.id.instance)};
        if (ping.gossip.self.region != settings.self.region) {
            ack.gossip.regions = introduction(ping.gossip.self.region, now);
        }
        send(event.address, std::move(ack));
    }

    /// What a stranger from another region needs to find its own, and this one.
    std::vector<RegionSummary> introduction(const std::string &region, Instant now) const
    {
        auto ours = ownSummary(rendezvousOrder(settings.self.region, liveNames()));
        ours.stamp = stampAt(now);
        std::vector<RegionSummary> result{std::move(ours)};
        if (const auto *theirs = regions.find(region)) {
            result.push_back(*theirs);
        }
        return result;
    }

    std::uint64_t stampAt(Instant now) const
    {
        const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(now - startedAt);
        return settings.self.id.incarnation + static_cast<std::uint64_t>(elapsed.count());
    }

    void take(const Ack &ack, const membership::Received &event, Instant now)
    {
        if (!ack.relayTo.empty() && ack.relayTo != list.self().datagramAddress) {
            send(ack.relayTo, Ack{ack.number, {}, ack.gossip});
            return;
        }
        std::erase_if(probes, [&](const auto &probe) { return probe.number == ack.number; });
        takeGossip(ack.gossip, event.address, now);
    }

    void take(const PingRequest &request, const membership::Received &event, Instant /*now*/)
    {
        send(request.targetAddress, Ping{request.number, event.address, gossipFor({})});
    }

    void take(const SyncOffer &offer, const membership::Received &event, Instant /*now*/)
    {
        auto missing = list.compare(offer.entries);
        sendRecords(event.address, std::move(missing.records), std::move(missing.wanted));
    }

    void take(const SyncRecords &sync, const membership::Received &event, Instant now)
    {
        for (const auto &record : sync.records) {
            takeRecord(record, now);
        }
        if (!sync.wanted.empty()) {
            sendRecords(event.address, list.byHash(sync.wanted), {});
        }
    }

    void take(const RegionExchange &exchange, const membership::Received & /*event*/, Instant /*now*/)
    {
        for (const auto &summary : exchange.regions) {
            takeSummary(summary);
        }
    }

    template<typename Other>
    void take(const Other & /*message*/, const membership::Received & /*event*/, Instant /*now*/)
    {
    }

    void sendRecords(const std::string &address, std::vector<MemberRecord> records, std::vector<std::uint32_t> wanted)
    {
        if (!wanted.empty()) {
            wanted.resize(std::min(wanted.size(), EntriesPerOffer));
            send(address, SyncRecords{{}, std::move(wanted)});
        }
        while (!records.empty()) {
            const auto count = std::min(records.size(), RecordsPerSync);
            SyncRecords part;
            part.records.assign(records.end() - static_cast<std::ptrdiff_t>(count), records.end());
            records.resize(records.size() - count);
            send(address, std::move(part));
        }
    }

    void takeGossip(const Gossip &gossip, const std::string &address, Instant now)
    {
        for (const auto &summary : gossip.regions) {
            takeSummary(summary);
        }
        if (gossip.self.region != settings.self.region) {
            return;
        }
        takeRecord(gossip.self, now);
        for (const auto &record : gossip.records) {
            takeRecord(record, now);
        }
        const auto &id = gossip.self.id;
        if (id == settings.self.id) {
            return;
        }
        actions.push_back(
            membership::PeerHeard{id, gossip.self.datagramAddress, gossip.self.peerAddress, gossip.configVersion});
        if (gossip.memberDigest != list.digest() && now >= nextSync) {
            nextSync = now + jittered(SyncInterval);
            offer(address);
        }
    }

    void offer(const std::string &address)
    {
        auto entries = list.entries();
        std::ranges::shuffle(entries, random);
        entries.resize(std::min(entries.size(), EntriesPerOffer));
        send(address, SyncOffer{std::move(entries)});
    }

    void takeRecord(const MemberRecord &record, Instant now)
    {
        if (record.region != settings.self.region) {
            return;
        }
        switch (list.merge(record, now)) {
        case MergeResult::Applied:
            changed();
            if (record.state == InstanceState::Dead || record.state == InstanceState::Leaving) {
                pushNews();
            }
            break;
        case MergeResult::Outdated:
            list.spread(record.id.instance);
            break;
        case MergeResult::AboutSelf:
            list.refute(record.revision);
            changed();
            break;
        case MergeResult::Known:
            break;
        }
    }

    // Regions.

    void takeSummary(const RegionSummary &summary)
    {
        if (!regions.merge(summary, regionTransmissions())) {
            return;
        }
        if (summary.region == settings.self.region) {
            meetContacts(summary);
        }
    }

    /// Greets instances of the own region that another region knows and this instance does not take for live.
    void meetContacts(const RegionSummary &summary)
    {
        for (const auto &contact : summary.contacts) {
            const auto *known = list.find(contact.id.instance);
            if (known && known->id.incarnation >= contact.id.incarnation && known->state != InstanceState::Dead) {
                continue;
            }
            send(contact.datagramAddress, Ping{++lastNumber, {}, gossipFor(contact.id.instance)});
        }
    }

    std::vector<std::string> liveNames() const
    {
        std::vector<std::string> names{settings.self.id.instance};
        for (const auto &name : list.peers()) {
            if (list.find(name)->state == InstanceState::Alive) {
                names.push_back(name);
            }
        }
        return names;
    }

    /// The instance that speaks for the region, the same for all who know the same members, sends its summary to one
    /// contact of each other region, when it changed or is due again.
    void summarise(Instant now)
    {
        const auto names = liveNames();
        const auto order = rendezvousOrder(settings.self.region, names);
        if (order.front() != settings.self.id.instance) {
            return;
        }
        auto summary = ownSummary(order);
        const bool same = lastSummary.liveInstances == summary.liveInstances
            && lastSummary.lowestConfigVersion == summary.lowestConfigVersion
            && lastSummary.contacts == summary.contacts && lastSummary.lagging == summary.lagging;
        if (same && now < nextRepeat) {
            return;
        }
        nextRepeat = now + settings.summaryRepeat;
        summary.stamp = stampAt(now);
        lastSummary = summary;
        regions.merge(summary, 0);
        for (const auto &other : regions.all()) {
            if (other.region != settings.self.region && !other.contacts.empty()) {
                std::uniform_int_distribution<std::size_t> pick(0, other.contacts.size() - 1);
                send(other.contacts[pick(random)].datagramAddress, RegionExchange{{summary}});
            }
        }
    }

    RegionSummary ownSummary(const std::vector<std::string> &order) const
    {
        RegionSummary summary;
        summary.region = settings.self.region;
        summary.liveInstances = static_cast<std::uint32_t>(order.size());
        summary.lowestConfigVersion = self.lowestConfigVersion;
        summary.lagging = self.lagging;
        summary.lagging.resize(std::min(summary.lagging.size(), LaggingPerRegion));
        for (const auto &name : order) {
            const auto *record = list.find(name);
            if (summary.contacts.size() < ContactsPerRegion) {
                summary.contacts.push_back({record->id,
                                            record->failureDomain,
                                            record->httpAddress,
                                            record->peerAddress,
                                            record->datagramAddress});
            }
        }
        return summary;
    }

    MembershipSettings settings;
    detail::MemberList list;
    detail::RegionTable regions;
    std::minstd_rand random;
    Instant startedAt;
    Instant lastTick;
    Instant nextProbe;
    Instant nextStranger;
    Instant nextSummary;
    Instant nextRepeat{};
    Instant nextSync{};
    std::uint64_t lastNumber = 0;
    std::vector<Probe> probes;
    std::map<std::string, Instant> verifyAt;
    std::deque<std::string> order;
    std::vector<std::string> addresses;
    membership::SelfChanged self;
    RegionSummary lastSummary;
    std::vector<MembershipAction> actions;
};

Membership::Membership(MembershipSettings settings, Instant now)
    : m_implementation(std::make_unique<Implementation>(std::move(settings), now))
{
}

Membership::~Membership() = default;

std::vector<MembershipAction> Membership::handle(const MembershipEvent &event, Instant now)
{
    auto &state = *m_implementation;
    if (std::holds_alternative<membership::Tick>(event)) {
        state.tick(now);
    } else if (const auto *received = std::get_if<membership::Received>(&event)) {
        state.receive(*received, now);
    } else if (const auto *learned = std::get_if<membership::AddressesLearned>(&event)) {
        state.addresses = learned->addresses;
    } else if (const auto *self = std::get_if<membership::SelfChanged>(&event)) {
        state.self = *self;
        if (state.list.setLeaving(self->leaving)) {
            state.pushNews();
        }
    }
    return std::exchange(state.actions, {});
}

std::vector<control::MemberRecord> Membership::members() const
{
    return m_implementation->list.all();
}

const control::MemberRecord *Membership::find(std::string_view instance) const
{
    return m_implementation->list.find(instance);
}

std::vector<control::RegionSummary> Membership::regions() const
{
    auto result = m_implementation->regions.all();
    std::erase_if(result,
                  [this](const auto &summary) { return summary.region == m_implementation->settings.self.region; });
    return result;
}

const control::MemberRecord &Membership::self() const
{
    return m_implementation->list.self();
}

} // namespace pomeloport
