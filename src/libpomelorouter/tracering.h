#pragma once

#include "pomeloport/clock.h"

#include <cstddef>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

/// Traces of recent requests, with which operators can see how a request was routed and why.
namespace pomelorouter
{

/// One step in the processing of a request.
struct TraceStep
{
    /// Time since the arrival of the request.
    pomeloport::Duration at{};
    /// Description of the step; never contains prompt text.
    std::string text;
};

/// The steps of one request. Thread-safe.
class RequestTrace
{
public:
    /// Maximum number of steps per request; later ones are dropped.
    static constexpr std::size_t MaximumSteps = 64;
    /// Maximum total bytes of text per request; steps that do not fit are dropped.
    static constexpr std::size_t MaximumBytes = 8UL * 1024;

    void add(pomeloport::Duration at, std::string text);

    /// Returns the steps so far, in order.
    std::vector<TraceStep> steps() const;

private:
    mutable std::mutex m_mutex;
    std::vector<TraceStep> m_steps;
    std::size_t m_bytes = 0;
};

/// Keeps the traces of the most recently started requests, open or ended. Thread-safe.
class TraceRing
{
public:
    explicit TraceRing(std::size_t capacity);

    /// Starts the trace of a request and, if the ring is full, evicts the oldest one.
    std::shared_ptr<RequestTrace> start(const std::string &request);

    /// Returns the trace of a request, or null if it is unknown or was evicted.
    std::shared_ptr<const RequestTrace> find(const std::string &request) const;

private:
    std::size_t m_capacity;
    mutable std::mutex m_mutex;
    std::deque<std::string> m_order;
    std::unordered_map<std::string, std::shared_ptr<RequestTrace>> m_traces;
};

} // namespace pomelorouter
