#pragma once

#include "pomeloport/clock.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

/// Keeps a share of the engines free of long work, so that short requests find engines without it.
namespace pomeloport
{

/// Limits of the isolation of short requests.
struct IsolationLimits
{
    /// Engines for long work per engine that has some, so that the next long request finds a place.
    double longHeadroom = 1.5;
    /// Most engines that may be kept free, as a share.
    double greatestShare = 0.9;
    /// A wanted change by one engine must last this long before it is made.
    Duration settleTime = std::chrono::seconds(5);
};

/// Decides how many engines of a pool take short work only. The number follows the demand for long work, one engine at
/// a time and only when the demand stays changed. Not thread safe.
class ShortOnlyShare
{
public:
    explicit ShortOnlyShare(IsolationLimits limits = {});

    /// Notes the pool's size and how many of its engines have long work, and returns the number of engines to keep
    /// free, at least the given least share of them.
    std::size_t observe(std::size_t engines, std::size_t enginesWithLongWork, double leastShare, Instant now);

private:
    IsolationLimits m_limits;
    double m_longEngines = 0;
    std::size_t m_count = 0;
    Instant m_observedAt{};
    Instant m_changeWantedSince{};
    int m_wantedDirection = 0;
    bool m_started = false;
};

/// Returns the positions of the members in the order in which they are kept free of long work. All routers compute the
/// same order, and it hardly changes when members come and go.
std::vector<std::uint32_t> shortOnlyOrder(const std::vector<std::string> &members);

} // namespace pomeloport
