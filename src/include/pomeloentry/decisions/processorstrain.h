#pragma once

#include "pomeloport/clock.h"

namespace pomeloentry
{

using pomeloport::Duration;
using pomeloport::Instant;

/// Detects that this process gets less processor time than its work needs, for example because its machine has become
/// slow: its timers fire late. Such an instance ranks behind others as a gateway, which moves callers away from it.
/// Pure, not thread safe.
class ProcessorStrain
{
public:
    /// Mean lateness of timers from which the process counts as strained, and below which it recovers.
    static constexpr Duration StrainedLateness = std::chrono::milliseconds(80);
    static constexpr Duration RecoveredLateness = std::chrono::milliseconds(20);
    /// Minimum time until recovery, so that callers do not move back and forth.
    static constexpr Duration MinimumStrain = std::chrono::seconds(3);

    /// Records by how much a timer fired late.
    void timerFired(Duration lateness, Instant now);

    bool isStrained() const;

private:
    Duration m_meanLateness{};
    Instant m_strainedAt{};
    bool m_strained = false;
};

} // namespace pomeloentry
