#pragma once

#include "pomeloport/clock.h"
#include "pomeloport/coordination/costmodel.h"
#include "pomeloport/state/declarations.h"

#include <cstddef>

namespace pomeloport
{

/// Internal parameters of a placement. Parameters for operators are in Objective.
struct PlacementPolicy
{
    /// Random candidates examined for a prompt below class Huge, in addition to servers likely to cache its prefix.
    std::size_t candidates = 4;
    /// Random candidates examined for a prompt of class Huge.
    std::size_t hugeCandidates = 12;
    /// Engines that the consistent-hashing ring assigns to a prefix.
    std::size_t prefixOwners = 2;
    /// Longest predicted wait at an engine to which an attempt is still sent, by its engine priority: Urgent, then
    /// Normal.
    Duration shortWaitLimit = std::chrono::milliseconds(400);
    Duration promptWaitLimit = std::chrono::milliseconds(800);
    /// Queued prompt tokens, of Bulk priority and of the others, above which an engine receives no further Bulk
    /// prompts.
    double bulkQueueLimitTokens = 50'000;
    /// Fractions of an engine's KV memory that placement fills, by engine priority: Urgent, Normal and Bulk. The memory
    /// that the other priorities leave free lets short prompts start at once even when load reports are stale.
    double shortMemoryLimit = 0.99;
    double promptMemoryLimit = 0.90;
    double bulkMemoryLimit = 0.85;
    /// Bulk prompts and group requests do not start while shorter prompts are held back, nor for this time afterwards.
    Duration bulkHoldOff = std::chrono::seconds(5);
    /// Fraction of the time from arrival to deadline after which a prompt no longer yields to shorter ones.
    double yieldFraction = 0.4;
    /// How long after its arrival a Bulk prompt waits for a single engine before it requests a group.
    Duration groupRequestDelay = std::chrono::seconds(20);
    /// Seconds added to the score of an engine with queued prefill, for an attempt of engine priority Urgent.
    double mixedStepPenalty = 0.02;
    /// Seconds added to the score of a short-only engine, for attempts of other engine priorities than Urgent, per unit
    /// of the objective's short-slowdown weight.
    double shortOnlyPenalty = 0.2;
    /// Polling interval of the first request of a waiting line, which is also woken when capacity is freed, and of
    /// requests for which every server is excluded.
    Duration pollInterval = std::chrono::milliseconds(50);
    /// Polling interval of the other requests of a waiting line.
    Duration idlePollInterval = std::chrono::milliseconds(500);
    CostAssumptions cost;
};

} // namespace pomeloport
