#include "pomeloport/coordination/loadspread.h"

#include "pomeloport/protocol/compactarchive.h"

#include <algorithm>
#include <bit>
#include <limits>
#include <tuple>

namespace pomeloport
{

using control::InstanceReport;
using control::LoadExchange;

namespace
{

/// Bytes that network headers add to each datagram.
constexpr std::size_t HeaderBytes = 80;

/// Steps of one round: the base-2 logarithm of the ring's size, rounded up, and at least 1.
std::size_t stepsPerRound(std::size_t members)
{
    return members < 2 ? 1 : static_cast<std::size_t>(std::bit_width(members - 1));
}

} // namespace

LoadSpread::LoadSpread(LoadSpreadSettings settings)
    : m_settings(std::move(settings))
    , m_round(m_settings.shortestRound)
{
}

void LoadSpread::setMembers(std::vector<RingMember> members)
{
    m_ring = std::move(members);
    std::ranges::sort(m_ring, [](const auto &left, const auto &right) {
        return std::tie(left.failureDomain, left.instance) < std::tie(right.failureDomain, right.instance);
    });
    const auto own = std::ranges::find(m_ring, m_settings.self.instance, &RingMember::instance);
    m_ownPosition = static_cast<std::size_t>(own - m_ring.begin());
    std::erase_if(m_reports, [this](const auto &entry) {
        return std::ranges::find(m_ring, entry.first, &RingMember::instance) == m_ring.end();
    });
}

void LoadSpread::setOwnReport(InstanceReport report, Instant now)
{
    report.id = m_settings.self;
    report.sequence = ++m_sequence;
    auto &held = m_reports[m_settings.self.instance];
    held = {std::move(report), now};
}

std::vector<LoadDatagram> LoadSpread::ownReportDatagrams() const
{
    std::vector<LoadDatagram> result;
    const auto own = m_reports.find(m_settings.self.instance);
    for (const auto &member : m_ring) {
        if (own != m_reports.end() && member.instance != m_settings.self.instance) {
            result.push_back({member.datagramAddress, {{own->second.report}}});
        }
    }
    return result;
}

void LoadSpread::receive(const LoadExchange &share, Instant now)
{
    for (const auto &report : share.reports) {
        const auto &name = report.id.instance;
        const bool member = std::ranges::find(m_ring, name, &RingMember::instance) != m_ring.end();
        if (!member || name == m_settings.self.instance) {
            continue;
        }
        auto &held = m_reports[name];
        const auto known = std::make_pair(held.report.id.incarnation, held.report.sequence);
        if (known < std::make_pair(report.id.incarnation, report.sequence)) {
            held = {report, now};
        }
    }
}

std::vector<LoadDatagram> LoadSpread::tick(Instant now)
{
    std::erase_if(m_reports, [&](const auto &entry) { return now - entry.second.madeAt > m_settings.retention; });
    if (now < m_nextStep || m_ownPosition >= m_ring.size() || m_ring.size() < 2) {
        return {};
    }
    m_nextStep = now + m_round / static_cast<int>(stepsPerRound(m_ring.size()));
    return sendStep(now);
}

std::vector<LoadDatagram> LoadSpread::sendStep(Instant now)
{
    const auto size = m_ring.size();
    const auto &receiver = m_ring[(m_ownPosition + m_distance) % size];
    const auto count = std::min(m_distance, size - m_distance);
    std::vector<LoadDatagram> result;
    std::size_t bytes = ControlMessageBytes;
    for (std::size_t back = 0; back < count; ++back) {
        const auto held = m_reports.find(m_ring[(m_ownPosition + size - back) % size].instance);
        if (held == m_reports.end()) {
            continue;
        }
        auto report = aged(held->second, now);
        const auto reportBytes = detail::encodeCompact(report).size();
        if (bytes + reportBytes > ControlMessageBytes) {
            result.push_back({receiver.datagramAddress, {}});
            bytes = 0;
            m_roundBytes += HeaderBytes;
        }
        bytes += reportBytes;
        m_roundBytes += reportBytes;
        result.back().share.reports.push_back(std::move(report));
    }
    m_distance *= 2;
    if (m_distance >= size) {
        m_distance = 1;
        const double neededSeconds = static_cast<double>(m_roundBytes) / m_settings.bytesPerSecond;
        m_round = std::max(m_settings.shortestRound, fromSeconds(neededSeconds));
        m_roundBytes = 0;
    }
    return result;
}

InstanceReport LoadSpread::aged(const HeldReport &held, Instant now) const
{
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(now - held.madeAt).count();
    const auto added = static_cast<std::uint32_t>(std::max<std::int64_t>(elapsed, 0));
    auto report = held.report;
    for (auto &engine : report.engines) {
        engine.ageMs += std::min(added, std::numeric_limits<std::uint32_t>::max() - engine.ageMs);
    }
    return report;
}

const std::map<std::string, HeldReport> &LoadSpread::reports() const
{
    return m_reports;
}

Duration LoadSpread::round() const
{
    return m_round;
}

} // namespace pomeloport
