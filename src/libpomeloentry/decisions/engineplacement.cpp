#include "pomeloentry/decisions/engineplacement.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>
#include <string_view>

namespace pomeloentry
{

namespace
{

constexpr double TokensPerThousand = 1000;
constexpr double PairsPerMillion = 1e6;
constexpr double MsPerSecond = 1000;
/// Remaining prefill time assumed at least for a prompt whose first event has not come although its predicted time has
/// passed, in milliseconds.
constexpr double LeastRemainingMs = 10;

double milliseconds(Duration duration)
{
    return static_cast<double>(duration.count()) / 1000.0;
}

Duration fromMilliseconds(double value)
{
    return Duration{static_cast<std::int64_t>(value * 1000.0)};
}

/// Probability that a limit is missed when the predicted value is this share of it.
double missProbability(double share, double safe, double certain)
{
    return std::clamp((share - safe) / (certain - safe), 0.0, 1.0);
}

bool isPositive(std::uint64_t tokens)
{
    return tokens > 0;
}

/// An engine with its current load and the predicted effects of placing a part of the prompt there.
struct RatedEngine
{
    const EngineCandidate *candidate = nullptr;
    /// Number of its failure domain; the same for all engines if distance costs nothing.
    std::size_t domain = 0;
    EngineLoad load;
    double passMs = 0;
    double freeTokens = 0;
    /// When the engine would finish a part as a helper, and what that would cost other requests.
    double helperFinishMs = 0;
    double helperCostToOthers = 0;
    /// What the engine costs as a helper in the same failure domain as the answering engine.
    double helperPrice = 0;
    /// Change of the latency-sensitive streams that it can start if it prefills a part.
    double startableChange = 0;
    /// Added to the loss of choices answered by this engine, so that instances spread over nearly equal ones and
    /// prefer near ones.
    double preferenceLoss = 0;
};

/// Pseudo-random number from 0 to 1 for an engine and a tie breaker.
double unitHash(std::uint64_t tieBreaker, std::uint32_t key)
{
    constexpr std::uint64_t First = 0x9E3779B97F4A7C15;
    constexpr std::uint64_t Second = 0xBF58476D1CE4E5B9;
    constexpr unsigned Shift = 29;
    constexpr double Range = 18446744073709551616.0;
    std::uint64_t mixed = (tieBreaker ^ (key * First)) * Second;
    mixed = (mixed ^ (mixed >> Shift)) * First;
    return static_cast<double>(mixed) / Range;
}

class EngineChooser
{
public:
    EngineChooser(const PromptWork &work,
                  const EngineCost &cost,
                  const EngineDemand &demand,
                  const EnginePolicy &policy,
                  Instant now)
        : m_work(work)
        , m_cost(cost)
        , m_demand(demand)
        , m_policy(policy)
        , m_dueInMs(milliseconds(work.due - now))
        , m_abandonInMs(milliseconds(work.abandonedAt - now))
        , m_promptPrefillMs(prefillTimeMs(cost, static_cast<double>(work.promptTokens)))
        , m_maxPassPrefillMs(cost.chunkTokens * cost.stepsPerPass * m_promptPrefillMs
                             / std::max(static_cast<double>(work.promptTokens), 1.0))
    {
    }

    void rate(const std::vector<EngineCandidate> &engines, const WorkLedger::ByBackend &inFlight, Instant now)
    {
        static const std::vector<WorkLedger::Placed> none;
        for (const auto &engine : engines) {
            const auto found = inFlight.find(engine.key);
            RatedEngine rated;
            rated.candidate = &engine;
            rated.domain = domainNumber(engine);
            rated.load =
                engineLoad(found == inFlight.end() ? none : found->second, m_cost, engine.slowdown, m_policy, now);
            rated.passMs =
                passMs(m_cost, static_cast<double>(rated.load.decodingStreams.size()), rated.load.contextTokens)
                * engine.slowdown;
            const auto memory = static_cast<double>(m_cost.memoryTokens) * m_policy.memoryShare;
            rated.freeTokens = memory - static_cast<double>(rated.load.memoryTokens);
            rated.preferenceLoss = m_work.worth * m_policy.tieShare * unitHash(m_work.tieBreaker, engine.key)
                + (engine.isRemote ? m_policy.distanceCost : 0);
            m_backlogMs += rated.load.backlogMs;
            m_engines.push_back(std::move(rated));
        }
    }

