#include "pomeloentry/decisions/entryplacement.h"

#include <algorithm>

/// The part of EntryPlacement that tells refused callers when to return.
namespace pomeloentry
{

using pomeloport::Failure;
using pomeloport::ReasonCode;
using pomeloport::Verdict;

namespace
{

/// Retry-After without a forecast for calls refused because no backend server is free.
constexpr std::chrono::milliseconds RetryAfterNoPlace{300};
/// The same for long prompts refused during a burst: bursts last for several seconds.
constexpr std::chrono::milliseconds RetryAfterDeferral{2000};

} // namespace

Failure EntryPlacement::noServerRefusal(const CallWork &work, Instant now)
{
    const std::lock_guard lock(m_mutex);
    return serverRefusal(work, now);
}

/// The same with the mutex held.
Failure EntryPlacement::serverRefusal(const CallWork &work, Instant now)
{
    Shortage shortage{ReturnCause::NoServer, RetryAfterNoPlace};
    if (const auto since = m_withoutServerSince.find(work.service); since != m_withoutServerSince.end()) {
        shortage.since = since->second;
    }
    return {Verdict::NotRun,
            ReasonCode::NoBackend,
            "the service has no backend server",
            m_returns.retryAfter(shortage, work, now)};
}

/// Refuses a call for the reason in the trace. Few servers of a service are known while they are still being listed, so
/// what they lack says nothing of the service.
Failure EntryPlacement::overloadRefusal(Shortage shortage, const CallWork &work, Instant now, PlacementTrace &trace)
{
    if (m_returns.listGrows(work.service, now)) {
        shortage.cause = ReturnCause::NoServer;
    }
    trace.returnCause = shortage.cause;
    return {Verdict::NotRun, ReasonCode::Overloaded, trace.reason, m_returns.retryAfter(shortage, work, now)};
}

Shortage EntryPlacement::slotShortage(const CallWork &work) const
{
    Shortage shortage{ReturnCause::SlotsFull, RetryAfterNoPlace};
    shortage.waiting = m_ledger.waiting(serviceKey(work.service)).size();
    return shortage;
}

Shortage EntryPlacement::prefillShortage(const CallWork &work,
                                         const EngineChoice &choice,
                                         bool isLong,
                                         Instant now) const
{
    Shortage shortage{ReturnCause::PrefillTooDear, isLong ? RetryAfterDeferral : RetryAfterNoPlace};
    const auto found = m_services.find(work.service);
    const auto engines = found == m_services.end() ? 1 : std::max<std::size_t>(found->second.backends.size(), 1);
    constexpr double MsPerSecond = 1000;
    shortage.backlog = pomeloport::fromSeconds(choice.backlogMs / MsPerSecond);
    shortage.spareShare = 1 - m_ledger.prefillRate(now) / static_cast<double>(engines);
    return shortage;
}

std::chrono::milliseconds EntryPlacement::retryAfter(const Shortage &shortage, const CallWork &work, Instant now)
{
    const std::lock_guard lock(m_mutex);
    return m_returns.retryAfter(shortage, work, now);
}

void EntryPlacement::instanceStarted(Instant now)
{
    const std::lock_guard lock(m_mutex);
    m_returns.instanceStarted(now);
}

void EntryPlacement::readyPeerHeard(Instant now)
{
    const std::lock_guard lock(m_mutex);
    m_returns.readyPeerHeard(now);
}

void EntryPlacement::storeAnswered(Instant now)
{
    const std::lock_guard lock(m_mutex);
    m_returns.storeAnswered(now);
}

void EntryPlacement::storeFailed(Instant now)
{
    const std::lock_guard lock(m_mutex);
    m_returns.storeFailed(now);
}

} // namespace pomeloentry
