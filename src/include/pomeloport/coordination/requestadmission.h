#pragma once

#include "pomeloport/coordination/route.h"
#include "pomeloport/protocol/callermessages.h"
#include "pomeloport/state/snapshot.h"
#include "pomeloport/verdict.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

/// Validation of callers' requests: who is asking, which intent applies, and whether the values make sense. Nothing has
/// been sent anywhere at this point, so failures carry the verdict NotRun; the one exception is an expired key, whose
/// action may have run before.
namespace pomeloport
{

/// Limits on single values of a request.
struct RequestLimits
{
    std::uint64_t maximumTokens = 1'000'000;
    /// Tokens generated when the caller states no number.
    std::uint64_t defaultTokens = 256;
    std::size_t labelCount = 64;
    std::size_t nameBytes = 256;
    /// How far the issue time of a key may lie in the future, for clocks that differ.
    std::chrono::milliseconds clockTolerance{60'000};
};

/// The present time on both clocks.
struct AdmissionTime
{
    Instant now{};
    WallTime wall{};
};

using AdmissionResult = std::variant<RequestSpec, Failure>;

/// Returns the token of an Authorization field of the form "Bearer TOKEN", or an empty text.
std::string_view bearerToken(std::string_view authorization);

/// Compares without stopping at the first difference, so that timing tells nothing about a token.
bool equalTokens(std::string_view left, std::string_view right);

/// Finds the organisation whose callers use this token; null when there is none.
const Organisation *organisationOf(std::string_view token, const Declarations &declarations);

/// Returns the first intent that applies to the request; null when there is none.
const Intent *matchIntent(const CallerRequest &request,
                          const Organisation &organisation,
                          const Declarations &declarations);

/// Validates a request and resolves its intent.
AdmissionResult admitRequest(const CallerRequest &request,
                             std::string_view token,
                             const Snapshot &snapshot,
                             const RequestLimits &limits,
                             AdmissionTime time);

} // namespace pomeloport
