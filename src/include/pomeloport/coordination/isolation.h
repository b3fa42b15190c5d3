#pragma once

#include "pomeloport/clock.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

/// Keeps a share of the engines free of long work, so that short requests do not queue behind long prompts.
namespace pomeloport
{

struct IsolationLimits
{
    /// Engines open to long work per engine that has long work, so that there is capacity for the next long request.
    double longHeadroom = 1.5;
    /// Largest share of the engines that may be kept free.
    double maximumShare = 0.9;
    /// How long the demand must ask for a change before it is made, so that short swings change nothing.
    Duration settleTime = std::chrono::seconds(5);
};

/// Decides how many engines of a pool accept short work only. The number follows the demand for long work by one engine
/// at a time, and only after the demand has stayed changed for the settle time. Not thread safe.
class ShortOnlyShare
{
public:
    explicit ShortOnlyShare(IsolationLimits limits = {});

    /// Updates the demand from the number of engines in the pool and of those with long work. Returns the number of
    /// engines to keep free of long work, which is at least the given share of the pool.
    std::size_t observe(std::size_t engines, std::size_t enginesWithLongWork, double minimumShare, Instant now);

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
/// same order, and members that join or leave do not change the relative order of the others.
std::vector<std::uint32_t> shortOnlyOrder(const std::vector<std::string> &members);

} // namespace pomeloport
