#pragma once

#include "catalogue.h"
#include "mutants.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace faultmatrix
{

/// One run: faults that happen at a step of one kind of work.
struct Cell
{
    std::vector<Fault> faults;
    Step step = Step::Admit;
    Work work = Work::Answer;

    /// As on the command line: "fault[+fault]/step/work".
    std::string name() const;
};

/// Parses the output of Cell::name(). Returns nothing for an unknown name.
std::optional<Cell> parseCell(std::string_view text);

/// What a run showed.
struct CellResult
{
    /// Whether every fault happened and touched something.
    bool acted = false;
    std::vector<std::string> violations;
    std::vector<std::string> trace;
};

/// Runs one cell on its own virtual clock. Deterministic for a seed. Safe from any thread.
CellResult runCell(const Cell &cell, std::uint64_t seed, Mutant mutant);

/// The runs of one cell of the table: its fault or faults at its step, for each kind of work that reaches the step.
std::vector<Cell> runsOf(const std::vector<Fault> &faults, Step step);

/// Runs cells on several threads and returns the results in their order.
std::vector<CellResult> runCells(const std::vector<Cell> &cells, std::uint64_t seed, Mutant mutant);

} // namespace faultmatrix
