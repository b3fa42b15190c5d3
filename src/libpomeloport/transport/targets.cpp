#include "targets.h"

#include <charconv>

namespace pomeloport::detail
{

std::string percentDecoded(std::string_view text)
{
    constexpr std::size_t EscapeLength = 3;
    constexpr int Hexadecimal = 16;
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        unsigned char value = 0;
        const auto *digits = text.data() + i + 1;
        const bool mayBeEscape = text[i] == '%' && i + EscapeLength <= text.size();
        if (mayBeEscape && std::from_chars(digits, digits + 2, value, Hexadecimal).ptr == digits + 2) {
            result += static_cast<char>(value);
            i += 2;
            continue;
        }
        result += text[i] == '+' ? ' ' : text[i];
    }
    return result;
}

void splitTarget(std::string_view target, std::string &path, std::map<std::string, std::string> &query)
{
    const auto queryMark = target.find('?');
    path = std::string(target.substr(0, queryMark));
    if (queryMark == std::string_view::npos) {
        return;
    }
    auto rest = target.substr(queryMark + 1);
    while (!rest.empty()) {
        const auto end = rest.find('&');
        const auto pair = rest.substr(0, end);
        const auto equals = pair.find('=');
        const auto value = equals == std::string_view::npos ? std::string_view() : pair.substr(equals + 1);
        query[percentDecoded(pair.substr(0, equals))] = percentDecoded(value);
        rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
    }
}

} // namespace pomeloport::detail
