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

/// Maximum numbers of member records and region summaries that one heartbeat carries.
constexpr std::size_t RecordsPerGossip = 4;
constexpr std::size_t RegionsPerGossip = 1;
/// Maximum number of member records in one SyncRecords datagram.
constexpr std::size_t RecordsPerSync = 7;
/// Maximum number of digest entries or requested names in one datagram.
constexpr std::size_t EntriesPerOffer = 110;
/// Maximum numbers of contacts and lagging instances in a region summary.
constexpr std::size_t ContactsPerRegion = 3;
constexpr std::size_t LaggingPerRegion = 3;
/// Minimum time between two synchronisations started by this instance.
constexpr Duration SyncInterval = std::chrono::seconds(1);
/// Number of peers notified immediately when an instance dies or starts leaving.
constexpr std::size_t PeersPerUpdatePush = 2;
/// Interval between heartbeats to a suspect.
constexpr Duration SuspectProbeInterval = std::chrono::milliseconds(400);
/// A longer gap between two ticks means that this process was paused, so that missing acknowledgements say nothing
/// about the peers.
constexpr Duration PauseThreshold = std::chrono::seconds(1);

} // namespace

/// State of the membership at one instance.
struct Membership::Implementation
{
    /// A heartbeat that has not been acknowledged yet.
    struct Probe
    {
        std::uint64_t number = 0;
        std::string name;
        Instant sentAt{};
        bool indirectProbesRequested = false;
    };

    Implementation(MembershipSettings membershipSettings, Instant now)
        : settings(std::move(membershipSettings))
        , list(settings.self, settings.suspicionTime, settings.deadRetention)
        , random(static_cast<std::minstd_rand::result_type>(settings.seed))
        , startedAt(now)
        , lastTick(now)
        , nextProbe(now + jittered(settings.probeInterval))
        , nextNonMemberProbe(now)
        , nextSummary(now + settings.summaryInterval)
    {
    }

    // Helpers.

    Duration jittered(Duration duration)
    {
        std::uniform_real_distribution<double> factor(0.75, 1.25);
        return fromSeconds(seconds(duration) * factor(random));
    }

    void send(const std::string &address, ControlMessage message)
    {
        actions.push_back(membership::Send{address, std::move(message)});
    }

    void reportChange()
    {
        actions.push_back(membership::Changed{});
    }

    std::uint32_t regionTransmissions() const
    {
        return static_cast<std::uint32_t>(std::bit_width(list.peers().size() + 1));
    }

