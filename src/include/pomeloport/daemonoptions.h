#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// Command line of the programs that run on entry instances.
namespace pomeloport
{

/// Exit codes of the programs that run on entry instances.
constexpr int DaemonStopped = 0;
constexpr int DaemonFailed = 1;
constexpr int DaemonUsageError = 2;

/// What --help says about a program.
struct DaemonDescription
{
    std::string_view program;
    /// What the program does, in lines that end with a line feed.
    std::string_view purpose;
    /// The exit codes, in one line.
    std::string_view exitCodes;
    /// Environment variable that names the settings file where --settings is absent; may be null.
    const char *settingsVariable = nullptr;
    /// Whether the program takes a file with its policy.
    bool policy = false;
};

/// A command line that asks to run the program or to check its settings.
struct DaemonOptions
{
    std::string settingsFile;
    /// Empty for the built-in policy.
    std::string policyFile;
    /// Check the settings and start nothing.
    bool check = false;
};

/// Parses the command line. Returns nothing, with the exit code set, when there is nothing to run: help or the version
/// was printed, or the command line is wrong.
std::optional<DaemonOptions> parseDaemonOptions(int argc,
                                                char **argv,
                                                const DaemonDescription &description,
                                                int &exitCode);

/// Returns an incarnation for a process that starts now: calendar time in milliseconds.
std::uint64_t incarnationNow();

} // namespace pomeloport
