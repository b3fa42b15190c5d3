#pragma once

#include "pomeloport/clock.h"
#include "pomeloport/coordination/route.h"
#include "pomeloport/verdict.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>

/// Latency histograms and outcome counters of requests, per organisation and prompt class, in the Prometheus text
/// format.
namespace pomelorouter
{

/// The metrics of one organisation and prompt class. All methods are thread-safe and lock-free.
class RequestSeries
{
public:
    RequestSeries();
    ~RequestSeries();
    RequestSeries(const RequestSeries &) = delete;
    RequestSeries &operator=(const RequestSeries &) = delete;

    /// Records the time from the arrival of a request to its first token.
    void recordTimeToFirstToken(pomeloport::Duration elapsed);

    /// Records the time between two consecutive tokens of an answer.
    void recordInterTokenLatency(pomeloport::Duration elapsed);

    /// Records the time from the arrival of a request to the start of its first attempt.
    void recordQueueWait(pomeloport::Duration elapsed);

    /// Counts an ended request by its verdict and, if it failed, by its reason.
    void countVerdict(pomeloport::Verdict verdict, std::optional<pomeloport::ReasonCode> reason);

private:
    friend class RequestMetrics;
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

/// All metrics of one process by organisation and prompt class. Thread-safe.
class RequestMetrics
{
public:
    /// Bounds the number of series: organisations beyond the maximum share the series of the organisation "other".
    explicit RequestMetrics(std::size_t maximumOrganisations);
    ~RequestMetrics();
    RequestMetrics(const RequestMetrics &) = delete;
    RequestMetrics &operator=(const RequestMetrics &) = delete;

    /// Returns the series of an organisation and prompt class, and creates it if needed. It stays valid for as long as
    /// the pointer is held.
    std::shared_ptr<RequestSeries> series(const std::string &organisation, pomeloport::PromptClass promptClass);

    /// Formats all series in version 0.0.4 of the Prometheus text format.
    std::string text() const;

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace pomelorouter
