#include "controller.h"

#include "pomeloport/daemonoptions.h"
#include "pomeloport/lastreason.h"
#include "pomeloport/logging.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <chrono>
#include <csignal>
#include <iostream>
#include <optional>

namespace
{

using pomeloport::DaemonFailed;
using pomeloport::DaemonStopped;
using pomeloport::DaemonUsageError;

constexpr pomeloport::DaemonDescription Description{
    "pomelo-controller",
    "Connects one instance to its peers, the platform and the backend servers, and sends their state to\n"
    "the instance's router. A restart interrupts no stream: meanwhile the router continues with the last\n"
    "state it received. On SIGTERM or SIGINT, releases its leases, waits while its router drains, and\n"
    "exits with 0. A second signal exits immediately.\n",
    "0 stopped or checked, 1 cannot run, 2 wrong usage or settings"};

int run(const pomelocontroller::ControllerSettings &settings)
{
    boost::asio::io_context context(1);
    const auto controller = pomelocontroller::Controller::start(context, settings, pomeloport::incarnationNow());
    if (!controller) {
        std::cerr << "pomelo-controller: " << pomeloport::lastReason() << '\n';
        return DaemonFailed;
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
    return DaemonStopped;
}

} // namespace

int main(int argc, char **argv)
{
    int exitCode = DaemonStopped;
    const auto options = pomeloport::parseDaemonOptions(argc, argv, Description, exitCode);
    if (!options) {
        return exitCode;
    }
    pomeloport::SettingsErrors errors;
    const auto settings = pomelocontroller::loadControllerSettings(options->settingsFile, errors);
    for (const auto &message : errors.messages()) {
        std::cerr << message << '\n';
    }
    if (!settings) {
        return DaemonUsageError;
    }
    if (!pomeloport::startLogging("pomelo-controller", settings->logLevel)) {
        std::cerr << options->settingsFile << ": log_level: " << pomeloport::lastReason() << '\n';
        return DaemonUsageError;
    }
    if (options->check) {
        std::cout << options->settingsFile << ": ok\n";
        return DaemonStopped;
    }
    return run(*settings);
}
