#pragma once

#include <cstdint>
#include <string>
#include <string_view>

/// The deterministic answers of the stand-ins, so that a load tool can check every answer it receives.
namespace pomelofake
{

/// What determines the answer of a stand-in engine.
struct AnswerSource
{
    std::uint64_t promptDigest = 0;
    std::string_view model;
    std::string_view adapter;
    std::string_view version;
};

/// Returns the xxHash64 of a text with seed 0, as used for prompt digests.
std::uint64_t digestOf(std::string_view text);

/// Returns the number of tokens in a prompt of this many bytes.
constexpr std::uint64_t promptTokens(std::uint64_t bytes)
{
    constexpr std::uint64_t BytesPerToken = 4;
    return (bytes + BytesPerToken - 1) / BytesPerToken;
}

/// Reduces a source to the number from which all texts of its answer follow.
std::uint64_t answerSeed(const AnswerSource &source);

/// Returns the text of one chunk; a chunk is one token.
std::string chunkText(std::uint64_t seed, std::uint64_t index);

/// Returns the xxHash64 of the texts of the chunks 0 to count - 1 in order, as carried by the end marker.
std::uint64_t answerDigest(std::uint64_t seed, std::uint64_t count);

/// Returns the result of a plain service for an action key and a request body.
std::string serviceResult(std::string_view key, std::string_view body);

} // namespace pomelofake
