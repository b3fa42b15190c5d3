#pragma once

#include "pomeloport/lastreason.h"

#include <boost/json.hpp>

#include <charconv>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Reading and writing of JSON fields, for codecs of this library and its programs.
namespace pomeloport::detail
{

/// Reads fields of one JSON object. The first missing or mistyped field sets ok() to false and the last reason.
class JsonReader
{
public:
    /// Parses the text; ok() is false unless it holds one object.
    explicit JsonReader(std::string_view text)
    {
        boost::system::error_code error;
        m_value = boost::json::parse(text, error);
        if (error || !m_value.is_object()) {
            fail("not a JSON object");
        }
    }

    /// Reads from an object inside a document that was already parsed.
    explicit JsonReader(const boost::json::value &value)
        : m_value(value)
    {
        if (!m_value.is_object()) {
            fail("not a JSON object");
        }
    }

    bool ok() const
    {
        return m_ok;
    }

    /// The field's value, or null when it is absent.
    const boost::json::value *find(std::string_view key) const
    {
        return m_value.is_object() ? m_value.get_object().if_contains(key) : nullptr;
    }

    std::string text(std::string_view key, bool required = false)
    {
        const auto *value = find(key);
        if (value && value->is_string()) {
            return std::string(value->get_string());
        }
        if (value || required) {
            fail(std::string(key) + " must be a string");
        }
        return {};
    }

    std::uint64_t number(std::string_view key, bool required = false)
    {
        const auto *value = find(key);
        boost::system::error_code error;
        if (value && value->is_number()) {
            const auto result = value->to_number<std::uint64_t>(error);
            if (!error) {
                return result;
            }
        }
        if (value || required) {
            fail(std::string(key) + " must be a non-negative whole number");
        }
        return 0;
    }

    double real(std::string_view key)
    {
        const auto *value = find(key);
        if (!value) {
            return 0;
        }
        boost::system::error_code error;
        const auto result = value->is_number() ? value->to_number<double>(error) : 0;
        if (error || !value->is_number()) {
            fail(std::string(key) + " must be a number");
        }
        return result;
    }

    bool boolean(std::string_view key)
    {
        const auto *value = find(key);
        if (value && !value->is_bool()) {
            fail(std::string(key) + " must be true or false");
        }
        return value && value->is_bool() && value->get_bool();
    }

    /// Reads a 64-bit digest written as hexadecimal text.
    std::uint64_t digest(std::string_view key)
    {
        const auto digits = text(key);
        return digits.empty() ? 0 : parseDigest(digits, key);
    }

    std::vector<std::uint64_t> digests(std::string_view key)
    {
        std::vector<std::uint64_t> result;
        for (const auto &entry : texts(key)) {
            result.push_back(parseDigest(entry, key));
        }
        return result;
    }

    std::vector<std::string> texts(std::string_view key)
    {
        std::vector<std::string> result;
        for (const auto &entry : array(key)) {
            if (!entry.is_string()) {
                fail(std::string(key) + " must hold strings");
                return {};
            }
            result.emplace_back(entry.get_string());
        }
        return result;
    }

    /// The elements of an array field; none when the field is absent.
    boost::json::array array(std::string_view key)
    {
        const auto *value = find(key);
        if (!value) {
            return {};
        }
        if (!value->is_array()) {
            fail(std::string(key) + " must be an array");
            return {};
        }
        return value->get_array();
    }

    void fail(std::string reason)
    {
        if (m_ok) {
            setLastReason(std::move(reason));
        }
        m_ok = false;
    }

private:
    std::uint64_t parseDigest(std::string_view digits, std::string_view key)
    {
        constexpr int Hexadecimal = 16;
        std::uint64_t result = 0;
        const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), result, Hexadecimal);
        if (error != std::errc() || end != digits.data() + digits.size()) {
            fail(std::string(key) + " must be a hexadecimal digest");
        }
        return result;
    }

    boost::json::value m_value;
    bool m_ok = true;
};

/// Formats a 64-bit digest as hexadecimal text.
inline std::string digestText(std::uint64_t digest)
{
    constexpr int Hexadecimal = 16;
    char buffer[Hexadecimal + 1];
    const auto [end, error] = std::to_chars(buffer, buffer + sizeof(buffer), digest, Hexadecimal);
    return {buffer, end};
}

} // namespace pomeloport::detail
