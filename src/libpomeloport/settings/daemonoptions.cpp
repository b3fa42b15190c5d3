#include "pomeloport/daemonoptions.h"

#include <boost/program_options.hpp>

#include <chrono>
#include <cstdlib>
#include <iostream>

namespace pomeloport
{

namespace
{

namespace po = boost::program_options;

void printHelp(const DaemonDescription &description, const po::options_description &options)
{
    std::cout << "Usage: " << description.program << " --settings FILE [--check]\n\n"
              << description.purpose << '\n'
              << options << "\nExit codes: " << description.exitCodes << '\n';
}

std::nullopt_t usageError(const DaemonDescription &description, const std::string &message, int &exitCode)
{
    std::cerr << description.program << ": " << message << "; see " << description.program << " --help\n";
    exitCode = DaemonUsageError;
    return std::nullopt;
}

} // namespace

std::optional<DaemonOptions> parseDaemonOptions(int argc,
                                                char **argv,
                                                const DaemonDescription &description,
                                                int &exitCode)
{
    DaemonOptions options;
    po::options_description visible("Options");
    auto add = visible.add_options();
    add("help,h", "show this help");
    add("version", "show the version");
    add("settings,s", po::value(&options.settingsFile), "file with the settings");
    if (description.policy) {
        add("policy,p", po::value(&options.policyFile), "YAML file with weights and limits of routing decisions");
    }
    add("check", po::bool_switch(&options.check), "check the settings and start nothing");
    po::variables_map values;
    try {
        po::store(po::command_line_parser(argc, argv).options(visible).run(), values);
        po::notify(values);
    } catch (const po::error &error) {
        return usageError(description, error.what(), exitCode);
    }
    exitCode = DaemonStopped;
    if (values.contains("help")) {
        printHelp(description, visible);
        return std::nullopt;
    }
    if (values.contains("version")) {
        std::cout << description.program << " 0.1.0\n";
        return std::nullopt;
    }
    const char *fromEnvironment = description.settingsVariable ? std::getenv(description.settingsVariable) : nullptr;
    if (options.settingsFile.empty() && fromEnvironment) {
        options.settingsFile = fromEnvironment;
    }
    if (options.settingsFile.empty()) {
        return usageError(description, "--settings is missing", exitCode);
    }
    return options;
}

std::uint64_t incarnationNow()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

} // namespace pomeloport
