#pragma once

#include "pomeloport/nametable.h"
#include "pomeloport/state/declarations.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Validating readers for YAML settings and declarations. All errors of a file are collected with their line numbers,
/// so that an operator can fix them in one pass.
namespace pomeloport
{

/// Errors found in settings files, each as "FILE:LINE: MESSAGE".
class SettingsErrors
{
public:
    /// Adds an error. Line numbers start at 1.
    void add(const std::string &file, int line, const std::string &message);

    bool empty() const;

    /// Returns the messages in the order in which they were added.
    const std::vector<std::string> &messages() const;

private:
    std::vector<std::string> m_messages;
};

/// Reads one map of a YAML document. Each accessor validates the value; for an invalid value it adds an error and
/// returns the fallback. Copies refer to the same map. Not thread-safe.
class SettingsReader
{
public:
    /// Parses a YAML document whose top level is a map. Errors are added to the given list, which must outlive the
    /// reader. Returns nothing for invalid YAML and for any other top level.
    static std::optional<SettingsReader> parse(std::string_view yaml,
                                               const std::string &fileName,
                                               SettingsErrors &errors);

    /// Reads a file and parses it as parse() does.
    static std::optional<SettingsReader> loadFile(const std::string &fileName, SettingsErrors &errors);

    bool has(const std::string &key) const;

    std::string text(const std::string &key, const std::string &fallback = {});
    std::string requiredText(const std::string &key);
    std::uint64_t number(const std::string &key, std::uint64_t fallback, std::uint64_t minimum, std::uint64_t maximum);
    double real(const std::string &key, double fallback, double minimum, double maximum);
    bool boolean(const std::string &key, bool fallback);

    /// Reads a duration with its unit: "250ms", "3s", "10m" or "24h".
    std::chrono::milliseconds duration(const std::string &key,
                                       std::chrono::milliseconds fallback,
                                       std::chrono::milliseconds minimum,
                                       std::chrono::milliseconds maximum);

    /// Reads a required numeric address "IP:PORT"; IPv6 addresses are written in brackets.
    std::string address(const std::string &key);

    /// Reads a list of numeric addresses; an absent key gives an empty list.
    std::vector<std::string> addresses(const std::string &key);

    /// Reads a list of strings; an absent key gives an empty list.
    std::vector<std::string> texts(const std::string &key);

    /// Reads a map of strings to strings; an absent key gives an empty map.
    std::map<std::string, std::string> labels(const std::string &key);

    /// Reads an enumerator by its name in the name table of the enum.
    template<typename Enum>
    Enum choice(const std::string &key, Enum fallback)
    {
        std::string expected;
        for (const auto &[value, name] : nameTable(Enum{})) {
            expected += (expected.empty() ? "" : ", ") + std::string(name);
        }
        const auto name = text(key, std::string(nameOf(fallback)));
        const auto value = valueOf<Enum>(name);
        if (!value) {
            error(key, "expected one of " + expected);
        }
        return value.value_or(fallback);
    }

    /// Returns a reader for the map under a key, or for an empty map when the key is absent.
    SettingsReader section(const std::string &key);

    /// Returns a reader for each map of the list under a key; none when the key is absent.
    std::vector<SettingsReader> sections(const std::string &key);

    /// Adds an error at the line of a key, or at the line of the map when the key is absent.
    void error(const std::string &key, const std::string &message);

    /// Adds an error for each key that no accessor has read and for each duplicate key. Call once, after the last
    /// accessor.
    void finish();

private:
    struct Implementation;
    explicit SettingsReader(std::shared_ptr<Implementation> implementation);
    std::optional<std::string> scalar(const std::string &key);
    std::shared_ptr<Implementation> m_implementation;
};

/// Returns whether a text is a numeric IP address with a port from 1 to 65535.
bool isNumericAddress(const std::string &text);

/// Parses a duration with its unit, such as "250ms", "3s", "10m" or "24h". Returns nothing for any other text.
std::optional<std::chrono::milliseconds> parseDuration(std::string_view text);

/// Parses and validates the declarations of operators. Returns nothing when errors were added.
std::optional<Declarations> parseDeclarations(std::string_view yaml,
                                              const std::string &fileName,
                                              SettingsErrors &errors);

} // namespace pomeloport
