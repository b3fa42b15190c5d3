#include "pomelofake/answer.h"

#include <array>
#include <xxhash.h>

namespace pomelofake
{

namespace
{

constexpr int LettersPerChunk = 5;
constexpr std::uint64_t LetterCount = 26;

std::uint64_t chained(std::string_view text, std::uint64_t seed)
{
    return XXH64(text.data(), text.size(), seed);
}

} // namespace

std::uint64_t digestOf(std::string_view text)
{
    return chained(text, 0);
}

std::uint64_t answerSeed(const AnswerSource &source)
{
    return chained(source.version, chained(source.adapter, chained(source.model, source.promptDigest)));
}

std::string chunkText(std::uint64_t seed, std::uint64_t index)
{
    auto number = XXH64(&index, sizeof(index), seed);
    std::string text = " ";
    for (int i = 0; i < LettersPerChunk; ++i) {
        text += static_cast<char>('a' + number % LetterCount);
        number /= LetterCount;
    }
    return text;
}

std::uint64_t answerDigest(std::uint64_t seed, std::uint64_t count)
{
    std::string text;
    for (std::uint64_t index = 0; index < count; ++index) {
        text += chunkText(seed, index);
    }
    return digestOf(text);
}

std::string serviceResult(std::string_view key, std::string_view body)
{
    constexpr std::uint64_t Words = 4;
    const auto seed = chained(body, digestOf(key));
    std::string result = "done";
    for (std::uint64_t index = 0; index < Words; ++index) {
        result += chunkText(seed, index);
    }
    return result;
}

} // namespace pomelofake
