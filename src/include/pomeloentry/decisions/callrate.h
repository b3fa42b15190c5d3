#pragma once

#include "pomeloport/clock.h"

#include <cstdint>

namespace pomeloentry
{

using pomeloport::Duration;
using pomeloport::Instant;

/// Rate of calls that an instance reports about itself. Follows a rise within a second and a fall within half a minute,
/// so that the number of gateways does not swing with short bursts. Pure, not thread safe.
class CallRate
{
public:
    static constexpr Duration RiseTime = std::chrono::seconds(1);
    static constexpr Duration FallTime = std::chrono::seconds(20);

    /// Updates the rate from the number of calls admitted since the start of the process.
    void update(std::uint64_t callCount, Instant now);

    /// Calls per second.
    double perSecond() const;

private:
    std::uint64_t m_callCount = 0;
    Instant m_updatedAt{};
    double m_perSecond = 0;
};

} // namespace pomeloentry
