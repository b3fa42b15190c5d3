#pragma once

#include "pomeloport/clock.h"
#include "pomeloport/coordination/route.h"
#include "pomeloport/verdict.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>

/// Histograms and counters of requests per organisation and class of prompt length, in Prometheus text.
namespace pomelorouter
{

/// The series of one organisation and one class. All methods are safe from any thread and do not lock.
class RequestSeries
{
public:
    RequestSeries();
    ~RequestSeries();
    RequestSeries(const RequestSeries &) = delete;
    RequestSeries &operator=(const RequestSeries &) = delete;

    /// Time from the arrival of the request to its first token.
    void recordTimeToFirstToken(pomeloport::Duration elapsed);

    /// Time between two tokens.
    void recordInterTokenLatency(pomeloport::Duration elapsed);

    /// Time from the arrival of the request to the opening of its first attempt.
    void recordQueueWait(pomeloport::Duration elapsed);

    /// Counts the end of a request; a reason belongs to a failure.
    void countVerdict(pomeloport::Verdict verdict, std::optional<pomeloport::ReasonCode> reason);

private:
    friend class RequestMetrics;
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

/// All series of one router. Safe from any thread.
class RequestMetrics
{
public:
    /// Organisations beyond the maximum share the series of the organisation "other".
    explicit RequestMetrics(std::size_t maximumOrganisations);
    ~RequestMetrics();
    RequestMetrics(const RequestMetrics &) = delete;
    RequestMetrics &operator=(const RequestMetrics &) = delete;

    /// Returns the series, which stays valid for as long as the caller holds it.
    std::shared_ptr<RequestSeries> series(const std::string &organisation, pomeloport::PromptClass promptClass);

    /// Formats all series in the Prometheus text format, version 0.0.4.
    std::string text() const;

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace pomelorouter
