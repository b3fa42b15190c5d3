#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

/// Structured logs: one line of key=value pairs for each event, by easylogging++.
namespace pomeloport
{

/// Severity of a log line.
enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

/// A value in a log line; numbers and booleans are written as they are, text is quoted where needed.
class LogValue
{
public:
    LogValue(std::string_view text);
    LogValue(const std::string &text);
    LogValue(const char *text);
    LogValue(bool value);
    template<typename Number>
    LogValue(Number number)
        : m_text(std::to_string(number))
    {
    }

    /// The value as written.
    const std::string &text() const
    {
        return m_text;
    }

private:
    std::string m_text;
};

/// Sets up logging to standard output, which never blocks: lines that a slow reader leaves no room for are dropped and
/// counted. Lines below the level ("debug", "info", "warning", "error") are dropped. Returns
/// false, with a last reason, for an unknown level. Call once, before other threads start.
bool startLogging(std::string_view program, std::string_view level);

/// Writes "time=... level=... program=... event=EVENT key=value ...". Safe from any thread.
void logEvent(LogLevel level,
              std::string_view event,
              std::initializer_list<std::pair<std::string_view, LogValue>> fields = {});

} // namespace pomeloport