    std::optional<EngineChoice> best()
    {
        std::optional<EngineChoice> result;
        const auto maximumParts = std::min(m_policy.maximumHelpers + 1, m_engines.size());
        for (std::size_t parts = 1; parts <= maximumParts; ++parts) {
            considerParts(parts, result);
            // Splitting the prefill of a short prompt gains nothing.
            if (m_promptPrefillMs / static_cast<double>(parts) < m_policy.roundTripMs * 4) {
                break;
            }
        }
        return result;
    }

private:
    std::size_t domainNumber(const EngineCandidate &engine)
    {
        const std::string_view domain =
            m_policy.distanceCost > 0 ? std::string_view(engine.backend->failureDomain) : std::string_view();
        return m_domains.try_emplace(domain, m_domains.size()).first->second;
    }

    /// Worth that other requests lose when this much prefill is added to the engine.
    double costToOthers(const RatedEngine &rated, double prefillMs) const
    {
        double result = 0;
        // A pass prefills a bounded number of tokens; a longer prefill stretches several passes, each by that bound at
        // most.
        const double beforeMs = rated.passMs + std::min(rated.load.backlogMs, m_maxPassPrefillMs);
        const double afterMs = rated.passMs + std::min(rated.load.backlogMs + prefillMs, m_maxPassPrefillMs);
        for (const auto &stream : rated.load.decodingStreams) {
            result += stream.worth * m_policy.lateLoss
                * (missProbability(afterMs / stream.gapMs, m_policy.gapSafe, m_policy.gapMissed)
                   - missProbability(beforeMs / stream.gapMs, m_policy.gapSafe, m_policy.gapMissed));
        }
        // Prompts prefilled in the same pass get their first events together, so the other pending prefills are delayed
        // as well.
        for (const auto &prefill : rated.load.pendingPrefills) {
            if (prefill.dueInMs <= 0) {
                continue;
            }
            const double withoutWork =
                missProbability(prefill.finishMs / prefill.dueInMs, m_policy.firstEventSafe, m_policy.firstEventMissed);
            const double withWork = missProbability(
                (prefill.finishMs + prefillMs) / prefill.dueInMs, m_policy.firstEventSafe, m_policy.firstEventMissed);
            result += prefill.worth * m_policy.lateLoss * (withWork - withoutWork);
        }
        return result;
    }

    double passWaitMs(const RatedEngine &rated) const
    {
        return rated.load.decodingStreams.empty() ? 0 : rated.passMs / 2;
    }

    bool hasSlot(const RatedEngine &rated) const
    {
        const auto slots = static_cast<double>(m_cost.slots) * m_policy.slotShare;
        return rated.freeTokens > 0 && static_cast<double>(rated.load.requests) + 1 <= slots;
    }

    /// Reserves memory at the helpers for what the answering engine cannot hold; false if they cannot hold it either.
    bool planReservations(const RatedEngine &answeringEngine,
                          const std::vector<const RatedEngine *> &chosen,
                          EngineChoice &choice) const
    {
        double missing = static_cast<double>(m_work.promptTokens + m_work.answerTokens) - answeringEngine.freeTokens;
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
            const double reservable = chosen[index]->candidate->mayReserve ? chosen[index]->freeTokens : 0;
            const double taken = std::min(missing, std::max(reservable, 0.0));
            choice.tickets[index] = static_cast<std::uint64_t>(std::ceil(taken));
            missing -= taken;
            if (missing <= 0) {
                return true;
            }
        }
        return false;
    }

    /// Loss of the prompt itself if its first event comes after this time.
    double ownLoss(double firstEventMs) const
    {
        const double target = std::max(m_dueInMs, 1.0);
        return m_work.worth
            * (m_policy.lateLoss * lateProbabilityAt(firstEventMs)
               + (1 - m_policy.lateLoss) * abandonProbabilityAt(firstEventMs)
               + m_policy.delayCost * std::min(firstEventMs / target, 10.0));
    }

    double abandonProbabilityAt(double firstEventMs) const
    {
        return m_abandonInMs <= 0
            ? 1
            : missProbability(firstEventMs / m_abandonInMs, m_policy.firstEventSafe, m_policy.firstEventMissed);
    }

