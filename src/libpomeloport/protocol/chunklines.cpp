#include "chunklines.h"

#include <algorithm>
#include <charconv>

namespace pomeloport::detail
{

namespace
{

constexpr std::string_view IndexPrefix = R"({"index":)";
constexpr std::string_view TextPrefix = R"(,"text":")";
constexpr std::string_view Suffix = R"("})";
constexpr std::string_view EndPrefix = R"({"end":)";

/// Whether a character stands for itself inside a JSON string.
bool isPlain(char letter)
{
    constexpr unsigned char FirstPrintable = 0x20;
    return letter != '"' && letter != '\\' && static_cast<unsigned char>(letter) >= FirstPrintable;
}

/// Parses the form that the encoder writes when the text needs no escapes.
std::optional<StreamChunk> parsePlainChunk(std::string_view line)
{
    if (!line.starts_with(IndexPrefix) || !line.ends_with(Suffix)) {
        return std::nullopt;
    }
    StreamChunk chunk;
    const auto *last = line.data() + line.size();
    const auto [digitsEnd, error] = std::from_chars(line.data() + IndexPrefix.size(), last, chunk.index);
    auto rest = line.substr(static_cast<std::size_t>(digitsEnd - line.data()));
    if (error != std::errc() || !rest.starts_with(TextPrefix) || rest.size() < TextPrefix.size() + Suffix.size()) {
        return std::nullopt;
    }
    rest.remove_prefix(TextPrefix.size());
    rest.remove_suffix(Suffix.size());
    if (!std::ranges::all_of(rest, isPlain)) {
        return std::nullopt;
    }
    chunk.text = rest;
    return chunk;
}

} // namespace

std::optional<StreamLine> parseStreamLine(std::string_view line)
{
    if (auto chunk = parsePlainChunk(line)) {
        return *std::move(chunk);
    }
    if (line.starts_with(EndPrefix)) {
        if (auto end = decodeStreamEnd(line)) {
            return *std::move(end);
        }
        return std::nullopt;
    }
    if (auto chunk = decodeStreamChunk(line)) {
        return *std::move(chunk);
    }
    if (auto end = decodeStreamEnd(line)) {
        return *std::move(end);
    }
    return std::nullopt;
}

} // namespace pomeloport::detail
