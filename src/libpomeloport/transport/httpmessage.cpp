#include "pomeloport/transport/httpmessage.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <algorithm>
#include <cctype>

namespace pomeloport
{

namespace
{

namespace beast = boost::beast;

/// Fields that must not be forwarded, based on RFC 9110, section 7.6.1.
constexpr std::string_view ConnectionFields[] = {"Connection",
                                                 "Keep-Alive",
                                                 "Proxy-Connection",
                                                 "Proxy-Authenticate",
                                                 "Proxy-Authorization",
                                                 "TE",
                                                 "Trailer",
                                                 "Transfer-Encoding",
                                                 "Upgrade",
                                                 "Expect",
                                                 "Content-Length"};

bool isConnectionField(std::string_view name)
{
    return std::ranges::any_of(ConnectionFields, [name](std::string_view field) { return sameFieldName(field, name); });
}

} // namespace

bool sameFieldName(std::string_view left, std::string_view right)
{
    return beast::iequals({left.data(), left.size()}, {right.data(), right.size()});
}

std::string_view fieldValue(const HttpFields &fields, std::string_view name)
{
    for (const auto &[field, value] : fields) {
        if (sameFieldName(field, name)) {
            return value;
        }
    }
    return {};
}

bool hasField(const HttpFields &fields, std::string_view name)
{
    return std::ranges::any_of(fields, [name](const auto &field) { return sameFieldName(field.first, name); });
}

HttpFields endToEndFields(const HttpFields &fields)
{
    std::vector<std::string> connectionOptions;
    for (const auto &[name, value] : fields) {
        if (!sameFieldName(name, "Connection")) {
            continue;
        }
        for (const auto token : beast::http::token_list(value)) {
            connectionOptions.emplace_back(token);
        }
    }
    HttpFields result;
    for (const auto &field : fields) {
        const bool listed = std::ranges::any_of(
            connectionOptions, [&field](const std::string &name) { return sameFieldName(name, field.first); });
        if (!listed && !isConnectionField(field.first)) {
            result.push_back(field);
        }
    }
    return result;
}

void appendFields(std::string &out, const HttpFields &fields)
{
    for (const auto &[name, value] : fields) {
        out.append(name).append(": ").append(value).append("\r\n");
    }
}

std::string percentEncoded(std::string_view text)
{
    constexpr const char *Digits = "0123456789ABCDEF";
    constexpr unsigned HighShift = 4;
    constexpr unsigned LowMask = 15;
    std::string result;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (std::isalnum(byte) != 0 || c == '-' || c == '_' || c == '.' || c == '~') {
            result += c;
            continue;
        }
        result += '%';
        result += Digits[byte >> HighShift];
        result += Digits[byte & LowMask];
    }
    return result;
}

} // namespace pomeloport
