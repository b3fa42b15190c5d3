#include "pomeloentry/knowledge/storereplica.h"

#include "knowledge/inputmutator.h"
#include "knowledge/storecalls.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace pomeloentry;
using namespace std::chrono_literals;
using pomeloport::Duration;
using pomeloport::StoreCall;
using pomeloport::StoreObject;
using pomeloport::StoreOperation;
using pomeloport::StoreReply;
using pomeloport::StoreStatus;

/// Instances that read a store and tell each other of changes, in virtual time.
namespace
{

constexpr Duration Step = 5ms;
/// After a disruption the store is stable again once this time has passed.
constexpr Duration StableTime = 3s;
/// Time in which a removal that a stable store has acknowledged takes effect.
constexpr Duration DrainTime = 2s;
/// Entries that expired during an outage are back within this time of its end.
constexpr Duration LapseTime = 2s;

/// Time in which an acknowledged configuration takes effect.
constexpr Duration ApplyTime = 2s;
/// After a restore, an instance acts on a new state of the store within this time.
constexpr Duration RestoredTime = 2s;

constexpr auto Routing = wire::DocumentKind::Routing;
constexpr auto Backends = wire::DocumentKind::Backends;
constexpr auto Evacuations = wire::DocumentKind::Evacuations;
constexpr std::array ReadKinds{Routing, Backends, Evacuations};

std::string configuration(std::uint64_t version)
{
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[],"services":[]})";
}

std::string server(const std::string &state, std::uint64_t startedAt = 1)
{
    return R"({"service":"s","address":"127.0.0.1:80","zone":"a","slots":8,"state":")" + state + R"(","born":)"
        + std::to_string(startedAt) + "}";
}

/// What becomes of calls during a disruption.
enum class Trouble {
    /// Calls and replies are lost, and their connections with them.
    Silent,
    /// Calls are refused at once.
    Refusing,
    /// Connections are reset, those of waiting watches too.
    Resetting,
};

constexpr pomeloport::NameTable<Trouble, 3> nameTable(Trouble /*unused*/)
{
    return {{{Trouble::Silent, "silent"}, {Trouble::Refusing, "refusing"}, {Trouble::Resetting, "resetting"}}};
}

struct Disruption
{
    Trouble trouble = Trouble::Silent;
    Instant from{};
    Instant until{};
};

/// The store: its objects, its history of changes, and the calls that wait. A copy can be taken of it, from which it
/// comes back in a new era.
class FakeStore
{
public:
    struct Waiting
    {
        std::size_t instance = 0;
        wire::DocumentKind kind{};
        StoreCall call;
        Instant answerBy{};
        Instant givenUpAt{};
        /// Whether the reply never arrives, so that the call is given up.
        bool lost = false;
    };

    /// Writes an object with contents that are new.
    void put(wire::DocumentKind kind, const std::string &name)
    {
        put(kind, name, kind == Routing ? configuration(m_version + 1) : server("ready", m_version + 1));
    }

    /// Writes an object unless it has these contents already.
    void put(wire::DocumentKind kind, const std::string &name, const std::string &text)
    {
        if (!has(kind, name) || m_objects.at(kind).at(name).value != text) {
            change(kind, name, text, false);
        }
    }

    void remove(wire::DocumentKind kind, const std::string &name)
    {
        change(kind, name, {}, true);
    }

    void takeCopy()
    {
        m_copy = {m_objects, m_history, m_version, m_compactedTo};
    }

    /// Comes back from the last copy. Replies to the calls that wait never arrive.
    void restore()
    {
        m_objects = m_copy.objects;
        m_history = m_copy.history;
        m_version = m_copy.version;
        m_compactedTo = m_copy.compactedTo;
        ++m_era;
        silenceConnections();
    }

    /// Names no era in its replies.
    void omitEra()
    {
        m_namesEra = false;
    }

    /// Delivers the replies that are made until then only then.
    void holdReplies(Instant until)
    {
        m_repliesHeldUntil = until;
    }

    /// Makes the store unreachable for an instance, or reachable again.
    void cut(std::size_t instance, bool isCut)
    {
        isCut ? m_cut.insert(instance).second : m_cut.erase(instance) > 0;
    }

    std::size_t calls() const
    {
        return m_calls;
    }

    /// The version of the last change.
    StoreVersion lastChange() const
    {
        return {m_era, m_version};
    }

    /// Forgets the history, so that watches from an earlier version end.
    void compact()
    {
        m_compactedTo = m_version;
    }

    void disrupt(const Disruption &disruption)
    {
        m_disruptions.push_back(disruption);
    }

    /// Loses the replies to all calls that wait, without any other effect.
    void silenceConnections()
    {
        for (auto &waiting : m_waiting) {
            waiting.lost = true;
        }
    }

    /// Loses the reply to the next page of a list after the first.
    void losePage()
    {
        m_losesPage = true;
    }

    void send(std::size_t instance, wire::DocumentKind kind, const StoreCall &call, Instant now)
    {
        ++m_calls;
        const auto givenUpAt = now + call.wait + StoreTimeout;
        m_waiting.push_back({instance, kind, call, now + call.wait, givenUpAt, false});
    }

    /// Takes the replies that are there now.
    template<typename Deliver>
    void answer(Instant now, const Deliver &deliver)
    {
        if (now >= m_repliesHeldUntil) {
            for (const auto &held : std::exchange(m_heldReplies, {})) {
                deliver(held.instance, held.kind, held.reply);
            }
        }
        auto waiting = std::exchange(m_waiting, {});
        for (auto &entry : waiting) {
            auto reply = replyTo(entry, now);
            if (reply && m_namesEra) {
                reply->era = m_era;
            }
            if (reply && now < m_repliesHeldUntil) {
                m_heldReplies.push_back({entry.instance, entry.kind, *reply});
            } else if (reply) {
                deliver(entry.instance, entry.kind, *reply);
            } else {
                m_waiting.push_back(std::move(entry));
            }
        }
    }

    std::uint64_t version() const
    {
        return m_version;
    }

    bool has(wire::DocumentKind kind, const std::string &name) const
    {
        const auto found = m_objects.find(kind);
        return found != m_objects.end() && found->second.contains(name);
    }

private:
    static constexpr std::size_t PageSize = 3;

