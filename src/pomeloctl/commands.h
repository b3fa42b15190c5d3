#pragma once

#include "options.h"

#include <vector>

/// The subcommands of pomeloctl. Each prints its result and returns the exit code of the program.
namespace pomeloctl
{

/// Validates a declarations file and prints every error.
ExitCode validate(const Options &options);

/// Prints the fields that differ between two declarations files, or between the store and a file.
ExitCode diff(const Options &options);

/// Writes a declarations file to the store by conditional update, and optionally waits until every live instance uses
/// it.
ExitCode apply(const Options &options);

/// Prints the state of instances and backend servers, as known to one router.
ExitCode status(const Options &options);

/// Tells an instance to drain.
ExitCode drain(const Options &options);

/// Prints how a request was routed and why, as remembered by a router or from log files, or where one would go now.
ExitCode explain(const Options &options);

/// A subcommand with its implementation.
struct Command
{
    CommandDescription description;
    ExitCode (*run)(const Options &options);
};

/// All subcommands, in the order in which --help lists them.
const std::vector<Command> &commands();

} // namespace pomeloctl
