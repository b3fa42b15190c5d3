#include "runner.h"

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <map>
#include <rapidcheck.h>
#include <set>

/// The table: which runs it takes, and the lines that it prints.
namespace faultmatrix
{

using pomeloport::nameOf;
using pomeloport::valueOf;

namespace
{

/// Sums of a set of cells.
struct Totals
{
    std::size_t cells = 0;
    std::size_t run = 0;
    std::size_t impossible = 0;
    /// Cells of pairs in which one fault kept the other from acting.
    std::size_t idle = 0;
    std::size_t violations = 0;
    std::size_t runs = 0;
};

std::string command(const Cell &cell, std::uint64_t seed, Mutant mutant)
{
    std::string text = "fault-matrix --seed " + std::to_string(seed) + " --cell " + cell.name();
    if (mutant != Mutant::None) {
        text += " --mutant " + std::string(nameOf(mutant));
    }
    return text;
}

/// Prints what failed. Returns the number of violations.
std::size_t reportRun(const Cell &cell, const CellResult &result, std::uint64_t seed)
{
    if (result.violations.empty()) {
        return 0;
    }
    std::cout << "FAILED " << cell.name() << '\n';
    for (const std::string &violation : result.violations) {
        std::cout << "  " << violation << '\n';
    }
    std::cout << "  repeat: " << command(cell, seed, Mutant::None) << '\n';
    return result.violations.size();
}

std::optional<std::string> whyImpossible(const std::vector<Fault> &faults, Step step)
{
    for (const Fault fault : faults) {
        if (const auto reason = impossible(fault, step)) {
            return std::string(nameOf(fault)) + ": " + std::string(*reason);
        }
    }
    return std::nullopt;
}

/// Runs one row: a fault, or a pair, at all steps.
Totals runRow(const std::vector<Fault> &faults, std::uint64_t seed)
{
    Totals totals;
    std::vector<Cell> cells;
    std::set<std::string> reasons;
    for (const auto &[step, stepName] : nameTable(Step{})) {
        ++totals.cells;
        if (const auto reason = whyImpossible(faults, step)) {
            ++totals.impossible;
            reasons.insert(std::string(stepName) + " (" + *reason + ')');
            continue;
        }
        const std::vector<Cell> runs = runsOf(faults, step);
        cells.insert(cells.end(), runs.begin(), runs.end());
    }
    const std::vector<CellResult> results = runCells(cells, seed, Mutant::None);
    std::set<Step> acted;
    std::size_t never = 0;
    for (std::size_t i = 0; i < cells.size(); ++i) {
        totals.violations += reportRun(cells[i], results[i], seed);
        if (results[i].acted) {
            acted.insert(cells[i].step);
            ++totals.runs;
        } else if (faults.size() == 1) {
            std::cout << "  idle: " << cells[i].name() << '\n';
        }
    }
    // Alone, a fault that never acts at a step is no run of the cell; in a pair, one may keep the other from acting.
    for (const Cell &cell : cells) {
        if (faults.size() == 1 && acted.insert(cell.step).second) {
            std::cout << "FAILED " << cell.name() << " did not act; repeat: " << command(cell, seed, Mutant::None)
                      << '\n';
            ++totals.violations;
            ++never;
        }
    }
    totals.run = acted.size() - never;
    totals.idle = totals.cells - totals.impossible - totals.run;
    const std::string name = Cell{faults, Step::Admit, Work::Answer}.name();
    std::cout << "fault=" << name.substr(0, name.find('/')) << " cells=" << totals.cells << " run=" << totals.run
              << " impossible=" << totals.impossible << " idle=" << totals.idle << " runs=" << totals.runs
              << " violations=" << totals.violations << '\n';
    for (const std::string &reason : reasons) {
        if (faults.size() == 1) {
            std::cout << "  impossible: " << reason << '\n';
        }
    }
    return totals;
}

std::vector<std::vector<Fault>> rows(bool pairs)
{
    std::vector<std::vector<Fault>> result;
    for (const auto &[fault, name] : nameTable(Fault{})) {
        result.push_back({fault});
    }
    if (!pairs) {
        return result;
    }
    for (const auto &[first, firstName] : nameTable(Fault{})) {
        for (const auto &[second, secondName] : nameTable(Fault{})) {
            if (first <= second) {
                result.push_back({first, second});
            }
        }
    }
    return result;
}

/// All single-fault runs, for the search for mutants.
std::vector<Cell> singleRuns()
{
    std::vector<Cell> cells;
    for (const auto &[fault, name] : nameTable(Fault{})) {
        for (const auto &[step, stepName] : nameTable(Step{})) {
            if (!impossible(fault, step)) {
                const std::vector<Cell> runs = runsOf({fault}, step);
                cells.insert(cells.end(), runs.begin(), runs.end());
            }
        }
    }
    return cells;
}

} // namespace

int runMatrix(std::uint64_t seed, bool pairs)
{
    Totals sum;
    for (const std::vector<Fault> &faults : rows(pairs)) {
        const Totals row = runRow(faults, seed);
        sum.cells += row.cells;
        sum.run += row.run;
        sum.impossible += row.impossible;
        sum.idle += row.idle;
        sum.violations += row.violations;
        sum.runs += row.runs;
    }
    std::cout << "cells=" << sum.cells << " run=" << sum.run << " impossible=" << sum.impossible
              << " violations=" << sum.violations << " seed=" << seed << " runs=" << sum.runs << " idle=" << sum.idle
              << '\n';
    return sum.violations == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

int runMutants(std::uint64_t seed)
{
    constexpr std::size_t Batch = 16;
    const std::vector<Cell> cells = singleRuns();
    std::size_t mutants = 0;
    std::size_t caught = 0;
    for (const auto &[mutant, name] : nameTable(Mutant{})) {
        if (mutant == Mutant::None) {
            continue;
        }
        ++mutants;
        std::string found;
        for (std::size_t begin = 0; begin < cells.size() && found.empty(); begin += Batch) {
            const std::size_t end = std::min(begin + Batch, cells.size());
            const std::vector<Cell> batch(cells.begin() + begin, cells.begin() + end);
            const std::vector<CellResult> results = runCells(batch, seed, mutant);
            for (std::size_t i = 0; i < batch.size() && found.empty(); ++i) {
                // A violation counts only where the same run without the mistake has none.
                if (!results[i].violations.empty() && runCell(batch[i], seed, Mutant::None).violations.empty()) {
                    found = batch[i].name() + ": " + results[i].violations.front();
                }
            }
        }
        caught += found.empty() ? 0 : 1;
        std::cout << "mutant=" << name << (found.empty() ? " NOT CAUGHT" : " caught by " + found) << '\n';
    }
    std::cout << "mutants=" << mutants << " caught=" << caught << " seed=" << seed << '\n';
    return caught == mutants ? EXIT_SUCCESS : EXIT_FAILURE;
}

int runOne(const std::string &name, std::uint64_t seed, Mutant mutant)
{
    const auto cell = parseCell(name);
    if (!cell) {
        std::cerr << "unknown cell " << name << '\n';
        return 2;
    }
    const CellResult result = runCell(*cell, seed, mutant);
    for (const std::string &line : result.trace) {
        std::cout << line << '\n';
    }
    std::cout << "acted=" << (result.acted ? "yes" : "no") << " violations=" << result.violations.size() << '\n';
    return result.violations.empty() ? EXIT_SUCCESS : EXIT_FAILURE;
}

int runRandom(std::uint64_t seed, int schedules)
{
    setenv("RC_PARAMS", ("seed=" + std::to_string(seed) + " max_success=" + std::to_string(schedules)).c_str(), 1);
    constexpr int MostFaults = 4;
    const int faultCount = static_cast<int>(nameTable(Fault{}).size());
    const int stepCount = static_cast<int>(nameTable(Step{}).size());
    const bool passed = rc::check("no schedule of faults breaks an invariant", [=] {
        const auto step = static_cast<Step>(*rc::gen::inRange(0, stepCount));
        const std::vector<Work> works = worksAt(step);
        Cell cell{{}, step, *rc::gen::elementOf(works)};
        const int faults = *rc::gen::inRange(1, MostFaults + 1);
        for (int i = 0; i < faults; ++i) {
            cell.faults.push_back(static_cast<Fault>(*rc::gen::inRange(0, faultCount)));
        }
        const auto runSeed = *rc::gen::arbitrary<std::uint32_t>();
        const CellResult result = runCell(cell, runSeed, Mutant::None);
        if (!result.violations.empty()) {
            std::cout << "FAILED " << result.violations.front()
                      << "\n  repeat: " << command(cell, runSeed, Mutant::None) << '\n';
        }
        RC_ASSERT(result.violations.empty());
    });
    std::cout << "schedules=" << schedules << " passed=" << (passed ? "yes" : "no") << " seed=" << seed << '\n';
    return passed ? EXIT_SUCCESS : EXIT_FAILURE;
}

} // namespace faultmatrix
