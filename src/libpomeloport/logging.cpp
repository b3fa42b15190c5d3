#include "pomeloport/logging.h"

#include "logoutput.h"

#include "pomeloport/lastreason.h"

#include <easylogging++.h>

#include <unistd.h>

INITIALIZE_EASYLOGGINGPP

namespace pomeloport
{

namespace
{

std::string &programName()
{
    static std::string name = "pomeloport";
    return name;
}

bool needsQuotes(std::string_view text)
{
    return text.empty() || text.find_first_of(" \"=\n\t") != std::string_view::npos;
}

std::string quoted(std::string_view text)
{
    if (!needsQuotes(text)) {
        return std::string(text);
    }
    std::string result = "\"";
    for (const char c : text) {
        if (c == '"' || c == '\\') {
            result += '\\';
        }
        result += c == '\n' ? ' ' : c;
    }
    return result + '"';
}

void write(LogLevel level, const std::string &line)
{
    switch (level) {
    case LogLevel::Debug:
        LOG(DEBUG) << line;
        break;
    case LogLevel::Info:
        LOG(INFO) << line;
        break;
    case LogLevel::Warning:
        LOG(WARNING) << line;
        break;
    case LogLevel::Error:
        LOG(ERROR) << line;
        break;
    }
}

/// Hands formatted lines to an output that never blocks, in place of the library's own.
class BoundedDispatch : public el::LogDispatchCallback
{
public:
    void handle(const el::LogDispatchData *data) override
    {
        auto *logger = data->logMessage()->logger();
        const auto line = logger->logBuilder()->build(data->logMessage(), true);
        m_output.write({line.data(), line.size()});
    }

private:
    detail::LogOutput m_output{STDOUT_FILENO};
};

} // namespace

LogValue::LogValue(std::string_view text)
    : m_text(quoted(text))
{
}

LogValue::LogValue(const std::string &text)
    : LogValue(std::string_view(text))
{
}

LogValue::LogValue(const char *text)
    : LogValue(std::string_view(text))
{
}

LogValue::LogValue(bool value)
    : m_text(value ? "true" : "false")
{
}

bool startLogging(std::string_view program, std::string_view level)
{
    const std::string_view levels[] = {"debug", "info", "warning", "error"};
    const el::Level elLevels[] = {el::Level::Debug, el::Level::Info, el::Level::Warning, el::Level::Error};
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
    configuration.setGlobally(el::ConfigurationType::Format, "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} level=%level %msg");
    bool known = false;
    for (std::size_t i = 0; i < std::size(levels); ++i) {
        known = known || levels[i] == level;
        configuration.set(elLevels[i], el::ConfigurationType::Enabled, known ? "true" : "false");
    }
    if (!known) {
        setLastReason("unknown log level, expected debug, info, warning or error");
        return false;
    }
    programName() = program;
    el::Helpers::installLogDispatchCallback<BoundedDispatch>("BoundedDispatch");
    el::Loggers::reconfigureLogger("default", configuration);
    return true;
}

void logEvent(LogLevel level,
              std::string_view event,
              std::initializer_list<std::pair<std::string_view, LogValue>> fields)
{
    std::string line = "program=" + programName() + " event=";
    line += event;
    for (const auto &[key, value] : fields) {
        line += ' ';
        line += key;
        line += '=';
        line += value.text();
    }
    write(level, line);
}

} // namespace pomeloport
