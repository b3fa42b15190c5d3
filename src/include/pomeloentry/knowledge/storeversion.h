#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pomeloentry
{

/// A position in the history of the platform's store. A store that comes back from an older copy begins a new era and
/// gives the revisions behind that copy out again, so that a revision means something within its era only. Every
/// version of a later era follows all versions of earlier ones. Era zero is that of a store that does not name one.
struct StoreVersion
{
    std::uint64_t era = 0;
    std::uint64_t revision = 0;

    auto operator<=>(const StoreVersion &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(era, revision);
    }
};

/// Encodes a version as "ERA.REVISION".
std::string encodeStoreVersion(StoreVersion version);

/// Returns nothing when the text is not an encoded version.
std::optional<StoreVersion> decodeStoreVersion(std::string_view text);

} // namespace pomeloentry
