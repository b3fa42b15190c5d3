#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

/// Tables that map the values of an enum class to the names used in settings, messages and logs.
namespace pomeloport
{

/// A fixed table of N pairs of value and name. Specialise nameTable() beside the enum that it describes.
template<typename Enum, std::size_t N>
using NameTable = std::array<std::pair<Enum, std::string_view>, N>;

/// Returns the name of a value, or "unknown" for a value outside the table. Enums provide nameTable(Enum) by ADL.
template<typename Enum>
constexpr std::string_view nameOf(Enum value)
{
    for (const auto &[entry, name] : nameTable(value)) {
        if (entry == value) {
            return name;
        }
    }
    return "unknown";
}

/// Returns the value with the given name, or nothing when the table has no such name.
template<typename Enum>
constexpr std::optional<Enum> valueOf(std::string_view wanted)
{
    for (const auto &[entry, name] : nameTable(Enum{})) {
        if (name == wanted) {
            return entry;
        }
    }
    return std::nullopt;
}

} // namespace pomeloport
