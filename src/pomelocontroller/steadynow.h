#pragma once

#include "pomeloport/clock.h"

namespace pomelocontroller
{

/// Current time of the monotonic clock.
inline pomeloport::Instant steadyNow()
{
    return std::chrono::time_point_cast<pomeloport::Duration>(std::chrono::steady_clock::now());
}

} // namespace pomelocontroller
