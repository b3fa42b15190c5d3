#pragma once

#include "entrycore.h"
#include "entrysession.h"

#include "pomeloport/verdict.h"

#include <variant>

namespace pomeloentry
{

/// Why a request is answered without being relayed.
struct Refusal
{
    unsigned status = 0;
    pomeloport::ReasonCode reason = pomeloport::ReasonCode::Internal;
    std::string detail;
    std::string attemptId;
    std::optional<std::chrono::milliseconds> retryAfter;
};

/// Matches a request with a route, an organisation and a service of the current state, or says why not.
std::variant<AdmittedCall, Refusal> admit(EntryCore &core, const pomeloport::HttpRequest &request, Instant now);

} // namespace pomeloentry
