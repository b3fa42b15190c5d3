#pragma once

#include <optional>
#include <string>
#include <string_view>

/// Compression of long texts for storage as JSON strings.
namespace pomeloport::detail
{

/// Compresses with deflate and encodes in base64.
std::string compressText(std::string_view text);

/// Reverses compressText(). Returns nothing for malformed input and for texts beyond MaximumTextBytes.
std::optional<std::string> expandText(std::string_view encoded);

/// Longest text that is expanded, in bytes.
constexpr std::size_t MaximumTextBytes = std::size_t{16} * 1024 * 1024;

} // namespace pomeloport::detail
