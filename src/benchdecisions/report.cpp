#include "measures.h"

#include "pomeloport/lastreason.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cmath>
#include <cstdio>
#include <fstream>

namespace benchdecisions
{

namespace
{

std::string numberText(double value)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.4g", value);
    return text.data();
}

} // namespace

void Report::info(Line line)
{
    m_lines.push_back(std::move(line));
}

void Report::atMost(Line line, double bound, bool aim)
{
    const bool met = line.value <= bound;
    line.bound = "<=" + numberText(bound);
    line.verdict = aim ? (met ? "aim_met" : "aim_missed") : (met ? "pass" : "fail");
    m_lines.push_back(std::move(line));
}

void Report::atLeast(Line line, double bound, bool aim)
{
    const bool met = line.value >= bound;
    line.bound = ">=" + numberText(bound);
    line.verdict = aim ? (met ? "aim_met" : "aim_missed") : (met ? "pass" : "fail");
    m_lines.push_back(std::move(line));
}

void Report::print() const
{
    for (const auto &line : m_lines) {
        std::printf("metric=%s deployment=%s scenario=%s policy=%s value=%s bound=%s verdict=%s\n",
                    line.metric.c_str(),
                    line.deployment.c_str(),
                    line.scenario.c_str(),
                    line.policy.c_str(),
                    numberText(line.value).c_str(),
                    line.bound.empty() ? "-" : line.bound.c_str(),
                    line.verdict.c_str());
    }
}

bool Report::writeJson(const std::string &path) const
{
    boost::json::array lines;
    for (const auto &line : m_lines) {
        boost::json::object object;
        object["metric"] = line.metric;
        object["deployment"] = line.deployment;
        object["scenario"] = line.scenario;
        object["policy"] = line.policy;
        object["value"] = std::isfinite(line.value) ? boost::json::value(line.value) : boost::json::value(nullptr);
        object["bound"] = line.bound;
        object["verdict"] = line.verdict;
        lines.push_back(std::move(object));
    }
    std::ofstream file(path);
    file << boost::json::serialize(lines) << '\n';
    file.close();
    if (!file) {
        pomeloport::setLastReason("cannot write " + path);
        return false;
    }
    return true;
}

bool Report::failed() const
{
    return std::ranges::any_of(m_lines, [](const Line &line) { return line.verdict == "fail"; });
}

} // namespace benchdecisions
