#include "pomeloport/requeststory.h"

#include <algorithm>
#include <set>
#include <utility>

namespace pomeloport
{

namespace
{

/// Events that change the state of the whole instance and so may affect any open request.
const std::set<std::string> InstanceEvents{"configuration",
                                           "dependency_lost",
                                           "dependency_regained",
                                           "state_from_peer",
                                           "removals_delayed",
                                           "started",
                                           "stop",
                                           "reload",
                                           "log_dropped"};
/// Events about one backend server, relevant only for requests that were sent to it.
const std::set<std::string> BackendEvents{"backend",
                                          "backend_gone",
                                          "backend_unreadable",
                                          "server_leaving",
                                          "server_paused",
                                          "server_returned",
                                          "server_notice_ignored"};

} // namespace

std::string logValue(const std::string &line, const std::string &key)
{
    const auto found = (' ' + line).find(' ' + key + '=');
    if (found == std::string::npos) {
        return {};
    }
    const auto begin = found + key.size() + 1;
    if (begin < line.size() && line[begin] == '"') {
        const auto end = line.find('"', begin + 1);
        return line.substr(begin + 1, end == std::string::npos ? end : end - begin - 1);
    }
    return line.substr(begin, line.find(' ', begin) - begin);
}

RequestStory::RequestStory(std::string request)
    : m_request(std::move(request))
{
}

void RequestStory::read(const std::string &source, std::istream &log)
{
    std::vector<LogLine> own;
    std::vector<LogLine> others;
    std::set<std::string> servers;
    for (std::string line; std::getline(log, line);) {
        const auto event = logValue(line, "event");
        const bool ofRequest =
            logValue(line, "id") == m_request || logValue(line, "ticket").starts_with(m_request + "-");
        if (ofRequest) {
            own.push_back({logValue(line, "time"), source, line});
            servers.insert(logValue(line, "backend"));
        } else if (InstanceEvents.contains(event) || BackendEvents.contains(event)) {
            others.push_back({logValue(line, "time"), source, line});
        }
    }
    if (own.empty()) {
        return;
    }
    for (auto &line : others) {
        const bool whileOpen = line.time >= own.front().time && line.time <= own.back().time;
        const bool relevant =
            InstanceEvents.contains(logValue(line.text, "event")) || servers.contains(logValue(line.text, "backend"));
        if (whileOpen && relevant) {
            m_lines.push_back(std::move(line));
        }
    }
    m_lines.insert(m_lines.end(), own.begin(), own.end());
}

std::vector<LogLine> RequestStory::lines() const
{
    auto result = m_lines;
    std::ranges::stable_sort(result, {}, &LogLine::time);
    return result;
}

} // namespace pomeloport
