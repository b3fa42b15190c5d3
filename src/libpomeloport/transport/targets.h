#pragma once

#include <map>
#include <string>
#include <string_view>

/// Request targets of HTTP.
namespace pomeloport::detail
{

/// Decodes %XX and '+'. Malformed escapes are kept as they are.
std::string percentDecoded(std::string_view text);

/// Splits a target into its path and decoded query parameters.
void splitTarget(std::string_view target, std::string &path, std::map<std::string, std::string> &query);

} // namespace pomeloport::detail
