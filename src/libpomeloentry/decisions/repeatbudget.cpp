#include "pomeloentry/decisions/repeatbudget.h"

#include <algorithm>
#include <numeric>

namespace pomeloentry
{

using pomeloport::Instant;

namespace
{

/// Share of the slack that is available in the first window after a start, since retries sent before it are unknown.
constexpr double SlackAfterStart = 0.5;

} // namespace

RepeatBudget::RepeatBudget(const RepeatLimits &limits)
    : m_limits(limits)
{
}

RepeatBudget::Counts &RepeatBudget::advance(const std::string &service, Instant now)
{
    m_startedAt = m_startedAt == Instant{} ? now : m_startedAt;
    auto &counts = m_services[service];
    const auto step = now.time_since_epoch() / (m_limits.window / static_cast<std::int64_t>(Steps));
    const auto count = static_cast<std::int64_t>(counts.requests.size());
    const auto first = std::max(counts.step + 1, step - count + 1);
    for (auto passed = first; passed <= step; ++passed) {
        counts.requests.at(static_cast<std::size_t>(passed % count)) = 0;
        counts.repeats.at(static_cast<std::size_t>(passed % count)) = 0;
    }
    counts.step = std::max(counts.step, step);
    return counts;
}

void RepeatBudget::record(const std::string &service, bool repeat, Instant now)
{
    auto &counts = advance(service, now);
    const auto index = static_cast<std::size_t>(counts.step) % counts.requests.size();
    ++(repeat ? counts.repeats : counts.requests).at(index);
}

bool RepeatBudget::permits(const std::string &service, double share, Instant now)
{
    const auto &counts = advance(service, now);
    const double requests = std::accumulate(counts.requests.begin(), counts.requests.end(), 0.0);
    const double repeats = std::accumulate(counts.repeats.begin(), counts.repeats.end(), 0.0);
    const double slack = m_limits.slack * (now - m_startedAt < m_limits.window ? SlackAfterStart : 1.0);
    return repeats + 1 <= m_limits.perRequest * requests + slack * std::clamp(share, 0.0, 1.0);
}

} // namespace pomeloentry
