#include "pomeloport/coordination/configpatch.h"

#include "compressedtext.h"

#include "../protocol/jsonfields.h"

#include "pomeloport/lastreason.h"

#include <algorithm>
#include <xxhash.h>

namespace pomeloport
{

namespace
{

/// Declarations above this size in bytes are stored compressed, to stay within the store's limit on values and to
/// reduce the traffic of watchers.
constexpr std::size_t LongestPlainText = 16 * 1024;

std::size_t commonPrefix(std::string_view left, std::string_view right)
{
    const auto [first, second] = std::ranges::mismatch(left, right);
    return static_cast<std::size_t>(first - left.begin());
}

std::size_t commonSuffix(std::string_view left, std::string_view right)
{
    const auto first = std::mismatch(left.rbegin(), left.rend(), right.rbegin(), right.rend()).first;
    return static_cast<std::size_t>(first - left.rbegin());
}

} // namespace

control::ConfigPatch makePatch(std::uint64_t fromVersion,
                               std::string_view from,
                               std::uint64_t toVersion,
                               std::string_view to,
                               std::string token)
{
    control::ConfigPatch patch;
    patch.fromVersion = fromVersion;
    patch.toVersion = toVersion;
    patch.prefixBytes = commonPrefix(from, to);
    patch.suffixBytes = commonSuffix(from.substr(patch.prefixBytes), to.substr(patch.prefixBytes));
    patch.middle = to.substr(patch.prefixBytes, to.size() - patch.prefixBytes - patch.suffixBytes);
    patch.digest = XXH64(to.data(), to.size(), 0);
    patch.token = std::move(token);
    return patch;
}

std::optional<std::string> applyPatch(const control::ConfigPatch &patch, std::string_view text)
{
    const bool fits = patch.prefixBytes <= text.size() && patch.suffixBytes <= text.size() - patch.prefixBytes;
    if (fits) {
        std::string result(text.substr(0, patch.prefixBytes));
        result += patch.middle;
        result += text.substr(text.size() - patch.suffixBytes);
        if (XXH64(result.data(), result.size(), 0) == patch.digest) {
            return result;
        }
    }
    setLastReason("patch was not made from this version of the declarations");
    return std::nullopt;
}

std::string encode(const ConfigObject &object)
{
    boost::json::object result;
    result["token"] = object.token;
    if (object.yaml.size() > LongestPlainText) {
        result["yaml_deflate"] = detail::compressText(object.yaml);
    } else {
        result["yaml"] = object.yaml;
    }
    boost::json::array earlier;
    for (const auto &token : object.earlier) {
        earlier.emplace_back(token);
    }
    result["earlier"] = std::move(earlier);
    return boost::json::serialize(result);
}

std::optional<ConfigObject> decodeConfigObject(std::string_view json)
{
    detail::JsonReader reader(json);
    ConfigObject object;
    object.token = reader.text("token", true);
    if (reader.find("yaml_deflate")) {
        auto yaml = detail::decompressText(reader.text("yaml_deflate"));
        if (!yaml) {
            reader.fail("yaml_deflate is not valid base64 of a deflate stream, or expands beyond the size limit");
        }
        object.yaml = std::move(yaml).value_or(std::string{});
    } else {
        object.yaml = reader.text("yaml", true);
    }
    object.earlier = reader.texts("earlier");
    return reader.ok() ? std::optional(std::move(object)) : std::nullopt;
}

} // namespace pomeloport
