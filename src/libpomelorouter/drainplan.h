#pragma once

#include "pomeloport/clock.h"

#include <algorithm>
#include <cstdint>
#include <optional>

/// Decides when a draining router may refuse requests and when it may exit.
namespace pomelorouter
{

/// The phases of a drain. Requests are still admitted until the last discovery answer that lists this instance has
/// expired at the callers, then refused. The drain ends when all requests have ended after that, and at its limit the
/// requests that are still open are given up. Before start() all requests are admitted. Free of I/O; not thread-safe.
class DrainPlan
{
public:
    /// Starts the drain; later calls have no effect. Requests are admitted for the lifetime of discovery answers plus
    /// the time until all peers have learned of the drain. An instance that was never listed in discovery refuses at
    /// once. Without a limit, the drain lasts as long as its requests.
    void start(pomeloport::Instant now,
               pomeloport::Duration discoveryLifetime,
               pomeloport::Duration propagation,
               bool wasDiscoverable,
               std::optional<pomeloport::Duration> limit = {})
    {
        if (m_refuseAt) {
            return;
        }
        m_refuseAt = wasDiscoverable ? now + discoveryLifetime + propagation : now;
        if (limit) {
            endAt(now + *limit);
        }
    }

    /// Ends a drain that has started at this time, unless it ends earlier: from then on nothing is admitted, and
    /// requests that are still open are given up.
    void endAt(pomeloport::Instant at)
    {
        if (m_refuseAt) {
            m_endsAt = std::min(m_endsAt.value_or(at), at);
            m_refuseAt = std::min(*m_refuseAt, *m_endsAt);
        }
    }

    /// Whether requests that are still open get their final answer.
    bool givesUp(pomeloport::Instant now) const
    {
        return m_endsAt && now >= *m_endsAt;
    }

    bool started() const
    {
        return m_refuseAt.has_value();
    }

    /// Whether the drain plan admits requests.
    bool admits(pomeloport::Instant now) const
    {
        return !m_refuseAt || now < *m_refuseAt;
    }

    /// Whether the process may exit, given the number of open requests and unfinished replies.
    bool finished(pomeloport::Instant now, std::uint64_t openRequestsAndReplies) const
    {
        const bool answered = m_refuseAt && now >= *m_refuseAt && openRequestsAndReplies == 0;
        return answered || (m_endsAt && now >= *m_endsAt + FinalAnswerTime);
    }

private:
    /// Time in which the final answers are written.
    static constexpr pomeloport::Duration FinalAnswerTime = std::chrono::milliseconds(250);

    std::optional<pomeloport::Instant> m_refuseAt;
    std::optional<pomeloport::Instant> m_endsAt;
};

} // namespace pomelorouter
