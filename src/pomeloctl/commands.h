#pragma once

#include "options.h"

#include <vector>

/// The subcommands of pomeloctl. Each prints its result and returns the exit code.
namespace pomeloctl
{

/// Checks a file of declarations and prints every error.
ExitCode validate(const Options &options);

/// Prints the fields that differ between two files, or between what the store holds and a file.
ExitCode diff(const Options &options);

/// Writes a file of declarations to the store by conditional update and optionally waits until it is in force.
ExitCode apply(const Options &options);

/// Prints instances and backend servers as a router sees them.
ExitCode status(const Options &options);

/// Asks an instance to drain.
ExitCode drain(const Options &options);

/// Prints why a recent request went where it went.
ExitCode explain(const Options &options);

/// One subcommand: its description and what runs it.
struct Command
{
    CommandDescription description;
    ExitCode (*run)(const Options &options);
};

/// All subcommands, in the order of --help.
const std::vector<Command> &commands();

} // namespace pomeloctl
