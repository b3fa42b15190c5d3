#pragma once

#include "pomeloport/clock.h"

#include <cstdint>

/// Circuit breaking per backend server, with a slow start after recovery.
namespace pomeloport
{

/// Timing and threshold of a circuit breaker.
struct BreakerLimits
{
    /// Failures without a success in between that open the circuit, when they come within the window.
    std::uint32_t failures = 2;
    Duration window = std::chrono::seconds(5);
    /// How long the circuit stays open, doubled each time that the probe fails.
    Duration firstOpenTime = std::chrono::milliseconds(500);
    Duration longestOpenTime = std::chrono::seconds(15);
    /// How long a recovered server gets a reduced share of work.
    Duration slowStart = std::chrono::seconds(10);
};

/// Decides whether one backend server may get work, from the outcomes of earlier attempts. Not thread safe.
class CircuitBreaker
{
public:
    explicit CircuitBreaker(BreakerLimits limits = {});

    /// Whether an attempt may be sent now. While the circuit is open one probe is allowed after each open time.
    bool permits(Instant now) const;

    /// Notes that an attempt is sent, which takes the probe if one was due.
    void sent(Instant now);

    /// Notes that an attempt was answered: a first chunk or a complete answer.
    void succeeded(Instant now);

    /// Notes that an attempt broke, or that no connection could be made.
    void failed(Instant now);

    /// Share of its normal work that the server should get, above 0 and at most 1; rises after recovery.
    double share(Instant now) const;

private:
    bool isOpen() const;

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
