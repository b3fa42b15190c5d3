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

/// What routing decides about a request: the types that the request lifecycle and the router policies share.
namespace pomeloport
{

/// Classes of prompt length, for metrics and policy.
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

/// Returns the class of a prompt length.
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

/// A request after validation and intent matching.
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
    /// Digest of kind, model and prompt; a key may not be reused with another one.
    std::uint64_t bodyDigest = 0;
    /// Whether a second engine continues this answer exactly (deterministic decoding).
    bool deterministic = true;
};

/// One backend server's part in serving a request.
struct RouteMember
{
    std::string backend;
    /// Half-open range of prompt tokens that it computes.
    std::uint64_t segmentBegin = 0;
    std::uint64_t segmentEnd = 0;
};

/// An engine that reads a part of a prompt for the engine that decodes.
struct RouteHelper
{
    std::string backend;
    /// Names memory that is set aside there; empty where the decoding engine keeps the part.
    std::string ticket;
};

/// Where an attempt runs: one member, or three and more for a prompt larger than an engine; the last one decodes.
struct Route
{
    std::vector<RouteMember> members;
    EnginePriority priority = EnginePriority::Normal;
    /// Names the reservation of a group at its coordinator; 0 for a single engine.
    std::uint64_t reservation = 0;
    /// An attempt at a repeatable request without a first chunk for this long counts as broken when
    /// another attempt is left; zero for no limit.
    Duration firstChunkTimeout{};
    /// Engines that read parts of the prompt for the first member.
    std::vector<RouteHelper> helpers;
};

/// The prompt needs a group of engines; ask the group coordinator of the model's pool.
struct NeedsGroup
{
    std::string model;
    /// KV memory needed in all, in tokens.
    std::uint64_t tokens = 0;
};

/// Nothing suitable is free; ask again at this time or when capacity is released, whichever comes first.
struct WaitUntil
{
    Instant at{};
};

using RouteDecision = std::variant<Route, NeedsGroup, WaitUntil, Failure>;

/// Asks for a place for one attempt.
struct RouteQuery
{
    const RequestSpec *request = nullptr;
    /// Number of this attempt, from 1.
    std::uint32_t attempt = 1;
    /// Backend servers that failed or refused this request already.
    std::vector<std::string> avoid;
};

/// Chooses a place for an attempt; the request lifecycle calls it and carries no routing policy itself.
using RouteChooser = std::function<RouteDecision(const RouteQuery &query, Instant now)>;

} // namespace pomeloport
