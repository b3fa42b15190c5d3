#pragma once

#include "pomeloport/state/declarations.h"
#include "pomeloport/verdict.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Messages of the HTTP interface for callers, with their codecs.
namespace pomeloport
{

/// The body of POST /v1/requests. The codec checks only the types of the fields; admission validates the values.
struct CallerRequest
{
    std::string kind;
    /// Empty when the caller leaves the choice to the intent.
    std::string model;
    Labels labels;
    /// The prompt as sent on to a backend server; for a prompt of token numbers their JSON array.
    std::string prompt;
    /// Length of the prompt: the number of token numbers, or a quarter of the bytes, rounded up.
    std::uint64_t promptTokens = 0;
    /// xxHash64 of the prompt's text, or of its token numbers as 32-bit little-endian words.
    std::uint64_t promptDigest = 0;
    /// Chained digests of the leading whole blocks of 2048 such bytes.
    std::vector<std::uint64_t> prefixBlocks;
    std::optional<std::uint64_t> maxTokens;
    /// Deadline in milliseconds after the arrival of the request; zero and negative values have already passed.
    std::optional<std::int64_t> deadlineMs;
    bool stream = false;
    bool nonIdempotent = false;
    std::string idempotencyKey;
    /// Calendar time at which the caller issued the key, in milliseconds since 1970; 0 when absent.
    std::uint64_t issuedAtMs = 0;
};

/// Decodes the body of POST /v1/requests. Returns nothing, with a last reason that names the field, for malformed input
/// and for unknown fields.
std::optional<CallerRequest> decodeCallerRequest(std::string_view json);

/// Encodes a failure body; an empty request identifier is omitted.
std::string encodeFailure(const Failure &failure, std::string_view request);

/// Returns the HTTP status for a reason.
unsigned statusOf(ReasonCode reason);

/// Appends a text as a JSON string with its quotes.
void appendJsonText(std::string &out, std::string_view text);

/// Appends one chunk as a server-sent event: its index as the id, and index and text as JSON data.
void appendChunkEvent(std::string &out, std::uint64_t index, std::string_view text);

/// Format the last event of a complete stream and of a failed stream.
std::string endEvent(std::uint64_t count, std::uint64_t digest);
std::string failureEvent(const Failure &failure, std::string_view request);

/// Encodes the body of a complete answer that is not streamed.
std::string encodeAnswer(std::string_view request, std::uint64_t chunks, std::uint64_t digest, std::string_view text);

} // namespace pomeloport
