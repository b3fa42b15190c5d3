#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

struct XXH64_state_s;

namespace pomeloport::detail
{

/// Puts the numbered chunks of an answer in order, each once, and checks the whole against its end marker. Chunks may
/// come twice, out of order and from several attempts.
class AnswerAssembler
{
public:
    using Deliver = std::function<void(std::uint64_t index, std::string text)>;

    /// What is known about the answer's completeness.
    enum class State {
        Incomplete,
        Whole,
        /// The end marker contradicts the chunks.
        Corrupt,
    };

    /// With keepText the text of the whole answer is kept.
    explicit AnswerAssembler(bool keepText);

    /// Takes a chunk and delivers those that are next in order. Chunks far ahead of the order are dropped.
    void take(std::uint64_t index, std::string text, const Deliver &deliver);

    /// Takes the end marker of the present attempt.
    void end(std::uint64_t count, std::optional<std::uint64_t> digest);

    /// Forgets chunks and end marker of an attempt that is over; what was delivered stays.
    void startAttempt();

    State state() const;

    /// Index of the next chunk to deliver.
    std::uint64_t next() const;

    /// xxHash64 of all delivered chunks.
    std::uint64_t digest() const;

    /// Text of the answer, if it is kept.
    const std::string &text() const;

private:
    /// Delivers the chunk that is next in order.
    void accept(std::string text, const Deliver &deliver);

    struct FreeState
    {
        void operator()(XXH64_state_s *state) const;
    };
    struct EndMarker
    {
        std::uint64_t count = 0;
        std::optional<std::uint64_t> digest;
    };

    bool m_keepText = false;
    std::uint64_t m_next = 0;
    std::map<std::uint64_t, std::string> m_ahead;
    std::optional<EndMarker> m_end;
    std::string m_text;
    std::unique_ptr<XXH64_state_s, FreeState> m_hash;
};

} // namespace pomeloport::detail
