#pragma once

#include "pomeloport/clock.h"
#include "pomeloport/coordination/route.h"
#include "pomeloport/protocol/enginemessages.h"

#include <cstdint>

/// Cost of work on an engine, and estimates of the actual speed of each engine.
namespace pomeloport
{

/// Assumed speed of engines without measurements, and how prefill slows down as the context grows.
struct CostAssumptions
{
    /// Prefill speed with an empty context.
    double prefillTokensPerSecond = 80'000;
    /// Context length in tokens at which the prefill speed is half of that with an empty context.
    double halfSpeedContext = 500'000;
    double decodeStepSeconds = 0.030;
};

/// Converts the prompt tokens from begin to end, whose prefill slows down as the context grows, to the number of tokens
/// with an empty context that take as long to prefill.
double emptyContextTokens(std::uint64_t begin, std::uint64_t end, double halfSpeedContext);

/// Upper bound of the KV memory that a request holds, in tokens: its prompt and the longest answer.
std::uint64_t kvTokensOf(const RequestSpec &request);

/// Estimates the speed of one engine from its load reports and from the router's own observations. Not thread safe.
class EngineSpeed
{
public:
    explicit EngineSpeed(CostAssumptions assumptions = {});

    /// Updates the estimate from a load report. Each sequence number counts once; another epoch resets the estimate,
    /// because the engine has restarted.
    void observeReport(const LoadReport &report);

    /// Updates the estimate from the time to the first chunk and the empty-context tokens computed before it.
    void observeFirstChunk(double tokens, Duration elapsed);

    /// Updates the estimate from the time between two chunks of one stream.
    void observeChunkInterval(Duration elapsed);

    /// Predicted seconds to prefill a number of empty-context tokens while the engine decodes other streams.
    double prefillSeconds(double tokens) const;

    /// Predicted seconds between two chunks of a stream.
    double decodeStepSeconds() const;

    /// Whether decodeStepSeconds() is based on a report or an observation. Requests must not be refused because of an
    /// assumed value.
    bool decodeMeasured() const;

private:
    CostAssumptions m_assumptions;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_epoch = 0;
    double m_prefillTokensPerSecond;
    double m_decodeStepSeconds;
    bool m_decodeMeasured = false;
    /// Ratio of observed time to first chunk to the time predicted from the reported speed.
    double m_correction = 1;
};

} // namespace pomeloport
