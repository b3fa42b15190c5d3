#pragma once

#include "pomeloport/coordination/route.h"
#include "pomeloport/nametable.h"

#include <boost/histogram.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// What a load test counts and measures.
namespace pomeloload
{

/// How a request ended for its caller.
enum class Outcome {
    /// The whole right answer arrived.
    Answered,
    /// An explicit failure said that the request did not run.
    Rejected,
    /// An explicit failure said that it ran or may have run.
    Failed,
    /// Neither an answer nor a failure arrived in time.
    Lost,
    /// An answer arrived that is not the right one.
    Wrong,
};

constexpr pomeloport::NameTable<Outcome, 5> nameTable(Outcome /*unused*/)
{
    return {{{Outcome::Answered, "answered"},
             {Outcome::Rejected, "rejected"},
             {Outcome::Failed, "failed"},
             {Outcome::Lost, "lost"},
             {Outcome::Wrong, "wrong"}}};
}

/// Times in milliseconds in bins of equal ratio, from 0.1 ms to 1,000 s.
class TimeHistogram
{
public:
    TimeHistogram();

    void add(double milliseconds);

    /// The upper edge of the bin that holds this share (0 to 1) of the values; 0 without values.
    double quantile(double share) const;

    std::uint64_t count() const;

private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    boost::histogram::histogram<std::tuple<Axis>> m_bins;
    std::uint64_t m_count = 0;
};

/// Counts and times of one class of requests. Times run from the moment the trace wanted the request sent.
struct ClassStatistics
{
    std::map<Outcome, std::uint64_t> outcomes;
    TimeHistogram firstToken;
    TimeHistogram betweenTokens;
    TimeHistogram whole;

    std::uint64_t total() const;
};

/// What became of a non-idempotent action.
struct ActionRecord
{
    std::string key;
    Outcome outcome = Outcome::Lost;
};

/// Everything counted in one test.
struct LoadStatistics
{
    std::map<std::string, ClassStatistics> kinds;
    std::map<pomeloport::PromptClass, ClassStatistics> lengths;
    std::map<std::string, std::uint64_t> reasons;
    /// Connections that broke between the request and the end of its answer, by address of the instance.
    std::map<std::string, std::uint64_t> cuts;
    std::vector<ActionRecord> actions;
    std::uint64_t sent = 0;
    std::uint64_t resends = 0;
    std::uint64_t open = 0;
    /// Filled in from the services' own counts after the load.
    std::uint64_t doubleRuns = 0;
    /// Actions that ran although their caller was told "not run" in the end.
    std::uint64_t falseNotRun = 0;
    /// Actions that were answered and did not run.
    std::uint64_t missingRuns = 0;

    std::uint64_t total(Outcome outcome) const;

    /// Whether every caller got its own whole answer or an explicit failure, and every action ran at most once.
    bool holds() const;
};

/// The table for a terminal, one line a class.
std::string tableOf(const LoadStatistics &statistics);

/// The JSON report.
std::string reportOf(const LoadStatistics &statistics);

} // namespace pomeloload
