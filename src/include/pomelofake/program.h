#pragma once

#include "pomeloport/clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/program_options.hpp>

#include <chrono>
#include <functional>
#include <optional>
#include <string>

/// What the programs of the stand-ins and the load tool share: command line, clock and stopping.
namespace pomelofake
{

/// Exit code after a command line that cannot be used.
constexpr int UsageExitCode = 2;

/// The parsed command line, or the code to exit with at once.
struct CommandLine
{
    std::optional<boost::program_options::variables_map> values;
    int exitCode = 0;
};

/// Parses the command line, adds --help, and prints what the user must see: the help with the summary on
/// standard output (exit code 0), or an error on standard error (exit code 2).
CommandLine parseCommandLine(int argc,
                             const char *const *argv,
                             const std::string &summary,
                             boost::program_options::options_description options);

/// The monotonic clock of this process.
inline pomeloport::Instant steadyNow()
{
    return std::chrono::time_point_cast<pomeloport::Duration>(std::chrono::steady_clock::now());
}

/// The calendar time in milliseconds.
inline std::uint64_t wallMilliseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

/// Runs the context on this thread until SIGINT or SIGTERM arrives.
void runUntilSignal(boost::asio::io_context &context);

/// Registers this process in the platform's instance list, and tries again every second until that succeeds. Does
/// nothing when the platform's address is empty.
struct Registration
{
    std::string platform;
    std::string name;
    std::string address;
    std::string kind;
    std::string state = "live";
};
void registerAtPlatform(boost::asio::io_context &context, const Registration &registration);

} // namespace pomelofake
