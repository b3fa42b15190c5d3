#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

/// Authenticates messages between the processes of this system by HMAC-SHA256 with a shared key.
namespace pomeloport
{

/// Size of an HMAC-SHA256 value.
constexpr std::size_t MacBytes = 32;

/// An HMAC-SHA256 value, used as the tag of a message or as a derived key.
using MessageMac = std::array<unsigned char, MacBytes>;

/// Thread-safe. Aborts the process if OpenSSL fails.
MessageMac hmacSha256(std::string_view key, std::string_view text);

/// Compares in constant time. The tag may be a truncated MAC; an empty tag never matches.
bool macMatches(const MessageMac &expected, std::string_view tag);

/// Returns cryptographically secure random bytes. Aborts the process if none are available.
std::string randomBytes(std::size_t count);

} // namespace pomeloport
