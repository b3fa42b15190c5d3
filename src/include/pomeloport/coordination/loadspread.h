#pragma once

#include "pomeloport/clock.h"
#include "pomeloport/protocol/controlmessages.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

/// Spreads the load reports of a region's instances to all of them. The instances form a ring ordered by failure domain
/// and name. In step k of a round each sends to the instance 2^k places ahead the reports of the 2^k instances up to
/// itself, so that each report travels to each instance about once. A lost datagram delays reports by a round.
namespace pomeloport
{

/// Settings of the spread of load reports.
struct LoadSpreadSettings
{
    OwnerId self;
    /// Least time of a round, in small regions.
    Duration shortestRound = std::chrono::milliseconds(250);
    /// Bytes that one instance may send each second on average; large regions take longer rounds to keep to it.
    std::uint32_t bytesPerSecond = 3'500;
    /// Reports older than this are dropped.
    Duration retention = std::chrono::seconds(30);
};

/// A member of the ring.
struct RingMember
{
    std::string instance;
    std::string failureDomain;
    std::string datagramAddress;
};

/// A report with the time at which it was made, on the own clock.
struct HeldReport
{
    control::InstanceReport report;
    Instant madeAt{};
};

/// A datagram to send.
struct LoadDatagram
{
    std::string address;
    control::LoadShare share;
};

/// The spread of load reports at one instance. Pure; one thread at a time.
class LoadSpread
{
public:
    explicit LoadSpread(LoadSpreadSettings settings);

    /// Replaces the ring; the own instance must be among the members.
    void setMembers(std::vector<RingMember> members);

    /// Replaces the own report; ages of engines count from now. The sequence number is set here.
    void setOwnReport(control::InstanceReport report, Instant now);

    /// The own report for all other instances, for changes that cannot wait for a round.
    std::vector<LoadDatagram> ownReportDatagrams() const;

    /// Takes reports from a peer.
    void receive(const control::LoadShare &share, Instant now);

    /// Sends what is due; call about every 20 ms.
    std::vector<LoadDatagram> tick(Instant now);

    /// The latest report of each instance, the own one included, by name.
    const std::map<std::string, HeldReport> &reports() const;

    /// The present length of a round.
    Duration round() const;

private:
    std::vector<LoadDatagram> sendStep(Instant now);
    control::InstanceReport aged(const HeldReport &held, Instant now) const;

    LoadSpreadSettings m_settings;
    std::vector<RingMember> m_ring;
    std::size_t m_position = 0;
    std::uint64_t m_sequence = 0;
    std::size_t m_distance = 1;
    Instant m_nextStep{};
    /// Bytes sent in the present round and the length that the last one asks for.
    std::size_t m_roundBytes = 0;
    Duration m_round;
    std::map<std::string, HeldReport> m_reports;
};

} // namespace pomeloport