    struct Change
    {
        wire::DocumentKind kind{};
        StoreObject object;
    };
    using Objects = std::map<wire::DocumentKind, std::map<std::string, StoreObject>>;

    struct Copy
    {
        Objects objects;
        std::vector<Change> history;
        std::uint64_t version = 0;
        std::uint64_t compactedTo = 0;
    };

    struct HeldReply
    {
        std::size_t instance = 0;
        wire::DocumentKind kind{};
        StoreReply reply;
    };

    void change(wire::DocumentKind kind, const std::string &name, const std::string &text, bool removed)
    {
        ++m_version;
        StoreObject object{std::string(wire::kindName(kind)), name, text, m_version, removed};
        m_history.push_back({kind, object});
        if (removed) {
            m_objects[kind].erase(name);
        } else {
            m_objects[kind][name] = object;
        }
    }

    const Disruption *disruptionAt(Instant now) const
    {
        const auto found = std::ranges::find_if(
            m_disruptions, [now](const auto &entry) { return now >= entry.from && now < entry.until; });
        return found == m_disruptions.end() ? nullptr : &*found;
    }

    std::optional<StoreReply> replyTo(Waiting &waiting, Instant now)
    {
        if (m_cut.contains(waiting.instance)) {
            return StoreReply{waiting.call.id, StoreStatus::Unavailable, {}, 0, false};
        }
        const auto *disruption = disruptionAt(now);
        auto reply = waiting.lost ? std::nullopt : soundReply(waiting, now);
        const bool isNew = now == waiting.answerBy - waiting.call.wait;
        if (disruption && !waiting.lost) {
            switch (disruption->trouble) {
            case Trouble::Silent:
                waiting.lost = reply.has_value() || isNew;
                reply.reset();
                break;
            case Trouble::Refusing:
                if (reply || isNew) {
                    reply = StoreReply{waiting.call.id, StoreStatus::Rejected, {}, 0, false};
                }
                break;
            case Trouble::Resetting:
                reply = StoreReply{waiting.call.id, StoreStatus::Unavailable, {}, 0, false};
                break;
            }
        }
        if (reply && m_losesPage && !waiting.call.after.empty()) {
            m_losesPage = false;
            waiting.lost = true;
            reply.reset();
        }
        if (!reply && now >= waiting.givenUpAt) {
            reply = StoreReply{waiting.call.id, StoreStatus::Unavailable, {}, 0, false};
        }
        return reply;
    }

    std::optional<StoreReply> soundReply(const Waiting &waiting, Instant now) const
    {
        StoreReply reply{waiting.call.id, StoreStatus::Ok, {}, m_version, false};
        if (waiting.call.operation == StoreOperation::List) {
            const auto found = m_objects.find(waiting.kind);
            if (found == m_objects.end()) {
                return reply;
            }
            for (auto entry = found->second.upper_bound(waiting.call.after); entry != found->second.end(); ++entry) {
                if (reply.objects.size() == PageSize) {
                    reply.more = true;
                    break;
                }
                reply.objects.push_back(entry->second);
            }
            return reply;
        }
        if (waiting.call.ifVersion < m_compactedTo || waiting.call.ifVersion > m_version) {
            reply.status = StoreStatus::HistoryGone;
            return reply;
        }
        for (const auto &entry : m_history) {
            if (entry.kind == waiting.kind && entry.object.version > waiting.call.ifVersion) {
                reply.objects.push_back(entry.object);
            }
        }
        return reply.objects.empty() && now < waiting.answerBy ? std::nullopt : std::optional(reply);
    }

    Objects m_objects;
    std::vector<Change> m_history;
    Copy m_copy;
    std::vector<HeldReply> m_heldReplies;
    Instant m_repliesHeldUntil{};
    std::set<std::size_t> m_cut;
    std::uint64_t m_era = 1;
    std::size_t m_calls = 0;
    bool m_namesEra = true;
    std::vector<Disruption> m_disruptions;
    std::vector<Waiting> m_waiting;
    std::uint64_t m_version = 1;
    std::uint64_t m_compactedTo = 0;
    bool m_losesPage = false;
};

/// Readers of the store, and from the third on instances that depend on the readers.
class Fleet
{
public:
    Fleet(std::size_t instances, unsigned seed, Duration stableTime = StableTime)
        : m_random(seed)
        , m_stableTime(stableTime)
    {
        store.put(Routing, "main");
        for (const auto *name : {"i-1", "i-2", "i-3", "i-4", "i-5"}) {
            store.put(Backends, name);
        }
        for (std::size_t i = 0; i < instances; ++i) {
            m_instances.push_back(started(i));
        }
    }

    /// Replaces an instance by one that knows nothing.
    void restart(std::size_t index)
    {
        m_instances[index] = started(index);
    }

    /// Cuts an instance off from the store and from the other instances, or ends that.
    void isolate(std::size_t index, bool isolated)
    {
        store.cut(index, isolated);
        m_instances[index].isolated = isolated;
    }

    std::size_t size() const
    {
        return m_instances.size();
    }

    const FleetDocuments &documents(std::size_t index, wire::DocumentKind kind) const
    {
        return m_instances[index].replica.documents(kind);
    }

    /// Version of the configuration that an instance has; zero without one.
    std::uint64_t configurationOf(std::size_t index) const
    {
        const auto &known = documents(index, Routing).documents();
        const auto found = known.find("main");
        if (found == known.end()) {
            return 0;
        }
        const auto [entry, isNew] = m_configurationVersions.try_emplace(found->second.text, 0);
        if (isNew) {
            const auto decoded = wire::decodeRouting(found->second.text);
            entry->second = decoded ? decoded->version : 0;
        }
        return entry->second;
    }

    /// The entry that an instance has of a backend server, if any.
    std::optional<BackendEntry> entry(std::size_t index, const std::string &name) const
    {
        const auto &known = documents(index, Backends).documents();
        const auto found = known.find(name);
        if (found == known.end()) {
            return std::nullopt;
        }
        const auto [decoded, isNew] = m_entries.try_emplace(name + found->second.text);
        if (isNew) {
            decoded->second = wire::decodeBackend(name, found->second.text);
        }
        return decoded->second;
    }

