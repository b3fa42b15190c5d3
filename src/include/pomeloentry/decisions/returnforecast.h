#pragma once

#include "pomeloport/clock.h"
#include "pomeloport/nametable.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

/// Forecasts when a refused caller finds capacity, for the Retry-After of its refusal. Pure: no clock, no randomness.
namespace pomeloentry
{

using pomeloport::Duration;
using pomeloport::Instant;

struct CallWork;

/// What a refused call lacks.
enum class ReturnCause : std::uint8_t {
    NoConfiguration,
    NoServer,
    SlotsFull,
    PrefillTooDear,
    Memory,
    /// The instance stops; another one can serve the call.
    Stopping,
    /// All servers of the service have asked for a pause.
    Paused,
};

constexpr pomeloport::NameTable<ReturnCause, 7> nameTable(ReturnCause /*unused*/)
{
    return {{{ReturnCause::NoConfiguration, "no_configuration"},
             {ReturnCause::NoServer, "no_server"},
             {ReturnCause::SlotsFull, "slots_full"},
             {ReturnCause::PrefillTooDear, "prefill_too_dear"},
             {ReturnCause::Memory, "memory"},
             {ReturnCause::Stopping, "stopping"},
             {ReturnCause::Paused, "paused"}}};
}

/// Why a call is refused, with what the forecast for the cause depends on.
struct Shortage
{
    ReturnCause cause = ReturnCause::NoServer;
    /// Retry-After without a forecast.
    std::chrono::milliseconds fixedDelay{};
    /// Since when the service has had no server; nothing if it is not known.
    std::optional<Instant> since;
    /// Calls of all instances that wait for a slot.
    std::size_t waiting = 0;
    /// Prefill backlog per engine, and the share of the engines' time that arriving prefills leave to reduce it.
    Duration backlog{};
    double spareShare = 1;
};

struct ReturnPolicy
{
    /// Whether forecasts replace the fixed delays, and returning callers are recognised.
    bool enabled = false;
    /// Least Retry-After. The share of the caller's time takes precedence where both bind.
    Duration minimum = std::chrono::milliseconds(500);
    /// Largest part of the caller's remaining time that its Retry-After takes. Callers return once, and wait no longer
    /// than this.
    double maximumShare = 1.0 / 3;
};

/// Not thread safe.
class ReturnForecast
{
public:
    /// Instances with different seeds begin at different points of the forecast time.
    explicit ReturnForecast(const ReturnPolicy &policy = {}, std::uint64_t seed = 0);

    /// Retry-After of a call that is being refused. The call counts in later forecasts until it returns. Successive
    /// calls are spread evenly over the forecast time, so that they return as capacity becomes free.
    std::chrono::milliseconds retryAfter(const Shortage &shortage, const CallWork &work, Instant now);

    /// Record the start of the instance, a message of another instance that serves callers, and what calls to the store
    /// say of it.
    void instanceStarted(Instant now);
    void readyPeerHeard(Instant now);
    void storeAnswered(Instant now);
    void storeFailed(Instant now);

    /// Records the number of listed servers of a service, whenever there is a new list.
    void serversListed(const std::string &service, std::size_t count, Instant now);

    /// Whether the servers of a service are still being listed after this instance started without earlier state: the
    /// first lists after an outage of the store lack most servers.
    bool listGrows(const std::string &service, Instant now) const;

    /// Records the start of a call on any instance, which takes a slot that has become free while calls wait for slots.
    void callStarted(const std::string &service, bool isOwn, Instant now);

private:
    /// A decaying number of events.
    struct Rate
    {
        double sum = 0;
        Instant updatedAt{};
        Instant firstAt{};

        void record(Instant now);
        double perSecond(Instant now) const;
    };

    struct Service
    {
        std::size_t servers = 0;
        Instant grewAt{};
        Rate started;
        Rate startedHere;
        /// Number of refused callers that return in each interval of time.
        std::map<std::int64_t, std::size_t> returns;
    };

    /// Time from now within which a caller is to return.
    struct Range
    {
        Duration earliest{};
        Duration latest{};
    };

    Range configurationRange(Duration limit, Instant now) const;
    Range serverRange(const Shortage &shortage, const std::string &service, Duration limit, Instant now) const;
    Range slotRange(const Shortage &shortage, Service &service, Instant now) const;
    Range prefillRange(const Shortage &shortage) const;
    double nextDraw();

    const ReturnPolicy m_policy;
    std::map<std::string, Service> m_services;
    std::optional<Instant> m_startedAt;
    std::optional<Instant> m_firstListAt;
    std::optional<Instant> m_readyPeerAt;
    std::optional<Instant> m_storeAnsweredAt;
    std::optional<Instant> m_storeFailedAt;
    /// Whether the store failed before the first list.
    bool m_startedInOutage = false;
    double m_draw = 0;
};

/// Longest Retry-After that still leaves a call time for its answer, and at most the share of its remaining time that
/// the policy names.
Duration latestReturn(const ReturnPolicy &policy, const CallWork &work, Instant now);

} // namespace pomeloentry
