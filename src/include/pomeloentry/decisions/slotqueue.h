#pragma once

#include "pomeloentry/decisions/engineplacement.h"
#include "pomeloentry/decisions/organisationshares.h"
#include "pomeloentry/knowledge/workledger.h"

#include <cstdint>
#include <functional>
#include <vector>

/// Order in which the waiting prompts of all instances get slots that become free. Guards against bursts that need more
/// slots than there are: without a common order, every waiting instance sends to the slot that it sees become free, and
/// all prompts but one find it taken and wait at that engine until it frees another slot.
///
/// Reports of other instances' prompts are some milliseconds old, so that an order by exact times differs between
/// instances: each sees its own prompts as a little older. Times are therefore compared in coarse steps, with an order
/// by key within a step. The steps count from the time of asking, so that two prompts near the border of a step change
/// places with time. Pure.
namespace pomeloentry
{

/// Estimates the time from sending a short prompt to its first event: a quantile of recent answers. While there are
/// more prompts than slots, the queue serves each prompt at the last moment at which it seems able to meet its target,
/// so an estimate below the usual time makes nearly all of them late. A quantile is not moved far by the few prompts
/// that find their slot taken and wait at the engine for a multiple of the usual time. Not thread safe.
class SlotStartEstimate
{
public:
    void answered(Duration firstEvent, const EnginePolicy &policy);

    /// Returns at least the time of one pass of an engine whose slots are all taken.
    Duration startTime(const EngineCost &cost, const EnginePolicy &policy) const;

private:
    double m_quantileMs = 0;
};

/// Returns the standing of the organisation that a waiting prompt is of.
using StandingOfItem = std::function<Standing(const WorkItem &item)>;

/// Latest time at which a prompt can be sent and still meet its target, if its first event comes after startTime. A
/// prompt counts as in time for a part of its target in any case: when answers take longer than the target, all would
/// count as late otherwise, be served in order of arrival, and stay late for as long as the queue lasts. The instance
/// that holds a prompt computes it once, as WorkItem::due, so that all instances agree on it.
Instant latestStartInTime(Instant arrival, Instant target, Duration startTime);

/// Number of waiting prompts ahead of this one: prompts that can still meet their target go ahead of those that cannot.
/// Within each group, those of organisations within their share go first, then the more urgent ones, then those with
/// the earliest start time. Prompts served too seldom count as in time, within the share and most urgent; those ahead
/// of a more urgent kind come after all others. Where prompts of other instances wait, one that is so new that others
/// may not know it leaves the slots to those that all know. The item itself may be among the waiting ones. Without a
/// function, all organisations are alike.
std::size_t positionInQueue(const WorkItem &item,
                            const std::vector<const WorkItem *> &waiting,
                            bool othersWait,
                            Instant now,
                            const StandingOfItem &standingOf = {});

/// Number of slots of each engine that no known work occupies; none while the engine lacks the memory for a usual short
/// prompt. Depends on nothing that instances see differently, such as the size of their own prompt.
std::vector<std::size_t> freeSlots(const std::vector<EngineCandidate> &engines,
                                   const WorkLedger::ByBackend &inFlight,
                                   const EngineCost &cost,
                                   const EnginePolicy &policy);

/// Engines at which the prompt at this queue position may take a slot. The free slots are assigned round-robin to all
/// contenders, itself included, in queue order. Every instance computes the same assignment, so two prompts get the
/// same slot only where the views of their instances differ.
std::vector<EngineCandidate> assignedEngines(std::size_t position,
                                             std::size_t contenders,
                                             const std::vector<EngineCandidate> &engines,
                                             const std::vector<std::size_t> &free);

} // namespace pomeloentry
