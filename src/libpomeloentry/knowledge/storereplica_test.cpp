#include "pomeloentry/knowledge/storereplica.h"

#include "knowledge/storecalls.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
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

constexpr auto Routing = wire::DocumentKind::Routing;
constexpr auto Backends = wire::DocumentKind::Backends;
constexpr std::array ReadKinds{Routing, Backends};

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

/// The store: its objects, its history of changes, and the calls that wait.
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

    void put(wire::DocumentKind kind, const std::string &name)
    {
        change(kind, name, false);
    }

    void remove(wire::DocumentKind kind, const std::string &name)
    {
        change(kind, name, true);
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
        const auto givenUpAt = now + call.wait + StoreTimeout;
        m_waiting.push_back({instance, kind, call, now + call.wait, givenUpAt, false});
    }

    /// Takes the replies that are there now.
    template<typename Deliver>
    void answer(Instant now, const Deliver &deliver)
    {
        auto waiting = std::exchange(m_waiting, {});
        for (auto &entry : waiting) {
            const auto reply = replyTo(entry, now);
            if (reply) {
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

    void change(wire::DocumentKind kind, const std::string &name, bool removed)
    {
        ++m_version;
        StoreObject object{std::string(wire::kindName(kind)), name, std::to_string(m_version), m_version, removed};
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
        if (waiting.call.ifVersion < m_compactedTo) {
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

    std::map<wire::DocumentKind, std::map<std::string, StoreObject>> m_objects;
    std::vector<Change> m_history;
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
    {
        store.put(Routing, "main");
        for (const auto *name : {"i-1", "i-2", "i-3", "i-4", "i-5"}) {
            store.put(Backends, name);
        }
        for (std::size_t i = 0; i < instances; ++i) {
            m_instances.push_back({StoreReplica([this](auto delay) { return jittered(delay); }, stableTime), {}});
            m_instances.back().replica.setReader(i < Readers);
        }
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
            return instance.replica.documents(kind).lastChangeVersion() >= version;
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
    };

    std::chrono::milliseconds jittered(std::chrono::milliseconds delay)
    {
        std::uniform_real_distribution<double> factor(0.5, 1.5);
        return std::chrono::milliseconds(
            static_cast<std::int64_t>(static_cast<double>(delay.count()) * factor(m_random)));
    }

    void run(std::size_t index)
    {
        auto &instance = m_instances[index];
        instance.replica.applyDueRemovals(Backends, m_now);
        for (const auto kind : ReadKinds) {
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
        const auto ahead = std::ranges::find_if(m_instances, [&instance](const auto &peer) {
            return std::ranges::any_of(ReadKinds, [&](auto kind) {
                return peer.replica.documents(kind).lastChangeVersion() > instance.replica.documents(kind).asOf();
            });
        });
        if (ahead == m_instances.end()) {
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
        for (const auto kind : ReadKinds) {
            instance.replica.merge(kind, ahead->replica.documents(kind).copy(m_now), m_now);
        }
    }

    std::mt19937 m_random;
    std::vector<Instance> m_instances;
    Instant m_now = Instant(1h);
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
