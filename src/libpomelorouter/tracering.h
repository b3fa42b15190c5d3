#pragma once

#include "pomeloport/clock.h"

#include <cstddef>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

/// What happened to recent requests, for operators who ask why a request went where it went.
namespace pomelorouter
{

/// One step of a request.
struct TraceStep
{
    /// Time since the request arrived.
    pomeloport::Duration at{};
    /// The step in words, without prompt text.
    std::string text;
};

/// The steps of one request. Safe from any thread.
class RequestTrace
{
public:
    /// Steps kept for one request; later ones are dropped.
    static constexpr std::size_t MaximumSteps = 64;
    /// Bytes of text kept for one request; steps beyond are dropped.
    static constexpr std::size_t MaximumBytes = 8UL * 1024;

    /// Adds a step.
    void add(pomeloport::Duration at, std::string text);

    /// The steps so far, in order.
    std::vector<TraceStep> steps() const;

private:
    mutable std::mutex m_mutex;
    std::vector<TraceStep> m_steps;
    std::size_t m_bytes = 0;
};

/// Keeps the traces of the latest requests, open or ended. Safe from any thread.
class TraceRing
{
public:
    explicit TraceRing(std::size_t capacity);

    /// Starts the trace of a request and drops the oldest one beyond the capacity.
    std::shared_ptr<RequestTrace> start(const std::string &request);

    /// The trace of a request; null when unknown or dropped.
    std::shared_ptr<const RequestTrace> find(const std::string &request) const;

private:
    std::size_t m_capacity;
    mutable std::mutex m_mutex;
    std::deque<std::string> m_order;
    std::unordered_map<std::string, std::shared_ptr<RequestTrace>> m_traces;
};

} // namespace pomelorouter
