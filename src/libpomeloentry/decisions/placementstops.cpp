#include "decisions/placementdetail.h"

#include <algorithm>

/// The part of EntryPlacement that tells which calls a stopping instance can still complete.
namespace pomeloentry
{

using detail::decodeTimeMs;
using detail::MsPerSecond;

namespace
{

/// A call is only begun on a stopping instance if these multiples of its predicted time to the first event and of the
/// time to decode the longest answer are left.
constexpr double FirstEventSafety = 1.5;
constexpr double DecodeSafety = 1.4;

} // namespace

bool EntryPlacement::canFinish(const CallWork &work, Instant now) const
{
    const std::lock_guard lock(m_mutex);
    return canFinishAtBest(work, now);
}

/// The same with the mutex held: as if the call began now and all engines that take work shared its prefill.
bool EntryPlacement::canFinishAtBest(const CallWork &work, Instant now) const
{
    const auto *engine = engineOf(work.service);
    if (!engine || work.promptTokens == 0) {
        return endsBeforeStop(work, Duration::zero(), now);
    }
    const auto found = m_services.find(work.service);
    const auto usable = found == m_services.end() ? 0 : usableServers(found->second, now);
    const double sharing =
        std::clamp(static_cast<double>(usable), 1.0, static_cast<double>(m_policy.engines.maximumHelpers));
    const double prefillMs = prefillTimeMs(*engine, static_cast<double>(work.promptTokens)) / sharing;
    return endsBeforeStop(work, pomeloport::fromSeconds(prefillMs / MsPerSecond), now);
}

/// Whether a call is complete before its instance stops, given the predicted time to its first event. A call without a
/// prompt is expected to take its target time at least. One whose deadline comes before the stop always ends in time,
/// and no other is certain to: a backend server may take longer than predicted. So this is required of late calls.
bool EntryPlacement::endsBeforeStop(const CallWork &work, Duration predictedFirst, Instant now) const
{
    if (!work.stopsAt || work.deadline <= *work.stopsAt) {
        return true;
    }
    if (work.arrivedLate) {
        return false;
    }
    const auto *engine = engineOf(work.service);
    const double firstMs = pomeloport::seconds(predictedFirst) * MsPerSecond * FirstEventSafety;
    if (!engine || work.promptTokens == 0) {
        return now + std::max(work.target, pomeloport::fromSeconds(firstMs / MsPerSecond)) <= *work.stopsAt;
    }
    const double decodeMs = decodeTimeMs(*engine, std::max(work.answerTokens, work.maximumAnswerTokens)) * DecodeSafety;
    return now + pomeloport::fromSeconds((firstMs + decodeMs) / MsPerSecond) <= *work.stopsAt;
}

} // namespace pomeloentry
