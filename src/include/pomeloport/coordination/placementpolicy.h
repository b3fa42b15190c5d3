#pragma once

#include "pomeloport/clock.h"
#include "pomeloport/coordination/costmodel.h"
#include "pomeloport/state/declarations.h"

#include <cstddef>

namespace pomeloport
{

/// Tuning of a placement. What operators tune is in Objective; these values follow from the bench.
struct PlacementPolicy
{
    /// Random candidates examined for a prompt below the class Huge, beside those with its prefix.
    std::size_t candidates = 4;
    /// Random candidates examined for a prompt of class Huge.
    std::size_t hugeCandidates = 12;
    /// Engines that the shared rule names for a prefix.
    std::size_t prefixOwners = 2;
    /// Longest predicted wait at an engine with which requests are still sent there, by class.
    Duration shortWaitLimit = std::chrono::milliseconds(400);
    Duration promptWaitLimit = std::chrono::milliseconds(800);
    /// Queued prompt tokens of class Bulk above which an engine gets no further ones.
    double bulkQueueLimitTokens = 50'000;
    /// Parts of an engine's KV memory that placement plans to fill by class. What the other classes leave free lets
    /// short prompts start at once although the reports are late.
    double shortMemoryLimit = 0.99;
    double promptMemoryLimit = 0.90;
    double bulkMemoryLimit = 0.85;
    /// While shorter prompts are held back, and for this time after, prompts of class Huge are not started, unless they
    /// have waited for this part of the time to their deadline.
    Duration calmTime = std::chrono::seconds(5);
    double yieldPart = 0.4;
    /// How long a prompt of class Huge looks for a single engine before it asks for a group.
    Duration spillAfter = std::chrono::seconds(20);
    /// Seconds added to the score of an engine that has prompts of other classes, for a short request.
    double mixedStepPenalty = 0.02;
    /// Seconds added to the score of a short-only engine, for a prompt that is not short, per unit of the objective's
    /// short-slowdown weight.
    double shortOnlyPenalty = 0.2;
    /// How often the first held request of a line looks for room without being woken, and how often the others do.
    Duration holdInterval = std::chrono::milliseconds(50);
    Duration idleHoldInterval = std::chrono::milliseconds(500);
    CostAssumptions cost;
};

} // namespace pomeloport
