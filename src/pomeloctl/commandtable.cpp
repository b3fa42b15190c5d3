#include "commands.h"

namespace pomeloctl
{

/// One log of each instance of a large fleet.
constexpr std::size_t MostLogs = 1000;

const std::vector<Command> &commands()
{
    static const std::vector<Command> table = {
        {{"validate",
          "FILE",
          "Check a file of declarations",
          "Prints every error as FILE:LINE: MESSAGE and exits with 2 when there are any.\n",
          1,
          1},
         validate},
        {{"diff",
          "FILE [OTHER]",
          "Show what differs",
          "With one file, compares what the store holds with it; with two, compares them with each other.\n",
          1,
          2},
         diff},
        {{"apply",
          "FILE",
          "Put declarations in force",
          "Writes by conditional update. When somebody else changed the store meanwhile, nothing is written, the\n"
          "difference is shown and the exit code is 3.\n",
          1,
          1},
         apply},
        {{"status", "", "Show instances and backend servers", "Asks the first endpoint that answers.\n", 0, 0}, status},
        {{"drain",
          "INSTANCE",
          "Take an instance out of service",
          "The instance leaves discovery, ends its streams, releases its leases and exits with 0.\n",
          1,
          1},
         drain},
        {{"explain",
          "REQUEST [LOG...]",
          "Show why a request went where it went",
          "Asks each endpoint in turn; instances remember their recent requests only. With log files of pomelo-entry,\n"
          "prints by time the lines of the request and what its instance learned meanwhile.\n",
          1,
          MostLogs},
         explain},
    };
    return table;
}

} // namespace pomeloctl