    /// Whether an instance sends requests to a backend server.
    bool uses(std::size_t index, const std::string &name) const
    {
        const auto known = entry(index, name);
        return known && !known->leaving;
    }

    /// Whether an instance has an evacuation in force.
    bool evacuates(std::size_t index, const std::string &domain) const
    {
        return documents(index, Evacuations).documents().contains(domain);
    }

    /// Calls the function before each step.
    template<typename BeforeStep>
    void runUntil(Instant end, const BeforeStep &beforeStep)
    {
        while (m_now < end) {
            m_now += Step;
            beforeStep();
            for (std::size_t i = 0; i < m_instances.size(); ++i) {
                run(i);
            }
            store.answer(m_now, [this](std::size_t instance, auto kind, const StoreReply &reply) {
                m_instances[instance].replica.onReply(kind, reply, m_now);
            });
        }
    }

    void runUntil(Instant end)
    {
        runUntil(end, [] {});
    }

    /// Whether all instances have a backend server.
    bool allHave(const std::string &name) const
    {
        return std::ranges::all_of(m_instances, [&name](const auto &instance) {
            return instance.replica.documents(Backends).documents().contains(name);
        });
    }

    /// Whether all instances know the changes up to a version of the store.
    bool allKnow(wire::DocumentKind kind, std::uint64_t version) const
    {
        return std::ranges::all_of(m_instances, [kind, version](const auto &instance) {
            return instance.replica.documents(kind).lastChangeVersion().revision >= version;
        });
    }

    /// Whether any instance has a backend server.
    bool anyHas(const std::string &name) const
    {
        return std::ranges::any_of(m_instances, [&name](const auto &instance) {
            return instance.replica.documents(Backends).documents().contains(name);
        });
    }

    Instant now() const
    {
        return m_now;
    }

    FakeStore store;

private:
    static constexpr std::size_t Readers = 2;
    /// How long a reader, and any other instance, is behind a peer before it fetches the peer's copy.
    static constexpr Duration ReaderFetchDelay = 250ms;
    static constexpr Duration FetchDelay = 20ms;

    struct Instance
    {
        StoreReplica replica;
        std::optional<Instant> behindSince;
        std::set<std::uint64_t> mergedDigests;
        bool isolated = false;
    };

    Instance started(std::size_t index)
    {
        Instance result{StoreReplica([this](auto delay) { return jittered(delay); }, m_stableTime), {}, {}, false};
        result.replica.setReader(index < Readers);
        return result;
    }

    static std::uint64_t retainedDigest(const Instance &instance)
    {
        std::uint64_t result = 0;
        for (const auto kind : ReadKinds) {
            result = result * 31 + instance.replica.documents(kind).retainedDigest();
        }
        return result;
    }

    static bool isAhead(const Instance &peer, const Instance &instance)
    {
        const bool hasChanges = std::ranges::any_of(ReadKinds, [&](auto kind) {
            return peer.replica.documents(kind).lastChangeVersion() > instance.replica.documents(kind).asOf();
        });
        const auto retained = retainedDigest(peer);
        const bool isSameEra = std::ranges::all_of(ReadKinds, [&](auto kind) {
            return peer.replica.documents(kind).lastChangeVersion().era >= instance.replica.era();
        });
        return !peer.isolated
            && (hasChanges
                || (retained != 0 && isSameEra && retained != retainedDigest(instance)
                    && !instance.mergedDigests.contains(retained)));
    }

    std::chrono::milliseconds jittered(std::chrono::milliseconds delay)
    {
        std::uniform_real_distribution<double> factor(0.5, 1.5);
        return std::chrono::milliseconds(
            static_cast<std::int64_t>(static_cast<double>(delay.count()) * factor(m_random)));
    }

    void run(std::size_t index)
    {
        auto &instance = m_instances[index];
        for (const auto kind : ReadKinds) {
            instance.replica.applyDueChanges(kind, m_now);
            if (instance.replica.isReader()) {
                instance.replica.read(kind, m_now);
            }
            if (const auto call = instance.replica.nextCall(kind, m_now)) {
                store.send(index, kind, *call, m_now);
            }
        }
        fetchIfBehind(instance);
    }

    void fetchIfBehind(Instance &instance)
    {
        const auto ahead =
            std::ranges::find_if(m_instances, [&instance](const auto &peer) { return isAhead(peer, instance); });
        if (instance.isolated || ahead == m_instances.end()) {
            instance.behindSince.reset();
            return;
        }
        if (!instance.behindSince) {
            instance.behindSince = m_now;
        }
        if (m_now - *instance.behindSince < (instance.replica.isReader() ? ReaderFetchDelay : FetchDelay)) {
            return;
        }
        instance.behindSince.reset();
        instance.mergedDigests.insert(retainedDigest(*ahead));
        for (const auto kind : ReadKinds) {
            instance.replica.merge(kind, ahead->replica.documents(kind).copy(m_now), m_now);
        }
    }

    std::mt19937 m_random;
    Duration m_stableTime;
    std::vector<Instance> m_instances;
    Instant m_now = Instant(1h);
    /// Decoded configurations and entries by their texts.
    mutable std::map<std::string, std::uint64_t> m_configurationVersions;
    mutable std::map<std::string, std::optional<BackendEntry>> m_entries;
};

struct Scenario
{
    std::size_t instances = 1;
    Trouble trouble = Trouble::Silent;
    /// Begin of the disruption after the start, its length, and the pause before a second one, if there is one.
    Duration begin{};
    Duration length{};
    std::optional<Duration> pause;
    unsigned seed = 0;
};

std::ostream &operator<<(std::ostream &stream, const Scenario &scenario)
{
    return stream << scenario.instances << " instances, store " << pomeloport::nameOf(scenario.trouble) << ", begin "
                  << scenario.begin.count() / 1000 << " ms, length " << scenario.length.count() / 1000 << " ms, pause "
                  << (scenario.pause ? scenario.pause->count() / 1000 : -1) << " ms, seed " << scenario.seed;
}

/// The scenarios in which a check failed.
struct Failures
{
    std::size_t scenarios = 0;
    std::vector<std::string> failed;
};

