#pragma once

#include <istream>
#include <string>
#include <vector>

/// Finds in logs what happened to one request.
namespace pomeloport
{

/// One line of a log.
struct LogLine
{
    /// As written, so that lines sort by time.
    std::string time;
    /// The file or instance that it is from.
    std::string source;
    std::string text;
};

/// The lines of all logs that tell the story of a request, by time: its own, those of memory set aside for it, and
/// while it was open what its instance learned of the backend servers that it was sent to, of the configuration, and of
/// its dependencies. Empty when no log has the request.
class RequestStory
{
public:
    explicit RequestStory(std::string request);

    /// Reads one log from its start.
    void read(const std::string &source, std::istream &log);

    std::vector<LogLine> lines() const;

private:
    std::string m_request;
    std::vector<LogLine> m_lines;
};

/// The value of a key in a line of key=value pairs; empty when there is none.
std::string logValue(const std::string &line, const std::string &key);

} // namespace pomeloport
