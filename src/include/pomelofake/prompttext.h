#pragma once

#include <cstdint>
#include <string>
#include <string_view>

/// Texts of prompts for load tests.
namespace pomelofake
{

/// Makes prompts from one shared text. Prompts of one family begin alike, so that prefix caches matter; each prompt
/// ends with its own number, so that no two are equal. Texts need no escapes in JSON.
class PromptText
{
public:
    /// Prepares texts for prompts of up to this many tokens.
    explicit PromptText(std::uint64_t maximumTokens);

    /// Returns a prompt of exactly this many tokens, but of at least eight. Half of it, and at most 8,192 tokens, is
    /// shared with the other prompts of its family.
    std::string make(std::uint64_t tokens, std::uint64_t family, std::uint64_t number) const;

private:
    std::string_view piece(std::uint64_t place, std::size_t length) const;

    std::size_t m_longest;
    std::string m_text;
};

} // namespace pomelofake
