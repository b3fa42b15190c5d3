#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// Parts of HTTP messages that are relayed rather than understood.
namespace pomeloport
{

/// Header fields as sent, in order, repeated ones included.
using HttpFields = std::vector<std::pair<std::string, std::string>>;

/// Status line and header fields of an answer.
struct HttpResponseHead
{
    unsigned status = 0;
    std::string reason;
    HttpFields fields;
};

/// Compares names of header fields, which differ in case only.
bool sameFieldName(std::string_view left, std::string_view right);

/// The value of the first field with this name, or an empty text.
std::string_view fieldValue(const HttpFields &fields, std::string_view name);

/// Whether there is a field with this name.
bool hasField(const HttpFields &fields, std::string_view name);

/// Removes the fields that concern one connection only: framing, connection management, and what Connection names.
HttpFields endToEndFields(const HttpFields &fields);

/// Appends fields as "Name: value" lines.
void appendFields(std::string &out, const HttpFields &fields);

} // namespace pomeloport