    /// Number of latency-sensitive streams that an engine can start within this time, after this much additional
    /// prefill.
    double startableStreams(const RatedEngine &rated, double prefillMs, double withinMs) const
    {
        if (rated.passMs + rated.load.backlogMs + prefillMs > m_policy.latencySensitiveStartMs) {
            return 0;
        }
        const double slots = static_cast<double>(m_cost.slots) * m_policy.slotShare;
        const double freeSlots = std::max(slots - static_cast<double>(rated.load.requests), 0.0);
        return std::min(freeSlots, withinMs * m_policy.latencySensitiveStartShare / m_policy.latencySensitivePrefillMs);
    }

    /// Counts the latency-sensitive streams that the engines can start while a part is prefilled.
    void countStartableStreams(double partPrefillMs)
    {
        const double withinMs = partPrefillMs + m_policy.latencySensitiveStartMs;
        m_startable = 0;
        for (auto &rated : m_engines) {
            const double before = startableStreams(rated, 0, withinMs);
            const double after = startableStreams(rated, partPrefillMs * rated.candidate->slowdown, withinMs);
            m_startable += before;
            rated.startableChange = after - before;
        }
        m_neededStreams = m_demand.latencySensitiveRate * m_policy.latencySensitiveHeadroom * withinMs / MsPerSecond;
    }

    /// Worth lost by latency-sensitive streams that arrive while the parts are prefilled and find no engine that can
    /// start them in time.
    double crowdingCost(double startableAfter) const
    {
        const auto unplaced = [this](double places) {
            return std::max(m_neededStreams - places, 0.0);
        };
        return (unplaced(startableAfter) - unplaced(m_startable)) * m_policy.latencySensitiveWorth * m_policy.lateLoss;
    }

    double lateProbabilityAt(double firstEventMs) const
    {
        return m_dueInMs <= 0
            ? 1
            : missProbability(firstEventMs / m_dueInMs, m_policy.firstEventSafe, m_policy.firstEventMissed);
    }

    void considerParts(std::size_t parts, std::optional<EngineChoice> &result)
    {
        const double partPrefillMs = m_promptPrefillMs / static_cast<double>(parts);
        countStartableStreams(partPrefillMs);
        for (auto &rated : m_engines) {
            const double slowdown = rated.candidate->slowdown;
            rated.helperFinishMs =
                m_policy.roundTripMs + passWaitMs(rated) + rated.load.helperBacklogMs + partPrefillMs * slowdown;
            rated.helperCostToOthers =
                costToOthers(rated, partPrefillMs * slowdown) + rated.candidate->failureRate * m_work.worth;
        }
        std::vector<const RatedEngine *> helpers;
        const bool needsReservations = static_cast<double>(m_work.promptTokens + m_work.answerTokens)
            > static_cast<double>(m_cost.memoryTokens) * m_policy.memoryShare;
        for (const auto &rated : m_engines) {
            const bool mayHelp = rated.candidate->mayReserve || !needsReservations;
            if (mayHelp && rated.load.helperRequests < m_cost.slots && rated.candidate->failureRate < 1) {
                helpers.push_back(&rated);
            }
        }
        const double delayWeight = m_work.worth * m_policy.delayCost / std::max(m_dueInMs, 1.0);
        const double target = std::max(m_dueInMs, 1.0);
        for (auto &rated : m_engines) {
            const double missedTarget =
                missProbability(rated.helperFinishMs / target, m_policy.firstEventSafe, m_policy.firstEventMissed);
            rated.helperPrice =
                rated.helperCostToOthers + delayWeight * rated.helperFinishMs + missedTarget * m_work.worth;
        }
        std::vector<std::vector<const RatedEngine *>> helpersByDomain(m_domains.size());
        for (const auto &answeringEngine : m_engines) {
            if (!hasSlot(answeringEngine)) {
                continue;
            }
            auto &ordered = helpersByDomain[answeringEngine.domain];
            if (ordered.empty()) {
                ordered = helpers;
                sortHelpers(ordered, answeringEngine.domain, parts);
            }
            considerAnsweringEngine(answeringEngine, ordered, parts, partPrefillMs, result);
        }
    }

