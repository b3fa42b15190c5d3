#include "pomeloentry/decisions/slotqueue.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <tuple>

namespace pomeloentry
{

namespace
{

constexpr double MsPerSecond = 1000;
/// Relative step of the quantile for each answer: some dozens of answers count, as many as an instance sees within a
/// second of a burst.
constexpr double QuantileStep = 0.08;
/// Part of the time from its arrival to its target for which a prompt counts as in time.
constexpr double LeastInTimeShare = 0.3;

/// Start times are compared in steps of this length, a multiple of the age of reports and a fraction of the targets.
constexpr Duration StartTimeStep = std::chrono::milliseconds(25);
/// Time after which other instances know of a prompt: changes are collected for some milliseconds, and cross a link.
constexpr Duration ReportTime = std::chrono::milliseconds(8);

/// Order of prompts within a step of start times: differs from the order of arrival, and is the same at all instances.
std::uint64_t orderInStep(const WorkItem &item)
{
    constexpr std::uint64_t Factor = 0x9E3779B97F4A7C15;
    constexpr unsigned Shift = 32;
    const std::uint64_t mixed = item.key * Factor;
    return (mixed ^ (mixed >> Shift)) * Factor;
}

/// Number of whole steps until the latest start in time; negative once it has passed.
std::int64_t stepsUntil(Instant latestStart, Instant now)
{
    const auto left = latestStart - now;
    const auto steps = left / StartTimeStep;
    return left < Duration::zero() ? steps - 1 : steps;
}

} // namespace

void SlotStartEstimate::answered(Duration firstEvent, const EnginePolicy &policy)
{
    const double ms = pomeloport::seconds(firstEvent) * MsPerSecond;
    if (m_quantileMs <= 0) {
        m_quantileMs = ms;
        return;
    }
    m_quantileMs *= ms > m_quantileMs ? 1 + QuantileStep * policy.queueStartQuantile
                                      : 1 - QuantileStep * (1 - policy.queueStartQuantile);
}

Duration SlotStartEstimate::startTime(const EngineCost &cost, const EnginePolicy &policy) const
{
    const double onePassMs = policy.roundTripMs + passMs(cost, static_cast<double>(cost.slots), 0);
    const double usualMs = policy.queueStartQuantile > 0 ? m_quantileMs : 0;
    return pomeloport::fromSeconds(std::max(onePassMs, usualMs) / MsPerSecond);
}

Instant latestStartInTime(Instant arrival, Instant target, Duration startTime)
{
    const auto least = pomeloport::fromSeconds(pomeloport::seconds(target - arrival) * LeastInTimeShare);
    return target > arrival ? std::max(target - startTime, arrival + least) : target - startTime;
}

std::size_t positionInQueue(const WorkItem &item,
                            const std::vector<const WorkItem *> &waiting,
                            bool othersWait,
                            Instant now,
                            const StandingOfItem &standingOf)
{
    const auto rank = [othersWait, now, &standingOf](const WorkItem &entry) {
        const bool goesFirst = entry.origin.served == ServedOften::TooSeldom;
        const bool goesLast = entry.origin.served == ServedOften::AheadOfUrgent;
        const auto steps = stepsUntil(entry.due, now);
        const bool late = !goesFirst && steps < 0;
        const bool isUnknown = othersWait && now - entry.startedAt < ReportTime;
        const auto standing = goesFirst || !standingOf ? Standing::Within : standingOf(entry);
        const std::uint8_t priority = goesFirst ? 0 : entry.origin.priority;
        return std::tuple(goesLast, late, standing, priority, isUnknown, steps, orderInStep(entry), entry.key);
    };
    const auto own = rank(item);
    return static_cast<std::size_t>(
        std::ranges::count_if(waiting, [&](const WorkItem *other) { return other != &item && rank(*other) < own; }));
}

std::vector<std::size_t> freeSlots(const std::vector<EngineCandidate> &engines,
                                   const WorkLedger::ByBackend &inFlight,
                                   const EngineCost &cost,
                                   const EnginePolicy &policy)
{
    const auto slots = static_cast<std::size_t>(static_cast<double>(cost.slots) * policy.slotShare);
    const auto memory = static_cast<std::uint64_t>(static_cast<double>(cost.memoryTokens) * policy.memoryShare);
    const auto needed =
        std::min(memory, static_cast<std::uint64_t>(policy.latencySensitivePrefillMs * cost.prefillTokensPerMs));
    std::vector<std::size_t> result;
    for (const auto &engine : engines) {
        const auto placed = inFlight.find(engine.key);
        std::size_t taken = 0;
        std::uint64_t tokens = 0;
        if (placed != inFlight.end()) {
            for (const auto &entry : placed->second) {
                taken += entry.part == 0 ? 1 : 0;
                tokens += entry.item->parts[entry.part].tokens;
            }
        }
        result.push_back(tokens + needed > memory ? 0 : slots - std::min(taken, slots));
    }
    return result;
}

std::vector<EngineCandidate> assignedEngines(std::size_t position,
                                             std::size_t contenders,
                                             const std::vector<EngineCandidate> &engines,
                                             const std::vector<std::size_t> &free)
{
    std::vector<std::size_t> order(engines.size());
    std::iota(order.begin(), order.end(), 0);
    std::ranges::sort(order, {}, [&engines](std::size_t index) { return engines[index].key; });
    std::vector<bool> isAssigned(engines.size(), false);
    std::size_t assigned = 0;
    const auto maximumFree = free.empty() ? 0 : *std::ranges::max_element(free);
    // The first free slots of all engines are assigned before the second of any.
    for (std::size_t round = 0; round < maximumFree; ++round) {
        for (const auto index : order) {
            if (round < free[index]) {
                isAssigned[index] = isAssigned[index] || assigned % contenders == position;
                ++assigned;
            }
        }
    }
    std::vector<EngineCandidate> result;
    for (std::size_t index = 0; index < engines.size(); ++index) {
        if (isAssigned[index]) {
            result.push_back(engines[index]);
        }
    }
    return result;
}

} // namespace pomeloentry
