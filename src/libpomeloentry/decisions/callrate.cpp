#include "pomeloentry/decisions/callrate.h"

#include <cmath>

namespace pomeloentry
{

void CallRate::update(std::uint64_t callCount, Instant now)
{
    if (m_updatedAt != Instant{} && now > m_updatedAt) {
        const double elapsed = pomeloport::seconds(now - m_updatedAt);
        const double recent = static_cast<double>(callCount - m_callCount) / elapsed;
        const double timeConstant = pomeloport::seconds(recent > m_perSecond ? RiseTime : FallTime);
        m_perSecond += (recent - m_perSecond) * (1 - std::exp(-elapsed / timeConstant));
    }
    m_callCount = callCount;
    m_updatedAt = now;
}

double CallRate::perSecond() const
{
    return m_perSecond;
}

} // namespace pomeloentry
