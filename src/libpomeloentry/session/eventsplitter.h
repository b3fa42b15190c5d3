#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Splitting of server-sent events (text/event-stream) and merging of the streams of several attempts.
namespace pomeloentry
{

/// One event, unmodified, including the blank line that ends it.
struct StreamEvent
{
    std::string bytes;
    /// Value of the id field if that is a number.
    std::optional<std::uint64_t> id;
};

/// Position in a stream that several attempts may continue.
class StreamPosition
{
public:
    enum class Step {
        /// The event follows the last delivered one.
        Deliver,
        /// The caller has already received the event.
        Skip,
        /// Events before this one are missing, or its position is unknown because it has no id.
        Break,
    };

    /// Starts after the given event, which the caller has already received, or at the beginning.
    explicit StreamPosition(std::optional<std::uint64_t> last);

    /// Returns what to do with an event of the given attempt, counted from 1. The position does not move, since the
    /// event may yet be dropped.
    Step step(const StreamEvent &event, std::uint32_t attempt) const;

    /// Moves the position behind an event that was delivered to the caller.
    void delivered(std::optional<std::uint64_t> id);

    /// Id of the last event that the caller has received.
    std::optional<std::uint64_t> last() const;

private:
    std::optional<std::uint64_t> m_lastEventId;
    bool m_hasDelivered = false;
};

/// Splits a byte stream into complete events.
class EventSplitter
{
public:
    /// Appends bytes and returns the events that are now complete.
    std::vector<StreamEvent> feed(std::string_view bytes);

    /// Whether an event exceeded the maximum size. Nothing more is returned then.
    bool overflowed() const;

    /// Memory of the buffer, which holds the beginning of an incomplete event.
    std::size_t bufferedBytes() const;

    /// Whether the buffer holds the beginning of an incomplete event.
    bool hasPartialEvent() const;

private:
    std::string m_buffer;
    bool m_overflowed = false;
};

} // namespace pomeloentry
