#pragma once

#include "simulation.h"
#include "workload.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Figures from runs, and the lines and reports that show them.
namespace benchdecisions
{

/// Number of prompt classes.
constexpr std::size_t PromptClasses = 4;

/// A percentile triple, in seconds.
struct Percentiles
{
    double p50 = 0;
    double p95 = 0;
    double p99 = 0;
    std::size_t samples = 0;
};

/// Returns the percentiles of samples; those without a value count as infinite.
Percentiles percentilesOf(std::vector<double> samples);

/// The figures of one run.
struct Figures
{
    /// Time to first token of admitted requests by prompt class, and over all classes.
    std::array<Percentiles, PromptClasses> firstToken;
    Percentiles firstTokenOfAll;
    /// Mean time between tokens, per answered request.
    Percentiles betweenTokens;
    double worthAtCrest = 0;
    double worthAnswered = 0;
    double worthOffered = 0;
    std::size_t requests = 0;
    std::size_t admitted = 0;
    std::size_t answered = 0;
    std::size_t refused = 0;
    std::size_t failedAfterAdmission = 0;
    /// Requests still open after their deadline.
    std::size_t late = 0;
    std::size_t notRunThatRan = 0;
    std::size_t reviewsAdmitted = 0;
    std::size_t reviewsAnswered = 0;
    std::size_t groupsAnswered = 0;
    double attemptsPerRequest = 0;
};

/// Computes the figures of a run over its trace.
Figures figuresOf(const Trace &trace, const RunResult &result);

/// First-token times by class and over all.
struct Floors
{
    std::array<Percentiles, PromptClasses> byClass;
    Percentiles all;
};

/// Returns the first-token times of requests that run alone on an idle engine with an empty cache.
Floors floorsOf(const Trace &trace);

/// Part of the engines' time that the trace's prompts need for prefill, when each engine also decodes.
double offeredUtilisation(const Deployment &deployment, const Scenario &scenario, const Trace &trace, bool crestOnly);

/// One printed figure.
struct Line
{
    std::string metric;
    std::string deployment;
    std::string scenario;
    std::string policy;
    double value = 0;
    /// Text of the bound, such as "<=1.1"; empty for figures without one.
    std::string bound;
    /// "pass", "fail", "aim_met", "aim_missed" or "info".
    std::string verdict = "info";
};

/// Collects lines, prints them, and writes them as JSON.
class Report
{
public:
    /// Adds a figure without a bound.
    void info(Line line);

    /// Adds a figure that must not exceed, or not fall below, a bound.
    void atMost(Line line, double bound, bool aim);
    void atLeast(Line line, double bound, bool aim);

    /// Prints all lines to the standard output.
    void print() const;

    /// Writes all lines as JSON. Returns false, with a last reason, when the file cannot be written.
    bool writeJson(const std::string &path) const;

    /// Whether any bound failed.
    bool failed() const;

private:
    std::vector<Line> m_lines;
};

} // namespace benchdecisions
