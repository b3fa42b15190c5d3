#pragma once

#include <optional>
#include <string_view>
#include <vector>

/// Cutting of JSON text into the texts of its values. A value is only scanned for its end, so one that a parser
/// rejects, for its depth, its characters or its numbers, does not hide the values beside it. Works in linear time and
/// without recursion. The slices refer to the text.
namespace pomeloport
{

/// A member of a JSON object, as it stands in the text.
struct JsonSlice
{
    /// Name without quotation marks; escapes are not decoded.
    std::string_view name;
    /// Text of the value without surrounding white space.
    std::string_view value;
};

/// Returns the members of an object. Returns nothing and sets the last reason when the text is no object.
std::optional<std::vector<JsonSlice>> sliceObject(std::string_view text);

/// Returns the texts of the elements of an array. Returns nothing and sets the last reason when the text is no array.
std::optional<std::vector<std::string_view>> sliceArray(std::string_view text);

/// Returns the value of the first member with a name, or an empty text if there is none.
std::string_view sliceOf(const std::vector<JsonSlice> &members, std::string_view name);

} // namespace pomeloport
