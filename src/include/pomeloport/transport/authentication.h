#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

/// Authentication of messages between the system's own processes, by HMAC-SHA256 with a shared key.
namespace pomeloport
{

/// Bytes of an HMAC-SHA256.
constexpr std::size_t MacBytes = 32;

/// The shared key or a key derived from it.
using MessageMac = std::array<unsigned char, MacBytes>;

/// Computes the HMAC-SHA256 of a text. Safe from any thread.
MessageMac hmacSha256(std::string_view key, std::string_view text);

/// Compares in a time that does not depend on the contents; the tag may be a leading part of the whole MAC.
bool sameMac(const MessageMac &expected, std::string_view tag);

/// Returns bytes from the operating system's source of randomness.
std::string randomBytes(std::size_t count);

} // namespace pomeloport
