#include "scenarios.h"

#include <boost/program_options.hpp>

#include <cstdint>
#include <iostream>

/// Measures the control decisions on a virtual network: traffic, store calls, times and memory at several fleet sizes.
namespace
{

namespace po = boost::program_options;

constexpr int Kept = 0;
constexpr int Exceeded = 1;
constexpr int UsageError = 2;

} // namespace

int main(int argc, char **argv)
{
    benchcontrol::Options options;
    po::options_description description("Options");
    auto add = description.add_options();
    add("help,h", "show this help");
    add("version", "show the version");
    add("quick", po::bool_switch(&options.quick), "small fleets and short runs only");
    add("nodes", po::value(&options.nodes)->default_value(0), "only the fleet of this size: 9, 90 or 370");
    add("seed", po::value(&options.seed)->default_value(1), "seed of all random choices");
    po::variables_map values;
    try {
        po::store(po::command_line_parser(argc, argv).options(description).run(), values);
        po::notify(values);
    } catch (const po::error &error) {
        std::cerr << "bench-control: " << error.what() << "; see bench-control --help\n";
        return UsageError;
    }
    if (values.contains("help")) {
        std::cout << "Usage: bench-control [--quick] [--nodes N] [--seed N]\n\nPrints one line for each figure; exits "
                     "1 when one "
                     "exceeds its bound. Figures of processor\ntime depend on the machine and are printed only.\n\n"
                  << description;
        return Kept;
    }
    if (values.contains("version")) {
        std::cout << "bench-control 0.1.0\n";
        return Kept;
    }
    return benchcontrol::runAll(options) ? Kept : Exceeded;
}