/// Runs a check with disruptions of many lengths that begin at all moments of a watch.
template<typename Check>
Failures failuresOf(const std::vector<Duration> &lengths, const Check &check)
{
    Failures result;
    for (const auto trouble : {Trouble::Silent, Trouble::Refusing, Trouble::Resetting}) {
        for (const std::size_t instances : {1, 2, 3}) {
            for (const auto length : lengths) {
                for (const std::optional<Duration> pause : {std::optional<Duration>(), {300ms}, {1500ms}}) {
                    for (Duration offset = 0ms; offset < 2400ms; offset += 45ms) {
                        const auto seed = static_cast<unsigned>(++result.scenarios);
                        const Scenario scenario{instances, trouble, 8s + offset, length, pause, seed};
                        if (!check(scenario)) {
                            result.failed.push_back(Catch::StringMaker<Scenario>::convert(scenario));
                        }
                    }
                }
            }
        }
    }
    return result;
}

/// Runs a fleet until the end of the disruptions. The configuration changes before them, so that the watches of the
/// kinds begin at different times.
Instant disrupt(Fleet &fleet, const Scenario &scenario)
{
    std::mt19937 random(scenario.seed);
    const auto start = fleet.now();
    const auto begin = start + scenario.begin;
    auto end = begin + scenario.length;
    fleet.store.disrupt({scenario.trouble, begin, end});
    if (scenario.pause) {
        const auto second = end + *scenario.pause;
        end = second + scenario.length;
        fleet.store.disrupt({scenario.trouble, second, end});
    }
    const auto changeAt = start + 4s + std::uniform_int_distribution<int>(0, 2000)(random) * 1ms;
    fleet.runUntil(changeAt);
    fleet.store.put(Routing, "main");
    fleet.runUntil(begin);
    return end;
}

} // namespace

// Guards against requests to a backend server that has left: a watch that was sent while the store was silent is given
// up long after the store's return, and the instance takes that moment for the end of the outage.
TEST_CASE("a removal by a stable store takes effect in time after an outage", "[storereplica]")
{
    const auto result = failuresOf({50ms, 300ms, 700ms, 1500ms, 3200ms, 4500ms}, [](const Scenario &scenario) {
        Fleet fleet(scenario.instances, scenario.seed);
        const auto end = disrupt(fleet, scenario);
        fleet.runUntil(end + StableTime);
        REQUIRE(fleet.allHave("i-3"));
        fleet.store.remove(Backends, "i-3");
        fleet.runUntil(end + StableTime + DrainTime);
        REQUIRE(fleet.allHave("i-2"));
        return !fleet.anyHas("i-3");
    });
    CAPTURE(result.scenarios, result.failed);
    CHECK(result.failed.empty());
}

// Guards against calls without a server: entries that expired while the store was away are dropped although their
// servers write them again within two seconds of its return.
TEST_CASE("entries that expire in an outage and are written again stay in use", "[storereplica]")
{
    const auto result = failuresOf({2500ms, 3200ms, 4500ms}, [](const Scenario &scenario) {
        Fleet fleet(scenario.instances, scenario.seed);
        const auto end = disrupt(fleet, scenario);
        const std::set<std::string> expired{"i-1", "i-2", "i-3", "i-4"};
        std::mt19937 random(scenario.seed);
        std::map<std::string, Instant> backAt;
        // They expire late in the disruption, once their owners have missed three heartbeats.
        fleet.runUntil(end - 200ms);
        for (const auto &name : expired) {
            fleet.store.remove(Backends, name);
            backAt[name] = end + std::uniform_int_distribution<int>(0, 1990)(random) * 1ms;
        }
        // Some fleets list the store again, and some of these lists break off.
        if (scenario.seed % 3 == 0) {
            fleet.store.compact();
        }
        if (scenario.seed % 6 == 0) {
            fleet.store.losePage();
        }
        bool allServed = true;
        fleet.runUntil(end + LapseTime + 5s, [&] {
            for (const auto &[name, at] : backAt) {
                if (fleet.now() >= at && !fleet.store.has(Backends, name)) {
                    fleet.store.put(Backends, name);
                }
            }
            allServed =
                allServed && std::ranges::all_of(expired, [&](const auto &name) { return fleet.allHave(name); });
        });
        return allServed;
    });
    CAPTURE(result.scenarios, result.failed);
    CHECK(result.failed.empty());
}

// Guards against calls on a route that is gone: connections to the store go silent for good, and the watch that waits
// on one of them is given up later than the instance has to know the configuration again.
TEST_CASE("a configuration is known in time although connections to the store went silent", "[storereplica]")
{
    for (const Duration stableTime : {3000ms, 2000ms, 1000ms}) {
        for (Duration offset = 0ms; offset < 2400ms; offset += 20ms) {
            CAPTURE(stableTime.count(), offset.count());
            Fleet fleet(1, static_cast<unsigned>(offset.count()), stableTime);
            fleet.runUntil(fleet.now() + 8s + offset);
            fleet.store.silenceConnections();
            const auto silentAt = fleet.now();
            fleet.runUntil(silentAt + 300ms);
            fleet.store.put(Routing, "main");
            fleet.runUntil(silentAt + stableTime);
            REQUIRE(fleet.allKnow(Routing, fleet.store.version()));
        }
    }
}

