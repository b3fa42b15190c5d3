#pragma once

#include "pomeloport/protocol/controlmessages.h"

#include <optional>
#include <string>
#include <string_view>

/// Differences between versions of the declarations' text, so that a small edit of a large text travels as few bytes.
namespace pomeloport
{

/// Returns the patch that turns one text into another.
control::ConfigPatch makePatch(std::uint64_t fromVersion,
                               std::string_view from,
                               std::uint64_t toVersion,
                               std::string_view to,
                               std::string token);

/// Applies a patch. Returns nothing, with a last reason, when the patch does not fit the text.
std::optional<std::string> applyPatch(const control::ConfigPatch &patch, std::string_view text);

/// The configuration object as the store holds it.
struct ConfigObject
{
    /// Names the change that wrote it; chosen by its writer.
    std::string token;
    /// The declarations, in YAML.
    std::string yaml;
    /// Tokens of the changes before it, latest first; they settle whether a lost write took effect.
    std::vector<std::string> earlier;
};

/// Kind and name of the configuration object in the store.
constexpr std::string_view ConfigKind = "config";
constexpr std::string_view ConfigName = "declarations";

/// Most tokens kept in ConfigObject::earlier.
constexpr std::size_t MaximumEarlierTokens = 32;

/// Writes the object as JSON: "token", "earlier", and the declarations as "yaml", or, when they are long, deflated and
/// in base64 as "yaml_deflate".
std::string encode(const ConfigObject &object);

/// Parses the output of encode(). Returns nothing, with a last reason, for malformed text.
std::optional<ConfigObject> decodeConfigObject(std::string_view json);

} // namespace pomeloport
