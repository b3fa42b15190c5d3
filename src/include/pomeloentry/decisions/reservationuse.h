#pragma once

#include "pomeloport/clock.h"

#include <string>
#include <vector>

namespace pomeloentry
{

using pomeloport::Duration;
using pomeloport::Instant;

/// Decides how long the memory reserved for a prompt is kept while no event has come. An engine that answers nothing
/// for many seconds may not have begun with the prompt, and then blocks memory of other engines that nobody uses; a
/// slow prefill that does use it must not be cut off. Pure, not thread safe.
class ReservationUse
{
public:
    enum class Step {
        Keep,
        /// Ask the engines whether the reservations are in use.
        Check,
        /// End the attempt and free the memory.
        GiveUp,
    };

    /// Takes the names of the reservations, when they were made, and how long they may stay unused.
    ReservationUse(std::vector<std::string> tickets, Instant reservedAt, Duration idleLimit);

    /// Records that an event of the answer has come, so that all reservations are in use.
    void answered();

    /// Records the reservations that an engine reports as used.
    void reported(const std::vector<std::string> &used);

    /// Reservations that are not known to be in use.
    const std::vector<std::string> &unused() const;

    Step step(Instant now) const;

    /// For how long to renew a reservation at this time: as usual if it is in use. Otherwise its lease ends before the
    /// limit, since its holder may die before it frees the memory; zero if there is no time left.
    Duration holdTime(const std::string &ticket, Duration usual, Instant now) const;

private:
    std::vector<std::string> m_unused;
    Instant m_reservedAt;
    Duration m_idleLimit;
};

} // namespace pomeloentry
