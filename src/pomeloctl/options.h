#pragma once

#include "pomeloport/nametable.h"

#include <boost/program_options/options_description.hpp>
#include <boost/program_options/variables_map.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

/// Command line of pomeloctl.
namespace pomeloctl
{

/// Exit codes, as listed by --help and in docs/OPERATIONS.md.
enum ExitCode : int {
    Success = 0,
    Failed = 1,
    UsageError = 2,
    Conflicting = 3,
    NotInForce = 4,
};

/// How results are printed.
enum class OutputFormat {
    Table,
    Json,
};

constexpr pomeloport::NameTable<OutputFormat, 2> nameTable(OutputFormat /*unused*/)
{
    return {{{OutputFormat::Table, "table"}, {OutputFormat::Json, "json"}}};
}

/// Where the system is and how the operator identifies.
struct Connection
{
    /// The platform's object API, "IP:port".
    std::string platform;
    /// Routers to ask, tried in order.
    std::vector<std::string> endpoints;
    std::string operatorToken;
    std::chrono::milliseconds timeout{5000};
};

/// A parsed command line of one subcommand.
struct Options
{
    Connection connection;
    OutputFormat output = OutputFormat::Table;
    /// Positional arguments after the subcommand.
    std::vector<std::string> arguments;
    /// "apply": wait until the change is in force on every live instance, at most this long.
    bool wait = false;
    std::chrono::milliseconds waitTimeout{10000};
    /// "apply": the version that the change was made from; 0 takes the present one.
    std::uint64_t ifVersion = 0;
};

/// One subcommand as --help shows it.
struct CommandDescription
{
    std::string name;
    std::string arguments;
    std::string summary;
    std::string details;
    std::size_t minimumArguments = 0;
    std::size_t maximumArguments = 0;
};

/// Result of reading a command line: options to run with, or an exit code because help or errors were printed.
struct ParsedOptions
{
    std::optional<Options> options;
    ExitCode exitCode = Success;
};

/// Reads the words after the subcommand, and the settings file where --settings names one. Prints help and errors.
ParsedOptions parseOptions(const CommandDescription &command, const std::vector<std::string> &words);

} // namespace pomeloctl
