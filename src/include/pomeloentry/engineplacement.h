#pragma once

#include "pomeloentry/routing.h"
#include "pomeloentry/workledger.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Chooses the engines that read and answer a prompt, from the declared cost model and all work in flight. Pure: no
/// clock, no randomness.
///
/// It answers loads in which short prompts with tight pauses between events meet long ones whose reading would stretch
/// these pauses. Each choice is priced in the worth that it puts at risk: of the prompt itself, of streams whose pauses
/// it stretches, and of prompts that it delays. Streams with tight pauses share few engines, which leaves the others to
/// long prompts, and long prompts are read by several engines at once.
namespace pomeloentry
{

/// A prompt that needs a place.
struct PromptWork
{
    std::uint64_t promptTokens = 0;
    /// Expected tokens of the answer.
    std::uint64_t answerTokens = 0;
    Duration eventGap{};
    /// When the first event should come, and when nobody waits for it any more.
    Instant due{};
    Instant abandonedAt{};
    /// What an answer in time is worth.
    double worth = 1;
    /// Decides between engines that are nearly equal; differs between calls and instances.
    std::uint64_t draw = 0;
};

/// What arrived lately, at all instances.
struct EngineDemand
{
    /// Reading work, in milliseconds of one engine for each millisecond.
    double readingRate = 0;
    /// Streams with tight pauses, for each second.
    double tightRate = 0;
};

/// An engine that may be chosen.
struct EngineCandidate
{
    std::uint32_t key = 0;
    const BackendEntry *backend = nullptr;
    /// Observed speed: 1 as declared, more is slower.
    double pace = 1;
    /// Share of its work at which it failed lately, 0 to 1.
    double risk = 0;
};

/// Where a prompt goes.
struct EngineChoice
{
    const BackendEntry *first = nullptr;
    std::vector<const BackendEntry *> helpers;
    /// Memory to set aside at each helper, in tokens; empty when the first engine holds the whole prompt.
    std::vector<std::uint64_t> tickets;
    /// Predicted time until the first event.
    Duration predictedFirst{};
    /// Worth that the choice puts at risk.
    double loss = 0;
    /// The part of the loss that others bear.
    double costToOthers = 0;
    /// Reading time of each part, in milliseconds.
    double partMs = 0;
    /// How likely the first event comes too late, and how likely nobody waits for it any more, 0 to 1.
    double late = 0;
    double abandonProbability = 0;
    /// Reading that is left at all engines, per engine, in milliseconds.
    double backlogMs = 0;
};

/// Weights of the choice.
struct EnginePolicy
{
    /// Share of an answer's worth that is lost when it is late; the users' sheets give a quarter for late answers.
    double lateLoss = 0.75;
    /// Share of a pause's bound from which a predicted pause counts as risky, and from which it counts as missed.
    double gapSafe = 0.8;
    double gapMissed = 1.0;
    /// The same for the time of the first event.
    double firstSafe = 0.8;
    double firstMissed = 1.0;
    /// Pauses below this bound are tight: the work of one long read.
    Duration tightGap = std::chrono::milliseconds(400);
    /// Share of worth that it costs to bring a tight stream to an engine that has none.
    double spreadCost = 0.08;
    /// Share of worth that a delay of one whole target costs, so that sooner is better among equals.
    double delayCost = 0.05;
    /// Share of worth by which choices may differ and still count as equal. Instances that have not heard of each
    /// other's latest choices take unlike ones among these, instead of all crowding the best engine.
    double tieShare = 0.1;
    /// Share of worth that it costs to take the last free slot of an engine: another instance may be about to take it,
    /// and one of the two then waits there for the next.
    double lastSlotCost = 0.1;
    /// Worth that each further engine costs: one more that may fail.
    double helperCost = 0.03;
    /// Share of worth that it costs to set memory aside at another engine.
    double ticketCost = 0.01;
    /// Engines that read one prompt at most, besides the first: the wire's limit.
    std::size_t maximumHelpers = 16;
    /// Streams that one engine writes at most, as a share of its slots.
    double slotShare = 0.9;
    /// Share of an engine's memory that is filled.
    double memoryShare = 0.95;
    /// Worth of one second of an engine's reading while demand is high: that of prompts which would have to wait.
    double readingPrice = 2.5;
    /// Shares of all engines that arriving reading work keeps busy, between which that price grows from nothing.
    double busyFrom = 0.5;
    double busyTo = 0.9;
    /// How much a second of backlog on every engine adds to the busy share.
    double busyPerBacklog = 0.3;
    /// Time to the first event that tight streams are kept room for, in milliseconds, and the worth of one of them.
    double tightStartMs = 200;
    double tightWorth = 1;
    /// Reading time of such a stream's prompt, in milliseconds, and the share of an engine's time that it is given to
    /// start them.
    double tightReadMs = 40;
    double tightStartShare = 0.5;
    /// How much more of them may come than lately: demand swings by this factor within seconds.
    double tightReserve = 2;
    /// Chance that a prompt that is held is served late.
    double heldChance = 0.8;
    /// Prompts whose reading takes less are never held, in milliseconds.
    double heldReadingMs = 1000;
    /// Time on the way to an engine and back, in milliseconds.
    double roundTripMs = 3;
};

/// The reading time of a whole prompt on one engine, in milliseconds.
double readingMs(const EngineCost &cost, double promptTokens);

/// The time of one pass with this many writers and this much context, without reading, in milliseconds.
double passMs(const EngineCost &cost, double writers, double contextTokens);

/// The best place for a prompt; nothing when no engine has a free slot and memory.
std::optional<EngineChoice> chooseEngines(const PromptWork &work,
                                          const EngineCost &cost,
                                          const std::vector<EngineCandidate> &engines,
                                          const WorkLedger::ByBackend &inFlight,
                                          const EngineDemand &demand,
                                          const EnginePolicy &policy,
                                          Instant now);

/// What the reading of a prompt costs others that arrive meanwhile, in worth: nothing while engines are idle, up to the
/// worth of prompts that would have to wait.
double readingPrice(const PromptWork &work,
                    const EngineCost &cost,
                    const EngineChoice &choice,
                    std::size_t engines,
                    const EngineDemand &demand,
                    const EnginePolicy &policy);

/// Whether a prompt is better held than placed as chosen, because what it gains by being placed now is less than what
/// its reading costs.
bool betterHeld(const PromptWork &work, const EngineChoice &choice, double price, const EnginePolicy &policy);

/// What an engine is doing, as the ledger tells.
struct EngineLoad
{
    struct Writer
    {
        double gapMs = 0;
        double worth = 0;
    };
    struct Reader
    {
        double dueInMs = 0;
        double finishMs = 0;
        double worth = 0;
    };
    std::vector<Writer> writers;
    std::vector<Reader> readers;
    /// Reading that is left, in milliseconds, and the part of it that goes before other reads.
    double backlogMs = 0;
    double helperBacklogMs = 0;
    double contextTokens = 0;
    std::uint64_t memoryTokens = 0;
    /// Requests answered there; those that it only helps to read.
    std::size_t requests = 0;
    std::size_t helping = 0;
    bool tight = false;
};

/// Sums up the work at one engine. Reading is served in the order in which it was sent.
EngineLoad engineLoad(const std::vector<WorkLedger::Placed> &placed,
                      const EngineCost &cost,
                      double pace,
                      const EnginePolicy &policy,
                      Instant now);

} // namespace pomeloentry
