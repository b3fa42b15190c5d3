#include "pomeloentry/slotqueue.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace pomeloentry
{

std::size_t waitingBefore(const WorkItem &item,
                          const std::vector<const WorkItem *> &waiting,
                          Duration startTime,
                          Instant now)
{
    const auto rank = [startTime, now](const WorkItem &entry) {
        return std::tuple(entry.due < now + startTime, entry.due, entry.key);
    };
    return static_cast<std::size_t>(std::ranges::count_if(
        waiting, [&](const WorkItem *other) { return other != &item && rank(*other) < rank(item); }));
}

std::vector<std::size_t> freeSlots(const std::vector<EngineCandidate> &engines,
                                   const WorkLedger::ByBackend &inFlight,
                                   std::size_t slots)
{
    std::vector<std::size_t> result;
    for (const auto &engine : engines) {
        const auto placed = inFlight.find(engine.key);
        std::size_t taken = 0;
        if (placed != inFlight.end()) {
            taken = static_cast<std::size_t>(
                std::ranges::count(placed->second, std::size_t{0}, &WorkLedger::Placed::part));
        }
        result.push_back(slots - std::min(taken, slots));
    }
    return result;
}

std::vector<EngineCandidate> enginesBehind(std::size_t before,
                                           const std::vector<EngineCandidate> &engines,
                                           const std::vector<std::size_t> &free)
{
    std::vector<std::size_t> order(engines.size());
    std::iota(order.begin(), order.end(), 0);
    std::ranges::sort(order, {}, [&engines](std::size_t index) { return engines[index].key; });
    std::vector<EngineCandidate> result;
    for (const auto index : order) {
        const auto taken = std::min(before, free[index]);
        before -= taken;
        if (free[index] > taken) {
            result.push_back(engines[index]);
        }
    }
    return result;
}

} // namespace pomeloentry
