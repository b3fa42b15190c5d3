#include "pomeloentry/knowledge/fleetcopy.h"
#include "pomeloentry/knowledge/fleetdocuments.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <random>

using namespace pomeloentry;
using namespace std::chrono_literals;
using pomeloport::Duration;
using pomeloport::StoreObject;

/// Replicas of a store that learn its changes from lists, watches and copies of each other, all of which may be
/// delayed, repeated or lost, in virtual time.
namespace
{

constexpr std::size_t Replicas = 4;
constexpr std::size_t Names = 6;
constexpr Duration Grace = 2s;

std::string textOf(std::uint64_t version)
{
    return std::string("v").append(std::to_string(version));
}

/// The store: versions of its objects and its history of changes, of which the oldest part may be gone.
struct Store
{
    struct Change
    {
        std::uint64_t version = 0;
        StoreObject object;
    };

    void put(const std::string &name)
    {
        objects[name] = ++version;
        history.push_back({version, {"servers", name, textOf(version), version, false}});
    }

    /// The event of a removal names the version of the removal or that of the last change before it.
    void remove(const std::string &name, bool namesLastChange)
    {
        const auto last = objects.at(name);
        objects.erase(name);
        removedAt[name] = ++version;
        history.push_back({version, {"servers", name, {}, namesLastChange ? last : version, true}});
    }

    void compact()
    {
        compactedTo = version;
        history.clear();
    }

    std::vector<StoreObject> list() const
    {
        std::vector<StoreObject> result;
        for (const auto &[name, changed] : objects) {
            result.push_back({"servers", name, textOf(changed), changed, false});
        }
        return result;
    }

    std::vector<StoreObject> changesAfter(std::uint64_t after) const
    {
        std::vector<StoreObject> result;
        for (const auto &change : history) {
            if (change.version > after) {
                result.push_back(change.object);
            }
        }
        return result;
    }

    std::map<std::string, std::uint64_t> objects;
    /// Version of the last removal of each object.
    std::map<std::string, std::uint64_t> removedAt;
    std::vector<Change> history;
    std::uint64_t version = 0;
    std::uint64_t compactedTo = 0;
};

struct Message
{
    Instant arrivesAt{};
    std::size_t replica = 0;
    std::function<void(FleetDocuments &documents, Instant removeAt, Instant now)> apply;
};

/// What the replicas hold, which decides how they learn of removals and pass copies on.
enum class Kind {
    /// An outage of the store delays removals; each copy is passed on.
    Backends,
    /// Removals are never delayed. A copy is passed on in an encoded FleetCopy, and only to a replica that is behind
    /// it.
    Evacuations,
};

class Fleet
{
public:
    Fleet(unsigned seed, Kind kind)
        : m_random(seed)
        , m_kind(kind)
    {
        for (std::size_t i = 0; i < Names; ++i) {
            store.put(nameOf(i));
        }
        for (auto &replica : replicas) {
            replica.replace(store.list(), {0, store.version}, m_now, m_now);
        }
    }

    void step()
    {
        m_now += Duration(std::chrono::milliseconds(draw(40)));
        switch (draw(8)) {
        case 0:
            change();
            break;
        case 1:
        case 2:
            sendWatch(draw(Replicas));
            break;
        case 3:
            sendList(draw(Replicas));
            break;
        case 4:
        case 5:
            sendCopy(draw(Replicas), draw(Replicas));
            break;
        case 6:
            if (draw(20) == 0) {
                store.compact();
            }
            break;
        default:
            break;
        }
        deliver();
        check();
    }

    /// Lets all delays pass and every replica read the store once more.
    void settle()
    {
        m_now += 10s;
        deliver();
        for (auto &replica : replicas) {
            replica.replace(store.list(), {0, store.version}, m_now, m_now);
            replica.applyDueChanges(m_now);
        }
        for (std::size_t i = 0; i < Replicas; ++i) {
            replicas[i].merge(replicas[(i + 1) % Replicas].copy(m_now), m_now, m_now);
        }
        check();
    }

    Store store;
    std::array<FleetDocuments, Replicas> replicas;
    std::size_t restored = 0;
    std::size_t lost = 0;

private:
    static std::string nameOf(std::size_t index)
    {
        return std::string("i-").append(std::to_string(index));
    }

    std::size_t draw(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random);
    }

    void change()
    {
        const auto name = nameOf(draw(Names));
        if (store.objects.contains(name) && draw(2) == 0) {
            store.remove(name, draw(2) == 0);
        } else {
            store.put(name);
        }
    }

