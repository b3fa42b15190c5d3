#include "pomeloentry/program/entry.h"
#include "pomeloentry/program/policysettings.h"
#include "pomeloentry/wire.h"

#include "pomeloport/daemonoptions.h"
#include "pomeloport/lastreason.h"
#include "pomeloport/logging.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <iostream>
#include <malloc.h>
#include <thread>
#include <vector>

/// The program pomelo-entry, which runs one entry instance on the users' platform.
namespace
{

using pomeloport::DaemonFailed;
using pomeloport::DaemonStopped;
using pomeloport::DaemonUsageError;
using pomeloport::logEvent;
using pomeloport::LogLevel;

const pomeloport::DaemonDescription Description{
    "pomelo-entry",
    "Relays callers' requests to backend servers of the users' platform, answers service discovery, and follows\n"
    "the fleet's state in the platform's store. SIGTERM starts a drain: callers move to other instances,\n"
    "in-flight requests are completed, and the program exits with status 0. A second SIGTERM ends the\n"
    "drain at once: requests that are still open get their final answer.\n"
    "SIGHUP checks the settings again without applying them. Without --settings, the settings file is the one\n"
    "that the platform names in the environment.\n",
    "0 drained or checked, 1 cannot run, 2 wrong usage or settings",
    pomeloentry::wire::settingsVariable(),
    true};

/// Loads the settings and the policy. Prints every error and returns nothing when one of them is invalid.
std::optional<pomeloentry::EntrySettings> loadSettingsAndPolicy(const pomeloport::DaemonOptions &options)
{
    pomeloport::SettingsErrors errors;
    auto settings = pomeloentry::wire::loadSettings(options.settingsFile, errors);
    auto policy = pomeloentry::loadPolicy(options.policyFile, errors);
    if (settings && policy) {
        settings->policy = *policy;
    } else {
        settings.reset();
    }
    for (const auto &message : errors.messages()) {
        std::cerr << message << '\n';
    }
    return settings;
}

/// Drains on the first SIGTERM or SIGINT, ends the drain on the second, and checks the settings again on SIGHUP.
class SignalHandling
{
public:
    SignalHandling(boost::asio::io_context &context, pomeloentry::Entry &entry, pomeloport::DaemonOptions options)
        : m_context(context)
        , m_entry(entry)
        , m_options(std::move(options))
        , m_signals(context, SIGTERM, SIGINT, SIGHUP)
    {
        waitForSignal();
    }

private:
    void waitForSignal()
    {
        m_signals.async_wait([this](boost::system::error_code error, int signal) {
            if (!error) {
                handleSignal(signal);
                waitForSignal();
            }
        });
    }

    void handleSignal(int signal)
    {
        if (signal == SIGHUP) {
            // The settings are only validated: addresses and identity are fixed for the life of the process, so a
            // changed file needs a restart.
            const bool readable = loadSettingsAndPolicy(m_options).has_value();
            logEvent(readable ? LogLevel::Info : LogLevel::Error, "reload", {{"readable", readable}});
            return;
        }
        logEvent(LogLevel::Info, "stop", {{"signal", signal}, {"open_calls", m_entry.openCalls()}});
        if (std::exchange(m_draining, true)) {
            m_entry.endShutDown();
            return;
        }
        m_entry.shutDown([this] { m_context.stop(); });
    }

    boost::asio::io_context &m_context;
    pomeloentry::Entry &m_entry;
    pomeloport::DaemonOptions m_options;
    bool m_draining = false;
    boost::asio::signal_set m_signals;
};

/// Size in bytes up to which the allocator keeps freed memory for later.
constexpr int LargestPooledAllocation = 256 * 1024;

int run(const pomeloentry::EntrySettings &settings, const pomeloport::DaemonOptions &options)
{
    boost::asio::io_context context(static_cast<int>(settings.threads));
    const auto entry = pomeloentry::Entry::start(context, settings, pomeloport::incarnationNow());
    if (!entry) {
        std::cerr << "pomelo-entry: " << pomeloport::lastReason() << '\n';
        return DaemonFailed;
    }
    const SignalHandling signals(context, *entry, options);
    logEvent(LogLevel::Info,
             "started",
             {{"instance", settings.instance},
              {"address", settings.callerAddress},
              {"store", settings.storeAddress},
              {"threads", settings.threads}});
    std::vector<std::thread> threads;
    for (std::uint32_t i = 1; i < settings.threads; ++i) {
        threads.emplace_back([&context] { context.run(); });
    }
    context.run();
    for (auto &thread : threads) {
        thread.join();
    }
    logEvent(LogLevel::Info, "stopped", {{"open_calls", entry->openCalls()}});
    return DaemonStopped;
}

} // namespace

int main(int argc, char **argv)
{
    // Large bodies and answers go back to the system when they are freed. By default the allocator would keep them
    // after the first one, and count them against the limit of the process.
    mallopt(M_MMAP_THRESHOLD, LargestPooledAllocation);
    int exitCode = DaemonStopped;
    const auto options = pomeloport::parseDaemonOptions(argc, argv, Description, exitCode);
    if (!options) {
        return exitCode;
    }
    const auto settings = loadSettingsAndPolicy(*options);
    if (options->check) {
        std::cout << options->settingsFile << (settings ? ": ok\n" : ": not usable\n");
    }
    if (!settings) {
        return DaemonUsageError;
    }
    if (options->check) {
        return DaemonStopped;
    }
    if (!pomeloport::startLogging("pomelo-entry", settings->logLevel)) {
        std::cerr << options->settingsFile << ": " << pomeloport::lastReason() << '\n';
        return DaemonUsageError;
    }
    return run(*settings, *options);
}
