#pragma once

#include "pomeloentry/decisions/senderroster.h"

#include "pomeloport/clock.h"
#include "pomeloport/nametable.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

/// Slow start of backend servers that are cold, have just started or recovered. Pure.
namespace pomeloentry
{

/// Settings of the slow start.
struct PacePolicy
{
    /// Whether servers without a stated limit are paced by how they answer. A stated limit always holds.
    bool enabled = false;
    /// Share of its slots with which a paced server begins.
    double initialShare = 0.25;
    /// A first event later than this multiple of its prediction, plus a margin, halves the window.
    double lateFactor = 2;
    /// Whether the choice of engines considers how much slower than declared they answer.
    bool observeSlowdown = false;
    /// Time in which a bad average of response times, or of slowdowns, decays to that of the other servers while those
    /// answer. Also sets apart the averages of the time while a server was cold. Zero turns both off.
    Duration averageLifetime{};
    /// Differences between response times up to this share of a call's target do not decide where it goes.
    double leastDifference = 0;
    /// A cold server gets its stated rate times the first plus the second number of requests a second at most.
    double coldRateFactor = 1;
    double coldRateMargin = 0;
};

/// A backend server as its entry and its service describe it.
struct ListedServer
{
    /// See backendKey().
    std::uint32_t key = 0;
    std::uint32_t slots = 1;
    /// Maximum number of requests in any second while the server is cold; zero without a limit.
    std::uint32_t coldLimit = 0;
    /// When the entry was learned, and for how long the server was cold then; nothing if the entry does not tell.
    Instant learnedAt{};
    std::optional<Duration> coldRemaining;
    /// How long a server of the service is cold after its start.
    Duration coldTime{};
};

/// Decides when a backend server may get another request while it is cold or new. Servers are identified by
/// incarnation, see backendKey().
///
/// A stated limit holds for the requests of all instances in any second. Each instance keeps to its part of the limit,
/// see limitShare(), whether or not it hears the others, and all requests that it knows of stay within the whole limit.
///
/// A server that has no such limit, and that is new or has recovered, gets a window of requests in flight, which grows
/// with each good answer and is halved when the server fails or answers late. Not thread safe.
class ServerPace
{
public:
    /// Requests count for this long: a second, and what the delays of two of them may differ by.
    static constexpr Duration LimitWindow = std::chrono::milliseconds(1250);
    /// A larger share of a limit is used this long after it was computed: the other instances have learned of the
    /// change by then and have kept to their new shares for a whole window.
    static constexpr Duration ShareDelay = std::chrono::seconds(6);
    /// Servers that are listed within this time after the first ones count as known before.
    static constexpr Duration FirstListTime = std::chrono::seconds(3);
    /// A server that returns to the list within this time is not new.
    static constexpr Duration Memory = std::chrono::minutes(10);
    /// A paced server without any answer gets one more request after this time.
    static constexpr Duration ProbeInterval = std::chrono::seconds(1);
    /// The window is halved at most once within this time, since a crash breaks all requests at once.
    static constexpr Duration HalvingInterval = std::chrono::milliseconds(250);
    static constexpr Duration LateMargin = std::chrono::milliseconds(100);

    enum class Step : std::uint8_t {
        /// A server has become cold.
        Cold,
        Warm,
        /// A window applies to a server from now on.
        Begin,
        Halved,
        End,
    };

    /// A change for the log.
    struct Event
    {
        std::uint32_t server = 0;
        Step step{};
        /// Requests in flight that the window permits, or the limit of a cold server.
        std::uint32_t size = 0;
    };

    explicit ServerPace(const PacePolicy &policy = {});

    /// Requests in any second that a cold server of a service with this rate may get; zero without a limit.
    std::uint32_t coldLimit(double rate) const;

    /// Updates the servers that are known. Drops those that are not listed any more.
    void list(const std::vector<ListedServer> &servers, Instant now);

