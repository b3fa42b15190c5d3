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
// First chunks of less work tell more about waiting than about speed.
constexpr double LeastTokensToLearnFrom = 1'000;
constexpr double LeastCorrection = 0.5;
constexpr double GreatestCorrection = 4;

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
    if (tokens < LeastTokensToLearnFrom || elapsed <= Duration::zero()) {
        return;
    }
    const auto observed = seconds(elapsed) * m_prefillTokensPerSecond / tokens;
    m_correction = blend(m_correction, std::clamp(observed, LeastCorrection, GreatestCorrection), ObservationWeight);
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
