#pragma once

#include <optional>
#include <string>
#include <string_view>

/// Compression of long texts into a form that can be stored as a JSON string.
namespace pomeloport::detail
{

/// Compresses a text with deflate and encodes the result in base64.
std::string compressText(std::string_view text);

/// Reverses compressText(). Returns nothing for malformed input and for texts longer than MaximumTextBytes.
std::optional<std::string> decompressText(std::string_view encoded);

/// Maximum size of a decompressed text, in bytes. It bounds the memory that decoding can take.
constexpr std::size_t MaximumTextBytes = std::size_t{16} * 1024 * 1024;

} // namespace pomeloport::detail
