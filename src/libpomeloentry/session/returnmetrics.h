#pragma once

#include "pomeloentry/decisions/returnforecast.h"

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <string>

namespace pomeloentry
{

/// Histogram of the Retry-After times that callers were given, by cause. Thread safe.
class ReturnMetrics
{
public:
    void record(ReturnCause cause, std::chrono::milliseconds retryAfter);

    /// The histogram in the Prometheus text format.
    std::string text() const;

private:
    static constexpr std::array<std::chrono::milliseconds, 8> Bounds{std::chrono::milliseconds(100),
                                                                     std::chrono::milliseconds(300),
                                                                     std::chrono::milliseconds(500),
                                                                     std::chrono::milliseconds(1000),
                                                                     std::chrono::milliseconds(2000),
                                                                     std::chrono::milliseconds(3500),
                                                                     std::chrono::milliseconds(5000),
                                                                     std::chrono::milliseconds(10'000)};
    static constexpr std::size_t CauseCount = nameTable(ReturnCause{}).size();

    struct Series
    {
        /// The last one counts times above all bounds.
        std::array<std::atomic<std::uint64_t>, Bounds.size() + 1> counts{};
        std::atomic<std::uint64_t> sumMs{0};
    };

    std::array<Series, CauseCount> m_series;
};

} // namespace pomeloentry
