#pragma once

#include "pomelofake/history.h"
#include "pomelofake/ratelimit.h"
#include "pomeloport/clock.h"
#include "pomeloport/protocol/store.h"

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// The platform's object store, instance list and weight store on a virtual clock. The process fake-platform and the
/// fault matrix use it.
namespace pomelofake
{

/// Limits of the platform.
struct PlatformModelSettings
{
    double writesPerSecond = 500;
    double readsPerSecond = 2000;
    std::size_t maximumValueBytes = 1'048'576;
    /// How long a watch waits when its caller names no time.
    pomeloport::Duration watchTimeout = std::chrono::seconds(30);
    /// Age of the instance list as read, at most History::MaximumLag.
    pomeloport::Duration instanceListLag = std::chrono::seconds(2);
    double weightLoadsPerMinute = 12;
    /// Seed of the choice of lost answers.
    std::uint64_t seed = 1;
};

/// Faults in force. All can be switched at any time.
struct PlatformFaults
{
    /// Every call, waiting watches included, is answered Unavailable and has no effect.
    bool outage = false;
    /// Share of writes, 0 to 1, that take effect and are answered Unavailable.
    double loseAnswers = 0;
    /// This many of the next writes take effect and are answered Unavailable.
    std::uint64_t loseNextAnswers = 0;
    /// Every call is Rejected, as above the rate limit.
    bool rejectAll = false;
    /// Get and List answer as of this long ago, at most History::MaximumLag.
    pomeloport::Duration staleReads{};
    /// Added to the time of each reply; a write takes effect at once.
    pomeloport::Duration delay{};
};

/// Kinds of instances in the platform's list.
enum class PlatformInstanceKind {
    Entry,
    Engine,
    Service,
};

constexpr pomeloport::NameTable<PlatformInstanceKind, 3> nameTable(PlatformInstanceKind /*unused*/)
{
    return {{{PlatformInstanceKind::Entry, "entry"},
             {PlatformInstanceKind::Engine, "engine"},
             {PlatformInstanceKind::Service, "service"}}};
}

/// States of instances in the platform's list. Gone instances are left out of the list.
enum class PlatformInstanceState {
    Live,
    Leaving,
    Gone,
};

constexpr pomeloport::NameTable<PlatformInstanceState, 3> nameTable(PlatformInstanceState /*unused*/)
{
    return {{{PlatformInstanceState::Live, "live"},
             {PlatformInstanceState::Leaving, "leaving"},
             {PlatformInstanceState::Gone, "gone"}}};
}

/// One entry of the platform's instance list.
struct PlatformInstance
{
    std::string name;
    std::string address;
    PlatformInstanceKind kind = PlatformInstanceKind::Entry;
    PlatformInstanceState state = PlatformInstanceState::Live;
};

/// A reply together with the ticket that submit() gave out for the call.
struct PlatformReply
{
    std::uint64_t ticket = 0;
    pomeloport::StoreReply reply;
};

/// Executes calls of the object API. A call takes effect in submit(); its reply comes from advance(), at once, after
/// the delay in force, or, for a watch, when an object of the kind changes or the wait ends. Versions come from one
/// counter. Removed objects stay visible to watches. The clock is passed in and must not go backwards.
class PlatformModel
{
public:
    explicit PlatformModel(PlatformModelSettings settings);

    /// Executes a call and returns the ticket of its reply. The wait applies to watches; zero means the default.
    std::uint64_t submit(const pomeloport::StoreCall &call, pomeloport::Instant now, pomeloport::Duration wait = {});

    /// Drops a waiting watch, or a reply that is not yet due, whose caller has gone.
    void forget(std::uint64_t ticket);

    /// Returns the replies that are due, in order of time.
    std::vector<PlatformReply> advance(pomeloport::Instant now);

    /// When the next reply is due or a watch ends; Instant::max() when none is.
    pomeloport::Instant nextEventAt() const;

    /// Replaces the faults in force. An outage ends waiting watches as Unavailable.
    void setFaults(const PlatformFaults &faults, pomeloport::Instant now);

    const PlatformFaults &faults() const;

    /// Adds or replaces an entry of the instance list.
    void registerInstance(PlatformInstance instance, pomeloport::Instant now);

    /// The instance list as of the configured lag ago.
    std::vector<PlatformInstance> instances(pomeloport::Instant now);

    /// Asks the weight store for one item; false when its rate limit is reached.
    bool takeWeights(pomeloport::Instant now);

    /// Calls so far by operation, "instances" and "weights" included. A waiting watch counts once.
    const std::map<std::string, std::uint64_t, std::less<>> &counts() const;

    /// The version of the latest write.
    std::uint64_t version() const;

private:
    using ObjectKey = std::pair<std::string, std::string>;

    struct WaitingWatch
    {
        pomeloport::StoreCall call;
        pomeloport::Instant endsAt{};
    };

    void count(std::string_view operation);
    bool isWithinLimit(const pomeloport::StoreCall &call, pomeloport::Instant now);
    pomeloport::StoreReply execute(const pomeloport::StoreCall &call, pomeloport::Instant now);
    pomeloport::StoreReply read(const pomeloport::StoreCall &call, pomeloport::Instant now) const;
    pomeloport::StoreReply list(const pomeloport::StoreCall &call, pomeloport::Instant now) const;
    pomeloport::StoreReply write(const pomeloport::StoreCall &call, pomeloport::Instant now);
    pomeloport::StoreReply changes(const pomeloport::StoreCall &call) const;
    bool losesAnswer();
    void schedule(std::uint64_t ticket, pomeloport::StoreReply reply, pomeloport::Instant at);
    void answerWatches(const std::string &kind, pomeloport::Instant now);
    void endWatches(pomeloport::Instant now);

    PlatformModelSettings m_settings;
    PlatformFaults m_faults;
    std::map<ObjectKey, History<pomeloport::StoreObject>> m_objects;
    std::map<std::string, History<PlatformInstance>> m_instances;
    std::map<std::uint64_t, WaitingWatch> m_watches;
    std::multimap<pomeloport::Instant, PlatformReply> m_replies;
    std::map<std::string, std::uint64_t, std::less<>> m_counts;
    RateLimit m_writes;
    RateLimit m_reads;
    RateLimit m_weights;
    std::mt19937_64 m_random;
    std::uint64_t m_version = 0;
    std::uint64_t m_lastTicket = 0;
};

} // namespace pomelofake
