#include "pomeloport/protocol/jsonslices.h"

#include "pomeloport/lastreason.h"

#include <algorithm>

namespace pomeloport
{

namespace
{

constexpr std::string_view WhiteSpace = " \t\r\n";

/// Reads values from the front of a text.
class Scanner
{
public:
    explicit Scanner(std::string_view text)
        : m_rest(text)
    {
    }

    /// Skips white space and the given character. Returns whether it was there.
    bool take(char expected)
    {
        skipWhiteSpace();
        if (m_rest.empty() || m_rest.front() != expected) {
            return false;
        }
        m_rest.remove_prefix(1);
        return true;
    }

    /// Whether nothing but white space is left.
    bool atEnd()
    {
        skipWhiteSpace();
        return m_rest.empty();
    }

    /// Returns the text of the next value; empty if there is none or it has no end.
    std::string_view value()
    {
        skipWhiteSpace();
        const auto length = valueLength();
        const auto result = m_rest.substr(0, length);
        m_rest.remove_prefix(length);
        return result;
    }

private:
    void skipWhiteSpace()
    {
        m_rest.remove_prefix(std::min(m_rest.find_first_not_of(WhiteSpace), m_rest.size()));
    }

    /// Returns the position behind a string that begins at a position, or npos if it does not end.
    std::size_t stringEnd(std::size_t begin) const
    {
        for (auto position = begin + 1; position < m_rest.size(); ++position) {
            if (m_rest[position] == '\\') {
                ++position;
            } else if (m_rest[position] == '"') {
                return position + 1;
            }
        }
        return std::string_view::npos;
    }

    std::size_t valueLength() const
    {
        if (m_rest.empty()) {
            return 0;
        }
        if (m_rest.front() == '"') {
            const auto end = stringEnd(0);
            return end == std::string_view::npos ? 0 : end;
        }
        if (m_rest.front() != '{' && m_rest.front() != '[') {
            return std::min(m_rest.find_first_of(" \t\r\n,:]}"), m_rest.size());
        }
        std::size_t depth = 0;
        for (std::size_t position = 0; position < m_rest.size();) {
            const char character = m_rest[position];
            if (character == '"') {
                position = stringEnd(position);
                if (position == std::string_view::npos) {
                    return 0;
                }
                continue;
            }
            ++position;
            if (character == '{' || character == '[') {
                ++depth;
            } else if ((character == '}' || character == ']') && --depth == 0) {
                return position;
            }
        }
        return 0;
    }

    std::string_view m_rest;
};

} // namespace

std::optional<std::vector<JsonSlice>> sliceObject(std::string_view text)
{
    Scanner scanner(text);
    std::vector<JsonSlice> result;
    bool ok = scanner.take('{');
    for (bool more = ok && !scanner.take('}'); more;) {
        const auto name = scanner.value();
        const bool isName = name.size() > 1 && name.front() == '"' && scanner.take(':');
        const auto value = isName ? scanner.value() : std::string_view();
        ok = !value.empty();
        if (ok) {
            result.push_back({name.substr(1, name.size() - 2), value});
        }
        more = ok && scanner.take(',');
        ok = ok && (more || scanner.take('}'));
    }
    if (!ok || !scanner.atEnd()) {
        setLastReason("the text is no JSON object");
        return std::nullopt;
    }
    return result;
}

std::optional<std::vector<std::string_view>> sliceArray(std::string_view text)
{
    Scanner scanner(text);
    std::vector<std::string_view> result;
    bool ok = scanner.take('[');
    for (bool more = ok && !scanner.take(']'); more;) {
        const auto value = scanner.value();
        ok = !value.empty();
        if (ok) {
            result.push_back(value);
        }
        more = ok && scanner.take(',');
        ok = ok && (more || scanner.take(']'));
    }
    if (!ok || !scanner.atEnd()) {
        setLastReason("the text is no JSON array");
        return std::nullopt;
    }
    return result;
}

std::string_view sliceOf(const std::vector<JsonSlice> &members, std::string_view name)
{
    const auto found = std::ranges::find(members, name, &JsonSlice::name);
    return found == members.end() ? std::string_view() : found->value;
}

} // namespace pomeloport
