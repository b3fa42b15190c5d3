#include "commands.h"

namespace pomeloctl
{

/// Enough for one log of each instance of a large fleet.
constexpr std::size_t MaximumLogFiles = 1000;

const std::vector<Command> &commands()
{
    static const std::vector<Command> table = {
        {{"validate",
          "FILE",
          "Validate a declarations file",
          "Prints every error as FILE:LINE: MESSAGE and exits with 2 if there are any.\n",
          1,
          1},
         validate},
        {{"diff",
          "FILE [OTHER]",
          "Show the differences between declarations",
          "With one file, compares the declarations in the store with it; with two, compares the first with the "
          "second.\n",
          1,
          2},
         diff},
        {{"apply",
          "FILE",
          "Put declarations in force",
          "Writes by conditional update. If the store was changed in the meantime, writes nothing, shows the "
          "difference\n"
          "and exits with 3.\n",
          1,
          1},
         apply},
        {{"status",
          "",
          "Show instances and backend servers",
          "Queries the endpoints in order and shows the reply of the first that answers.\n",
          0,
          0},
         status},
        {{"drain",
          "INSTANCE",
          "Take an instance out of service",
          "The instance leaves discovery, ends its streams, releases its leases and exits with 0.\n",
          1,
          1},
         drain},
        {{"explain",
          "[REQUEST [LOG...]]",
          "Show how a request was routed and why",
          "Queries each endpoint in turn; instances remember only their recent requests. With log files of "
          "pomelo-entry,\n"
          "prints in order of time the lines that concern the request and the state changes that its instance logged\n"
          "meanwhile. With --dry-run, asks a live pomelo-entry where a request would go now; nothing is sent.\n",
          0,
          MaximumLogFiles},
         explain},
    };
    return table;
}

} // namespace pomeloctl
