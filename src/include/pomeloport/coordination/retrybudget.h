#pragma once

#include "pomeloport/clock.h"

/// Keeps retries a small share of the traffic, so that a fault is not amplified.
namespace pomeloport
{

/// Sizes of a retry budget, in retries.
struct RetryBudgetLimits
{
    /// Earned by each first attempt.
    double perRequest = 0.08;
    /// Earned with time, so that a quiet router can retry as well.
    double perSecond = 0.5;
    /// Saved at most.
    double greatest = 20;
};

/// A token bucket that first attempts and time fill and retries empty. Not thread safe.
class RetryBudget
{
public:
    explicit RetryBudget(RetryBudgetLimits limits = {});

    /// Notes a first attempt.
    void requestStarted();

    /// Takes one retry; false when none is left.
    bool take(Instant now);

private:
    RetryBudgetLimits m_limits;
    double m_retries;
    Instant m_filledAt{};
    bool m_started = false;
};

} // namespace pomeloport
