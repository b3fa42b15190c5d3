#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// Heads and header fields of HTTP messages that are relayed without being interpreted.
namespace pomeloport
{

/// Names and values of header fields in the order received; repeated fields are kept.
using HttpFields = std::vector<std::pair<std::string, std::string>>;

/// Status line and header fields of a response.
struct HttpResponseHead
{
    unsigned status = 0;
    std::string reason;
    HttpFields fields;
};

/// Compares names of header fields case-insensitively.
bool sameFieldName(std::string_view left, std::string_view right);

/// The value of the first field with this name, or an empty string.
std::string_view fieldValue(const HttpFields &fields, std::string_view name);

bool hasField(const HttpFields &fields, std::string_view name);

/// Returns the fields without those that apply to a single connection: framing, connection management and the fields
/// listed in Connection.
HttpFields endToEndFields(const HttpFields &fields);

/// Encodes a text for the path or query of a target: all but letters, digits and "-._~" become %XX.
std::string percentEncoded(std::string_view text);

/// Appends each field as a "Name: value" line with CRLF.
void appendFields(std::string &out, const HttpFields &fields);

} // namespace pomeloport