namespace
{

/// A drill: the store is away for a while and comes back from a copy that it took some time before.
struct Drill
{
    std::size_t instances = 1;
    Trouble trouble = Trouble::Resetting;
    Duration copyAge = 3500ms;
    Duration away = 1s;
    unsigned seed = 0;
};

std::ostream &operator<<(std::ostream &stream, const Drill &drill)
{
    return stream << drill.instances << " instances, store " << pomeloport::nameOf(drill.trouble) << ", copy "
                  << drill.copyAge.count() / 1000 << " ms old, away " << drill.away.count() / 1000 << " ms, seed "
                  << drill.seed;
}

/// Runs a check with drills of many kinds, which begin at all moments of a watch.
template<typename Check>
Failures failuresOfDrills(const Check &check)
{
    Failures result;
    for (const auto trouble : {Trouble::Silent, Trouble::Refusing, Trouble::Resetting}) {
        for (const std::size_t instances : {1, 2, 4}) {
            for (const auto away : {Duration(10ms), Duration(300ms), Duration(1s), Duration(2500ms)}) {
                for (int i = 0; i < 5; ++i) {
                    const auto seed = static_cast<unsigned>(++result.scenarios);
                    const Drill drill{instances, trouble, 2s + i * 670ms, away, seed};
                    if (!check(drill)) {
                        result.failed.push_back(Catch::StringMaker<Drill>::convert(drill));
                    }
                }
            }
        }
    }
    return result;
}

/// Makes the store go away and come back from its copy. Calls the function before each step.
template<typename BeforeStep>
void restore(Fleet &fleet, const Drill &drill, const BeforeStep &beforeStep)
{
    const auto back = fleet.now() + drill.away;
    fleet.store.disrupt({drill.trouble, fleet.now(), back});
    fleet.runUntil(back, beforeStep);
    fleet.store.restore();
}

void restore(Fleet &fleet, const Drill &drill)
{
    restore(fleet, drill, [] {});
}

/// Watches that no instance goes back to an earlier configuration.
class ConfigurationCheck
{
public:
    explicit ConfigurationCheck(const Fleet &fleet)
        : m_fleet(fleet)
        , m_seen(fleet.size(), 0)
    {
    }

    void operator()()
    {
        for (std::size_t i = 0; i < m_seen.size(); ++i) {
            const auto version = m_fleet.configurationOf(i);
            m_held = m_held && version >= m_seen[i];
            m_seen[i] = version;
        }
    }

    bool held() const
    {
        return m_held;
    }

    bool allHave(std::uint64_t version) const
    {
        return std::ranges::all_of(m_seen, [version](auto seen) { return seen == version; });
    }

private:
    const Fleet &m_fleet;
    std::vector<std::uint64_t> m_seen;
    bool m_held = true;
};

} // namespace

// Guards against requests run by the old service and with keys that were taken away: the store comes back from an older
// copy, and instances compare the revisions that it gives out again with those from before, so that they take neither a
// list nor a change of the new era, and ask again without a pause.
TEST_CASE("a configuration is known in time after the store came back from an older copy", "[storereplica][restore]")
{
    const auto result = failuresOfDrills([](const Drill &drill) {
        Fleet fleet(drill.instances, drill.seed);
        ConfigurationCheck check(fleet);
        fleet.store.put(Routing, "main", configuration(10));
        fleet.runUntil(fleet.now() + 6s, std::ref(check));
        fleet.store.takeCopy();
        for (const auto version : {13, 14, 19}) {
            fleet.runUntil(fleet.now() + drill.copyAge / 4, std::ref(check));
            fleet.store.put(Routing, "main", configuration(version));
        }
        fleet.runUntil(fleet.now() + drill.copyAge / 4, std::ref(check));
        restore(fleet, drill, std::ref(check));
        const auto callsBefore = fleet.store.calls();
        const auto back = fleet.now();
        fleet.runUntil(back + 300ms, std::ref(check));
        fleet.store.put(Routing, "main", configuration(19));
        fleet.runUntil(back + RestoredTime, std::ref(check));
        const bool inTouch = check.allHave(19);
        fleet.runUntil(back + StableTime, std::ref(check));
        fleet.store.put(Routing, "main", configuration(21));
        fleet.runUntil(back + StableTime + ApplyTime, std::ref(check));
        // Each reader may watch each kind ten times a second.
        const auto calls = (fleet.store.calls() - callsBefore) / std::min<std::size_t>(drill.instances, 2);
        return check.held() && inTouch && check.allHave(21) && calls < 10 * ReadKinds.size() * 5;
    });
    CAPTURE(result.scenarios, result.failed);
    CHECK(result.failed.empty());
}

// Guards against a configuration that goes back for callers: versions that were lost with the copy are written again
// one after the other, with revisions below and above the known one, while instances restart.
TEST_CASE("versions written again after a restore replace no later configuration", "[storereplica][restore]")
{
    const auto result = failuresOfDrills([](const Drill &drill) {
        Fleet fleet(drill.instances, drill.seed);
        ConfigurationCheck check(fleet);
        fleet.store.put(Routing, "main", configuration(10));
        fleet.runUntil(fleet.now() + 6s, std::ref(check));
        fleet.store.takeCopy();
        for (const auto version : {13, 14, 19}) {
            fleet.store.put(Routing, "main", configuration(version));
            fleet.runUntil(fleet.now() + 300ms, std::ref(check));
        }
        // Changes of other kinds raise the revision.
        for (unsigned i = 0; i < drill.seed % 5; ++i) {
            fleet.store.put(Backends, "i-1");
        }
        fleet.runUntil(fleet.now() + 300ms, std::ref(check));
        restore(fleet, drill, std::ref(check));
        for (unsigned i = 0; i < drill.seed % 7; ++i) {
            fleet.store.put(Backends, "i-2");
        }
        const auto back = fleet.now();
        for (const auto version : {13, 14, 19, 21}) {
            fleet.store.put(Routing, "main", configuration(version));
            fleet.runUntil(fleet.now() + drill.seed % 3 * 300ms, std::ref(check));
        }
        fleet.runUntil(back + StableTime, std::ref(check));
        return check.held() && check.allHave(21);
    });
    CAPTURE(result.scenarios, result.failed);
    CHECK(result.failed.empty());
}

// Guards against a configuration that an instance takes from the restored store when it starts, although the other
// instances have a later one in force.
TEST_CASE("an instance that starts after a restore learns the configuration in force from its peers",
          "[storereplica][restore]")
{
    const auto result = failuresOfDrills([](const Drill &drill) {
        Fleet fleet(drill.instances + 1, drill.seed);
        fleet.store.put(Routing, "main", configuration(10));
        fleet.store.put(Backends, "i-4", server("ready"));
        fleet.runUntil(fleet.now() + 6s);
        fleet.store.takeCopy();
        fleet.store.put(Routing, "main", configuration(19));
        fleet.store.remove(Backends, "i-3");
        fleet.store.put(Backends, "i-4", server("draining"));
        fleet.store.put(Evacuations, "zone-a", "{}");
        fleet.runUntil(fleet.now() + drill.copyAge);
        restore(fleet, drill);
        fleet.runUntil(fleet.now() + drill.seed % 4 * 400ms);
        const std::size_t restarted = drill.seed % fleet.size();
        fleet.restart(restarted);
        fleet.runUntil(fleet.now() + RestoredTime);
        return fleet.configurationOf(restarted) == 19 && !fleet.uses(restarted, "i-3") && !fleet.uses(restarted, "i-4")
            && fleet.uses(restarted, "i-2") && fleet.evacuates(restarted, "zone-a");
    });
    CAPTURE(result.scenarios, result.failed);
    CHECK(result.failed.empty());
}

