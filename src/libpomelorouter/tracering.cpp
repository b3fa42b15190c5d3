#include "tracering.h"

namespace pomelorouter
{

using namespace pomeloport;

void RequestTrace::add(Duration at, std::string text)
{
    const std::lock_guard lock(m_mutex);
    if (m_steps.size() < MaximumSteps && m_bytes + text.size() <= MaximumBytes) {
        m_bytes += text.size();
        m_steps.push_back({at, std::move(text)});
    }
}

std::vector<TraceStep> RequestTrace::steps() const
{
    const std::lock_guard lock(m_mutex);
    return m_steps;
}

TraceRing::TraceRing(std::size_t capacity)
    : m_capacity(capacity)
{
}

std::shared_ptr<RequestTrace> TraceRing::start(const std::string &request)
{
    auto trace = std::make_shared<RequestTrace>();
    const std::lock_guard lock(m_mutex);
    m_traces[request] = trace;
    m_order.push_back(request);
    if (m_order.size() > m_capacity) {
        m_traces.erase(m_order.front());
        m_order.pop_front();
    }
    return trace;
}

std::shared_ptr<const RequestTrace> TraceRing::find(const std::string &request) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_traces.find(request);
    return found == m_traces.end() ? nullptr : found->second;
}

} // namespace pomelorouter
