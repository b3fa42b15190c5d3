#pragma once

#include <catch2/catch.hpp>

#include <cstdlib>
#include <functional>
#include <random>
#include <string>
#include <vector>

/// Seeded fuzzing of the decoders of bytes that others write. POMELO_FUZZ_ROUNDS sets the number of inputs for each
/// decoder, POMELO_FUZZ_SEED the first seed; with sanitizers it is run for longer by hand.
namespace pomeloentry::detail
{

/// Returns the number in an environment variable.
inline std::uint64_t numberFrom(const char *variable, std::uint64_t fallback)
{
    const char *text = std::getenv(variable);
    return text ? std::strtoull(text, nullptr, 10) : fallback;
}

/// Changes valid inputs: bytes, lengths and numbers, repeated and nested parts, and pieces of other inputs.
class Mutator
{
public:
    explicit Mutator(std::uint64_t seed)
        : m_random(seed)
    {
    }

    std::string mutate(const std::vector<std::string> &samples)
    {
        auto text = samples[draw(samples.size())];
        for (auto count = draw(6); count > 0; --count) {
            mutateOnce(text, samples[draw(samples.size())]);
        }
        return text;
    }

    std::size_t draw(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random);
    }

private:
    void mutateOnce(std::string &text, const std::string &other)
    {
        static const std::vector<std::string> Tokens{"\"",         "\\",
                                                     "\\ud800",    "[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[",
                                                     "]]]]",       "{",
                                                     "}",          ":",
                                                     ",",          "1e999",
                                                     "-1",         "99999999999999999999",
                                                     "4294967296", "null",
                                                     "true",       "\r\n",
                                                     "\n\n",       std::string(1, '\0'),
                                                     "\xff\xfe",   "\x80\x80\x80\x80\x80\x80\x80\x80\x80\x7f"};
        const auto position = draw(text.size() + 1);
        switch (draw(6)) {
        case 0:
            text.insert(position, Tokens[draw(Tokens.size())]);
            break;
        case 1:
            text.erase(position, draw(20));
            break;
        case 2:
            if (position < text.size()) {
                text[position] = static_cast<char>(draw(256));
            }
            break;
        case 3:
            text.insert(position, text.substr(draw(text.size() + 1), draw(200)));
            break;
        case 4:
            text.replace(position, draw(10), other.substr(draw(other.size() + 1), draw(100)));
            break;
        default:
            text.resize(position);
            break;
        }
    }

    std::mt19937_64 m_random;
};

/// Decodes an input for each seed.
inline void fuzz(const std::vector<std::string> &samples, const std::function<void(const std::string &)> &decode)
{
    const auto rounds = numberFrom("POMELO_FUZZ_ROUNDS", 10'000);
    const auto firstSeed = numberFrom("POMELO_FUZZ_SEED", 1);
    for (std::uint64_t seed = firstSeed; seed < firstSeed + rounds; ++seed) {
        CAPTURE(seed);
        decode(Mutator(seed).mutate(samples));
    }
}

} // namespace pomeloentry::detail
