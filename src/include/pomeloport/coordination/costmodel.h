#pragma once

#include "pomeloport/clock.h"
#include "pomeloport/coordination/route.h"
#include "pomeloport/protocol/enginemessages.h"

#include <cstdint>

/// What work costs an engine, and how fast one engine really is.
namespace pomeloport
{

/// Assumptions about engines that have not been measured yet, and about the shape of their speed.
struct CostAssumptions
{
    /// Prefill speed at an empty context.
    double prefillTokensPerSecond = 80'000;
    /// Context length at which the prefill speed has halved, in tokens.
    double halfSpeedContext = 500'000;
    /// Duration of a decode step.
    double decodeStepSeconds = 0.030;
};

/// Returns the number of tokens at an empty context that take as long to prefill as the prompt tokens from begin to
/// end do, for a prefill speed that falls with the context.
double emptyContextTokens(std::uint64_t begin, std::uint64_t end, double halfSpeedContext);

/// KV memory that a request holds at most, in tokens.
std::uint64_t kvTokensOf(const RequestSpec &request);

/// Estimates the speed of one engine from its reports and from what its router observes. Not thread safe.
class EngineSpeed
{
public:
    explicit EngineSpeed(CostAssumptions assumptions = {});

    /// Learns from a report, once per sequence number; a report with another epoch starts anew.
    void observeReport(const LoadReport &report);

    /// Learns from a first chunk: the empty-context tokens that had to be computed before it, and how long it took.
    void observeFirstChunk(double tokens, Duration elapsed);

    /// Learns from the time between two chunks of one stream.
    void observeChunkInterval(Duration elapsed);

    /// Seconds that the engine needs for a number of empty-context tokens while it decodes other streams.
    double prefillSeconds(double tokens) const;

    /// Seconds between two chunks of a stream.
    double decodeStepSeconds() const;

    /// Whether decodeStepSeconds() rests on a report or an observation. Nothing should be refused on an assumption.
    bool decodeMeasured() const;

private:
    CostAssumptions m_assumptions;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_epoch = 0;
    double m_prefillTokensPerSecond;
    double m_decodeStepSeconds;
    bool m_decodeMeasured = false;
    /// Observed duration over the duration predicted from the reports.
    double m_correction = 1;
};

} // namespace pomeloport
