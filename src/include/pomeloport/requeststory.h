#pragma once

#include <istream>
#include <string>
#include <vector>

/// Reconstructs the history of one request from logs.
namespace pomeloport
{

/// One line of a log.
struct LogLine
{
    /// Timestamp as written in the log; its text order is its time order.
    std::string time;
    /// The file or instance that the line comes from.
    std::string source;
    std::string text;
};

/// Collects the log lines that explain the outcome of a request, ordered by time: its own lines, those of memory
/// reservations made for it, and, for as long as it was open, the state changes that its instance logged for the
/// backend servers it was sent to, the configuration and the dependencies. Empty when the request appears in no log.
class RequestStory
{
public:
    explicit RequestStory(std::string request);

    /// Reads one log from its beginning.
    void read(const std::string &source, std::istream &log);

    std::vector<LogLine> lines() const;

private:
    std::string m_request;
    std::vector<LogLine> m_lines;
};

/// Returns the value of a key in a line of key=value pairs, or an empty string when the key is absent.
std::string logValue(const std::string &line, const std::string &key);

} // namespace pomeloport
