#pragma once

#include "pomeloport/nametable.h"

#include <boost/program_options/options_description.hpp>
#include <boost/program_options/variables_map.hpp>

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// The command line of pomeloctl.
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

/// Formats of printed results.
enum class OutputFormat {
    Table,
    Json,
};

constexpr pomeloport::NameTable<OutputFormat, 2> nameTable(OutputFormat /*unused*/)
{
    return {{{OutputFormat::Table, "table"}, {OutputFormat::Json, "json"}}};
}

/// Addresses of the system and the operator's credentials.
struct Connection
{
    /// Address of the platform's object API, "IP:port".
    std::string platform;
    /// Router addresses, tried in order.
    std::vector<std::string> endpoints;
    /// Bearer token of the operator API.
    std::string operatorToken;
    /// Time-out of each call.
    std::chrono::milliseconds timeout{5000};
};

/// Parsed options of a subcommand.
struct Options
{
    Connection connection;
    OutputFormat output = OutputFormat::Table;
    /// Positional arguments after the subcommand.
    std::vector<std::string> arguments;
    /// "apply": whether to wait until the change is in force on every live instance.
    bool wait = false;
    /// "apply": longest time to wait.
    std::chrono::milliseconds waitTimeout{10000};
    /// "apply": the stored version that the change is based on; 0 accepts the current one.
    std::uint64_t ifVersion = 0;
    /// "explain": whether to ask where a request would go now.
    bool dryRun = false;
    /// "explain --dry-run": parameters of the request by name.
    std::map<std::string, std::string> request;
};

/// Name, arguments and help texts of a subcommand.
struct CommandDescription
{
    std::string name;
    /// Positional arguments as shown in the usage line.
    std::string arguments;
    /// One line without a full stop, for the list of commands.
    std::string summary;
    /// Further lines for the help of the command.
    std::string details;
    std::size_t minimumArguments = 0;
    std::size_t maximumArguments = 0;
};

/// Result of parseOptions(): options to run the subcommand with, or none and an exit code if help or an error was
/// printed instead.
struct ParsedOptions
{
    std::optional<Options> options;
    ExitCode exitCode = Success;
};

/// Parses the words after the subcommand, and reads the settings file if --settings names one. Prints help and errors.
ParsedOptions parseOptions(const CommandDescription &command, const std::vector<std::string> &words);

} // namespace pomeloctl
