#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <random>

/// Times of calls to the platform's store.
namespace pomeloentry
{

/// Longest wait for an answer of the store, which needs milliseconds.
constexpr std::chrono::milliseconds StoreTimeout{1200};

/// Delay after a failed call, doubled by each further one.
constexpr std::chrono::milliseconds FirstRetryDelay{60};
constexpr std::chrono::milliseconds MaximumRetryDelay{800};

/// Spreads a delay at random, so that instances do not call together.
inline std::chrono::milliseconds jittered(std::chrono::milliseconds delay)
{
    static thread_local std::mt19937_64 random{std::random_device{}()};
    std::uniform_real_distribution<double> factor(0.5, 1.5);
    return std::chrono::milliseconds(static_cast<std::int64_t>(static_cast<double>(delay.count()) * factor(random)));
}

/// The delay after this many failed calls in a row.
inline std::chrono::milliseconds retryDelay(std::uint32_t failures)
{
    constexpr std::uint32_t MaximumDoublings = 4;
    return std::min(FirstRetryDelay * (1U << std::min(failures - 1, MaximumDoublings)), MaximumRetryDelay);
}

} // namespace pomeloentry
