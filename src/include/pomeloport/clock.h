#pragma once

#include <chrono>
#include <cstdint>

/// Time as the decision code sees it: always passed in, never read from a clock.
namespace pomeloport
{

/// A span of time in microseconds.
using Duration = std::chrono::microseconds;

/// A point on the monotonic clock of one process, or of the virtual clock in a test. Never sent to another process.
using Instant = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// A point in calendar time in milliseconds, for values that cross processes, such as the issue time of a key.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

/// Returns the seconds in a duration as a floating-point number, for rates and cost models.
constexpr double seconds(Duration duration)
{
    return static_cast<double>(duration.count()) / 1e6;
}

/// Returns the duration of a number of seconds, rounded towards zero to whole microseconds.
constexpr Duration fromSeconds(double value)
{
    return Duration{static_cast<std::int64_t>(value * 1e6)};
}

} // namespace pomeloport
