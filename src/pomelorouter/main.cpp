#include "pomelorouter/router.h"

#include "pomeloport/daemonoptions.h"
#include "pomeloport/lastreason.h"
#include "pomeloport/logging.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <sys/resource.h>

#include <chrono>
#include <csignal>
#include <iostream>
#include <optional>
#include <thread>
#include <vector>

/// The program pomelo-router: runs one router until it is drained or stopped.
namespace
{

using pomeloport::DaemonFailed;
using pomeloport::DaemonStopped;
using pomeloport::DaemonUsageError;

constexpr pomeloport::DaemonDescription Description{
    "pomelo-router",
    "Answers callers and operators over HTTP and relays requests to backend servers. SIGTERM and SIGINT\n"
    "start a drain: the router leaves discovery, keeps serving until discovery answers cached by callers have\n"
    "expired and all requests have ended, and exits 0. At the setting drain_limit and at\n"
    "a second signal, requests that are still open fail with their verdict, and the router exits 1.\n",
    "0 drained or checked, 1 cannot run, 2 wrong usage or settings"};

/// Raises the soft limit of open files to the hard limit, since each stream needs two file descriptors.
void raiseFileLimit()
{
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
        limit.rlim_cur = limit.rlim_max;
        setrlimit(RLIMIT_NOFILE, &limit);
    }
}

/// Starts a drain at the first signal and ends it at the second, which fails requests that are still open.
class SignalHandling
{
public:
    SignalHandling(boost::asio::io_context &context, pomelorouter::Router &router)
        : m_router(router)
        , m_signals(context, SIGTERM, SIGINT)
    {
        wait();
    }

private:
    void wait()
    {
        m_signals.async_wait([this](boost::system::error_code error, int) {
            if (error) {
                return;
            }
            if (std::exchange(m_draining, true)) {
                m_router.endDrain();
                return;
            }
            m_router.drain();
            wait();
        });
    }

    pomelorouter::Router &m_router;
    bool m_draining = false;
    boost::asio::signal_set m_signals;
};

int run(const pomelorouter::RouterSettings &settings)
{
    boost::asio::io_context context(static_cast<int>(settings.threads));
    const auto router = pomelorouter::Router::start(context, settings, pomeloport::incarnationNow());
    if (!router) {
        std::cerr << "pomelo-router: " << pomeloport::lastReason() << '\n';
        return DaemonFailed;
    }
    router->onDrained([&context] { context.stop(); });
    const SignalHandling signals(context, *router);
    pomeloport::logEvent(
        pomeloport::LogLevel::Info, "started", {{"instance", settings.instance}, {"address", router->address()}});
    std::vector<std::thread> threads;
    for (std::size_t i = 1; i < settings.threads; ++i) {
        threads.emplace_back([&context] { context.run(); });
    }
    context.run();
    for (auto &thread : threads) {
        thread.join();
    }
    const bool gaveUpRequests = router->gaveUpRequests();
    pomeloport::logEvent(pomeloport::LogLevel::Info, "stopped", {{"cut", gaveUpRequests}});
    return gaveUpRequests ? DaemonFailed : DaemonStopped;
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
    const auto settings = pomelorouter::loadRouterSettings(options->settingsFile, errors);
    for (const auto &message : errors.messages()) {
        std::cerr << message << '\n';
    }
    if (!settings) {
        return DaemonUsageError;
    }
    if (!pomeloport::startLogging("pomelo-router", settings->logLevel)) {
        std::cerr << options->settingsFile << ": log_level: " << pomeloport::lastReason() << '\n';
        return DaemonUsageError;
    }
    if (options->check) {
        std::cout << options->settingsFile << ": ok\n";
        return DaemonStopped;
    }
    raiseFileLimit();
    return run(*settings);
}
