#include "session/returnmetrics.h"

#include "pomeloport/clock.h"

#include <algorithm>

namespace pomeloentry
{

void ReturnMetrics::record(ReturnCause cause, std::chrono::milliseconds retryAfter)
{
    auto &series = m_series.at(static_cast<std::size_t>(cause));
    const auto bound = std::ranges::lower_bound(Bounds, retryAfter) - Bounds.begin();
    series.counts.at(static_cast<std::size_t>(bound)).fetch_add(1, std::memory_order_relaxed);
    series.sumMs.fetch_add(static_cast<std::uint64_t>(retryAfter.count()), std::memory_order_relaxed);
}

std::string ReturnMetrics::text() const
{
    const std::string name = "pomelo_retry_after_seconds";
    std::string out = "# HELP " + name + " Retry-After of refused calls by cause.\n# TYPE " + name + " histogram\n";
    for (const auto &[cause, label] : nameTable(ReturnCause{})) {
        const auto &series = m_series.at(static_cast<std::size_t>(cause));
        const auto labels = "{cause=\"" + std::string(label) + "\"";
        std::uint64_t total = 0;
        for (std::size_t i = 0; i < series.counts.size(); ++i) {
            total += series.counts.at(i).load(std::memory_order_relaxed);
            const auto bound =
                i < Bounds.size() ? std::to_string(pomeloport::seconds(Bounds.at(i))) : std::string("+Inf");
            out += name + "_bucket" + labels + ",le=\"" + bound + "\"} " + std::to_string(total) + "\n";
        }
        const std::chrono::milliseconds sum(series.sumMs.load(std::memory_order_relaxed));
        out += name + "_sum" + labels + "} " + std::to_string(pomeloport::seconds(sum)) + "\n";
        out += name + "_count" + labels + "} " + std::to_string(total) + "\n";
    }
    return out;
}

} // namespace pomeloentry
