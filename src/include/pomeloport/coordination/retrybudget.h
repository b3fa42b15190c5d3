#pragma once

#include "pomeloport/clock.h"

/// Limits retries to a small share of the traffic, so that they do not amplify a fault.
namespace pomeloport
{

/// Refill and capacity of a retry budget, in retries.
struct RetryBudgetLimits
{
    /// Added by each first attempt.
    double perRequest = 0.08;
    /// Added per second, so that a router with little traffic can retry too.
    double perSecond = 0.5;
    double capacity = 20;
};

/// A token bucket that is refilled by first attempts and by time; each retry takes one token. Not thread safe.
class RetryBudget
{
public:
    explicit RetryBudget(RetryBudgetLimits limits = {});

    /// Records a first attempt.
    void requestStarted();

    /// Takes one retry; false when the budget is exhausted.
    bool take(Instant now);

private:
    RetryBudgetLimits m_limits;
    double m_retries;
    Instant m_filledAt{};
    bool m_started = false;
};

} // namespace pomeloport
