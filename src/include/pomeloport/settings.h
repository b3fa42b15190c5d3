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

/// Checked reading of YAML settings and declarations. Every error of a file is collected with its line, so that an
/// operator sees all of them at once.
namespace pomeloport
{

/// Errors found in settings files, each as "FILE:LINE: MESSAGE".
class SettingsErrors
{
public:
    /// Adds an error at a line counted from 1.
    void add(const std::string &file, int line, const std::string &message);

    bool empty() const;

    /// The errors in the order found.
    const std::vector<std::string> &messages() const;

private:
    std::vector<std::string> m_messages;
};

/// Reads one map of a YAML document. Each accessor checks the value, adds an error where it does not fit, and then
/// returns the default. Copies refer to the same map; not to be shared between threads.
class SettingsReader
{
public:
    /// Parses a document whose top level is a map. Errors go to the list, which must outlive the reader; the result is
    /// empty when the text is not such a document.
    static std::optional<SettingsReader> parse(std::string_view yaml,
                                               const std::string &fileName,
                                               SettingsErrors &errors);

    /// Reads and parses a file.
    static std::optional<SettingsReader> loadFile(const std::string &fileName, SettingsErrors &errors);

    bool has(const std::string &key) const;

    std::string text(const std::string &key, const std::string &fallback = {});
    std::string requiredText(const std::string &key);
    std::uint64_t number(const std::string &key, std::uint64_t fallback, std::uint64_t minimum, std::uint64_t maximum);
    double real(const std::string &key, double fallback, double minimum, double maximum);
    bool boolean(const std::string &key, bool fallback);

    /// Reads a time with its unit: "250ms", "3s", "10m" or "24h".
    std::chrono::milliseconds duration(const std::string &key,
                                       std::chrono::milliseconds fallback,
                                       std::chrono::milliseconds minimum,
                                       std::chrono::milliseconds maximum);

    /// Reads a required numeric address "IP:PORT", IPv6 in brackets.
    std::string address(const std::string &key);

    /// Reads a list of addresses; an absent list is empty.
    std::vector<std::string> addresses(const std::string &key);

    /// Reads a list of texts; an absent list is empty.
    std::vector<std::string> texts(const std::string &key);

    /// Reads a map from text to text; an absent map is empty.
    std::map<std::string, std::string> labels(const std::string &key);

    /// Reads a name from the table of an enum class.
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

    /// The map under a key; an empty map when the key is absent.
    SettingsReader section(const std::string &key);

    /// The maps of the list under a key; none when the key is absent.
    std::vector<SettingsReader> sections(const std::string &key);

    /// Adds an error at the line of a key, or of the map when the key is absent.
    void error(const std::string &key, const std::string &message);

    /// Reports keys that no accessor asked for, and keys that stand twice. Call once, after the last accessor.
    void finish();

private:
    struct Implementation;
    explicit SettingsReader(std::shared_ptr<Implementation> implementation);
    std::optional<std::string> scalar(const std::string &key);
    std::shared_ptr<Implementation> m_implementation;
};

/// Returns whether a text is a numeric IP address with a port from 1 to 65535.
bool isNumericAddress(const std::string &text);

/// Parses a time with its unit, "250ms", "3s", "10m" or "24h"; returns nothing for any other text.
std::optional<std::chrono::milliseconds> parseDuration(std::string_view text);

/// Parses and checks operators' declarations. Returns nothing when errors were added.
std::optional<Declarations> parseDeclarations(std::string_view yaml,
                                              const std::string &fileName,
                                              SettingsErrors &errors);

} // namespace pomeloport
