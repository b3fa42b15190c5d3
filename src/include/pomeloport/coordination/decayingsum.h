#pragma once

#include "pomeloport/clock.h"

#include <algorithm>
#include <cmath>

namespace pomeloport
{

/// A sum whose terms decay exponentially with age. Divided by the time constant it is a rate per second.
class DecayingSum
{
public:
    /// The time constant must be positive.
    explicit DecayingSum(Duration timeConstant)
        : m_timeConstant(seconds(timeConstant))
    {
    }

    void add(double value, Instant now)
    {
        m_sum = at(now) + value;
        m_time = now;
    }

    /// The decayed sum at the given time.
    double at(Instant now) const
    {
        return m_sum == 0 ? 0 : m_sum * std::exp(-std::max(0.0, seconds(now - m_time)) / m_timeConstant);
    }

    /// Average amount added per second over the time constant.
    double rate(Instant now) const
    {
        return at(now) / m_timeConstant;
    }

private:
    double m_timeConstant;
    double m_sum = 0;
    Instant m_time{};
};

} // namespace pomeloport
