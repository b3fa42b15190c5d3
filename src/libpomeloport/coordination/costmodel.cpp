#include "pomeloport/coordination/costmodel.h"

#include <algorithm>
#include <cmath>

namespace pomeloport
{

namespace
{

// Weights of a new value in the moving averages.
constexpr double ReportWeight = 0.5;
constexpr double ObservationWeight = 0.1;
constexpr double IntervalWeight = 0.05;
constexpr double DecodeWeight = 0.1;
// First chunks after less work are not used: their time depends more on waiting than on the prefill speed.
constexpr double MinimumObservedTokens = 1'000;
constexpr double MinimumCorrection = 0.5;
constexpr double MaximumCorrection = 4;

// Returns the weighted geometric mean.
double blend(double old, double fresh, double weight)
{
    return std::exp((1 - weight) * std::log(old) + weight * std::log(fresh));
}

} // namespace

double emptyContextTokens(std::uint64_t begin, std::uint64_t end, double halfSpeedContext)
{
    const auto from = static_cast<double>(begin);
    const auto to = static_cast<double>(end);
    return to - from + (to * to - from * from) / (2 * halfSpeedContext);
}

std::uint64_t kvTokensOf(const RequestSpec &request)
{
    return request.promptTokens + request.maxTokens;
}

EngineSpeed::EngineSpeed(CostAssumptions assumptions)
    : m_assumptions(assumptions)
    , m_prefillTokensPerSecond(assumptions.prefillTokensPerSecond)
    , m_decodeStepSeconds(assumptions.decodeStepSeconds)
{
}

void EngineSpeed::observeReport(const LoadReport &report)
{
    const bool restarted = report.epoch != m_epoch;
    if (!restarted && report.sequence <= m_sequence) {
        return;
    }
    if (restarted) {
        *this = EngineSpeed(m_assumptions);
    }
    m_sequence = report.sequence;
    m_epoch = report.epoch;
    if (report.prefillTokensPerSecond > 0) {
        m_prefillTokensPerSecond = blend(m_prefillTokensPerSecond, report.prefillTokensPerSecond, ReportWeight);
    }
    if (report.decodeStepSeconds > 0) {
        m_decodeStepSeconds = blend(m_decodeStepSeconds, report.decodeStepSeconds, DecodeWeight);
        m_decodeMeasured = true;
    }
}

void EngineSpeed::observeFirstChunk(double tokens, Duration elapsed)
{
    if (tokens < MinimumObservedTokens || elapsed <= Duration::zero()) {
        return;
    }
    const auto observed = seconds(elapsed) * m_prefillTokensPerSecond / tokens;
    m_correction = blend(m_correction, std::clamp(observed, MinimumCorrection, MaximumCorrection), ObservationWeight);
}

void EngineSpeed::observeChunkInterval(Duration elapsed)
{
    if (elapsed > Duration::zero()) {
        m_decodeStepSeconds = blend(m_decodeStepSeconds, seconds(elapsed), IntervalWeight);
        m_decodeMeasured = true;
    }
}

double EngineSpeed::prefillSeconds(double tokens) const
{
    return tokens * m_correction / m_prefillTokensPerSecond;
}

double EngineSpeed::decodeStepSeconds() const
{
    return m_decodeStepSeconds;
}

bool EngineSpeed::decodeMeasured() const
{
    return m_decodeMeasured;
}

} // namespace pomeloport
