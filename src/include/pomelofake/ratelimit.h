#pragma once

#include "pomeloport/clock.h"

#include <algorithm>

/// The rate limits of the stand-in platform.
namespace pomelofake
{

/// A token bucket on a passed-in clock, full at the start.
class RateLimit
{
public:
    /// Allows perSecond calls a second on average and burst calls at once.
    RateLimit(double perSecond, double burst)
        : m_perSecond(perSecond)
        , m_burst(burst)
        , m_tokens(burst)
    {
    }

    /// Takes one call; returns false when the limit is reached. Times must not go backwards.
    bool take(pomeloport::Instant now)
    {
        m_tokens = std::min(m_burst, m_tokens + pomeloport::seconds(now - m_last) * m_perSecond);
        m_last = now;
        if (m_tokens < 1) {
            return false;
        }
        m_tokens -= 1;
        return true;
    }

private:
    double m_perSecond;
    double m_burst;
    double m_tokens;
    pomeloport::Instant m_last{};
};

} // namespace pomelofake
