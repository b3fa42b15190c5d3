#include "session/eventsplitter.h"

#include <charconv>

namespace pomeloentry
{

namespace
{

/// Maximum size of one event.
constexpr std::size_t MaximumEventBytes = 1024 * 1024;

/// Returns the length of the first event including its blank line, or zero while it is incomplete.
std::size_t eventLength(std::string_view text)
{
    const auto lineFeedBreak = text.find("\n\n");
    const auto carriageReturnBreak = text.find("\r\n\r\n");
    const std::size_t lineFeedEnd =
        lineFeedBreak == std::string_view::npos ? std::string_view::npos : lineFeedBreak + 2;
    const std::size_t carriageReturnEnd =
        carriageReturnBreak == std::string_view::npos ? std::string_view::npos : carriageReturnBreak + 4;
    const auto end = std::min(lineFeedEnd, carriageReturnEnd);
    return end == std::string_view::npos ? 0 : end;
}

std::optional<std::uint64_t> idOf(std::string_view event)
{
    constexpr std::string_view Field = "id:";
    std::size_t begin = 0;
    while (begin < event.size()) {
        const auto end = event.find('\n', begin);
        auto line = event.substr(begin, end - begin);
        if (line.starts_with(Field)) {
            line.remove_prefix(Field.size());
            if (line.starts_with(' ')) {
                line.remove_prefix(1);
            }
            std::uint64_t value = 0;
            const auto parsed = std::from_chars(line.data(), line.data() + line.size(), value);
            return parsed.ec == std::errc() ? std::optional(value) : std::nullopt;
        }
        if (end == std::string_view::npos) {
            break;
        }
        begin = end + 1;
    }
    return std::nullopt;
}

} // namespace

StreamPosition::StreamPosition(std::optional<std::uint64_t> last)
    : m_lastEventId(last)
{
}

StreamPosition::Step StreamPosition::step(const StreamEvent &event, std::uint32_t attempt) const
{
    const bool continuesOther = attempt > 1 && (m_hasDelivered || m_lastEventId);
    if (continuesOther && (!event.id || !m_lastEventId)) {
        return Step::Break;
    }
    if (!event.id) {
        return Step::Deliver;
    }
    if (!m_lastEventId || *event.id == *m_lastEventId + 1) {
        return Step::Deliver;
    }
    return *event.id <= *m_lastEventId ? Step::Skip : Step::Break;
}

void StreamPosition::delivered(std::optional<std::uint64_t> id)
{
    m_hasDelivered = true;
    m_lastEventId = id ? id : m_lastEventId;
}

std::optional<std::uint64_t> StreamPosition::last() const
{
    return m_lastEventId;
}

std::vector<StreamEvent> EventSplitter::feed(std::string_view bytes)
{
    std::vector<StreamEvent> events;
    if (m_overflowed) {
        return events;
    }
    m_buffer += bytes;
    std::string_view remaining = m_buffer;
    for (auto length = eventLength(remaining); length > 0; length = eventLength(remaining)) {
        const auto event = remaining.substr(0, length);
        events.push_back({std::string(event), idOf(event)});
        remaining.remove_prefix(length);
    }
    m_buffer.erase(0, m_buffer.size() - remaining.size());
    m_overflowed = m_buffer.size() > MaximumEventBytes;
    return events;
}

bool EventSplitter::overflowed() const
{
    return m_overflowed;
}

std::size_t EventSplitter::bufferedBytes() const
{
    return m_buffer.empty() ? 0 : m_buffer.capacity();
}

bool EventSplitter::hasPartialEvent() const
{
    return !m_buffer.empty();
}

} // namespace pomeloentry
