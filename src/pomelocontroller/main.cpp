#include "controller.h"

#include "pomeloport/lastreason.h"
#include "pomeloport/logging.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>

#include <chrono>
#include <csignal>
#include <iostream>
#include <optional>

/// The program pomelo-controller.
namespace {

namespace po = boost::program_options;

constexpr int Success = 0;
constexpr int Failed = 1;
constexpr int UsageError = 2;

struct Options
{
    std::string settingsFile;
    bool check = false;
};

void printHelp(const po::options_description &description)
{
    std::cout
        << "Usage: pomelo-controller --settings FILE [--check]\n\n"
           "Keeps one instance in touch with its peers, the platform and the backend servers, and tells the\n"
           "instance's router what it knows. A restart cuts no stream: the router goes on with what it was told\n"
           "last. SIGTERM and SIGINT stop it: it gives its leases back, waits while its router drains, and exits\n"
           "0. A second signal exits at once.\n\n"
        << description << "\nExit codes: 0 stopped or checked, 1 cannot run, 2 wrong usage or settings\n";
}

/// Parses the command line. Returns nothing with the exit code set when there is nothing to run.
std::optional<Options> parseOptions(int argc, char **argv, int &exitCode)
{
    Options options;
    po::options_description description("Options");
    auto add = description.add_options();
    add("help,h", "show this help");
    add("version", "show the version");
    add("settings,s", po::value(&options.settingsFile), "YAML file with the settings");
    add("check", po::bool_switch(&options.check), "check the settings and start nothing");
    po::variables_map values;
    try {
        po::store(po::command_line_parser(argc, argv).options(description).run(), values);
        po::notify(values);
    } catch (const po::error &error) {
        std::cerr << "pomelo-controller: " << error.what() << "; see pomelo-controller --help\n";
        exitCode = UsageError;
        return std::nullopt;
    }
    exitCode = Success;
    if (values.contains("help")) {
        printHelp(description);
        return std::nullopt;
    }
    if (values.contains("version")) {
        std::cout << "pomelo-controller 0.1.0\n";
        return std::nullopt;
    }
    if (options.settingsFile.empty()) {
        std::cerr << "pomelo-controller: --settings is missing; see pomelo-controller --help\n";
        exitCode = UsageError;
        return std::nullopt;
    }
    return options;
}

std::uint64_t incarnationNow()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

int run(const pomelocontroller::ControllerSettings &settings)
{
    boost::asio::io_context context(1);
    const auto controller = pomelocontroller::Controller::start(context, settings, incarnationNow());
    if (!controller) {
        std::cerr << "pomelo-controller: " << pomeloport::lastReason() << '\n';
        return Failed;
    }
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code &error, int) {
        if (error) {
            return;
        }
        controller->stop([&context] { context.stop(); });
        signals.async_wait([&context](const boost::system::error_code &, int) { context.stop(); });
    });
    pomeloport::logEvent(pomeloport::LogLevel::Info, "started", {{"instance", settings.instance}});
    context.run();
    return Success;
}

} // namespace

int main(int argc, char **argv)
{
    int exitCode = Success;
    const auto options = parseOptions(argc, argv, exitCode);
    if (!options) {
        return exitCode;
    }
    pomeloport::SettingsErrors errors;
    const auto settings = pomelocontroller::loadControllerSettings(options->settingsFile, errors);
    for (const auto &message : errors.messages()) {
        std::cerr << message << '\n';
    }
    if (!settings) {
        return UsageError;
    }
    if (!pomeloport::startLogging("pomelo-controller", settings->logLevel)) {
        std::cerr << options->settingsFile << ": log_level: " << pomeloport::lastReason() << '\n';
        return UsageError;
    }
    if (options->check) {
        std::cout << options->settingsFile << ": ok\n";
        return Success;
    }
    return run(*settings);
}
