#include "pomeloentry/knowledge/storeversion.h"

#include <charconv>

namespace pomeloentry
{

std::string encodeStoreVersion(StoreVersion version)
{
    return std::to_string(version.era) + "." + std::to_string(version.revision);
}

std::optional<StoreVersion> decodeStoreVersion(std::string_view text)
{
    StoreVersion result;
    const auto *end = text.data() + text.size();
    const auto era = std::from_chars(text.data(), end, result.era);
    if (era.ec != std::errc() || era.ptr == end || *era.ptr != '.') {
        return std::nullopt;
    }
    const auto revision = std::from_chars(era.ptr + 1, end, result.revision);
    return revision.ec == std::errc() && revision.ptr == end ? std::optional(result) : std::nullopt;
}

} // namespace pomeloentry
