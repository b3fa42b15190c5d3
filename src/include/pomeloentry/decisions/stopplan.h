#pragma once

#include "pomeloport/clock.h"
#include "pomeloport/nametable.h"

#include <cstdint>

/// The phases of a planned stop of an instance. Pure.
namespace pomeloentry
{

using pomeloport::Duration;
using pomeloport::Instant;

/// What a stopping instance does with its open calls.
enum class StopStep : std::uint8_t {
    /// Serve them.
    Serve,
    /// Give each of them its final answer.
    GiveUp,
    /// End the process.
    Exit,
};

constexpr pomeloport::NameTable<StopStep, 3> nameTable(StopStep /*unused*/)
{
    return {{{StopStep::Serve, "serve"}, {StopStep::GiveUp, "give_up"}, {StopStep::Exit, "exit"}}};
}

/// Schedule of a stop, from the request to stop until the platform kills the process.
class StopPlan
{
public:
    /// Callers may still come for the lifetime of the addresses that they know, so an idle instance waits for that.
    StopPlan(Instant begin, Duration gracePeriod, Duration addressLifetime);

    /// Moves the end of the stop to this time, unless it comes earlier anyway.
    void endNow(Instant now);

    /// Time at which calls that are still open get their final answer: a failure, or the end of the connection where an
    /// answer has begun. An admitted call has to be complete by then.
    Instant end() const;

    /// Time by which callers have left that may still use the address. Calls that arrive later are not expected by
    /// anyone and are only served if they are complete by the end in any case.
    Instant callersLeftAt() const;

    /// What to do now, given the number of open calls, unfinished replies and unanswered orders.
    StopStep step(Instant now, std::uint64_t open) const;

private:
    Instant m_end;
    /// When the process exits, whether or not the final answers are written.
    Instant m_exitAt;
    Instant m_callersLeftAt;
    Instant m_idleExitAt;
};

} // namespace pomeloentry
