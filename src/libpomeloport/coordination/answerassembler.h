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

/// Delivers the numbered chunks of an answer in order, each exactly once, and checks the complete answer against its
/// end marker. Chunks may arrive more than once, out of order and from several attempts.
class AnswerAssembler
{
public:
    using Deliver = std::function<void(std::uint64_t index, std::string text)>;

    enum class State {
        Incomplete,
        Complete,
        /// The chunks do not match the count or digest of the end marker.
        Corrupt,
    };

    /// If keepText is set, the text of the complete answer is retained for text().
    explicit AnswerAssembler(bool keepText);

    /// Adds a chunk and delivers all chunks that are now next in order. Duplicates are ignored; chunks beyond the
    /// reorder window are dropped.
    void addChunk(std::uint64_t index, std::string text, const Deliver &deliver);

    /// Sets the end marker of the current attempt.
    void setEndMarker(std::uint64_t count, std::optional<std::uint64_t> digest);

    /// Discards undelivered chunks and the end marker of the previous attempt. Delivered chunks still count.
    void resetAttempt();

    State state() const;

    /// Index of the next chunk to deliver.
    std::uint64_t nextIndex() const;

    /// xxHash64 of all delivered chunks.
    std::uint64_t digest() const;

    /// Text of the chunks delivered so far; empty unless keepText was set.
    const std::string &text() const;

private:
    /// Delivers the chunk that is next in order.
    void deliverNext(std::string text, const Deliver &deliver);

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
    std::uint64_t m_nextIndex = 0;
    std::map<std::uint64_t, std::string> m_pendingChunks;
    std::optional<EndMarker> m_endMarker;
    std::string m_text;
    std::unique_ptr<XXH64_state_s, FreeState> m_hash;
};

} // namespace pomeloport::detail
