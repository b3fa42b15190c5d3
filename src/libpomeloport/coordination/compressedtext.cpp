#include "compressedtext.h"

#include <boost/beast/zlib/deflate_stream.hpp>
#include <boost/beast/zlib/inflate_stream.hpp>

#include <openssl/evp.h>

#include <array>

namespace pomeloport::detail
{

namespace
{

namespace zlib = boost::beast::zlib;

constexpr int CompressionLevel = 6;
constexpr int WindowBits = 15;
constexpr int MemoryLevel = 8;
constexpr std::size_t ChunkBytes = 16 * 1024;
/// Base64 encodes groups of three bytes as four characters.
constexpr std::size_t PlainBytesPerGroup = 3;
constexpr std::size_t CharactersPerGroup = 4;

std::string toBase64(const std::string &bytes)
{
    const auto groups = (bytes.size() + PlainBytesPerGroup - 1) / PlainBytesPerGroup;
    std::string result(groups * CharactersPerGroup + 1, '\0');
    const auto *source = reinterpret_cast<const unsigned char *>(bytes.data());
    auto *target = reinterpret_cast<unsigned char *>(result.data());
    const auto size = EVP_EncodeBlock(target, source, static_cast<int>(bytes.size()));
    result.resize(static_cast<std::size_t>(size));
    return result;
}

std::optional<std::string> fromBase64(std::string_view encoded)
{
    if (encoded.empty() || encoded.size() % CharactersPerGroup != 0) {
        return std::nullopt;
    }
    std::string result(encoded.size() / CharactersPerGroup * PlainBytesPerGroup, '\0');
    const auto *source = reinterpret_cast<const unsigned char *>(encoded.data());
    auto *target = reinterpret_cast<unsigned char *>(result.data());
    if (EVP_DecodeBlock(target, source, static_cast<int>(encoded.size())) < 0) {
        return std::nullopt;
    }
    const std::size_t padding = encoded.ends_with("==") ? 2 : (encoded.ends_with('=') ? 1 : 0);
    result.resize(result.size() - padding);
    return result;
}

} // namespace

std::string compressText(std::string_view text)
{
    zlib::deflate_stream stream;
    stream.reset(CompressionLevel, WindowBits, MemoryLevel, zlib::Strategy::normal);
    std::string bytes(stream.upper_bound(text.size()), '\0');
    zlib::z_params params;
    params.next_in = text.data();
    params.avail_in = text.size();
    params.next_out = bytes.data();
    params.avail_out = bytes.size();
    boost::system::error_code error;
    stream.write(params, zlib::Flush::finish, error);
    bytes.resize(params.total_out);
    return toBase64(bytes);
}

std::optional<std::string> decompressText(std::string_view encoded)
{
    const auto bytes = fromBase64(encoded);
    if (!bytes) {
        return std::nullopt;
    }
    zlib::inflate_stream stream;
    stream.reset(WindowBits);
    zlib::z_params params;
    params.next_in = bytes->data();
    params.avail_in = bytes->size();
    std::string result;
    boost::system::error_code error;
    while (!error) {
        std::array<char, ChunkBytes> chunk{};
        params.next_out = chunk.data();
        params.avail_out = chunk.size();
        stream.write(params, zlib::Flush::sync, error);
        result.append(chunk.data(), chunk.size() - params.avail_out);
        if (result.size() > MaximumTextBytes) {
            return std::nullopt;
        }
    }
    return error == zlib::error::end_of_stream ? std::optional(std::move(result)) : std::nullopt;
}

} // namespace pomeloport::detail
