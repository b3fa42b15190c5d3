#pragma once

#include "program/entrycore.h"

#include <map>
#include <string>

/// Answers the question where a request would go now, for `pomeloctl explain --dry-run`.
namespace pomeloentry
{

struct DryRunReply
{
    unsigned status = 0;
    /// A JSON object.
    std::string body;
};

/// Explains the placement of a request that is described by query parameters: `service`, and optionally `prompt` and
/// `answer` (tokens), `organisation`, `priority` and `route`. Without a route, the first one by name that leads to the
/// service gives the times and allowed regions. Sends, reserves, counts and logs nothing.
DryRunReply dryRun(const EntryCore &core, const std::map<std::string, std::string> &query, Instant now);

} // namespace pomeloentry
