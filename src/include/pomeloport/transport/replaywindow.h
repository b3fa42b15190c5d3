#pragma once

#include "pomeloport/protocol/identity.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace pomeloport
{

/// Replay protection: accepts each sequence number of each sender once. Numbers may arrive out of order within a
/// sliding window. A newer incarnation of a sender resets its window, and older incarnations are rejected from then on.
/// Not thread-safe.
class ReplayWindow
{
public:
    /// Width of the sliding window in sequence numbers.
    static constexpr std::uint64_t Width = 64;
    /// Maximum number of senders tracked; enough for a fleet of several hundred instances and their replacements within
    /// a day.
    static constexpr std::size_t MaximumSenders = 8192;

    /// Returns whether the number has not been seen before, and marks it as seen.
    bool accept(const OwnerId &sender, std::uint64_t sequence);

private:
    struct SenderState
    {
        std::uint64_t incarnation = 0;
        std::uint64_t highest = 0;
        /// Bit i is set if the number highest - i was accepted.
        std::uint64_t accepted = 0;
    };

    std::unordered_map<std::string, SenderState> m_senders;
};

} // namespace pomeloport
