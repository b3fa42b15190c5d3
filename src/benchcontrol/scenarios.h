#pragma once

#include "fleet.h"
#include "report.h"

#include <cstdint>

/// What the bench measures.
namespace benchcontrol
{

/// Bounds of the stated target.
constexpr double ControlBytesPerSecond = 19'000;
constexpr double ControlCoreShare = 0.011;
constexpr double ControlMemoryBytes = 64e6;
constexpr double InForceSeconds = 3;
/// Half of the reads that the platform's store serves each second.
constexpr double StoreCallsPerSecond = 1'000;

/// What the command line chooses.
struct Options
{
    bool quick = false;
    std::uint64_t seed = 1;
    /// Runs only the fleet of this size; 0 runs all, and what does not depend on the size.
    std::size_t nodes = 0;
};

/// Traffic, processor time and store calls of a fleet at rest, with ordinary edits.
void measureSteady(const Fleet &fleet, const Options &options, Report &report);

/// Seconds until an edit is in force, and what its spread costs, for one policy and loss.
void measureSpread(const Fleet &fleet,
                   double loss,
                   pomeloport::SpreadPolicy policy,
                   const Options &options,
                   Report &report);

/// Seconds until all peers take a killed instance for dead.
void measureDeath(const Fleet &fleet, const Options &options, Report &report);

/// Highest rate of store calls when instances are replaced, when all start at once, and after an outage.
void measureStoreWaves(const Fleet &fleet, const Options &options, Report &report);

/// Seconds until all agree again after a failure domain was cut off for an hour.
void measurePartition(const Fleet &fleet, const Options &options, Report &report);

/// Memory of one controller at the size of the target.
void measureMemory(const Options &options, Report &report);

/// All figures that depend on the size of the fleet.
void measureFleet(const Fleet &fleet, const Options &options, Report &report);

/// Runs everything that the options choose; returns whether all bounds were kept.
bool runAll(const Options &options);

} // namespace benchcontrol
