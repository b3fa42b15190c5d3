#pragma once

#include "pomeloport/clock.h"

#include <algorithm>
#include <cstddef>

/// How often the home of backend servers reads them. The more servers an instance is home of, the longer the intervals,
/// so that its traffic stays bounded.
namespace pomeloport
{

/// In regions with at most this many servers every instance reads the cache events of all engines, those of other homes
/// less often; in larger ones only the home does.
constexpr std::size_t MaximumSharedEventServers = 32;
constexpr int NonHomeEventIntervalFactor = 2;

/// Shortest intervals, for a home of few servers.
struct PollLimits
{
    Duration load = std::chrono::milliseconds(500);
    Duration holdings = std::chrono::seconds(5);
};

/// Intervals for one server.
struct PollPlan
{
    Duration load{};
    Duration events{};
    Duration holdings{};
};

/// Returns the intervals for a home of some servers.
constexpr PollPlan pollPlan(const PollLimits &limits, std::size_t servers)
{
    constexpr Duration LoadPerServer = std::chrono::milliseconds(250);
    constexpr Duration HoldingsPerServer = std::chrono::seconds(3);
    constexpr Duration EventsPerServer = std::chrono::milliseconds(1000);
    const auto count = static_cast<int>(servers);
    const auto load = std::max(limits.load, LoadPerServer * count);
    const auto events = std::max(limits.load * 2, EventsPerServer * count);
    return {load, events, std::max(limits.holdings, HoldingsPerServer * count)};
}

} // namespace pomeloport
