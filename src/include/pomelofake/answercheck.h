#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// Checks answers against what the stand-ins must have produced.
namespace pomelofake
{

/// Follows one answer chunk by chunk. Several answers may be right while a configuration changes; each chunk must then
/// fit one that all earlier chunks fitted.
class AnswerCheck
{
public:
    /// An answer of an engine: the seeds of all right answers, and the number of chunks asked for.
    static AnswerCheck ofEngine(std::vector<std::uint64_t> seeds, std::uint64_t count);

    /// An answer of a plain service: one chunk with its result.
    static AnswerCheck ofService(std::string result);

    /// Takes the next chunk. Chunks must come in order from index 0, each once.
    void addChunk(std::uint64_t index, std::string_view text);

    /// Takes the end marker. The answer must be whole.
    void end(std::uint64_t count, std::uint64_t digest);

    /// Takes a whole answer at once.
    void whole(std::uint64_t count, std::uint64_t digest, std::string_view text);

    /// Chunks taken so far.
    std::uint64_t chunks() const;

    /// Whether all taken so far is right.
    bool right() const;

    /// What was wrong first; empty while right.
    const std::string &fault() const;

private:
    void fail(std::string fault);
    std::uint64_t expectedDigest() const;

    std::vector<std::uint64_t> m_seeds;
    std::uint64_t m_count = 1;
    std::string m_result;
    std::uint64_t m_next = 0;
    std::string m_fault;
};

} // namespace pomelofake
