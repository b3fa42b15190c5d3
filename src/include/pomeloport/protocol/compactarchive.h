#pragma once

#include <cereal/cereal.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/unordered_set.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include <concepts>
#include <cstdint>
#include <cstring>
#include <exception>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>

/// Cereal archives for messages between the system's own processes. Integers take as many bytes as their value needs,
/// and a length that exceeds the bytes left is rejected before memory is reserved for it.
namespace pomeloport::detail
{

/// Appends values to a string.
class CompactOutputArchive : public cereal::OutputArchive<CompactOutputArchive, cereal::AllowEmptyClassElision>
{
public:
    /// The string must outlive the archive.
    explicit CompactOutputArchive(std::string &target)
        : OutputArchive(this)
        , m_target(target)
    {
    }

    /// Appends raw bytes.
    void saveBinary(const void *data, std::size_t size)
    {
        m_target.append(static_cast<const char *>(data), size);
    }

    /// Appends a whole number, seven bits to a byte, lowest first.
    void saveNumber(std::uint64_t value)
    {
        constexpr unsigned Bits = 7;
        constexpr std::uint64_t More = 1U << Bits;
        for (; value >= More; value >>= Bits) {
            m_target += static_cast<char>(value | More);
        }
        m_target += static_cast<char>(value);
    }

private:
    std::string &m_target;
};

/// Reads values from a text that must outlive the archive. Throws cereal::Exception for malformed input.
class CompactInputArchive : public cereal::InputArchive<CompactInputArchive, cereal::AllowEmptyClassElision>
{
public:
    explicit CompactInputArchive(std::string_view source)
        : InputArchive(this)
        , m_rest(source)
    {
    }

    /// Bytes not yet read.
    std::size_t bytesLeft() const
    {
        return m_rest.size();
    }

    void loadBinary(void *data, std::size_t size)
    {
        if (size > m_rest.size()) {
            throw cereal::Exception("message is truncated");
        }
        std::memcpy(data, m_rest.data(), size);
        m_rest.remove_prefix(size);
    }

    std::uint64_t loadNumber()
    {
        constexpr unsigned Bits = 7;
        constexpr unsigned TopShift = 63;
        std::uint64_t value = 0;
        for (unsigned shift = 0; shift <= TopShift; shift += Bits) {
            std::uint8_t byte = 0;
            loadBinary(&byte, 1);
            if (shift == TopShift && byte > 1) {
                break;
            }
            value |= static_cast<std::uint64_t>(byte & 0x7FU) << shift;
            if ((byte & 0x80U) == 0) {
                return value;
            }
        }
        throw cereal::Exception("number is too long");
    }

private:
    std::string_view m_rest;
};

/// Integers and enums, by zigzag coding where they have a sign.
template<typename T>
concept CompactInteger = std::integral<T>;

template<CompactInteger T>
void CEREAL_SAVE_FUNCTION_NAME(CompactOutputArchive &archive, const T &value)
{
    if constexpr (std::signed_integral<T>) {
        const auto wide = static_cast<std::int64_t>(value);
        archive.saveNumber((static_cast<std::uint64_t>(wide) << 1U) ^ static_cast<std::uint64_t>(wide >> 63U));
    } else {
        archive.saveNumber(value);
    }
}

template<CompactInteger T>
void CEREAL_LOAD_FUNCTION_NAME(CompactInputArchive &archive, T &value)
{
    const auto number = archive.loadNumber();
    if constexpr (std::signed_integral<T>) {
        const auto wide = static_cast<std::int64_t>((number >> 1U) ^ (~(number & 1U) + 1));
        value = static_cast<T>(wide);
        if (value != wide) {
            throw cereal::Exception("number is out of range");
        }
    } else {
        value = static_cast<T>(number);
        if (value != number) {
            throw cereal::Exception("number is out of range");
        }
    }
}

template<std::floating_point T>
void CEREAL_SAVE_FUNCTION_NAME(CompactOutputArchive &archive, const T &value)
{
    archive.saveBinary(&value, sizeof(value));
}

template<std::floating_point T>
void CEREAL_LOAD_FUNCTION_NAME(CompactInputArchive &archive, T &value)
{
    archive.loadBinary(&value, sizeof(value));
}

template<typename T>
void CEREAL_SERIALIZE_FUNCTION_NAME(CompactOutputArchive &archive, cereal::NameValuePair<T> &pair)
{
    archive(pair.value);
}

template<typename T>
void CEREAL_SERIALIZE_FUNCTION_NAME(CompactInputArchive &archive, cereal::NameValuePair<T> &pair)
{
    archive(pair.value);
}

template<typename T>
void CEREAL_SERIALIZE_FUNCTION_NAME(CompactOutputArchive &archive, cereal::SizeTag<T> &tag)
{
    archive.saveNumber(tag.size);
}

template<typename T>
void CEREAL_SERIALIZE_FUNCTION_NAME(CompactInputArchive &archive, cereal::SizeTag<T> &tag)
{
    const auto size = archive.loadNumber();
    if (size > archive.bytesLeft()) {
        throw cereal::Exception("length exceeds the message");
    }
    tag.size = static_cast<std::remove_cvref_t<T>>(size);
}

/// Strings and vectors of plain bytes; other vectors go element by element.
template<typename T>
void CEREAL_SAVE_FUNCTION_NAME(CompactOutputArchive &archive, const cereal::BinaryData<T> &data)
{
    archive.saveBinary(data.data, static_cast<std::size_t>(data.size));
}

template<typename T>
void CEREAL_LOAD_FUNCTION_NAME(CompactInputArchive &archive, cereal::BinaryData<T> &data)
{
    archive.loadBinary(data.data, static_cast<std::size_t>(data.size));
}

} // namespace pomeloport::detail

CEREAL_REGISTER_ARCHIVE(pomeloport::detail::CompactOutputArchive)
CEREAL_REGISTER_ARCHIVE(pomeloport::detail::CompactInputArchive)
CEREAL_SETUP_ARCHIVE_TRAITS(pomeloport::detail::CompactInputArchive, pomeloport::detail::CompactOutputArchive)

namespace pomeloport::detail
{

/// Encodes a value compactly.
template<typename T>
std::string encodeCompact(const T &value)
{
    std::string result;
    CompactOutputArchive archive(result);
    archive(value);
    return result;
}

/// Decodes a value at the front of the bytes and removes it from them. Returns nothing for truncated or forged input;
/// never throws.
template<typename T>
std::optional<T> takeCompact(std::string_view &bytes)
{
    try {
        CompactInputArchive archive(bytes);
        T value;
        archive(value);
        bytes.remove_prefix(bytes.size() - archive.bytesLeft());
        return value;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

/// Decodes the output of encodeCompact(). Returns nothing for truncated, forged or over-long input; never throws.
template<typename T>
std::optional<T> decodeCompact(std::string_view bytes)
{
    auto value = takeCompact<T>(bytes);
    return bytes.empty() ? std::move(value) : std::nullopt;
}

} // namespace pomeloport::detail
