#include "loadstatistics.h"

#include <boost/json.hpp>

#include <array>
#include <cstdio>
#include <numeric>

namespace pomeloload
{

namespace
{

constexpr unsigned BinCount = 400;
constexpr double ShortestMilliseconds = 0.1;
constexpr double LongestMilliseconds = 1e6;
constexpr double Median = 0.5;
constexpr double P95 = 0.95;
constexpr double P99 = 0.99;

std::uint64_t countOf(const ClassStatistics &statistics, Outcome outcome)
{
    const auto found = statistics.outcomes.find(outcome);
    return found == statistics.outcomes.end() ? 0 : found->second;
}

std::string lineOf(std::string_view name, const ClassStatistics &statistics)
{
    std::array<char, 256> line{};
    std::snprintf(line.data(),
                  line.size(),
                  "%-22.*s %7lu %8lu %8lu %6lu %5lu %5lu %9.1f %9.1f %9.1f %8.1f %8.1f\n",
                  static_cast<int>(name.size()),
                  name.data(),
                  statistics.total(),
                  countOf(statistics, Outcome::Answered),
                  countOf(statistics, Outcome::Rejected),
                  countOf(statistics, Outcome::Failed),
                  countOf(statistics, Outcome::Lost),
                  countOf(statistics, Outcome::Wrong),
                  statistics.firstToken.quantile(Median),
                  statistics.firstToken.quantile(P95),
                  statistics.firstToken.quantile(P99),
                  statistics.betweenTokens.quantile(Median),
                  statistics.betweenTokens.quantile(P95));
    return line.data();
}

boost::json::object toJson(const TimeHistogram &histogram)
{
    return {{"count", histogram.count()},
            {"p50", histogram.quantile(Median)},
            {"p95", histogram.quantile(P95)},
            {"p99", histogram.quantile(P99)}};
}

boost::json::object toJson(const ClassStatistics &statistics)
{
    boost::json::object json;
    json["sent"] = statistics.total();
    for (const auto &[outcome, name] : nameTable(Outcome{})) {
        json[name] = countOf(statistics, outcome);
    }
    json["first_token_ms"] = toJson(statistics.firstToken);
    json["between_tokens_ms"] = toJson(statistics.betweenTokens);
    json["whole_ms"] = toJson(statistics.whole);
    return json;
}

} // namespace

TimeHistogram::TimeHistogram()
    : m_bins(boost::histogram::make_histogram(Axis(BinCount, ShortestMilliseconds, LongestMilliseconds)))
{
}

void TimeHistogram::add(double milliseconds)
{
    m_bins(std::max(milliseconds, ShortestMilliseconds));
    ++m_count;
}

double TimeHistogram::quantile(double share) const
{
    const auto wanted = share * static_cast<double>(m_count);
    double seen = 0;
    for (const auto &bin : boost::histogram::indexed(m_bins)) {
        seen += *bin;
        if (m_count > 0 && seen >= wanted) {
            return bin.bin().upper();
        }
    }
    return m_count > 0 ? LongestMilliseconds : 0;
}

std::uint64_t TimeHistogram::count() const
{
    return m_count;
}

std::uint64_t ClassStatistics::total() const
{
    return std::accumulate(outcomes.begin(),
                           outcomes.end(),
                           std::uint64_t{0},
                           [](std::uint64_t sum, const auto &entry) { return sum + entry.second; });
}

std::uint64_t LoadStatistics::total(Outcome outcome) const
{
    std::uint64_t sum = 0;
    for (const auto &[kind, statistics] : kinds) {
        sum += countOf(statistics, outcome);
    }
    return sum;
}

bool LoadStatistics::holds() const
{
    return total(Outcome::Wrong) == 0 && total(Outcome::Lost) == 0 && doubleRuns == 0 && falseNotRun == 0
        && missingRuns == 0;
}

std::string tableOf(const LoadStatistics &statistics)
{
    std::string table = "class                     sent answered rejected failed  lost wrong   first50   first95   "
                        "first99    gap50    gap95 (ms)\n";
    for (const auto &[kind, each] : statistics.kinds) {
        table += lineOf(kind, each);
    }
    for (const auto &[length, each] : statistics.lengths) {
        table += lineOf("length " + std::string(nameOf(length)), each);
    }
    for (const auto &[reason, count] : statistics.reasons) {
        table += "reason " + reason + ": " + std::to_string(count) + '\n';
    }
    return table;
}

std::string reportOf(const LoadStatistics &statistics)
{
    boost::json::object kinds;
    for (const auto &[kind, each] : statistics.kinds) {
        kinds[kind] = toJson(each);
    }
    boost::json::object lengths;
    for (const auto &[length, each] : statistics.lengths) {
        lengths[nameOf(length)] = toJson(each);
    }
    boost::json::object report;
    report["sent"] = statistics.sent;
    for (const auto &[outcome, name] : nameTable(Outcome{})) {
        report[name] = statistics.total(outcome);
    }
    report["resends"] = statistics.resends;
    report["actions"] = statistics.actions.size();
    report["double_runs"] = statistics.doubleRuns;
    report["false_not_run"] = statistics.falseNotRun;
    report["missing_runs"] = statistics.missingRuns;
    report["reasons"] = boost::json::value_from(statistics.reasons);
    report["cuts"] = boost::json::value_from(statistics.cuts);
    report["kinds"] = std::move(kinds);
    report["lengths"] = std::move(lengths);
    return serialize(report);
}

} // namespace pomeloload
