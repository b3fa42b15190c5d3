#pragma once

#include "pomelofake/enginemodel.h"

/// One accepted call inside the engine model; not part of its public surface.
namespace pomelofake
{

/// Progress and memory of one call.
struct EngineModel::Stream
{
    pomeloport::StreamAddress address;
    pomeloport::EnginePriority priority = pomeloport::EnginePriority::Normal;
    std::uint64_t seed = 0;
    std::uint64_t contextBegin = 0;
    /// Tokens to compute before the first chunk: the segment, and the chunks that an earlier attempt delivered.
    std::uint64_t prefillTokens = 0;
    std::uint64_t prefilled = 0;
    /// Part of the running step.
    std::uint64_t plannedPrefill = 0;
    bool decodesInStep = false;
    std::uint64_t segmentTokens = 0;
    std::uint64_t reservedTokens = 0;
    std::uint64_t nextChunk = 0;
    std::uint64_t firstChunk = 0;
    std::uint64_t maximumTokens = 0;
    bool exportOnly = false;
    bool started = false;
    bool finished = false;
    std::vector<std::uint64_t> prefixBlocks;

    bool prefillDone() const
    {
        return prefilled >= prefillTokens;
    }

    std::uint64_t prefillLeft() const
    {
        return prefillTokens - prefilled;
    }
};

} // namespace pomelofake
