#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <random>

/// Time-outs and retry delays of calls to the platform's store.
namespace pomeloentry
{

/// Time-out of a call; the store normally answers within milliseconds.
constexpr std::chrono::milliseconds StoreTimeout{1200};

/// Bounds of the exponential backoff after failed calls.
constexpr std::chrono::milliseconds FirstRetryDelay{60};
constexpr std::chrono::milliseconds MaximumRetryDelay{800};

/// Randomises a delay by up to 50 %, so that instances do not call at the same time.
inline std::chrono::milliseconds jittered(std::chrono::milliseconds delay)
{
    static thread_local std::mt19937_64 random{std::random_device{}()};
    std::uniform_real_distribution<double> factor(0.5, 1.5);
    return std::chrono::milliseconds(static_cast<std::int64_t>(static_cast<double>(delay.count()) * factor(random)));
}

/// Returns the backoff after a number of consecutive failures, which must be at least 1.
inline std::chrono::milliseconds retryDelay(std::uint32_t failures)
{
    constexpr std::uint32_t MaximumDoublings = 4;
    return std::min(FirstRetryDelay * (1U << std::min(failures - 1, MaximumDoublings)), MaximumRetryDelay);
}

} // namespace pomeloentry
