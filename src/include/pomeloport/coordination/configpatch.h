#pragma once

#include "pomeloport/protocol/controlmessages.h"

#include <optional>
#include <string>
#include <string_view>

/// Patches between versions of the declarations, so that a small edit of a large text takes few bytes on the network,
/// and the encoding of the declarations in the store.
namespace pomeloport
{

/// Returns a patch that replaces the part of one text that differs from another, between their common prefix and
/// suffix.
control::ConfigPatch makePatch(std::uint64_t fromVersion,
                               std::string_view from,
                               std::uint64_t toVersion,
                               std::string_view to,
                               std::string token);

/// Applies a patch to a text. Returns nothing and sets the last reason if the patch was not made from this text.
std::optional<std::string> applyPatch(const control::ConfigPatch &patch, std::string_view text);

/// Content of the configuration object in the store.
struct ConfigObject
{
    /// Change token, chosen by the writer of this version.
    std::string token;
    /// The declarations, in YAML.
    std::string yaml;
    /// Tokens of the preceding changes, latest first. A writer whose reply was lost finds its token here if its write
    /// took effect and has been replaced since.
    std::vector<std::string> earlier;
};

/// Kind and name of the configuration object in the store.
constexpr std::string_view ConfigKind = "config";
constexpr std::string_view ConfigName = "declarations";

/// Maximum number of tokens kept in ConfigObject::earlier.
constexpr std::size_t MaximumEarlierTokens = 32;

/// Encodes the object as JSON with the fields "token" and "earlier", and the declarations as "yaml" or, if they are
/// long, compressed with deflate and encoded in base64 as "yaml_deflate".
std::string encode(const ConfigObject &object);

/// Parses the output of encode(). Returns nothing and sets the last reason if the text is malformed.
std::optional<ConfigObject> decodeConfigObject(std::string_view json);

} // namespace pomeloport
