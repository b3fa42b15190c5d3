#include "pomeloentry/decisions/processorstrain.h"

#include <algorithm>

namespace pomeloentry
{

void ProcessorStrain::timerFired(Duration lateness, Instant now)
{
    // A suspended process fires late once; a single outlier must not outweigh all later timers.
    const auto sample = std::clamp(lateness, Duration::zero(), StrainedLateness * 4);
    m_meanLateness = (m_meanLateness + sample) / 2;
    if (m_meanLateness >= StrainedLateness) {
        m_strained = true;
        m_strainedAt = now;
    } else if (m_meanLateness <= RecoveredLateness && now - m_strainedAt >= MinimumStrain) {
        m_strained = false;
    }
}

bool ProcessorStrain::isStrained() const
{
    return m_strained;
}

} // namespace pomeloentry
