#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Splits a stream of server-sent events (text/event-stream) into whole events.
namespace pomeloentry
{

/// One event, byte for byte, with the blank line that ends it.
struct StreamEvent
{
    std::string bytes;
    /// Value of its id field, where that is a number.
    std::optional<std::uint64_t> id;
};

class EventSplitter
{
public:
    /// Takes bytes and returns the events that they complete.
    std::vector<StreamEvent> feed(std::string_view bytes);

    /// Whether bytes of an unfinished event are kept.
    bool inEvent() const;

private:
    std::string m_rest;
};

} // namespace pomeloentry