    void send(std::size_t replica, decltype(Message::apply) apply)
    {
        if (draw(5) == 0) {
            return;
        }
        const std::size_t copies = draw(6) == 0 ? 2 : 1;
        for (std::size_t i = 0; i < copies; ++i) {
            const auto delay = std::chrono::milliseconds(draw(4) == 0 ? draw(4000) : draw(50));
            m_messages.push_back({m_now + delay, replica, apply});
        }
    }

    void sendWatch(std::size_t replica)
    {
        const auto after = replicas[replica].asOf().revision;
        if (after < store.compactedTo) {
            sendList(replica);
            return;
        }
        send(replica,
             [changes = store.changesAfter(after), asOf = store.version](auto &documents, auto removeAt, auto now) {
                 documents.apply(changes, {0, asOf}, removeAt, now);
             });
    }

    void sendList(std::size_t replica)
    {
        send(replica, [objects = store.list(), asOf = store.version](auto &documents, auto removeAt, auto now) {
            documents.replace(objects, {0, asOf}, removeAt, now);
        });
    }

    void sendCopy(std::size_t from, std::size_t to)
    {
        if (m_kind == Kind::Evacuations) {
            sendEvacuations(from, to);
            return;
        }
        const bool readsStore = draw(2) == 0;
        send(to, [copy = replicas[from].copy(m_now), readsStore](auto &documents, auto removeAt, auto now) {
            documents.merge(copy, readsStore ? std::optional(removeAt) : std::nullopt, now);
        });
    }

    void sendEvacuations(std::size_t from, std::size_t to)
    {
        if (replicas[from].asOf() <= replicas[to].asOf()) {
            return;
        }
        FleetCopy copy;
        copy.evacuations = replicas[from].copy(m_now);
        send(to, [bytes = encodeFleetCopy(copy)](auto &documents, auto removeAt, auto now) {
            const auto decoded = decodeFleetCopy(bytes);
            REQUIRE((decoded && decoded->evacuations));
            documents.merge(*decoded->evacuations, removeAt, now);
        });
    }

    /// Delivers what is due, to some replicas with the delay of removals that an outage of the store causes there.
    void deliver()
    {
        std::ranges::stable_sort(m_messages, {}, &Message::arrivesAt);
        while (!m_messages.empty() && m_messages.front().arrivesAt <= m_now) {
            const auto message = std::move(m_messages.front());
            m_messages.pop_front();
            const auto removeAt = m_kind == Kind::Backends && draw(3) == 0 ? m_now + Grace : m_now;
            message.apply(replicas[message.replica], removeAt, m_now);
        }
        for (auto &replica : replicas) {
            replica.applyDueChanges(m_now);
        }
    }

    /// Remembers which version of a document each replica has dropped. Counts those that come back, and those that the
    /// store has not removed since.
    void check()
    {
        for (std::size_t i = 0; i < Replicas; ++i) {
            const auto &documents = replicas[i].documents();
            for (auto &[name, version] : m_seen[i]) {
                if (!documents.contains(name)) {
                    auto &dropped = m_dropped[i][name];
                    dropped = std::max(dropped, version);
                    lost += version >= store.removedAt[name] ? 1 : 0;
                }
            }
            for (const auto &[name, document] : documents) {
                restored += document.version.revision <= m_dropped[i][name] ? 1 : 0;
                m_seen[i][name] = std::max(m_seen[i][name], document.version.revision);
            }
        }
    }

    std::mt19937 m_random;
    Kind m_kind;
    Instant m_now = Instant(1h);
    std::deque<Message> m_messages;
    std::array<std::map<std::string, std::uint64_t>, Replicas> m_seen;
    std::array<std::map<std::string, std::uint64_t>, Replicas> m_dropped;
};

} // namespace

// Guards against an older change that counts as newer: whatever is delayed, repeated or lost, nothing that a replica
// has dropped as gone comes back, nothing is dropped that the store has not removed, so that an older copy neither ends
// nor restores an evacuation, and replicas that hear from the store agree with it.
TEST_CASE("replicas of the store forget no removal and agree in the end", "[fleetdocuments]")
{
    const auto kind = GENERATE(Kind::Backends, Kind::Evacuations);
    constexpr unsigned Seeds = 2'000;
    constexpr int Steps = 200;
    for (unsigned seed = 0; seed < Seeds; ++seed) {
        CAPTURE(seed);
        Fleet fleet(seed, kind);
        for (int i = 0; i < Steps; ++i) {
            fleet.step();
        }
        fleet.settle();
        REQUIRE(fleet.restored == 0);
        REQUIRE(fleet.lost == 0);
        for (const auto &replica : fleet.replicas) {
            std::map<std::string, std::uint64_t> known;
            for (const auto &[name, document] : replica.documents()) {
                known[name] = document.version.revision;
            }
            REQUIRE(known == fleet.store.objects);
            REQUIRE(replica.pendingRemovals() == 0);
        }
    }
}