// Guards against requests to backend servers that have left, and for a lack of servers: the copy names servers that
// were removed or were draining as ready, and lacks those that joined after it.
TEST_CASE("a restore brings no server back that had left and drops none that joined", "[storereplica][restore]")
{
    const auto result = failuresOfDrills([](const Drill &drill) {
        Fleet fleet(drill.instances, drill.seed);
        fleet.store.put(Backends, "i-4", server("ready"));
        fleet.store.put(Backends, "i-5", server("ready"));
        fleet.runUntil(fleet.now() + 6s);
        fleet.store.takeCopy();
        fleet.store.remove(Backends, "i-3");
        fleet.store.put(Backends, "i-4", server("draining"));
        fleet.store.put(Backends, "i-6", server("ready"));
        fleet.store.remove(Backends, "i-5");
        fleet.runUntil(fleet.now() + drill.copyAge);
        bool held = true;
        const auto check = [&] {
            for (std::size_t i = 0; i < fleet.size(); ++i) {
                held = held && !fleet.uses(i, "i-3") && !fleet.uses(i, "i-4") && fleet.uses(i, "i-6")
                    && fleet.uses(i, "i-1");
            }
        };
        restore(fleet, drill, check);
        fleet.runUntil(fleet.now() + drill.seed % 4 * 500ms, check);
        fleet.store.put(Backends, "i-6", server("ready"));
        // A new incarnation of a server that had left is used at once, whatever its revision.
        fleet.store.put(Backends, "i-5", server("ready", 9));
        fleet.runUntil(fleet.now() + RestoredTime, check);
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            held = held && fleet.uses(i, "i-5");
        }
        fleet.runUntil(fleet.now() + 8s, check);
        // What is written anew counts at once.
        fleet.store.put(Backends, "i-4", server("draining"));
        fleet.store.put(Backends, "i-3", server("ready", 7));
        fleet.store.remove(Backends, "i-6");
        fleet.runUntil(fleet.now() + ApplyTime);
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            held = held && fleet.uses(i, "i-3") && !fleet.uses(i, "i-4") && !fleet.uses(i, "i-6");
        }
        return held;
    });
    CAPTURE(result.scenarios, result.failed);
    CHECK(result.failed.empty());
}

// Guards against requests into an evacuated failure domain, whose evacuation the copy lacks, and for a domain that
// stays unused because the copy has an evacuation that has ended.
TEST_CASE("a restore neither ends an evacuation nor begins one again", "[storereplica][restore]")
{
    const auto result = failuresOfDrills([](const Drill &drill) {
        Fleet fleet(drill.instances, drill.seed);
        fleet.store.put(Evacuations, "ended", "{}");
        fleet.runUntil(fleet.now() + 6s);
        fleet.store.takeCopy();
        fleet.store.remove(Evacuations, "ended");
        fleet.store.put(Evacuations, "begun", "{}");
        fleet.runUntil(fleet.now() + drill.copyAge);
        bool held = true;
        const auto check = [&] {
            for (std::size_t i = 0; i < fleet.size(); ++i) {
                held = held && fleet.evacuates(i, "begun") && !fleet.evacuates(i, "ended");
            }
        };
        restore(fleet, drill, check);
        fleet.runUntil(fleet.now() + 6s, check);
        fleet.store.put(Evacuations, "begun", "{}");
        fleet.store.remove(Evacuations, "ended");
        fleet.runUntil(fleet.now() + 40s, check);
        fleet.store.remove(Evacuations, "begun");
        fleet.store.put(Evacuations, "ended", "{}");
        fleet.runUntil(fleet.now() + ApplyTime);
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            held = held && !fleet.evacuates(i, "begun") && fleet.evacuates(i, "ended");
        }
        return held;
    });
    CAPTURE(result.scenarios, result.failed);
    CHECK(result.failed.empty());
}

// Guards against answers that the store gave before it came back and that arrive afterwards.
TEST_CASE("late replies of an earlier era change nothing", "[storereplica][restore]")
{
    const auto result = failuresOfDrills([](const Drill &drill) {
        Fleet fleet(drill.instances, drill.seed);
        ConfigurationCheck check(fleet);
        fleet.store.put(Routing, "main", configuration(10));
        fleet.runUntil(fleet.now() + 6s, std::ref(check));
        fleet.store.takeCopy();
        fleet.store.put(Routing, "main", configuration(13));
        fleet.store.put(Backends, "i-6");
        const auto back = fleet.now() + drill.away;
        fleet.store.holdReplies(back + drill.seed % 5 * 100ms);
        fleet.runUntil(back, std::ref(check));
        fleet.store.restore();
        fleet.store.remove(Backends, "i-2");
        fleet.store.put(Routing, "main", configuration(19));
        fleet.runUntil(back + StableTime, std::ref(check));
        fleet.store.put(Routing, "main", configuration(21));
        fleet.runUntil(back + StableTime + ApplyTime, std::ref(check));
        const bool inTime = check.allHave(21);
        // Until then the server might have been lost with the copy: a watch may hide the new era for two seconds.
        fleet.runUntil(back + 8s, std::ref(check));
        return check.held() && inTime && !fleet.anyHas("i-2");
    });
    CAPTURE(result.scenarios, result.failed);
    CHECK(result.failed.empty());
}