    /// Records that an answer of a server tells for how long it is cold.
    void heardCold(std::uint32_t server, Duration remaining, Instant now);

    /// Sets the place of this instance among those that may send.
    void setSenders(const SenderStanding &standing, Instant now);

    /// Whether no server is cold or paced, so that all others need not be asked.
    bool isIdle() const;

    /// Whether a server is cold and has a stated limit.
    bool isLimited(std::uint32_t server, Instant now) const;

    /// Whether a server was cold at a time, with a stated limit or without. Only the latest cold time is known.
    bool wasCold(std::uint32_t server, Instant at) const;

    /// Whether a window applies to a server.
    bool isPaced(std::uint32_t server) const;

    /// Whether the stated limit, or the window, permits another request now.
    bool limitPermits(std::uint32_t server, Instant now) const;
    bool windowPermits(std::uint32_t server, std::size_t inFlight, Instant now) const;

    /// Records that this instance is about to send a request. Returns false, and does not count it, if the limit does
    /// not permit it.
    bool sent(std::uint32_t server, Instant now);

    /// Records that another instance sent a request.
    void sentElsewhere(std::uint32_t server, Instant at, Instant now);

    /// Records the first event of a request, with the time that it took and the predicted one; without them for a
    /// request of another instance.
    void answered(std::uint32_t server, Duration taken, Duration predicted, Instant now);
    void answeredElsewhere(std::uint32_t server);

    /// Records a failure or a refusal.
    void failed(std::uint32_t server, Instant now);

    /// Begins a window for a server that has recovered.
    void recovered(std::uint32_t server, Instant now);

    struct Counts
    {
        std::size_t cold = 0;
        std::size_t paced = 0;
    };
    Counts counts(Instant now) const;

    /// Changes since the last call, the latest ones if there were many.
    std::vector<Event> takeEvents(Instant now);

private:
    struct Server
    {
        std::uint32_t slots = 1;
        std::uint32_t coldLimit = 0;
        Instant coldUntil{};
        /// The same, kept when the server is warm again.
        Instant lastColdUntil{};
        /// A server that turns cold gets nothing for a window, since its earlier requests were not counted.
        Instant blockedUntil{};
        /// Times of the requests within the last window, of this and of all instances.
        std::deque<Instant> ownSends;
        std::deque<Instant> allSends;
        /// Requests in flight that the window permits; zero without a window.
        double window = 0;
        Instant lastSent{};
        Instant halvedAt{};
    };

    /// A standing that was replaced.
    struct FormerStanding
    {
        SenderStanding standing;
        Instant replacedAt{};
    };

    Server *find(std::uint32_t server);
    const Server *find(std::uint32_t server) const;
    void setColdUntil(std::uint32_t key, Server &server, Instant until, bool isNew, Instant now);
    void beginWindow(std::uint32_t key, Server &server);
    void growWindow(std::uint32_t key, Server &server);
    void halveWindow(std::uint32_t key, Server &server, Instant now);
    void recount(Instant now);
    void record(std::uint32_t server, Step step, double size);

    PacePolicy m_policy;
    SenderStanding m_standing;
    std::vector<FormerStanding> m_formerStandings;
    std::unordered_map<std::uint32_t, Server> m_servers;
    /// When a server was last listed, kept for Memory.
    std::unordered_map<std::uint32_t, Instant> m_listedAt;
    std::optional<Instant> m_firstListed;
    std::size_t m_active = 0;
    std::vector<Event> m_events;
};

constexpr pomeloport::NameTable<ServerPace::Step, 5> nameTable(ServerPace::Step /*unused*/)
{
    return {{{ServerPace::Step::Cold, "cold"},
             {ServerPace::Step::Warm, "warm"},
             {ServerPace::Step::Begin, "begin"},
             {ServerPace::Step::Halved, "halved"},
             {ServerPace::Step::End, "end"}}};
}

} // namespace pomeloentry
