#pragma once

#include "program/entrycore.h"
#include "session/entrysession.h"

#include "pomeloport/verdict.h"

#include <variant>

namespace pomeloentry
{

/// The answer to a request that is not relayed.
struct Refusal
{
    unsigned status = 0;
    pomeloport::ReasonCode reason = pomeloport::ReasonCode::Internal;
    std::string detail;
    std::string attemptId;
    std::optional<std::chrono::milliseconds> retryAfter;
    /// What the forecast for retryAfter rests on.
    std::optional<ReturnCause> returnCause = std::nullopt;
};

/// Work of a caller whose route is not known, which has its time only. Callers that state none get the time of a route
/// that states none.
CallWork workWithoutRoute(std::optional<std::chrono::milliseconds> timeLimit, Instant now);
/// Backend servers know priorities from 0 to 9.
constexpr std::uint32_t LowestPriority = 9;

/// What a route states about its calls, for one that arrives now. A caller may state a shorter time than the route.
CallWork workOf(const CallRoute &route, Instant now, std::optional<Duration> timeLimit = std::nullopt);

/// Resolves the route, organisation and service of a request in the current fleet state, or refuses the request. It may
/// have waited since its arrival because the instance had just started.
std::variant<AdmittedCall, Refusal> admit(EntryCore &core,
                                          const pomeloport::HttpRequest &request,
                                          Instant arrival,
                                          Duration startWait = {});

} // namespace pomeloentry
