#pragma once

#include "pomeloentry/knowledge/routing.h"
#include "pomeloentry/knowledge/workledger.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Selects the engine that answers a prompt and the engines that help to prefill it, from the declared cost model and
/// all requests in flight. Pure: no clock, no randomness.
///
/// Built for mixed loads, in which short prompts with a low limit on the gap between events meet long prompts whose
/// prefill delays the streams that the same engine decodes. Each choice is scored by the worth that it puts at risk:
/// that of the prompt itself, of the streams whose gaps it stretches, and of the prompts that it delays.
/// Latency-sensitive streams are packed onto few engines, which leaves the others to long prompts, and long prompts are
/// prefilled by several engines in parallel.
namespace pomeloentry
{

/// A prompt to be placed.
struct PromptWork
{
    std::uint64_t promptTokens = 0;
    /// Expected length of the answer, in tokens.
    std::uint64_t answerTokens = 0;
    Duration eventGap{};
    /// Target time of the first event, and the time at which the caller gives up if none has come.
    Instant due{};
    Instant abandonedAt{};
    /// Worth of an answer that comes in time.
    double worth = 1;
    /// Breaks ties between engines of nearly equal loss; differs between calls and between instances.
    std::uint64_t tieBreaker = 0;
};

/// Recent arrival rates, over all instances.
struct EngineDemand
{
    /// Prefill work, in engine milliseconds per millisecond.
    double prefillRate = 0;
    /// Latency-sensitive streams per second.
    double latencySensitiveRate = 0;
};

/// An engine that a prompt may be placed on.
struct EngineCandidate
{
    std::uint32_t key = 0;
    const BackendEntry *backend = nullptr;
    /// Observed processing time as a multiple of the declared one; above 1 the engine is slower than declared.
    double slowdown = 1;
    /// Decaying share of recent attempts that failed there, 0 to 1.
    double failureRate = 0;
    /// Whether the engine is in another failure domain than the instance that places the prompt.
    bool isRemote = false;
    /// Whether memory may be reserved there: each order to a cold engine would count towards its limit.
    bool mayReserve = true;
};

/// The engines chosen for a prompt, with the predicted effects.
struct EngineChoice
{
    const BackendEntry *answeringEngine = nullptr;
    std::vector<const BackendEntry *> helpers;
    /// Memory to reserve at each helper, in tokens; empty when the answering engine can hold the whole prompt.
    std::vector<std::uint64_t> tickets;
    /// Predicted time until the first event.
    Duration predictedFirst{};
    /// Total worth that the choice puts at risk.
    double loss = 0;
    /// The part of the loss that falls on other requests.
    double costToOthers = 0;
    /// Prefill time of each part of the prompt, in milliseconds.
    double partPrefillMs = 0;
    /// Probabilities, 0 to 1, that the first event misses its target time, and that it comes after the caller has given
    /// up.
    double lateProbability = 0;
    double abandonProbability = 0;
    /// Mean prefill backlog per engine, in milliseconds.
    double backlogMs = 0;
};

/// Weights and limits of the choice.
struct EnginePolicy
{
    /// Share of an answer's worth that is lost when it is late: users still credit a late answer with a quarter of its
    /// worth.
    double lateLoss = 0.75;
    /// Predicted gap between events, as a share of its limit, above which the limit is at risk and above which it
    /// counts as missed.
    double gapSafe = 0.8;
    double gapMissed = 1.0;
    /// The same for the time to the first event.
    double firstEventSafe = 0.8;
    double firstEventMissed = 1.0;
    /// Streams whose limit on the gap between events is below this are latency-sensitive; one long prefill takes about
    /// as long.
    Duration latencySensitiveGap = std::chrono::milliseconds(400);
    /// Share of worth charged for placing a latency-sensitive stream on an engine that serves none yet.
    double spreadCost = 0.08;
    /// Share of worth charged for a delay of one whole target time, so that the earliest of otherwise equal choices
    /// wins.
    double delayCost = 0.05;
    /// Range of loss, as a share of worth, within which choices count as equal. Instances that do not know each other's
    /// latest choices yet pick different engines within it, instead of all sending to the best one.
    double tieShare = 0.1;
    /// Share of worth charged for taking the last free slot of an engine: another instance may be about to take it, and
    /// one of the two requests then waits there for the next free slot.
    double lastSlotCost = 0.1;
    /// Worth charged for each helper, since it is one more engine that may fail.
    double helperCost = 0.03;
    /// Share of worth charged for each helper at which memory is reserved.
    double ticketCost = 0.01;
    /// Maximum number of helpers that prefill one prompt, besides the answering engine; a limit of the wire protocol.
    std::size_t maximumHelpers = 16;
    /// Maximum number of requests that one engine answers at once, as a share of its slots.
    double slotShare = 0.9;
    /// Share of an engine's memory that placement fills.
    double memoryShare = 0.95;
    /// Worth of one second of an engine's prefill time while demand is high: that of the prompts which would have to
    /// wait.
    double prefillPrice = 2.5;
    /// Utilisation of all engines by arriving prefill work between which that price rises from zero to its full value.
    double busyFrom = 0.5;
    double busyTo = 0.9;
    /// Number of engines up to which these two hold; with more engines, the price rises at a higher utilisation.
    double referenceEngines = 21;
    /// Utilisation that each second of backlog per engine counts for in addition.
    double busyPerBacklogSecond = 0.3;
    /// Time to the first event, in milliseconds, that is kept attainable for arriving latency-sensitive streams, and
    /// the worth of one such stream.
    double latencySensitiveStartMs = 200;
    double latencySensitiveWorth = 1;
    /// Prefill time of such a stream's prompt, in milliseconds, and the share of an engine's time available for
    /// starting such streams.
    double latencySensitivePrefillMs = 40;
    double latencySensitiveStartShare = 0.5;
    /// Factor by which their arrival rate may exceed the recent one: demand swings by this factor within seconds.
    double latencySensitiveHeadroom = 2;
    /// Probability that a deferred prompt is served after its target time; otherwise it is not served.
    double deferredLateChance = 0.8;
    /// Prompts with a shorter prefill are never deferred, in milliseconds.
    double deferralMinimumPrefillMs = 1000;
    /// Network round-trip time to an engine, in milliseconds.
    double roundTripMs = 3;
    /// Quantile, 0 to 1, of the time from sending a short prompt to its first event that the queue for slots expects;
    /// zero if it expects a single pass instead. See SlotStartEstimate.
    double queueStartQuantile = 0;
    /// Cost of an answer from another failure domain than the instance's, and of each helper's part that crosses to the
    /// answering engine's domain: the price of the bytes, in the worth of a prompt with unit worth.
    double distanceCost = 0;
};

/// Time to prefill a whole prompt on one engine, in milliseconds.
double prefillTimeMs(const EngineCost &cost, double promptTokens);

/// Duration of one engine pass that decodes this many streams with this much context and prefills nothing, in
/// milliseconds.
double passMs(const EngineCost &cost, double decodingStreams, double contextTokens);

/// The choice of least loss; nothing when no engine has a free slot and memory.
std::optional<EngineChoice> chooseEngines(const PromptWork &work,
                                          const EngineCost &cost,
                                          const std::vector<EngineCandidate> &engines,
                                          const WorkLedger::ByBackend &inFlight,
                                          const EngineDemand &demand,
                                          const EnginePolicy &policy,
                                          Instant now);

/// Worth that the prefill of a prompt costs others that arrive meanwhile: zero while engines are idle, up to the worth
/// of the prompts that would have to wait.
double prefillPrice(const PromptWork &work,
                    const EngineCost &cost,
                    const EngineChoice &choice,
                    std::size_t engines,
                    const EngineDemand &demand,
                    const EnginePolicy &policy);

/// Whether to defer a prompt rather than place it as chosen, because being placed now gains less than its prefill
/// costs.
bool shouldDefer(const PromptWork &work, const EngineChoice &choice, double price, const EnginePolicy &policy);

/// Work of one engine according to the ledger.
struct EngineLoad
{
    struct DecodingStream
    {
        double gapMs = 0;
        double worth = 0;
    };
    struct PendingPrefill
    {
        double dueInMs = 0;
        double finishMs = 0;
        double worth = 0;
    };
    std::vector<DecodingStream> decodingStreams;
    std::vector<PendingPrefill> pendingPrefills;
    /// Remaining prefill, in milliseconds, and the part of it that the engine does as a helper, which goes ahead of
    /// other prefills.
    double backlogMs = 0;
    double helperBacklogMs = 0;
    double contextTokens = 0;
    std::uint64_t memoryTokens = 0;
    /// Requests that the engine answers, and unfinished prefills in which it is only a helper.
    std::size_t requests = 0;
    std::size_t helperRequests = 0;
    bool latencySensitive = false;
};

/// Sums up the work at one engine, assuming that prefills run in the order in which they were sent.
EngineLoad engineLoad(const std::vector<WorkLedger::Placed> &placed,
                      const EngineCost &cost,
                      double slowdown,
                      const EnginePolicy &policy,
                      Instant now);

} // namespace pomeloentry