    /// Sorts the helpers of answering engines in this domain by price, or the best of them, of which one may be the
    /// answering engine itself.
    void sortHelpers(std::vector<const RatedEngine *> &helpers, std::size_t domain, std::size_t parts) const
    {
        const auto price = [this, domain](const RatedEngine *helper) {
            return helper->helperPrice + distanceCost(*helper, domain);
        };
        if (m_policy.distanceCost > 0) {
            const auto needed = static_cast<std::ptrdiff_t>(std::min(parts, helpers.size()));
            std::ranges::partial_sort(helpers, helpers.begin() + needed, {}, price);
        } else {
            std::ranges::sort(helpers, {}, price);
        }
    }

    /// Cost of a part that the engine prefills for an answering engine in this domain.
    double distanceCost(const RatedEngine &helper, std::size_t answeringDomain) const
    {
        return helper.domain == answeringDomain ? 0 : m_policy.distanceCost;
    }

    /// Considers an engine with a free slot as the one that answers, with the best helpers besides it.
    void considerAnsweringEngine(const RatedEngine &answeringEngine,
                                 const std::vector<const RatedEngine *> &helpers,
                                 std::size_t parts,
                                 double partPrefillMs,
                                 std::optional<EngineChoice> &result) const
    {
        // The parts of all engines have the same size, so its cost to others is that of a helper.
        double cost = answeringEngine.helperCostToOthers;
        double finishMs = m_policy.roundTripMs + passWaitMs(answeringEngine) + answeringEngine.load.backlogMs
            + partPrefillMs * answeringEngine.candidate->slowdown;
        double startableAfter = m_startable + answeringEngine.startableChange;
        double distance = 0;
        std::size_t taken = 0;
        for (std::size_t i = 0; i < helpers.size() && taken + 1 < parts; ++i) {
            if (helpers[i] == &answeringEngine) {
                continue;
            }
            ++taken;
            cost += helpers[i]->helperCostToOthers;
            finishMs = std::max(finishMs, helpers[i]->helperFinishMs);
            startableAfter += helpers[i]->startableChange;
            distance += distanceCost(*helpers[i], answeringEngine.domain);
        }
        if (taken + 1 < parts) {
            return;
        }
        cost += crowdingCost(startableAfter);
        const double firstEventMs = finishMs + answeringEngine.passMs;
        double loss = cost + ownLoss(firstEventMs) + m_policy.helperCost * static_cast<double>(parts - 1)
            + answeringEngine.preferenceLoss + distance;
        if (m_work.eventGap < m_policy.latencySensitiveGap && !answeringEngine.load.latencySensitive) {
            loss += m_work.worth * m_policy.spreadCost;
        }
        if (answeringEngine.load.requests + 1 >= m_cost.slots) {
            loss += m_work.worth * m_policy.lastSlotCost;
        }
        if (result && loss >= result->loss) {
            return;
        }
        EngineChoice choice;
        std::vector<const RatedEngine *> chosen;
        for (std::size_t i = 0; chosen.size() + 1 < parts; ++i) {
            if (helpers[i] != &answeringEngine) {
                chosen.push_back(helpers[i]);
                choice.helpers.push_back(helpers[i]->candidate->backend);
            }
        }
        if (!planReservations(answeringEngine, chosen, choice)) {
            return;
        }
        loss +=
            m_work.worth * m_policy.ticketCost * static_cast<double>(std::ranges::count_if(choice.tickets, isPositive));
        if (result && loss >= result->loss) {
            return;
        }
        choice.answeringEngine = answeringEngine.candidate->backend;
        choice.partPrefillMs = partPrefillMs;
        choice.costToOthers = cost;
        choice.loss = loss;
        choice.lateProbability = lateProbabilityAt(firstEventMs);
        choice.abandonProbability = abandonProbabilityAt(firstEventMs);
        choice.backlogMs = m_backlogMs / static_cast<double>(m_engines.size());
        choice.predictedFirst = fromMilliseconds(firstEventMs);
        result = std::move(choice);
    }

    const PromptWork &m_work;
    const EngineCost &m_cost;
    const EngineDemand &m_demand;
    const EnginePolicy &m_policy;
    double m_dueInMs;
    double m_abandonInMs;
    double m_promptPrefillMs;
    /// Maximum prefill time in one pass, in milliseconds.
    double m_maxPassPrefillMs;
    double m_backlogMs = 0;
    /// Latency-sensitive streams that all engines can start while a part is prefilled, and those that are expected.
    double m_startable = 0;
    double m_neededStreams = 0;
    std::vector<RatedEngine> m_engines;
    /// Number of each failure domain.
    std::map<std::string_view, std::size_t> m_domains;
};

} // namespace

