#pragma once

#include "pomeloport/clock.h"

namespace pomelocontroller
{

/// The process's monotonic clock.
inline pomeloport::Instant steadyNow()
{
    return std::chrono::time_point_cast<pomeloport::Duration>(std::chrono::steady_clock::now());
}

} // namespace pomelocontroller
