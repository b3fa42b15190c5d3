#pragma once

#include "pomeloport/clock.h"
#include "pomeloport/protocol/enginemessages.h"
#include "pomeloport/state/declarations.h"
#include "pomeloport/verdict.h"

#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

/// Types of routing queries and decisions, shared by the request lifecycle and the placement policies.
namespace pomeloport
{

/// Classes of prompt length, used by metrics and placement policies.
enum class PromptClass {
    Short,
    Medium,
    Long,
    Huge,
};

constexpr NameTable<PromptClass, 4> nameTable(PromptClass /*unused*/)
{
    return {{{PromptClass::Short, "short"},
             {PromptClass::Medium, "medium"},
             {PromptClass::Long, "long"},
             {PromptClass::Huge, "huge"}}};
}

/// Upper bounds of the classes Short, Medium and Long, in tokens.
constexpr std::uint64_t ShortPromptTokens = 8'192;
constexpr std::uint64_t MediumPromptTokens = 32'768;
constexpr std::uint64_t LongPromptTokens = 100'000;

constexpr PromptClass promptClass(std::uint64_t tokens)
{
    if (tokens <= ShortPromptTokens) {
        return PromptClass::Short;
    }
    if (tokens <= MediumPromptTokens) {
        return PromptClass::Medium;
    }
    return tokens <= LongPromptTokens ? PromptClass::Long : PromptClass::Huge;
}

/// A request after validation and matching to a serving intent.
struct RequestSpec
{
    std::string organisation;
    std::string kind;
    std::string intent;
    BackendKind backendKind = BackendKind::Engine;
    std::string model;
    std::string adapter;
    std::string version;
    Selector engines;
    std::uint64_t promptTokens = 0;
    std::uint64_t promptDigest = 0;
    std::vector<std::uint64_t> prefixBlocks;
    std::uint64_t maxTokens = 0;
    IntentPriority priority = IntentPriority::Standard;
    double worth = 1.0;
    Instant arrival{};
    Instant deadline{};
    bool nonIdempotent = false;
    std::string idempotencyKey;
    WallTime issuedAt{};
    /// Digest of kind, model and prompt. An idempotency key must not be reused with a different digest.
    std::uint64_t bodyDigest = 0;
    /// Whether decoding is deterministic, so that another engine can resume the answer where the first one stopped.
    bool deterministic = true;
};

/// The part of a request that one backend server serves.
struct RouteMember
{
    std::string backend;
    /// Half-open range of prompt tokens that the backend server computes.
    std::uint64_t segmentBegin = 0;
    std::uint64_t segmentEnd = 0;
};

/// An engine that prefills a part of the prompt for the engine that decodes.
struct RouteHelper
{
    std::string backend;
    /// Name of the memory reservation at this engine; empty if the decoding engine keeps the part in its own memory.
    std::string ticket;
};

/// Where an attempt runs: one member, or at least three for a prompt that exceeds the memory of one engine. The last
/// member decodes.
struct Route
{
    std::vector<RouteMember> members;
    EnginePriority priority = EnginePriority::Normal;
    /// Id of the group's reservation at the group coordinator; 0 for a single engine.
    std::uint64_t reservation = 0;
    /// An attempt of an idempotent request that yields no first chunk within this time counts as broken, provided that
    /// another attempt is allowed. Zero disables the limit.
    Duration firstChunkTimeout{};
    /// Engines that prefill parts of the prompt for the first member.
    std::vector<RouteHelper> helpers;
};

/// The prompt needs a group of engines, which the group coordinator of the model's pool must reserve.
struct NeedsGroup
{
    std::string model;
    /// Total KV cache memory needed, in tokens.
    std::uint64_t tokens = 0;
};

/// No suitable backend server has free capacity. Query again at this time or when capacity is released, whichever comes
/// first.
struct WaitUntil
{
    Instant at{};
};

using RouteDecision = std::variant<Route, NeedsGroup, WaitUntil, Failure>;

/// Query for the route of one attempt.
struct RouteQuery
{
    const RequestSpec *request = nullptr;
    /// Number of this attempt, from 1.
    std::uint32_t attempt = 1;
    /// Backend servers that have already failed or refused this request.
    std::vector<std::string> avoid;
    /// Whether the caller has received a part of the answer.
    bool answerBegun = false;
    /// Whether the request waits if there is no place. Otherwise it keeps the place it has, and the chooser must not
    /// queue it.
    bool mayWait = true;
};

/// Chooses the route of an attempt. The request lifecycle calls it and contains no routing policy of its own.
using RouteChooser = std::function<RouteDecision(const RouteQuery &query, Instant now)>;

} // namespace pomeloport
