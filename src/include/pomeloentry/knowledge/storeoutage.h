#pragma once

#include "pomeloport/clock.h"

#include <deque>
#include <optional>

/// Judges from an instance's own calls whether the platform's store was out, so that entries may merely have expired.
/// Pure; not thread safe.
namespace pomeloentry
{

using pomeloport::Duration;
using pomeloport::Instant;

/// Removals that are seen during and shortly after an outage are delayed, since entries that expired in it are written
/// again soon after its end. An entry expires only after several heartbeats that its owner could not write, so a single
/// failed call, such as a watch that the store cut off, is no outage and delays nothing.
///
/// The store has returned by its first answer after the last moment at which it may have failed to answer. When a call
/// is given up says nothing of its return: the call may have been lost long before.
class StoreOutage
{
public:
    /// Records an answer of the store.
    void answered(Instant now);

    /// Records a call that failed at some moment of a span: one that was refused failed at that moment, one that got no
    /// answer between the time at which it was sent and the time at which its answer was due.
    void failed(Instant from, Instant until);

    /// Whether the store may still be out: no answer is known after the last failure.
    bool isOpen() const;

    /// When to apply a removal that is seen now.
    Instant removalTime(Instant now) const;

    /// End of the span of the last failed call; zero without any.
    Instant lastFailure() const;

private:
    Instant m_began{};
    Instant m_lastFailure{};
    /// First answer after the last failure.
    std::optional<Instant> m_returned;
    /// Recent answers, the oldest first: a failure may be recorded only after later answers.
    std::deque<Instant> m_answers;
};

} // namespace pomeloentry
