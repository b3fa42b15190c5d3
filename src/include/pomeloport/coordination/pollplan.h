#pragma once

#include "pomeloport/clock.h"

#include <algorithm>
#include <cstddef>

/// Intervals at which the home instance of backend servers polls them. The intervals grow with the number of servers
/// that an instance is home of, so that its polling traffic stays bounded.
namespace pomeloport
{

/// In regions with at most this many servers, every instance reads the cache events of all engines. In larger regions
/// only the home instance of an engine does.
constexpr std::size_t MaximumSharedEventServers = 32;
/// Factor by which an instance reads cache events less often from engines whose home is another instance.
constexpr int NonHomeEventIntervalFactor = 2;

/// Lower limits of the intervals, reached by an instance that is home of few servers.
struct PollLimits
{
    Duration load = std::chrono::milliseconds(500);
    Duration holdings = std::chrono::seconds(5);
};

/// Polling intervals for each server.
struct PollPlan
{
    Duration load{};
    Duration events{};
    Duration holdings{};
};

/// Returns the polling intervals for an instance that is home of the given number of servers.
constexpr PollPlan pollPlan(const PollLimits &limits, std::size_t servers)
{
    constexpr Duration LoadIntervalPerServer = std::chrono::milliseconds(250);
    constexpr Duration HoldingsIntervalPerServer = std::chrono::seconds(3);
    constexpr Duration EventsIntervalPerServer = std::chrono::milliseconds(1000);
    const auto count = static_cast<int>(servers);
    const auto load = std::max(limits.load, LoadIntervalPerServer * count);
    const auto events = std::max(limits.load * 2, EventsIntervalPerServer * count);
    return {load, events, std::max(limits.holdings, HoldingsIntervalPerServer * count)};
}

} // namespace pomeloport