double prefillTimeMs(const EngineCost &cost, double promptTokens)
{
    return promptTokens / cost.prefillTokensPerMs
        + cost.attentionMsPerMillionPairs * promptTokens * promptTokens / 2 / PairsPerMillion;
}

double passMs(const EngineCost &cost, double decodingStreams, double contextTokens)
{
    return cost.stepsPerPass
        * (cost.stepMs + cost.decodeMsPerSequence * decodingStreams
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
    EngineChooser chooser(work, cost, demand, policy, now);
    chooser.rate(engines, inFlight, now);
    return chooser.best();
}

double prefillPrice(const PromptWork &work,
                    const EngineCost &cost,
                    const EngineChoice &choice,
                    std::size_t engines,
                    const EngineDemand &demand,
                    const EnginePolicy &policy)
{
    const double count = std::max(static_cast<double>(engines), 1.0);
    const double seconds = prefillTimeMs(cost, static_cast<double>(work.promptTokens)) / MsPerSecond;
    const double backlog = choice.backlogMs / MsPerSecond + seconds / count;
    const double busy = demand.prefillRate / count + policy.busyPerBacklogSecond * backlog;
    // The spare capacity that keeps delays short grows with the square root of the number of engines only.
    const double spare = std::sqrt(std::min(policy.referenceEngines / count, 1.0));
    const double busyFrom = 1 - (1 - policy.busyFrom) * spare;
    const double busyTo = 1 - (1 - policy.busyTo) * spare;
    const double share = std::clamp((busy - busyFrom) / (busyTo - busyFrom), 0.0, 1.0);
    return policy.prefillPrice * share * seconds;
}

bool shouldDefer(const PromptWork &work, const EngineChoice &choice, double price, const EnginePolicy &policy)
{
    const double lateWorth = 1 - policy.lateLoss;
    const double deferredValue = lateWorth * policy.deferredLateChance;
    const double gain = work.worth
        * (lateWorth * (1 - choice.abandonProbability) + policy.lateLoss * (1 - choice.lateProbability)
           - deferredValue);
    return gain - choice.costToOthers < price;
}

EngineLoad engineLoad(const std::vector<WorkLedger::Placed> &placed,
                      const EngineCost &cost,
                      double slowdown,
                      const EnginePolicy &policy,
                      Instant now)
{
    EngineLoad load;
    std::vector<const WorkLedger::Placed *> prefills;
    for (const auto &entry : placed) {
        const auto &item = *entry.item;
        const bool answers = entry.part == 0;
        load.memoryTokens += item.parts[entry.part].tokens;
        if (answers) {
            ++load.requests;
            load.latencySensitive = load.latencySensitive || item.eventGap < policy.latencySensitiveGap;
        }
        if (!item.decoding) {
            load.helperRequests += answers ? 0 : 1;
            prefills.push_back(&entry);
        } else if (answers) {
            load.contextTokens += item.parts[0].tokens;
            load.decodingStreams.push_back({std::max(milliseconds(item.eventGap), 1.0), item.worth});
        }
    }
    std::ranges::sort(
        prefills, [](const auto *left, const auto *right) { return left->item->startedAt < right->item->startedAt; });
    // Passes that decode streams alternate with prefill.
    const double pass = passMs(cost, static_cast<double>(load.decodingStreams.size()), load.contextTokens) * slowdown;
    double busyUntilMs = -1e12;
    for (const auto *entry : prefills) {
        const auto &part = entry->item->parts[entry->part];
        const double arrivedMs = -milliseconds(now - entry->item->startedAt) + policy.roundTripMs / 2;
        const double startMs = std::max(busyUntilMs, arrivedMs + (load.decodingStreams.empty() ? 0 : pass / 2));
        busyUntilMs = startMs + part.prefillMs * slowdown;
        const double remaining = std::max(std::min(busyUntilMs, busyUntilMs - startMs), LeastRemainingMs);
        busyUntilMs = std::max(busyUntilMs, LeastRemainingMs);
        load.backlogMs += remaining;
        if (entry->part > 0) {
            load.helperBacklogMs += remaining;
        } else {
            load.pendingPrefills.push_back(
                {milliseconds(entry->item->due - now), load.backlogMs + pass, entry->item->worth});
        }
    }
    return load;
}

} // namespace pomeloentry