// Guards against instances that stay behind when the store comes back from a copy twice, once cut off from everybody.
TEST_CASE("two restores in a row leave no instance behind", "[storereplica][restore]")
{
    const auto result = failuresOfDrills([](const Drill &drill) {
        Fleet fleet(drill.instances, drill.seed);
        ConfigurationCheck check(fleet);
        fleet.store.put(Routing, "main", configuration(10));
        fleet.runUntil(fleet.now() + 6s, std::ref(check));
        fleet.store.takeCopy();
        fleet.store.put(Routing, "main", configuration(19));
        fleet.store.remove(Backends, "i-3");
        fleet.runUntil(fleet.now() + drill.copyAge, std::ref(check));
        const bool cutsOff = drill.instances > 1 && drill.seed % 2 == 0;
        if (cutsOff) {
            fleet.isolate(drill.seed / 2 % drill.instances, true);
        }
        restore(fleet, drill, std::ref(check));
        fleet.runUntil(fleet.now() + drill.seed % 5 * 200ms, std::ref(check));
        restore(fleet, drill, std::ref(check));
        fleet.runUntil(fleet.now() + 500ms, std::ref(check));
        if (cutsOff) {
            fleet.isolate(drill.seed / 2 % drill.instances, false);
        }
        fleet.store.put(Routing, "main", configuration(19));
        fleet.runUntil(fleet.now() + StableTime, std::ref(check));
        const bool held = check.allHave(19) && !fleet.anyHas("i-3");
        fleet.store.put(Routing, "main", configuration(21));
        fleet.store.put(Backends, "i-3", server("ready", 100));
        fleet.runUntil(fleet.now() + ApplyTime, std::ref(check));
        return held && check.held() && check.allHave(21) && fleet.allHave("i-3");
    });
    CAPTURE(result.scenarios, result.failed);
    CHECK(result.failed.empty());
}

// Guards against a list that is put together from pages of different eras, or taken from an answer that the store gave
// before it came back: the rest of the servers would be dropped, or a removed one used.
TEST_CASE("a list that a restore overtakes begins again", "[storereplica][restore]")
{
    const auto now = Instant(1h);
    StoreReplica replica([](auto delay) { return delay; }, StableTime);
    replica.setReader(true);
    const auto list = [&](std::uint64_t era, const std::string &name, bool more) {
        const auto call = replica.nextCall(Backends, now + 1s);
        REQUIRE(call);
        REQUIRE(call->operation == StoreOperation::List);
        const auto after = call->after;
        StoreReply reply{call->id, StoreStatus::Ok, {{"servers", name, server("ready"), 5, false}}, 60, more};
        reply.era = era;
        replica.onReply(Backends, reply, now);
        return after;
    };
    replica.read(Backends, now);
    CHECK(list(1, "i-1", true).empty());
    SECTION("between two pages")
    {
        CHECK(list(2, "i-2", false) == "i-1");
        CHECK_FALSE(replica.isKnown(Backends));
    }
    SECTION("before the first page arrives")
    {
        CHECK(list(1, "i-2", false) == "i-1");
        REQUIRE(replica.isKnown(Backends));
        // Another kind tells of the restore while the list of this one is under way.
        const auto watch = replica.nextCall(Backends, now);
        REQUIRE((watch && watch->operation == StoreOperation::Watch));
        replica.onReply(Backends, {watch->id, StoreStatus::HistoryGone}, now);
        const auto call = replica.nextCall(Backends, now);
        REQUIRE((call && call->operation == StoreOperation::List));
        replica.read(Routing, now);
        const auto other = replica.nextCall(Routing, now);
        REQUIRE(other);
        StoreReply told{other->id, StoreStatus::Rejected};
        told.era = 2;
        replica.onReply(Routing, told, now);
        CHECK(replica.era() == 2);
        StoreReply late{call->id, StoreStatus::Ok, {{"servers", "i-7", server("ready"), 70, false}}, 90, false};
        late.era = 1;
        CHECK(replica.onReply(Backends, late, now).isOfEarlierEra);
        CHECK_FALSE(replica.documents(Backends).documents().contains("i-7"));
    }
    CHECK(list(2, "i-3", false).empty());
    CHECK(replica.documents(Backends).documents().contains("i-3"));
    CHECK(replica.documents(Backends).asOf() == StoreVersion{2, 60});
}

// Guards against calls without a pause to a store that names no era and whose revisions went back.
TEST_CASE("a store that names no era is not called without a pause", "[storereplica][restore]")
{
    Fleet fleet(2, 1);
    fleet.store.omitEra();
    fleet.runUntil(fleet.now() + 6s);
    fleet.store.takeCopy();
    for (int i = 0; i < 9; ++i) {
        fleet.store.put(Routing, "main");
    }
    fleet.runUntil(fleet.now() + 3s);
    REQUIRE(fleet.allKnow(Routing, fleet.store.version()));
    fleet.store.restore();
    const auto before = fleet.store.calls();
    fleet.runUntil(fleet.now() + 10s);
    CHECK(fleet.store.calls() - before < 2 * ReadKinds.size() * 10 * 10);
}

namespace
{

/// Operators and servers that write to a store at random moments while it is restored, forgets its history, and
/// instances are cut off and restarted. What a restore has lost is written again by its writers within two seconds.
class RandomDrills
{
public:
    explicit RandomDrills(unsigned seed)
        : fleet(2 + seed % 3, seed)
        , m_random(seed)
        , m_versions(fleet.size(), 0)
        , m_known(fleet.size())
    {
        for (const auto *name : {"i-1", "i-2", "i-3", "i-4", "i-5"}) {
            write(name, {true, false, 1});
        }
        fleet.store.put(Routing, "main", configuration(m_version));
        fleet.store.takeCopy();
    }

    void run(Duration time)
    {
        const auto end = fleet.now() + time;
        fleet.runUntil(end, [this] { step(); });
    }

    /// Ends all disturbances and lets the instances catch up.
    void settle()
    {
        m_disturbs = false;
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            fleet.isolate(i, false);
        }
        run(40s);
    }

    /// Whether all instances use what the operators and servers have written last.
    bool agree() const
    {
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            if (fleet.configurationOf(i) != m_version) {
                return false;
            }
            for (const auto &[name, state] : m_servers) {
                if (fleet.uses(i, name) != (state.present && !state.leaving)) {
                    return false;
                }
            }
        }
        return true;
    }

    Fleet fleet;
    std::size_t earlierConfigurations = 0;
    std::size_t usedAgain = 0;
    std::size_t restores = 0;

