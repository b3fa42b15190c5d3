#include "loadtest.h"
#include "pomelofake/program.h"
#include "pomeloport/settings.h"

#include <fstream>
#include <iostream>
#include <sstream>
#include <unistd.h>

/// Sends a trace of requests to the system and checks every answer.
namespace
{

namespace po = boost::program_options;

constexpr auto Summary =
    "Usage: pomelo-load --entry IP:PORT --declarations FILE [OPTIONS]\n"
    "Sends a trace of requests to entry instances in front of the stand-ins and checks every answer wholly.\n"
    "Exit codes: 0 every check held, 1 a check failed, 2 bad command line or declarations.";

po::options_description optionsOf(pomeloload::LoadOptions &options)
{
    auto &trace = options.trace;
    po::options_description description("Options");
    auto add = description.add_options();
    add("entry", po::value(&options.entries)->composing()->required(), "address of an entry instance; may be repeated");
    add("declarations",
        po::value<std::vector<std::string>>()->composing()->required(),
        "declarations in force; repeat for others that may be in force during the test");
    add("service", po::value(&options.services)->composing(), "address of a stand-in service whose runs are counted");
    add("shape", po::value<std::string>()->default_value("clipback"), "clipback or kandy");
    add("length", po::value<double>()->default_value(30), "length of the trace in seconds");
    add("rate", po::value(&trace.baseRate)->default_value(trace.baseRate), "requests a second between the crests");
    add("crest", po::value(&trace.crestFactor)->default_value(trace.crestFactor), "rate at the crest over that rate");
    add("swing", po::value<double>()->default_value(8), "seconds from crest to crest");
    add("max-prompt",
        po::value(&trace.maximumPromptTokens)->default_value(trace.maximumPromptTokens),
        "longest prompt in tokens");
    add("extra-prompt",
        po::value<std::vector<std::string>>()->composing(),
        "TOKENS@SECONDS: one more prompt of this length at this time");
    add("deadline-factor",
        po::value(&trace.deadlineFactor)->default_value(trace.deadlineFactor),
        "multiplies the time limits of all classes");
    add("seed", po::value(&trace.seed)->default_value(trace.seed), "seed of the trace");
    add("report", po::value(&options.reportFile), "file for the JSON report");
    add("progress", po::bool_switch(&options.progress), "print progress also without a terminal");
    return description;
}

/// Adds the extra prompts. Returns false for one that is not TOKENS@SECONDS.
bool readExtraPrompts(const po::variables_map &values, pomelofake::TraceSettings &trace)
{
    if (!values.contains("extra-prompt")) {
        return true;
    }
    for (const auto &text : values["extra-prompt"].as<std::vector<std::string>>()) {
        std::istringstream stream(text);
        std::uint64_t tokens = 0;
        double at = 0;
        char separator = 0;
        if (!(stream >> tokens >> separator >> at) || separator != '@' || !stream.eof()) {
            return false;
        }
        trace.extraPrompts.push_back({pomeloport::fromSeconds(at), tokens});
    }
    return true;
}

/// Fills in what needs more than a plain copy. Returns false, with a message on standard error, for a bad value.
bool apply(const po::variables_map &values, pomeloload::LoadOptions &options)
{
    const auto shape = pomeloport::valueOf<pomelofake::LoadShape>(values["shape"].as<std::string>());
    const auto length = values["length"].as<double>();
    const auto swing = values["swing"].as<double>();
    if (!shape || length <= 0 || swing <= 0 || options.trace.baseRate <= 0 || options.trace.maximumPromptTokens == 0
        || !readExtraPrompts(values, options.trace)) {
        std::cerr << "expected a known shape, positive numbers, and extra prompts as TOKENS@SECONDS; see --help\n";
        return false;
    }
    options.trace.shape = *shape;
    options.trace.length = pomeloport::fromSeconds(length);
    options.trace.swingPeriod = pomeloport::fromSeconds(swing);
    options.progress = options.progress || isatty(STDERR_FILENO) == 1;
    return true;
}

std::vector<pomeloport::Declarations> readDeclarations(const std::vector<std::string> &files,
                                                       pomeloport::SettingsErrors &errors)
{
    std::vector<pomeloport::Declarations> result;
    for (const auto &name : files) {
        std::ifstream file(name);
        std::stringstream text;
        text << file.rdbuf();
        if (!file) {
            errors.add(name, 1, "cannot be read");
            continue;
        }
        if (auto declarations = pomeloport::parseDeclarations(text.str(), name, errors)) {
            result.push_back(std::move(*declarations));
        }
    }
    return result;
}

} // namespace

int main(int argc, char **argv)
{
    pomeloload::LoadOptions options;
    const auto line = pomelofake::parseCommandLine(argc, argv, Summary, optionsOf(options));
    if (!line.values || !apply(*line.values, options)) {
        return line.values ? pomelofake::UsageExitCode : line.exitCode;
    }
    pomeloport::SettingsErrors errors;
    auto declarations = readDeclarations((*line.values)["declarations"].as<std::vector<std::string>>(), errors);
    for (const auto &message : errors.messages()) {
        std::cerr << message << '\n';
    }
    if (!errors.empty()) {
        return pomelofake::UsageExitCode;
    }
    boost::asio::io_context context(1);
    const pomeloload::LoadPlan plan(options, std::move(declarations));
    pomeloload::LoadTest test(context, options, plan);
    const auto &statistics = test.run();
    std::cout << tableOf(statistics);
    if (!options.reportFile.empty()) {
        std::ofstream(options.reportFile) << reportOf(statistics) << '\n';
    }
    return statistics.holds() ? 0 : 1;
}
