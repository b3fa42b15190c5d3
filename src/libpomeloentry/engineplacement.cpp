#include "pomeloentry/engineplacement.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace pomeloentry
{

namespace
{

constexpr double TokensPerThousand = 1000;
constexpr double PairsPerMillion = 1e6;
constexpr double MsPerSecond = 1000;
/// Least reading time left of a prompt whose first event has not come although its time is over, in milliseconds.
constexpr double LeastRemainingMs = 10;

double milliseconds(Duration duration)
{
    return static_cast<double>(duration.count()) / 1000.0;
}

Duration fromMilliseconds(double value)
{
    return Duration{static_cast<std::int64_t>(value * 1000.0)};
}

/// How likely a bound is missed, when the prediction lies at this share of it.
double missed(double share, double safe, double certain)
{
    return std::clamp((share - safe) / (certain - safe), 0.0, 1.0);
}

bool isSet(std::uint64_t tokens)
{
    return tokens > 0;
}

/// An engine with what is known of it, and what a part of the prompt would do there.
struct Rated
{
    const EngineCandidate *candidate = nullptr;
    EngineLoad load;
    double passMs = 0;
    double freeTokens = 0;
    /// When a helper's part would be read, and what it would cost others.
    double helperFinishMs = 0;
    double helperDamage = 0;
    /// Added to the loss of choices that begin here, so that nearly equal ones take turns.
    double tieLoss = 0;
};

/// A number from 0 to 1 for an engine, which differs between draws without pattern.
double shareOf(std::uint64_t draw, std::uint32_t key)
{
    constexpr std::uint64_t First = 0x9E3779B97F4A7C15;
    constexpr std::uint64_t Second = 0xBF58476D1CE4E5B9;
    constexpr unsigned Shift = 29;
    constexpr double Range = 18446744073709551616.0;
    std::uint64_t mixed = (draw ^ (key * First)) * Second;
    mixed = (mixed ^ (mixed >> Shift)) * First;
    return static_cast<double>(mixed) / Range;
}

class Chooser
{
public:
    Chooser(const PromptWork &work,
            const EngineCost &cost,
            const EngineDemand &demand,
            const EnginePolicy &policy,
            Instant now)
        : m_work(work)
        , m_cost(cost)
        , m_demand(demand)
        , m_policy(policy)
        , m_dueInMs(milliseconds(work.due - now))
        , m_abandonedInMs(milliseconds(work.abandonedAt - now))
        , m_wholeMs(readingMs(cost, static_cast<double>(work.promptTokens)))
        , m_passReadMs(cost.chunkTokens * cost.stepsPerPass * m_wholeMs
                       / std::max(static_cast<double>(work.promptTokens), 1.0))
    {
    }

    void rate(const std::vector<EngineCandidate> &engines, const WorkLedger::ByBackend &inFlight, Instant now)
    {
        static const std::vector<WorkLedger::Placed> none;
        for (const auto &engine : engines) {
            const auto found = inFlight.find(engine.key);
            Rated rated;
            rated.candidate = &engine;
            rated.load = engineLoad(found == inFlight.end() ? none : found->second, m_cost, engine.pace, m_policy, now);
            rated.passMs =
                passMs(m_cost, static_cast<double>(rated.load.writers.size()), rated.load.contextTokens) * engine.pace;
            const auto memory = static_cast<double>(m_cost.memoryTokens) * m_policy.memoryShare;
            rated.freeTokens = memory - static_cast<double>(rated.load.memoryTokens);
            rated.tieLoss = m_work.worth * m_policy.tieShare * shareOf(m_work.draw, engine.key);
            m_backlogMs += rated.load.backlogMs;
            m_engines.push_back(std::move(rated));
        }
    }

    std::optional<EngineChoice> best()
    {
        std::optional<EngineChoice> result;
        const auto most = std::min(m_policy.maximumHelpers + 1, m_engines.size());
        for (std::size_t parts = 1; parts <= most; ++parts) {
            consider(parts, result);
            // Short prompts gain nothing from being read in parts.
            if (m_wholeMs / static_cast<double>(parts) < m_policy.roundTripMs * 4) {
                break;
            }
        }
        return result;
    }

private:
    /// What others lose when this much reading is added to a pass of the engine.
    double costToOthers(const Rated &rated, double readMs) const
    {
        double result = 0;
        // A pass reads a bounded number of tokens; what is longer stretches several passes.
        const double before = rated.passMs + std::min(rated.load.backlogMs, m_passReadMs);
        const double after = rated.passMs + std::min(rated.load.backlogMs + readMs, m_passReadMs);
        for (const auto &writer : rated.load.writers) {
            result += writer.worth * m_policy.lateLoss
                * (missed(after / writer.gapMs, m_policy.gapSafe, m_policy.gapMissed)
                   - missed(before / writer.gapMs, m_policy.gapSafe, m_policy.gapMissed));
        }
        // What one pass reads is answered together, so others that are read there wait for it as well.
        for (const auto &reader : rated.load.readers) {
            if (reader.dueInMs <= 0) {
                continue;
            }
            const double early = missed(reader.finishMs / reader.dueInMs, m_policy.firstSafe, m_policy.firstMissed);
            const double delayed =
                missed((reader.finishMs + readMs) / reader.dueInMs, m_policy.firstSafe, m_policy.firstMissed);
            result += reader.worth * m_policy.lateLoss * (delayed - early);
        }
        return result;
    }

    double waitForPass(const Rated &rated) const
    {
        return rated.load.writers.empty() ? 0 : rated.passMs / 2;
    }

    bool hasSlot(const Rated &rated) const
    {
        const auto slots = static_cast<double>(m_cost.slots) * m_policy.slotShare;
        return rated.freeTokens > 0 && static_cast<double>(rated.load.requests) + 1 <= slots;
    }

    /// Sets memory aside at the helpers for what the first engine cannot hold; false when they cannot either.
    bool planTickets(const Rated &first, const std::vector<const Rated *> &chosen, EngineChoice &choice) const
    {
        double missing = static_cast<double>(m_work.promptTokens + m_work.answerTokens) - first.freeTokens;
        if (missing <= 0) {
            return true;
        }
        choice.tickets.assign(chosen.size(), 0);
        std::vector<std::size_t> order(chosen.size());
        std::iota(order.begin(), order.end(), 0);
        std::ranges::sort(order, [&chosen](std::size_t left, std::size_t right) {
            return chosen[left]->freeTokens > chosen[right]->freeTokens;
        });
        for (const auto index : order) {
            const double taken = std::min(missing, std::max(chosen[index]->freeTokens, 0.0));
            choice.tickets[index] = static_cast<std::uint64_t>(std::ceil(taken));
            missing -= taken;
            if (missing <= 0) {
                return true;
            }
        }
        return false;
    }

    /// Loss of the prompt itself when its first event comes after this time.
    double ownLoss(double firstMs) const
    {
        const double target = std::max(m_dueInMs, 1.0);
        return m_work.worth
            * (m_policy.lateLoss * lateness(firstMs) + (1 - m_policy.lateLoss) * abandonment(firstMs)
               + m_policy.delayCost * std::min(firstMs / target, 10.0));
    }

    double abandonment(double firstMs) const
    {
        return m_abandonedInMs <= 0 ? 1 : missed(firstMs / m_abandonedInMs, m_policy.firstSafe, m_policy.firstMissed);
    }

    /// Tight streams that an engine can start within this time, after this much more reading.
    double startable(const Rated &rated, double readMs, double withinMs) const
    {
        if (rated.passMs + rated.load.backlogMs + readMs > m_policy.tightStartMs) {
            return 0;
        }
        const double slots = static_cast<double>(m_cost.slots) * m_policy.slotShare;
        const double freeSlots = std::max(slots - static_cast<double>(rated.load.requests), 0.0);
        return std::min(freeSlots, withinMs * m_policy.tightStartShare / m_policy.tightReadMs);
    }

    /// What tight streams lose that arrive while the parts are read and find no engine free of reading.
    double crowding(const Rated &first, const std::vector<const Rated *> &helpers, double partMs) const
    {
        const double withinMs = partMs + m_policy.tightStartMs;
        double before = 0;
        for (const auto &rated : m_engines) {
            before += startable(rated, 0, withinMs);
        }
        const auto change = [&](const Rated &rated) {
            return startable(rated, partMs * rated.candidate->pace, withinMs) - startable(rated, 0, withinMs);
        };
        double after = before + change(first);
        for (const auto *helper : helpers) {
            after += change(*helper);
        }
        const double needed = m_demand.tightRate * m_policy.tightReserve * withinMs / MsPerSecond;
        const auto lost = [needed](double places) {
            return std::max(needed - places, 0.0);
        };
        return (lost(after) - lost(before)) * m_policy.tightWorth * m_policy.lateLoss;
    }

    double lateness(double firstMs) const
    {
        return m_dueInMs <= 0 ? 1 : missed(firstMs / m_dueInMs, m_policy.firstSafe, m_policy.firstMissed);
    }

    void consider(std::size_t parts, std::optional<EngineChoice> &result)
    {
        const double partMs = m_wholeMs / static_cast<double>(parts);
        for (auto &rated : m_engines) {
            const double pace = rated.candidate->pace;
            rated.helperFinishMs =
                m_policy.roundTripMs + waitForPass(rated) + rated.load.helperBacklogMs + partMs * pace;
            rated.helperDamage = costToOthers(rated, partMs * pace) + rated.candidate->risk * m_work.worth;
        }
        std::vector<const Rated *> helpers;
        for (const auto &rated : m_engines) {
            if (rated.load.helping < m_cost.slots && rated.candidate->risk < 1) {
                helpers.push_back(&rated);
            }
        }
        const double delayWeight = m_work.worth * m_policy.delayCost / std::max(m_dueInMs, 1.0);
        const double target = std::max(m_dueInMs, 1.0);
        const auto price = [&](const Rated *rated) {
            const double late = missed(rated->helperFinishMs / target, m_policy.firstSafe, m_policy.firstMissed);
            return rated->helperDamage + delayWeight * rated->helperFinishMs + late * m_work.worth;
        };
        std::ranges::sort(helpers,
                          [&price](const Rated *left, const Rated *right) { return price(left) < price(right); });
        for (const auto &first : m_engines) {
            considerFirst(first, helpers, parts, partMs, result);
        }
    }

    void considerFirst(const Rated &first,
                       const std::vector<const Rated *> &helpers,
                       std::size_t parts,
                       double partMs,
                       std::optional<EngineChoice> &result) const
    {
        if (!hasSlot(first)) {
            return;
        }
        const double pace = first.candidate->pace;
        EngineChoice choice;
        choice.first = first.candidate->backend;
        choice.partMs = partMs;
        choice.costToOthers = costToOthers(first, partMs * pace) + first.candidate->risk * m_work.worth;
        double finishMs = m_policy.roundTripMs + waitForPass(first) + first.load.backlogMs + partMs * pace;
        std::vector<const Rated *> chosen;
        for (const auto *helper : helpers) {
            if (choice.helpers.size() + 1 == parts) {
                break;
            }
            if (helper == &first) {
                continue;
            }
            chosen.push_back(helper);
            choice.helpers.push_back(helper->candidate->backend);
            choice.costToOthers += helper->helperDamage;
            finishMs = std::max(finishMs, helper->helperFinishMs);
        }
        if (choice.helpers.size() + 1 < parts || !planTickets(first, chosen, choice)) {
            return;
        }
        choice.costToOthers += crowding(first, chosen, partMs);
        const double firstMs = finishMs + first.passMs;
        const bool tight = m_work.eventGap < m_policy.tightGap;
        double loss = choice.costToOthers + ownLoss(firstMs);
        loss += m_policy.helperCost * static_cast<double>(parts - 1);
        loss += m_work.worth * m_policy.ticketCost * static_cast<double>(std::ranges::count_if(choice.tickets, isSet));
        if (tight && !first.load.tight) {
            loss += m_work.worth * m_policy.spreadCost;
        }
        if (first.load.requests + 1 >= m_cost.slots) {
            loss += m_work.worth * m_policy.lastSlotCost;
        }
        loss += first.tieLoss;
        if (!result || loss < result->loss) {
            choice.loss = loss;
            choice.late = lateness(firstMs);
            choice.abandonProbability = abandonment(firstMs);
            choice.backlogMs = m_backlogMs / static_cast<double>(m_engines.size());
            choice.predictedFirst = fromMilliseconds(firstMs);
            result = std::move(choice);
        }
    }

    const PromptWork &m_work;
    const EngineCost &m_cost;
    const EngineDemand &m_demand;
    const EnginePolicy &m_policy;
    double m_dueInMs;
    double m_abandonedInMs;
    double m_wholeMs;
    /// Reading in one pass at most.
    double m_passReadMs;
    double m_backlogMs = 0;
    std::vector<Rated> m_engines;
};

} // namespace

double readingMs(const EngineCost &cost, double promptTokens)
{
    return promptTokens / cost.prefillTokensPerMs
        + cost.attentionMsPerMillionPairs * promptTokens * promptTokens / 2 / PairsPerMillion;
}

double passMs(const EngineCost &cost, double writers, double contextTokens)
{
    return cost.stepsPerPass
        * (cost.stepMs + cost.decodeMsPerSequence * writers
           + cost.contextMsPerThousand * contextTokens / TokensPerThousand);
}

std::optional<EngineChoice> chooseEngines(const PromptWork &work,
                                          const EngineCost &cost,
                                          const std::vector<EngineCandidate> &engines,
                                          const WorkLedger::ByBackend &inFlight,
                                          const EngineDemand &demand,
                                          const EnginePolicy &policy,
                                          Instant now)
{
    Chooser chooser(work, cost, demand, policy, now);
    chooser.rate(engines, inFlight, now);
    return chooser.best();
}

double readingPrice(const PromptWork &work,
                    const EngineCost &cost,
                    const EngineChoice &choice,
                    std::size_t engines,
                    const EngineDemand &demand,
                    const EnginePolicy &policy)
{
    const double count = std::max(static_cast<double>(engines), 1.0);
    const double seconds = readingMs(cost, static_cast<double>(work.promptTokens)) / MsPerSecond;
    const double backlog = choice.backlogMs / MsPerSecond + seconds / count;
    const double busy = demand.readingRate / count + policy.busyPerBacklog * backlog;
    const double share = std::clamp((busy - policy.busyFrom) / (policy.busyTo - policy.busyFrom), 0.0, 1.0);
    return policy.readingPrice * share * seconds;
}

bool betterHeld(const PromptWork &work, const EngineChoice &choice, double price, const EnginePolicy &policy)
{
    const double lateWorth = 1 - policy.lateLoss;
    const double held = lateWorth * policy.heldChance;
    const double gain =
        work.worth * (lateWorth * (1 - choice.abandonProbability) + policy.lateLoss * (1 - choice.late) - held);
    return gain - choice.costToOthers < price;
}

EngineLoad engineLoad(const std::vector<WorkLedger::Placed> &placed,
                      const EngineCost &cost,
                      double pace,
                      const EnginePolicy &policy,
                      Instant now)
{
    EngineLoad load;
    std::vector<const WorkLedger::Placed *> reading;
    for (const auto &entry : placed) {
        const auto &item = *entry.item;
        const bool answers = entry.part == 0;
        load.memoryTokens += item.parts[entry.part].tokens;
        if (answers) {
            ++load.requests;
            load.tight = load.tight || item.eventGap < policy.tightGap;
        }
        if (!item.writing) {
            load.helping += answers ? 0 : 1;
            reading.push_back(&entry);
        } else if (answers) {
            load.contextTokens += item.parts[0].tokens;
            load.writers.push_back({std::max(milliseconds(item.eventGap), 1.0), item.worth});
        }
    }
    std::ranges::sort(
        reading, [](const auto *left, const auto *right) { return left->item->startedAt < right->item->startedAt; });
    // Passes with writers take turns with reading.
    const double pass = passMs(cost, static_cast<double>(load.writers.size()), load.contextTokens) * pace;
    double clock = -1e12;
    for (const auto *entry : reading) {
        const auto &part = entry->item->parts[entry->part];
        const double started = -milliseconds(now - entry->item->startedAt) + policy.roundTripMs / 2;
        const double begin = std::max(clock, started + (load.writers.empty() ? 0 : pass / 2));
        clock = begin + part.readMs * pace;
        const double remaining = std::max(std::min(clock, clock - begin), LeastRemainingMs);
        clock = std::max(clock, LeastRemainingMs);
        load.backlogMs += remaining;
        if (entry->part > 0) {
            load.helperBacklogMs += remaining;
        } else {
            load.readers.push_back({milliseconds(entry->item->due - now), load.backlogMs + pass, entry->item->worth});
        }
    }
    return load;
}

} // namespace pomeloentry
