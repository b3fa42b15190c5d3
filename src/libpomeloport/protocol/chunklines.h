#pragma once

#include "pomeloport/protocol/enginemessages.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

/// The lines of a streamed engine answer.
namespace pomeloport::detail
{

/// One line: a chunk or the end marker.
using StreamLine = std::variant<StreamChunk, StreamEnd>;

/// Parses a line without its line feed. Plain chunk lines take a path without a JSON document; all others go through
/// the codecs. Returns nothing, with a last reason, for malformed lines.
std::optional<StreamLine> parseStreamLine(std::string_view line);

/// Splits a byte stream into lines and keeps an unfinished one.
class LineSplitter
{
public:
    /// Calls handle(line) for each finished line; it returns false to stop. Returns false when stopped or when a line
    /// exceeds MaximumLineBytes.
    template<typename Handle>
    bool feed(std::string_view piece, Handle handle)
    {
        while (!piece.empty()) {
            const auto end = piece.find('\n');
            if (end == std::string_view::npos) {
                m_rest += piece;
                return m_rest.size() <= MaximumLineBytes;
            }
            if (!finishLine(piece.substr(0, end), handle)) {
                return false;
            }
            piece.remove_prefix(end + 1);
        }
        return true;
    }

private:
    static constexpr std::size_t MaximumLineBytes = 1024 * 1024;

    template<typename Handle>
    bool finishLine(std::string_view tail, Handle &handle)
    {
        if (m_rest.empty()) {
            return tail.empty() || handle(tail);
        }
        m_rest += tail;
        const bool more = handle(std::string_view(m_rest));
        m_rest.clear();
        return more;
    }

    std::string m_rest;
};

} // namespace pomeloport::detail
