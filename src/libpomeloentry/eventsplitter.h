#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Reading of server-sent events (text/event-stream), and the order of those that several attempts send.
namespace pomeloentry
{

/// One event, byte for byte, with the blank line that ends it.
struct StreamEvent
{
    std::string bytes;
    /// Value of its id field, where that is a number.
    std::optional<std::uint64_t> id;
};

/// Keeps the place in a stream that several attempts may continue.
class StreamPosition
{
public:
    enum class Step {
        /// The event is next.
        Deliver,
        /// The caller has it already.
        Skip,
        /// An event before it is missing, or its place cannot be known.
        Break,
    };

    /// Starts behind the last event that the caller has, if it has any.
    explicit StreamPosition(std::optional<std::uint64_t> last);

    /// What to do with an event of the given attempt, counted from 1. Moves nothing.
    Step step(const StreamEvent &event, std::uint32_t attempt) const;

    /// Notes that the caller was given an event.
    void delivered(std::optional<std::uint64_t> id);

    /// The last event that the caller has.
    std::optional<std::uint64_t> last() const;

private:
    std::optional<std::uint64_t> m_lastEventId;
};

/// Splits a stream into whole events.
class EventSplitter
{
public:
    /// Takes bytes and returns the events that they complete.
    std::vector<StreamEvent> feed(std::string_view bytes);

    /// Whether bytes of an unfinished event are kept.
    bool hasPartialEvent() const;

private:
    std::string m_buffer;
};

} // namespace pomeloentry
