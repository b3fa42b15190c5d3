#pragma once

#include "pomeloentry/engineplacement.h"
#include "pomeloentry/workledger.h"

#include <cstdint>
#include <vector>

/// The order in which prompts of all instances get slots that become free. It answers bursts that need more slots than
/// there are: without an order every instance that waits sends to the slot that it sees become free, and all but one
/// find it taken and wait at that engine until another slot is free there. Pure.
namespace pomeloentry
{

/// How many of the waiting prompts come before this one: those that can still be in time before those that cannot, and
/// among these the one that is due first. A first event comes after startTime at the earliest. The item itself may be
/// among those that wait.
std::size_t waitingBefore(const WorkItem &item,
                          const std::vector<const WorkItem *> &waiting,
                          Duration startTime,
                          Instant now);

/// Slots of each engine that no known work takes.
std::vector<std::size_t> freeSlots(const std::vector<EngineCandidate> &engines,
                                   const WorkLedger::ByBackend &inFlight,
                                   std::size_t slots);

/// The engines at which this prompt may take a slot: the free slots are dealt out to all that want one, itself
/// included, in the order of their turns. All instances deal alike, so that two prompts get one slot only where their
/// views differ.
std::vector<EngineCandidate> dealtEngines(std::size_t turn,
                                          std::size_t wanting,
                                          const std::vector<EngineCandidate> &engines,
                                          const std::vector<std::size_t> &free);

} // namespace pomeloentry
