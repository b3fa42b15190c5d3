#pragma once

#include "pomeloentry/decisions/entryplacement.h"

#include <cstdint>
#include <string>
#include <vector>

/// What the parts of EntryPlacement share.
namespace pomeloentry::detail
{

/// Attempt number of a call that waits for a slot.
constexpr std::uint32_t WaitingAttempt = 0;
constexpr double MsPerSecond = 1000;
/// Odd multiplier of a multiplicative hash, which permutes keys pseudo-randomly.
constexpr std::uint64_t OrderFactor = 0x9E3779B97F4A7C15;

/// Key of an attempt in the work ledger.
std::uint64_t itemKey(const CallWork &work, std::uint32_t attempt);

/// Maps all numbers evenly to those from 0 to 1.
double unitFraction(std::uint64_t number);

/// Pseudo-random number from 0 to 1, constant for a call.
double guaranteeDraw(const CallWork &work);

/// Whether a server of this standing may get requests.
bool takesRequests(ServerNotices::Standing standing);

/// Failure rate that placement assumes of a server of this standing.
double failureRateOf(double failureRate, ServerNotices::Standing standing);

/// Refusal of a call that cannot be complete before its instance stops.
pomeloport::Failure stopRefusal(const char *reason);

bool contains(const std::vector<std::string> &list, const std::string &text);

/// Time to decode an answer together with as many other streams as the engine has slots, in milliseconds.
double decodeTimeMs(const EngineCost &cost, std::uint64_t answerTokens);

} // namespace pomeloentry::detail
