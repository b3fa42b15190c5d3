#pragma once

#include "pomeloport/clock.h"

#include <cstdint>
#include <optional>

/// When a stopping router may refuse work, and when it may exit.
namespace pomelorouter
{

/// The course of a drain: requests are admitted until no caller can hold a discovery answer that names this instance,
/// then refused; the drain ends when the last request has ended after that. Without a start nothing is refused. Pure;
/// used by one thread at a time.
class DrainPlan
{
public:
    /// Starts the drain once; later calls change nothing. The lifetime of discovery answers counts only where this
    /// instance was ever in discovery.
    void start(pomeloport::Instant now,
               pomeloport::Duration lifetime,
               pomeloport::Duration propagation,
               bool discovered)
    {
        if (!m_refuseAt) {
            m_refuseAt = discovered ? now + lifetime + propagation : now;
        }
    }

    bool started() const
    {
        return m_refuseAt.has_value();
    }

    /// Whether requests are still admitted.
    bool admits(pomeloport::Instant now) const
    {
        return !m_refuseAt || now < *m_refuseAt;
    }

    /// Whether the process may exit, given the requests and replies under way.
    bool finished(pomeloport::Instant now, std::uint64_t openWork) const
    {
        return m_refuseAt && now >= *m_refuseAt && openWork == 0;
    }

private:
    std::optional<pomeloport::Instant> m_refuseAt;
};

} // namespace pomelorouter