private:
    struct Server
    {
        bool present = false;
        bool leaving = false;
        std::uint64_t startedAt = 0;
    };

    std::size_t draw(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random);
    }

    bool isAway() const
    {
        return fleet.now() < m_awayUntil;
    }

    void step()
    {
        if (m_awayUntil != Instant{} && !isAway()) {
            comeBack();
        }
        writeAgain();
        if (m_disturbs && draw(20) == 0) {
            isAway() ? disturbInstances() : act();
        }
        check();
    }

    void act()
    {
        switch (draw(8)) {
        case 0:
            m_version += 1 + draw(4);
            fleet.store.put(Routing, "main", configuration(m_version));
            break;
        case 1:
        case 2:
            changeServer();
            break;
        case 3:
            if (draw(3) == 0) {
                fleet.store.takeCopy();
                m_copyOf = fleet.now();
            }
            break;
        case 4:
            if (draw(4) == 0 && fleet.now() - m_copyOf < 6s) {
                goAway();
            }
            break;
        case 5:
            if (draw(6) == 0) {
                fleet.store.compact();
            }
            break;
        default:
            disturbInstances();
        }
    }

    void disturbInstances()
    {
        const auto index = draw(fleet.size());
        const auto kind = draw(30);
        if (kind == 0) {
            fleet.restart(index);
            m_versions[index] = 0;
            m_known[index].clear();
        } else if (kind < 3) {
            fleet.isolate(index, kind == 1);
        }
    }

    void goAway()
    {
        m_awayUntil = fleet.now() + 5ms + draw(1500) * 1ms;
        const auto trouble = std::array{Trouble::Silent, Trouble::Refusing, Trouble::Resetting}[draw(3)];
        fleet.store.disrupt({trouble, fleet.now(), m_awayUntil});
    }

    void comeBack()
    {
        m_awayUntil = {};
        ++restores;
        fleet.store.restore();
        m_writtenAgainAt.clear();
        for (const auto &[name, state] : m_servers) {
            m_writtenAgainAt[name] = fleet.now() + draw(2000) * 1ms;
        }
        m_writtenAgainAt["main"] = fleet.now() + draw(2000) * 1ms;
    }

    void writeAgain()
    {
        for (auto entry = m_writtenAgainAt.begin(); entry != m_writtenAgainAt.end();) {
            if (isAway() || fleet.now() < entry->second) {
                ++entry;
                continue;
            }
            if (entry->first == "main") {
                fleet.store.put(Routing, "main", configuration(m_version));
            } else {
                write(entry->first, m_servers.at(entry->first));
            }
            entry = m_writtenAgainAt.erase(entry);
        }
    }

    void changeServer()
    {
        const auto name = "i-" + std::to_string(1 + draw(8));
        auto &state = m_servers[name];
        if (!state.present) {
            state = {true, false, ++m_starts};
        } else if (!state.leaving) {
            state.leaving = true;
        } else {
            state.present = false;
        }
        m_writtenAgainAt.erase(name);
        write(name, state);
    }

    void write(const std::string &name, const Server &state)
    {
        m_servers[name] = state;
        if (state.present) {
            m_removedAt.erase(name);
            fleet.store.put(Backends, name, server(state.leaving ? "draining" : "ready", state.startedAt));
        } else if (fleet.store.has(Backends, name)) {
            fleet.store.remove(Backends, name);
            m_removedAt[name] = fleet.store.lastChange();
        }
    }

    /// Whether an instance has read the store since a server was last removed there, and in the same era.
    bool knowsRemoval(std::size_t index, const std::string &name) const
    {
        const auto removedAt = m_removedAt.find(name);
        const auto asOf = fleet.documents(index, Backends).asOf();
        return removedAt != m_removedAt.end() && asOf.era == removedAt->second.era && asOf >= removedAt->second;
    }

    /// Counts instances that go back to an earlier configuration, or use a server again that they knew to be leaving or
    /// gone.
    void check()
    {
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            const auto version = fleet.configurationOf(i);
            earlierConfigurations += version < m_versions[i] ? 1 : 0;
            m_versions[i] = version;
            for (const auto &[name, state] : m_servers) {
                const auto entry = fleet.entry(i, name);
                auto &[used, stopped] = m_known[i][name];
                if (entry && entry->leaving) {
                    stopped = entry->startedAt;
                } else if (entry) {
                    usedAgain += stopped == entry->startedAt ? 1 : 0;
                    used = entry->startedAt;
                } else if (used == state.startedAt && !state.present && knowsRemoval(i, name)) {
                    stopped = used;
                }
            }
        }
    }

    std::mt19937 m_random;
    std::uint64_t m_version = 10;
    std::uint64_t m_starts = 1;
    std::map<std::string, Server> m_servers;
    std::map<std::string, Instant> m_writtenAgainAt;
    std::map<std::string, StoreVersion> m_removedAt;
    Instant m_copyOf{};
    Instant m_awayUntil{};
    bool m_disturbs = true;
    std::vector<std::uint64_t> m_versions;
    /// What an instance has known of a server: starts of the last incarnation that it used, and of the last one that it
    /// knew to be leaving or gone.
    struct KnownServer
    {
        std::uint64_t used = 0;
        std::uint64_t stopped = 0;
    };
    std::vector<std::map<std::string, KnownServer>> m_known;
};

} // namespace

// Guards against anything that goes back for callers, or stays behind, when restores come at any moment: beside
// changes, restarts, cuts and lost histories, and in a row.
TEST_CASE("restores at any moment bring nothing back that was in force before", "[storereplica][restore]")
{
    const auto seeds = static_cast<unsigned>(detail::numberFrom("POMELO_RESTORE_SEEDS", 150));
    std::size_t restores = 0;
    for (unsigned seed = 0; seed < seeds; ++seed) {
        CAPTURE(seed);
        RandomDrills drills(seed);
        drills.run(20s);
        drills.settle();
        restores += drills.restores;
        CHECK(drills.earlierConfigurations == 0);
        CHECK(drills.usedAgain == 0);
        CHECK(drills.agree());
    }
    CHECK(restores > seeds);
}
