#include "pomeloentry/knowledge/fleetcopy.h"

#include "pomeloport/lastreason.h"

#include <zlib.h>

namespace pomeloentry
{

namespace
{

/// Limit on the uncompressed size of a received copy: several times the largest value of the store.
constexpr std::uint64_t MaximumBytes = 16 * 1024 * 1024;

/// Compressed bytes and their uncompressed length.
struct Compressed
{
    std::uint64_t length = 0;
    std::string bytes;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(length, bytes);
    }
};

} // namespace

std::string encodeFleetCopy(const FleetCopy &copy)
{
    auto plain = pomeloport::detail::encodeCompact(copy);
    if (copy.evacuations) {
        plain += pomeloport::detail::encodeCompact(*copy.evacuations);
    }
    Compressed result;
    result.length = plain.size();
    uLongf size = compressBound(plain.size());
    result.bytes.resize(size);
    // Cannot fail, since the buffer has the size given by compressBound().
    compress2(reinterpret_cast<Bytef *>(result.bytes.data()),
              &size,
              reinterpret_cast<const Bytef *>(plain.data()),
              plain.size(),
              Z_BEST_SPEED);
    result.bytes.resize(size);
    return pomeloport::detail::encodeCompact(result);
}

std::optional<FleetCopy> decodeFleetCopy(std::string_view bytes)
{
    const auto compressed = pomeloport::detail::decodeCompact<Compressed>(bytes);
    if (!compressed || compressed->length > MaximumBytes) {
        pomeloport::setLastReason("the bytes are not a compressed fleet copy, or it exceeds 16 MiB");
        return std::nullopt;
    }
    std::string plain(compressed->length, '\0');
    uLongf size = plain.size();
    const auto status = uncompress(reinterpret_cast<Bytef *>(plain.data()),
                                   &size,
                                   reinterpret_cast<const Bytef *>(compressed->bytes.data()),
                                   compressed->bytes.size());
    if (status != Z_OK || size != plain.size()) {
        pomeloport::setLastReason("the fleet copy cannot be decompressed");
        return std::nullopt;
    }
    std::string_view rest = plain;
    auto copy = pomeloport::detail::takeCompact<FleetCopy>(rest);
    if (copy && !rest.empty()) {
        copy->evacuations = pomeloport::detail::decodeCompact<DocumentCopy>(rest);
        if (!copy->evacuations) {
            return std::nullopt;
        }
    }
    return copy;
}

} // namespace pomeloentry
