#pragma once

#include "pomeloport/clock.h"

#include <array>
#include <cstdint>
#include <string>
#include <unordered_map>

/// Keeps repeated attempts of all instances together a small share of the requests for each service, so that a fault
/// is not amplified. It answers faults that break many attempts at once on a large fleet, where a fixed part for each
/// instance would be too little for those that are hit.
namespace pomeloentry
{

/// What the operators allow, over all instances.
struct RepeatLimits
{
    /// Repeats that each request for a service earns.
    double perRequest = 0.14;
    /// Repeats beyond that in one window.
    double slack = 70;
    pomeloport::Duration window = std::chrono::seconds(10);
};

/// Counts the attempts of all instances that are known here. Not thread safe.
class RepeatBudget
{
public:
    explicit RepeatBudget(const RepeatLimits &limits = {});

    /// Notes an attempt of any instance.
    void note(const std::string &service, bool repeat, pomeloport::Instant now);

    /// Whether this instance may send one repeat more. Share is the part of all instances that are heard, 0 to 1: what
    /// the others send meanwhile is not known.
    bool permits(const std::string &service, double share, pomeloport::Instant now);

private:
    /// The window is counted in this many steps; one more holds the present.
    static constexpr std::size_t Steps = 20;

    struct Counts
    {
        std::array<std::uint32_t, Steps + 1> requests{};
        std::array<std::uint32_t, Steps + 1> repeats{};
        std::int64_t step = 0;
    };

    Counts &advance(const std::string &service, pomeloport::Instant now);

    RepeatLimits m_limits;
    std::unordered_map<std::string, Counts> m_services;
    pomeloport::Instant m_startedAt{};
};

} // namespace pomeloentry
