#include "pomeloport/settings.h"

#include <boost/asio/ip/address.hpp>
#include <yaml-cpp/yaml.h>

#include <charconv>
#include <fstream>
#include <limits>
#include <set>
#include <sstream>

namespace pomeloport
{

namespace
{

int lineOf(const YAML::Node &node)
{
    return node.Mark().line + 1;
}

template<typename Number>
std::optional<Number> parseComplete(std::string_view text)
{
    Number value{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

std::string durationText(std::chrono::milliseconds value)
{
    return std::to_string(value.count()) + "ms";
}

} // namespace

void SettingsErrors::add(const std::string &file, int line, const std::string &message)
{
    m_messages.push_back(file + ':' + std::to_string(line) + ": " + message);
}

bool SettingsErrors::empty() const
{
    return m_messages.empty();
}

const std::vector<std::string> &SettingsErrors::messages() const
{
    return m_messages;
}

/// The map of a reader, and the keys that its accessors have requested.
struct SettingsReader::Implementation
{
    YAML::Node node;
    std::string fileName;
    SettingsErrors *errors = nullptr;
    int line = 1;
    std::set<std::string> requestedKeys;

    /// Finds the value of a key. Unlike operator[] of YAML::Node it never adds the key to the map.
    YAML::Node find(const std::string &key) const
    {
        if (!node.IsMap()) {
            return YAML::Node(YAML::NodeType::Undefined);
        }
        for (const auto &entry : node) {
            if (entry.first.IsScalar() && entry.first.Scalar() == key) {
                return entry.second;
            }
        }
        return YAML::Node(YAML::NodeType::Undefined);
    }
};

SettingsReader::SettingsReader(std::shared_ptr<Implementation> implementation)
    : m_implementation(std::move(implementation))
{
}

std::optional<SettingsReader> SettingsReader::parse(std::string_view yaml,
                                                    const std::string &fileName,
                                                    SettingsErrors &errors)
{
    auto implementation = std::make_shared<Implementation>();
    implementation->fileName = fileName;
    implementation->errors = &errors;
    try {
        implementation->node.reset(YAML::Load(std::string(yaml)));
    } catch (const YAML::Exception &exception) {
        errors.add(fileName, exception.mark.line + 1, "not valid YAML: " + exception.msg);
        return std::nullopt;
    }
    if (!implementation->node.IsMap()) {
        errors.add(fileName, 1, "expected a map at the top level");
        return std::nullopt;
    }
    return SettingsReader(std::move(implementation));
}

std::optional<SettingsReader> SettingsReader::loadFile(const std::string &fileName, SettingsErrors &errors)
{
    const std::ifstream file(fileName);
    if (!file) {
        errors.add(fileName, 1, "cannot be read");
        return std::nullopt;
    }
    std::ostringstream content;
    content << file.rdbuf();
    return parse(content.str(), fileName, errors);
}

bool SettingsReader::has(const std::string &key) const
{
    return m_implementation->find(key).IsDefined();
}

std::optional<std::string> SettingsReader::scalar(const std::string &key)
{
    m_implementation->requestedKeys.insert(key);
    const auto value = m_implementation->find(key);
    if (!value.IsDefined()) {
        return std::nullopt;
    }
    if (!value.IsScalar()) {
        error(key, "expected a single value");
        return std::nullopt;
    }
    return value.Scalar();
}

std::string SettingsReader::text(const std::string &key, const std::string &fallback)
{
    return scalar(key).value_or(fallback);
}

std::string SettingsReader::requiredText(const std::string &key)
{
    const auto value = scalar(key);
    if (!has(key)) {
        error(key, "is required");
    } else if (value && value->empty()) {
        error(key, "must not be empty");
    }
    return value.value_or("");
}

std::uint64_t SettingsReader::number(const std::string &key,
                                     std::uint64_t fallback,
                                     std::uint64_t minimum,
                                     std::uint64_t maximum)
{
    const auto value = scalar(key);
    if (!value) {
        return fallback;
    }
    const auto number = parseComplete<std::uint64_t>(*value);
    if (!number || *number < minimum || *number > maximum) {
        error(key, "expected a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum));
        return fallback;
    }
    return *number;
}

double SettingsReader::real(const std::string &key, double fallback, double minimum, double maximum)
{
    const auto value = scalar(key);
    if (!value) {
        return fallback;
    }
    const auto number = parseComplete<double>(*value);
    if (!number || !(*number >= minimum && *number <= maximum)) {
        std::ostringstream message;
        message << "expected a number from " << minimum << " to " << maximum;
        error(key, message.str());
        return fallback;
    }
    return *number;
}

bool SettingsReader::boolean(const std::string &key, bool fallback)
{
    const auto value = scalar(key);
    if (!value) {
        return fallback;
    }
    const bool yes = *value == "true" || *value == "yes";
    if (!yes && *value != "false" && *value != "no") {
        error(key, "expected yes or no");
        return fallback;
    }
    return yes;
}

std::chrono::milliseconds SettingsReader::duration(const std::string &key,
                                                   std::chrono::milliseconds fallback,
                                                   std::chrono::milliseconds minimum,
                                                   std::chrono::milliseconds maximum)
{
    const auto value = scalar(key);
    if (!value) {
        return fallback;
    }
    const auto parsed = parseDuration(*value);
    if (!parsed || *parsed < minimum || *parsed > maximum) {
        error(key,
              "expected a time with unit ms, s, m or h, from " + durationText(minimum) + " to "
                  + durationText(maximum));
        return fallback;
    }
    return *parsed;
}

std::string SettingsReader::address(const std::string &key)
{
    const auto value = requiredText(key);
    if (!value.empty() && !isNumericAddress(value)) {
        error(key, "expected a numeric address IP:PORT");
    }
    return value;
}

std::vector<std::string> SettingsReader::addresses(const std::string &key)
{
    auto values = texts(key);
    for (const auto &value : values) {
        if (!isNumericAddress(value)) {
            error(key, "expected numeric addresses IP:PORT, not \"" + value + '"');
        }
    }
    return values;
}

std::vector<std::string> SettingsReader::texts(const std::string &key)
{
    m_implementation->requestedKeys.insert(key);
    std::vector<std::string> result;
    const auto list = m_implementation->find(key);
    if (!list.IsDefined() || list.IsNull()) {
        return result;
    }
    if (!list.IsSequence()) {
        error(key, "expected a list");
        return result;
    }
    for (const YAML::Node &entry : list) {
        if (entry.IsScalar()) {
            result.push_back(entry.Scalar());
        } else {
            m_implementation->errors->add(
                m_implementation->fileName, lineOf(entry), key + ": expected a single value in the list");
        }
    }
    return result;
}

std::map<std::string, std::string> SettingsReader::labels(const std::string &key)
{
    m_implementation->requestedKeys.insert(key);
    std::map<std::string, std::string> result;
    const auto map = m_implementation->find(key);
    if (!map.IsDefined() || map.IsNull()) {
        return result;
    }
    if (!map.IsMap()) {
        error(key, "expected a map of labels");
        return result;
    }
    for (const auto &entry : map) {
        if (!entry.first.IsScalar() || !entry.second.IsScalar()) {
            m_implementation->errors->add(
                m_implementation->fileName, lineOf(entry.first), key + ": expected NAME: VALUE");
        } else if (!result.emplace(entry.first.Scalar(), entry.second.Scalar()).second) {
            m_implementation->errors->add(m_implementation->fileName,
                                          lineOf(entry.first),
                                          key + ": label \"" + entry.first.Scalar() + "\" is given more than once");
        }
    }
    return result;
}

SettingsReader SettingsReader::section(const std::string &key)
{
    m_implementation->requestedKeys.insert(key);
    auto implementation = std::make_shared<Implementation>(*m_implementation);
    implementation->requestedKeys.clear();
    const auto map = m_implementation->find(key);
    if (map.IsDefined() && !map.IsMap() && !map.IsNull()) {
        error(key, "expected a map");
    }
    implementation->node.reset(map.IsDefined() && map.IsMap() ? map : YAML::Node(YAML::NodeType::Map));
    implementation->line = map.IsDefined() ? lineOf(map) : m_implementation->line;
    return SettingsReader(std::move(implementation));
}

std::vector<SettingsReader> SettingsReader::sections(const std::string &key)
{
    m_implementation->requestedKeys.insert(key);
    std::vector<SettingsReader> result;
    const auto list = m_implementation->find(key);
    if (!list.IsDefined() || list.IsNull()) {
        return result;
    }
    if (!list.IsSequence()) {
        error(key, "expected a list of maps");
        return result;
    }
    for (const YAML::Node &entry : list) {
        if (!entry.IsMap()) {
            m_implementation->errors->add(m_implementation->fileName, lineOf(entry), key + ": expected a map");
            continue;
        }
        auto implementation = std::make_shared<Implementation>(*m_implementation);
        implementation->requestedKeys.clear();
        implementation->node.reset(entry);
        implementation->line = lineOf(entry);
        result.push_back(SettingsReader(std::move(implementation)));
    }
    return result;
}

void SettingsReader::error(const std::string &key, const std::string &message)
{
    const auto value = m_implementation->find(key);
    const int line = value.IsDefined() ? lineOf(value) : m_implementation->line;
    m_implementation->errors->add(m_implementation->fileName, line, key + ": " + message);
}

void SettingsReader::finish()
{
    std::set<std::string> seen;
    for (const auto &entry : m_implementation->node) {
        const auto key = entry.first.IsScalar() ? entry.first.Scalar() : std::string("?");
        const int line = lineOf(entry.first);
        if (!m_implementation->requestedKeys.contains(key)) {
            std::string expected;
            for (const auto &name : m_implementation->requestedKeys) {
                expected += (expected.empty() ? "" : ", ") + name;
            }
            m_implementation->errors->add(
                m_implementation->fileName, line, "unknown key \"" + key + "\", expected one of: " + expected);
        } else if (!seen.insert(key).second) {
            m_implementation->errors->add(
                m_implementation->fileName, line, "key \"" + key + "\" is given more than once");
        }
    }
}

bool isNumericAddress(const std::string &text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        return false;
    }
    auto host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    boost::system::error_code error;
    boost::asio::ip::make_address(host, error);
    const auto port = parseComplete<std::uint16_t>(std::string_view(text).substr(colon + 1));
    return !error && port && *port != 0;
}

std::optional<std::chrono::milliseconds> parseDuration(std::string_view text)
{
    constexpr std::pair<std::string_view, std::int64_t> Units[] = {
        {"ms", 1}, {"s", 1'000}, {"m", 60'000}, {"h", 3'600'000}};
    for (const auto &[unit, factor] : Units) {
        if (!text.ends_with(unit)) {
            continue;
        }
        const auto count = parseComplete<std::int64_t>(text.substr(0, text.size() - unit.size()));
        if (count && *count >= 0 && *count <= std::numeric_limits<std::int64_t>::max() / factor) {
            return std::chrono::milliseconds(*count * factor);
        }
    }
    return std::nullopt;
}

} // namespace pomeloport
