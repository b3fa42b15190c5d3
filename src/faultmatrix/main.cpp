#include "runner.h"

#include <boost/program_options.hpp>

#include <cstdio>
#include <iostream>

/// Runs the fault matrix: every fault at every step, pairs of faults, random schedules, and mutants.
namespace faultmatrix
{

int runMatrix(std::uint64_t seed, bool pairs);
int runMutants(std::uint64_t seed);
int runRandom(std::uint64_t seed, int schedules);
int runOne(const std::string &name, std::uint64_t seed, Mutant mutant);

} // namespace faultmatrix

int main(int count, char **arguments)
{
    namespace options = boost::program_options;
    std::uint64_t seed = 1;
    int schedules = 0;
    std::string cell;
    std::string mutant = "none";
    options::options_description description("fault-matrix");
    description.add_options()("help", "print this text")("seed", options::value(&seed), "seed of the runs")(
        "pairs", "run pairs of faults as well")("mutants", "check that built-in mistakes are found")(
        "random", options::value(&schedules), "run this many random schedules")(
        "cell", options::value(&cell), "run FAULT[+FAULT]/STEP/WORK and print its trace")(
        "mutant", options::value(&mutant), "build this mistake into --cell");
    options::variables_map chosen;
    try {
        options::store(options::parse_command_line(count, arguments, description), chosen);
        options::notify(chosen);
    } catch (const options::error &error) {
        std::cerr << error.what() << '\n';
        return 2;
    }
    if (chosen.contains("help")) {
        std::cout << description;
        return 0;
    }
    const auto mistake = pomeloport::valueOf<faultmatrix::Mutant>(mutant);
    if (!mistake) {
        std::cerr << "unknown mutant " << mutant << '\n';
        return 2;
    }
    if (!cell.empty()) {
        return faultmatrix::runOne(cell, seed, *mistake);
    }
    if (chosen.contains("mutants")) {
        return faultmatrix::runMutants(seed);
    }
    if (schedules > 0) {
        return faultmatrix::runRandom(seed, schedules);
    }
    return faultmatrix::runMatrix(seed, chosen.contains("pairs"));
}
