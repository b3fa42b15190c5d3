#pragma once

#include <map>
#include <string>
#include <string_view>

/// Parsing of HTTP request targets.
namespace pomeloport::detail
{

/// Decodes %XX escapes, and '+' as a space. Malformed escapes are left unchanged.
std::string percentDecoded(std::string_view text);

/// Splits a request target into its path and percent-decoded query parameters.
void splitTarget(std::string_view target, std::string &path, std::map<std::string, std::string> &query);

} // namespace pomeloport::detail
