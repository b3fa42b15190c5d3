#include "pomeloentry/decisions/reservationuse.h"

#include <algorithm>

namespace pomeloentry
{

namespace
{

/// Shares of the idle limit after which the engines are asked, and after which the reservation is given up. The rest
/// covers the time of closing the attempt and freeing the memory.
constexpr double CheckShare = 0.5;
constexpr double GiveUpShare = 0.75;
/// Share of the idle limit at which the lease of an unused reservation ends. The rest covers the way to the engine.
constexpr double LeaseEndShare = 0.95;

} // namespace

ReservationUse::ReservationUse(std::vector<std::string> tickets, Instant reservedAt, Duration idleLimit)
    : m_unused(std::move(tickets))
    , m_reservedAt(reservedAt)
    , m_idleLimit(idleLimit)
{
}

void ReservationUse::answered()
{
    m_unused.clear();
}

void ReservationUse::reported(const std::vector<std::string> &used)
{
    std::erase_if(m_unused, [&used](const auto &ticket) { return std::ranges::find(used, ticket) != used.end(); });
}

const std::vector<std::string> &ReservationUse::unused() const
{
    return m_unused;
}

Duration ReservationUse::holdTime(const std::string &ticket, Duration usual, Instant now) const
{
    if (std::ranges::find(m_unused, ticket) == m_unused.end()) {
        return usual;
    }
    const auto leaseEnd = m_reservedAt + pomeloport::fromSeconds(pomeloport::seconds(m_idleLimit) * LeaseEndShare);
    return std::clamp(Duration(leaseEnd - now), Duration::zero(), usual);
}

ReservationUse::Step ReservationUse::step(Instant now) const
{
    const auto share = pomeloport::seconds(now - m_reservedAt) / pomeloport::seconds(m_idleLimit);
    if (m_unused.empty() || share < CheckShare) {
        return Step::Keep;
    }
    return share < GiveUpShare ? Step::Check : Step::GiveUp;
}

} // namespace pomeloentry
