#pragma once

#include "pomeloport/clock.h"

#include <cstdint>

/// Circuit breaking per backend server, with a slow start after recovery.
namespace pomeloport
{

/// Failure threshold and timing of a circuit breaker.
struct BreakerLimits
{
    /// Consecutive failures within the window that open the circuit.
    std::uint32_t failures = 2;
    Duration window = std::chrono::seconds(5);
    /// How long the circuit stays open at first; doubled, up to the longest time, whenever a probe fails.
    Duration firstOpenTime = std::chrono::milliseconds(500);
    Duration longestOpenTime = std::chrono::seconds(15);
    /// How long a recovered server receives a reduced share of work.
    Duration slowStart = std::chrono::seconds(10);
};

/// Decides from the outcomes of earlier attempts whether one backend server may receive work. Not thread safe.
class CircuitBreaker
{
public:
    explicit CircuitBreaker(BreakerLimits limits = {});

    /// Returns whether an attempt may be sent now. An open circuit permits one probe after each open time.
    bool permits(Instant now) const;

    /// Records that an attempt is sent. While the circuit is open, the attempt is its probe.
    void sent(Instant now);

    /// Records that an attempt delivered a first chunk or a complete answer.
    void succeeded(Instant now);

    /// Records that an attempt broke or that no connection could be established.
    void failed(Instant now);

    /// Share of its normal work that the server should receive, above 0 and at most 1. It rises linearly during the
    /// slow start after recovery.
    double share(Instant now) const;

    /// Whether the server has failed and not recovered yet.
    bool isOpen() const;

private:
    BreakerLimits m_limits;
    std::uint32_t m_failures = 0;
    Instant m_firstFailure{};
    Duration m_openTime{};
    Instant m_probeAt{};
    Instant m_recoveredAt{};
    bool m_recovered = false;
    bool m_probing = false;
};

} // namespace pomeloport
