#include "pomelofake/prompttext.h"

#include <algorithm>
#include <random>

namespace pomelofake
{

namespace
{

constexpr std::size_t BytesPerToken = 4;
constexpr std::size_t MinimumTokens = 8;
constexpr std::size_t MaximumSharedBytes = 8'192 * BytesPerToken;
/// Places at which pieces of the shared text begin.
constexpr std::size_t PlaceBytes = 65'536;

} // namespace

PromptText::PromptText(std::uint64_t maximumTokens)
    : m_longest(std::max<std::size_t>(maximumTokens, MinimumTokens) * BytesPerToken)
{
    std::mt19937_64 random(1);
    m_text.reserve(m_longest + PlaceBytes);
    while (m_text.size() < m_longest + PlaceBytes) {
        m_text += static_cast<char>('a' + random() % 26);
        m_text += random() % 6 == 0 ? " " : "";
    }
}

std::string PromptText::make(std::uint64_t tokens, std::uint64_t family, std::uint64_t number) const
{
    const auto length = std::clamp<std::size_t>(tokens * BytesPerToken, MinimumTokens * BytesPerToken, m_longest);
    const auto ending = " #" + std::to_string(number) + '.';
    const auto shared = std::min(length / 2, MaximumSharedBytes);
    constexpr std::uint64_t Spread = 7'919;
    std::string prompt;
    prompt.reserve(length);
    prompt += piece(family * Spread, shared);
    prompt += piece(number * Spread + 1, length - shared - ending.size());
    return prompt + ending;
}

std::string_view PromptText::piece(std::uint64_t place, std::size_t length) const
{
    return std::string_view(m_text).substr(place % PlaceBytes, length);
}

} // namespace pomelofake
