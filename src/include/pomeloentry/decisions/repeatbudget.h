#pragma once

#include "pomeloport/clock.h"

#include <array>
#include <cstdint>
#include <string>
#include <unordered_map>

/// Limits the retries of all instances together to a small share of the requests for each service, so that retries do
/// not amplify a fault. The budget is shared because a fault may break many attempts at once on a large fleet, and a
/// fixed part for each instance would be too little for the instances that are hit.
namespace pomeloentry
{

/// Retry limits set by the operators, over all instances.
struct RepeatLimits
{
    /// Retries that each request for a service adds to the budget.
    double perRequest = 0.14;
    /// Retries allowed in addition in each window.
    double slack = 70;
    pomeloport::Duration window = std::chrono::seconds(10);
};

/// Counts the attempts of all instances, as far as this instance knows them. Not thread safe.
class RepeatBudget
{
public:
    explicit RepeatBudget(const RepeatLimits &limits = {});

    /// Records an attempt of any instance.
    void record(const std::string &service, bool repeat, pomeloport::Instant now);

    /// Whether this instance may send another retry. Share is the part of all instances that is being heard, 0 to 1; it
    /// scales the slack, since the retries of the others are unknown.
    bool permits(const std::string &service, double share, pomeloport::Instant now);

private:
    /// Steps that the window is divided into; one more counts the current step.
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
