#pragma once

#include "pomeloport/coordination/route.h"
#include "pomeloport/protocol/callermessages.h"
#include "pomeloport/state/snapshot.h"
#include "pomeloport/verdict.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

/// Authenticates and validates callers' requests and resolves their serving intent. No attempt has been sent at this
/// point, so failures carry the verdict NotRun, except for an expired idempotency key, whose action may have run
/// before.
namespace pomeloport
{

/// Limits on individual values of a request.
struct RequestLimits
{
    std::uint64_t maximumTokens = 1'000'000;
    /// Limit on generated tokens when the caller gives none.
    std::uint64_t defaultTokens = 256;
    std::size_t labelCount = 64;
    std::size_t nameBytes = 256;
    /// How far the issue time of an idempotency key may be in the future, to allow for clock skew.
    std::chrono::milliseconds clockTolerance{60'000};
};

/// The current time on the monotonic and the wall clock.
struct AdmissionTime
{
    Instant now{};
    WallTime wall{};
};

using AdmissionResult = std::variant<RequestSpec, Failure>;

/// Returns the token of an Authorization field of the form "Bearer TOKEN", or an empty string.
std::string_view bearerToken(std::string_view authorization);

/// Compares tokens of equal length in constant time, so that timing does not reveal where they differ.
bool equalTokens(std::string_view left, std::string_view right);

/// Returns the organisation with this token; null when there is none.
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
