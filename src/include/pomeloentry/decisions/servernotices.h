#pragma once

#include "pomeloport/clock.h"
#include "pomeloport/nametable.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

/// What backend servers say of themselves: that they leave, or that they want no requests for a time. Pure.
namespace pomeloentry
{

using pomeloport::Duration;
using pomeloport::Instant;

/// How an instance learned what a backend server says.
enum class NoticeSource : std::uint8_t {
    /// From an answer that the server gave to this instance.
    Answer,
    /// From the server's entry in the store.
    Entry,
    /// From another instance.
    Peer,
};

constexpr pomeloport::NameTable<NoticeSource, 3> nameTable(NoticeSource /*unused*/)
{
    return {{{NoticeSource::Answer, "answer"}, {NoticeSource::Entry, "entry"}, {NoticeSource::Peer, "peer"}}};
}

/// What one answer says of its server.
struct ServerNotice
{
    bool leaving = false;
    /// How long the server wants no requests of the instance that it answered.
    std::optional<Duration> pause;
    /// For how long the server is cold, which concerns its pace only; see ServerPace.
    Duration cold{};

    /// Whether the notice says nothing of leaving or a pause.
    bool empty() const
    {
        return !leaving && !pause;
    }
};

/// A notice in messages between instances.
struct NoticeMessage
{
    /// See backendKey().
    std::uint32_t server = 0;
    bool leaving = false;
    /// Remaining pause; zero without one.
    std::uint32_t pauseMs = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(server, leaving, pauseMs);
    }
};

/// Decides which backend servers may get requests of this instance, for the load pattern of servers that are replaced
/// or under pressure one by one or all at once. Servers are identified by incarnation, so a restarted one begins anew,
/// and an entry of the same incarnation that does not tell of leaving changes nothing. A pause ends by itself; then the
/// server gets one request, and each answer permits two more until it gets requests as before, so that the requests
/// that have waited for it do not all come at once. Not thread safe.
class ServerNotices
{
public:
    /// Maximum time for which a notice holds after it was last heard. Longer pauses are cut to it.
    static constexpr Duration MaximumAge = std::chrono::minutes(10);
    /// Maximum number of servers that are remembered.
    static constexpr std::size_t MaximumServers = 16'384;
    /// Maximum number of notices in one message, which leaves room for the other parts of a datagram.
    static constexpr std::size_t MaximumMessages = 16;

    enum class Standing : std::uint8_t {
        /// May get requests.
        Open,
        /// May get requests, but others come first: it asked another instance for a pause.
        Discouraged,
        /// Its pause is over, and it has got the requests that its answers since then permit.
        Returning,
        /// Must get no request for now.
        Paused,
        /// Must get no request any more.
        Leaving,
    };

    /// What a notice changed.
    enum class Change : std::uint8_t {
        None,
        Leaves,
        Pauses,
    };

    /// Pauses are extended at random within limits by a value from 0 to 1, so that instances do not return together.
    explicit ServerNotices(double spread = 0);

    /// Records a notice. A notice of a peer only adds caution, and a shorter pause never ends a longer one.
    Change heard(std::uint32_t server, const ServerNotice &notice, NoticeSource source, Instant now);

    Standing standing(std::uint32_t server, Instant now) const;

    /// Whether a request that was already placed may still be sent: the server neither leaves nor is paused.
    bool mayGetRequests(std::uint32_t server, Instant now) const;

    /// Record that a request is sent to a server, and that the server has taken and answered one. The latter returns
    /// whether the answer completes its return from a pause.
    void sent(std::uint32_t server, Instant now);
    bool answered(std::uint32_t server, Instant now);

    /// Time from which a server that is paused may get requests; nothing if it is not.
    std::optional<Instant> pausedUntil(std::uint32_t server, Instant now) const;

    /// Whether a wrong value in an answer of a server is to be logged, which happens now and then only.
    bool reportsWrongValue(std::uint32_t server, Instant now);

    /// Own notices for other instances, a few of them in rotation; empty when there are none. Notices of peers and of
    /// the store are not passed on.
    std::vector<NoticeMessage> messages(Instant now);

    /// Numbers of servers that leave and that are paused.
    struct Counts
    {
        std::size_t leaving = 0;
        std::size_t paused = 0;
    };
    Counts counts(Instant now) const;

    /// Drops what is older than MaximumAge.
    void expire(Instant now);

private:
    struct State
    {
        Instant leavingHeardAt{};
        Instant pausedUntil{};
        /// Pause that another instance was asked for.
        Instant discouragedUntil{};
        /// Requests sent and answered since the end of the pause, until the return is complete.
        std::uint32_t sentSince = 0;
        std::uint32_t answeredSince = 0;
        Instant lastSent{};
        bool returning = false;
        Instant wrongReportedAt{};
        /// Whether a notice came with an answer to this instance.
        bool isOwn = false;
    };

    static bool isLeaving(const State &state, Instant now);
    static bool isExpired(const State &state, Instant now);
    State *stateFor(std::uint32_t server, Instant now);
    Change pause(State &state, Duration pause, NoticeSource source, Instant now) const;

    double m_spread;
    std::unordered_map<std::uint32_t, State> m_servers;
    std::size_t m_rotation = 0;
};

} // namespace pomeloentry