    /// Returns the gossip for a heartbeat to the given receiver, whose name may be empty if unknown. A receiver that
    /// this instance considers suspect or dead is sent its own record, so that it can refute it.
    Gossip makeGossip(const std::string &receiver)
    {
        Gossip gossip;
        gossip.self = list.self();
        gossip.memberDigest = list.digest();
        gossip.configVersion = self.configVersion;
        gossip.records = list.takeUpdates(RecordsPerGossip);
        gossip.regions = regions.takeUpdates(RegionsPerGossip);
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
            reportChange();
            pushUpdates();
        }
        probeSuspects(now);
        if (now >= nextProbe) {
            nextProbe = now + jittered(settings.probeInterval);
            probeNext(now);
        }
        if (now >= nextNonMemberProbe) {
            nextNonMemberProbe = now + jittered(settings.nonMemberProbeInterval);
            probeNonMembers();
        }
        if (now >= nextSummary) {
            nextSummary = now + settings.summaryInterval;
            sendSummary(now);
        }
    }

    /// Requests indirect probes of peers that have not acknowledged in time, and marks as suspect those that have not
    /// acknowledged by the end of the probe interval.
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
                reportChange();
                continue;
            }
            if (!probe.indirectProbesRequested && now - probe.sentAt >= settings.ackTimeout) {
                probe.indirectProbesRequested = true;
                requestIndirectProbes(probe.number, *record);
            }
            open.push_back(probe);
        }
        probes = std::move(open);
    }

    /// Sends heartbeats to suspects, so that they learn of the suspicion and can refute it to each peer directly.
    void probeSuspects(Instant now)
    {
        const auto suspects = list.suspects();
        std::erase_if(suspectProbeDue,
                      [&](const auto &entry) { return !std::ranges::binary_search(suspects, entry.first); });
        for (const auto &name : suspects) {
            const auto *record = list.find(name);
            const auto [entry, fresh] = suspectProbeDue.try_emplace(name, now + jittered(settings.ackTimeout));
            if (!fresh && now >= entry->second) {
                entry->second = now + jittered(SuspectProbeInterval);
                send(record->datagramAddress, Ping{++lastNumber, {}, makeGossip(name)});
            }
        }
    }

    void requestIndirectProbes(std::uint64_t number, const MemberRecord &target)
    {
        auto candidates = list.peers();
        std::erase(candidates, target.id.instance);
        std::ranges::shuffle(candidates, random);
        candidates.resize(std::min<std::size_t>(candidates.size(), settings.indirectProbers));
        for (const auto &name : candidates) {
            send(list.find(name)->datagramAddress, PingRequest{number, target.datagramAddress});
        }
    }

    /// Probes the next peer. All peers are probed once in random order before a new order is drawn.
    void probeNext(Instant now)
    {
        while (!probeOrder.empty()) {
            const auto name = probeOrder.front();
            probeOrder.pop_front();
            const auto *record = list.find(name);
            if (record && record->state != InstanceState::Dead) {
                probe(*record, now);
                return;
            }
        }
        auto names = list.peers();
        std::ranges::shuffle(names, random);
        probeOrder.assign(names.begin(), names.end());
        if (!probeOrder.empty()) {
            probeNext(now);
        }
    }

    void probe(const MemberRecord &record, Instant now)
    {
        probes.push_back({++lastNumber, record.id.instance, now, false});
        send(record.datagramAddress, Ping{lastNumber, {}, makeGossip(record.id.instance)});
    }

    /// Sends a heartbeat to a random address that no live peer of the region has: that of a dead instance, a seed or an
    /// entry of the platform's list, possibly of another region. An instance without live peers tries several at once.
    void probeNonMembers()
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
        candidates.resize(std::min<std::size_t>(candidates.size(), alone ? settings.indirectProbers : 1));
        for (const auto &address : candidates) {
            send(address, Ping{++lastNumber, {}, makeGossip(deadInstanceAt(address))});
        }
    }

    std::string deadInstanceAt(const std::string &address) const
    {
        for (const auto &name : list.dead()) {
            if (list.find(name)->datagramAddress == address) {
                return name;
            }
        }
        return {};
    }

    /// Sends pending updates to some peers immediately instead of waiting for the next regular heartbeats.
    void pushUpdates()
    {
        auto names = list.peers();
        std::ranges::shuffle(names, random);
        names.resize(std::min(names.size(), PeersPerUpdatePush));
        for (const auto &name : names) {
            send(list.find(name)->datagramAddress, Ping{++lastNumber, {}, makeGossip(name)});
        }
    }

    // Receiving.

    void receive(const membership::Received &event, Instant now)
    {
        std::visit([&](const auto &message) { handleMessage(message, event, now); }, event.message);
    }

    void handleMessage(const Ping &ping, const membership::Received &event, Instant now)
    {
        mergeGossip(ping.gossip, event.address, now);
        Ack ack{ping.number, ping.relayTo, makeGossip(ping.gossip.self.id.instance)};
        if (ping.gossip.self.region != settings.self.region) {
            ack.gossip.regions = summariesForRegion(ping.gossip.self.region, now);
        }
        send(event.address, std::move(ack));
    }

    /// Returns the summaries that an instance of another region needs: that of this region, and the latest known one of
    /// its own, through which it can find its peers.
    std::vector<RegionSummary> summariesForRegion(const std::string &region, Instant now) const
    {
        auto ours = ownSummary(rendezvousOrder(settings.self.region, liveNames()));
        ours.createdAtMs = summaryStamp(now);
        std::vector<RegionSummary> result{std::move(ours)};
        if (const auto *theirs = regions.find(region)) {
            result.push_back(*theirs);
        }
        return result;
    }

    std::uint64_t summaryStamp(Instant now) const
    {
        const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(now - startedAt);
        return settings.self.id.incarnation + static_cast<std::uint64_t>(elapsed.count());
    }

    void handleMessage(const Ack &ack, const membership::Received &event, Instant now)
    {
        if (!ack.relayTo.empty() && ack.relayTo != list.self().datagramAddress) {
            send(ack.relayTo, Ack{ack.number, {}, ack.gossip});
            return;
        }
        std::erase_if(probes, [&](const auto &probe) { return probe.number == ack.number; });
        mergeGossip(ack.gossip, event.address, now);
    }

    void handleMessage(const PingRequest &request, const membership::Received &event, Instant /*now*/)
    {
        send(request.targetAddress, Ping{request.number, event.address, makeGossip({})});
    }

    void handleMessage(const SyncOffer &offer, const membership::Received &event, Instant /*now*/)
    {
        auto missing = list.compare(offer.entries);
        sendRecords(event.address, std::move(missing.records), std::move(missing.wanted));
    }

    void handleMessage(const SyncRecords &sync, const membership::Received &event, Instant now)
    {
        for (const auto &record : sync.records) {
            mergeRecord(record, now);
        }
        if (!sync.wanted.empty()) {
            sendRecords(event.address, list.byHash(sync.wanted), {});
        }
    }

    void handleMessage(const RegionExchange &exchange, const membership::Received & /*event*/, Instant /*now*/)
    {
        for (const auto &summary : exchange.regions) {
            mergeSummary(summary);
        }
    }

    template<typename Other>
    void handleMessage(const Other & /*message*/, const membership::Received & /*event*/, Instant /*now*/)
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

    void mergeGossip(const Gossip &gossip, const std::string &address, Instant now)
    {
        for (const auto &summary : gossip.regions) {
            mergeSummary(summary);
        }
        if (gossip.self.region != settings.self.region) {
            return;
        }
        mergeRecord(gossip.self, now);
        for (const auto &record : gossip.records) {
            mergeRecord(record, now);
        }
        const auto &id = gossip.self.id;
        if (id == settings.self.id) {
            return;
        }
        actions.push_back(membership::HeartbeatReceived{
            id, gossip.self.datagramAddress, gossip.self.peerAddress, gossip.configVersion});
        if (gossip.memberDigest != list.digest() && now >= nextSync) {
            nextSync = now + jittered(SyncInterval);
            sendSyncOffer(address);
        }
    }

    void sendSyncOffer(const std::string &address)
    {
        auto entries = list.entries();
        std::ranges::shuffle(entries, random);
        entries.resize(std::min(entries.size(), EntriesPerOffer));
        send(address, SyncOffer{std::move(entries)});
    }

    void mergeRecord(const MemberRecord &record, Instant now)
    {
        if (record.region != settings.self.region) {
            return;
        }
        switch (list.merge(record, now)) {
        case MergeResult::Applied:
            reportChange();
            if (record.state == InstanceState::Dead || record.state == InstanceState::Leaving) {
                pushUpdates();
            }
            break;
        case MergeResult::Outdated:
            list.queueUpdate(record.id.instance);
            break;
        case MergeResult::RefutationNeeded:
            list.refute(record.revision);
            reportChange();
            break;
        case MergeResult::AlreadyKnown:
            break;
        }
    }

    // Regions.

    void mergeSummary(const RegionSummary &summary)
    {
        if (!regions.merge(summary, regionTransmissions())) {
            return;
        }
        if (summary.region == settings.self.region) {
            probeContacts(summary);
        }
    }

    /// Sends heartbeats to contacts of this region, named by another region, that this instance does not know as live.
    /// This lets parts of a region that lost each other meet again through another region.
    void probeContacts(const RegionSummary &summary)
    {
        for (const auto &contact : summary.contacts) {
            const auto *known = list.find(contact.id.instance);
            if (known && known->id.incarnation >= contact.id.incarnation && known->state != InstanceState::Dead) {
                continue;
            }
            send(contact.datagramAddress, Ping{++lastNumber, {}, makeGossip(contact.id.instance)});
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

    /// Sends the summary of this region to one contact of each other region if it changed or its repetition is due.
    /// Only one instance of the region does so; all instances that know the same members choose the same one.
    void sendSummary(Instant now)
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
        if (same && now < nextSummaryRepeat) {
            return;
        }
        nextSummaryRepeat = now + settings.summaryRepeat;
        summary.createdAtMs = summaryStamp(now);
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
    Instant nextNonMemberProbe;
    Instant nextSummary;
    Instant nextSummaryRepeat{};
    Instant nextSync{};
    std::uint64_t lastNumber = 0;
    std::vector<Probe> probes;
    std::map<std::string, Instant> suspectProbeDue;
    std::deque<std::string> probeOrder;
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
            state.pushUpdates();
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
