#pragma once

#include "measures.h"

#include <cstdint>
#include <string>

/// The suite of scenarios and policies, and the bounds that their figures are held against.
namespace benchdecisions
{

/// What to run.
struct SuiteOptions
{
    std::uint64_t seed = 1;
    /// Runs at a time; each run has one thread.
    std::size_t threads = 4;
    /// Only this project's placement, in the scenarios that have bounds, shortened.
    bool shortRun = false;
    /// Only the scenario of this name, when not empty.
    std::string only;
};

/// Runs the suite and returns its figures.
Report runSuite(const SuiteOptions &options);

/// Adds how the cost of one decision grows with the number of engines.
void measureDecisionCost(Report &report);

} // namespace benchdecisions
