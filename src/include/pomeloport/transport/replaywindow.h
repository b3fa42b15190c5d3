#pragma once

#include "pomeloport/protocol/identity.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace pomeloport
{

/// Accepts each sequence number of each sender once. Numbers may come out of order within a window; a sender's new
/// incarnation starts afresh and shuts out the earlier ones. Pure; one thread at a time.
class ReplayWindow
{
public:
    /// Width of the window in sequence numbers.
    static constexpr std::uint64_t Width = 64;
    /// Most senders remembered; the table of a fleet of some hundred instances and a day's replacements fits.
    static constexpr std::size_t MaximumSenders = 8192;

    /// Returns whether the number is new, and marks it as seen.
    bool accept(const OwnerId &sender, std::uint64_t sequence);

private:
    struct Seen
    {
        std::uint64_t incarnation = 0;
        std::uint64_t highest = 0;
        /// Bit i stands for highest - i.
        std::uint64_t bits = 0;
    };

    std::unordered_map<std::string, Seen> m_senders;
};

} // namespace pomeloport
