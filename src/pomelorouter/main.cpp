#include "pomelorouter/router.h"

#include "pomeloport/lastreason.h"
#include "pomeloport/logging.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>

#include <sys/resource.h>

#include <chrono>
#include <csignal>
#include <iostream>
#include <optional>
#include <thread>
#include <vector>

/// The program pomelo-router.
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
        << "Usage: pomelo-router --settings FILE [--check]\n\n"
           "Answers callers and operators over HTTP and relays requests to backend servers. SIGTERM and SIGINT\n"
           "start a drain: the router leaves discovery, serves on until callers' cached answers have run out and\n"
           "all requests have ended, and exits 0. A second signal exits at once.\n\n"
        << description << "\nExit codes: 0 drained or checked, 1 cannot run, 2 wrong usage or settings\n";
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
        std::cerr << "pomelo-router: " << error.what() << "; see pomelo-router --help\n";
        exitCode = UsageError;
        return std::nullopt;
    }
    exitCode = Success;
    if (values.contains("help")) {
        printHelp(description);
        return std::nullopt;
    }
    if (values.contains("version")) {
        std::cout << "pomelo-router 0.1.0\n";
        return std::nullopt;
    }
    if (options.settingsFile.empty()) {
        std::cerr << "pomelo-router: --settings is missing; see pomelo-router --help\n";
        exitCode = UsageError;
        return std::nullopt;
    }
    return options;
}

/// Raises the limit of open files as far as it goes: each stream needs two.
void raiseFileLimit()
{
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
        limit.rlim_cur = limit.rlim_max;
        setrlimit(RLIMIT_NOFILE, &limit);
    }
}

std::uint64_t incarnationNow()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

/// Drains at the first signal and stops at the second.
class SignalHandling
{
public:
    SignalHandling(boost::asio::io_context &context, pomelorouter::Router &router, bool &cut)
        : m_context(context)
        , m_router(router)
        , m_cut(cut)
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
                m_cut = m_router.openRequests() > 0;
                m_context.stop();
                return;
            }
            m_router.drain();
            wait();
        });
    }

    boost::asio::io_context &m_context;
    pomelorouter::Router &m_router;
    bool &m_cut;
    bool m_draining = false;
    boost::asio::signal_set m_signals;
};

int run(const pomelorouter::RouterSettings &settings)
{
    boost::asio::io_context context(static_cast<int>(settings.threads));
    const auto router = pomelorouter::Router::start(context, settings, incarnationNow());
    if (!router) {
        std::cerr << "pomelo-router: " << pomeloport::lastReason() << '\n';
        return Failed;
    }
    bool cut = false;
    router->onDrained([&context] { context.stop(); });
    const SignalHandling signals(context, *router, cut);
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
    pomeloport::logEvent(pomeloport::LogLevel::Info, "stopped", {{"cut", cut}});
    return cut ? Failed : Success;
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
    const auto settings = pomelorouter::loadRouterSettings(options->settingsFile, errors);
    for (const auto &message : errors.messages()) {
        std::cerr << message << '\n';
    }
    if (!settings) {
        return UsageError;
    }
    if (!pomeloport::startLogging("pomelo-router", settings->logLevel)) {
        std::cerr << options->settingsFile << ": log_level: " << pomeloport::lastReason() << '\n';
        return UsageError;
    }
    if (options->check) {
        std::cout << options->settingsFile << ": ok\n";
        return Success;
    }
    raiseFileLimit();
    return run(*settings);
}
