#pragma once

#include "pomeloport/clock.h"
#include "pomeloport/protocol/controlmessages.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

/// Disseminates the load reports of a region's instances to all of them. The instances form a ring ordered by failure
/// domain and name. In step k of a round each instance sends the reports of the 2^k instances up to and including
/// itself to the instance 2^k positions ahead, so that each report reaches each instance about once per round. A lost
/// datagram delays its reports by one round.
namespace pomeloport
{

struct LoadSpreadSettings
{
    OwnerId self;
    /// Minimum duration of a round, which applies in small regions.
    Duration shortestRound = std::chrono::milliseconds(250);
    /// Average bytes per second that one instance may send. In large regions rounds are longer to stay within it.
    std::uint32_t bytesPerSecond = 3'500;
    /// Reports older than this are dropped.
    Duration retention = std::chrono::seconds(30);
};

struct RingMember
{
    std::string instance;
    std::string failureDomain;
    std::string datagramAddress;
};

/// A report with the local time at which it was set or received. The engines' ages in the report refer to that time.
struct HeldReport
{
    control::InstanceReport report;
    Instant madeAt{};
};

struct LoadDatagram
{
    std::string address;
    control::LoadExchange share;
};

/// One instance's part in the dissemination. Performs no I/O: the caller sends the datagrams. Not thread safe.
class LoadSpread
{
public:
    explicit LoadSpread(LoadSpreadSettings settings);

    /// Replaces the members of the ring, which must include the local instance.
    void setMembers(std::vector<RingMember> members);

    /// Replaces the local instance's report and sets its identity and sequence number. The engines' ages refer to now.
    void setOwnReport(control::InstanceReport report, Instant now);

    /// The local instance's report addressed to each other instance, for changes that cannot wait for the next round.
    std::vector<LoadDatagram> ownReportDatagrams() const;

    /// Stores the reports of a peer's datagram that are newer than the known ones.
    void receive(const control::LoadExchange &share, Instant now);

    /// Returns the datagrams that are due. To be called about every 20 ms.
    std::vector<LoadDatagram> tick(Instant now);

    /// The latest report of each instance, including the local one, by instance name.
    const std::map<std::string, HeldReport> &reports() const;

    /// The current duration of a round.
    Duration round() const;

private:
    std::vector<LoadDatagram> sendStep(Instant now);
    control::InstanceReport aged(const HeldReport &held, Instant now) const;

    LoadSpreadSettings m_settings;
    std::vector<RingMember> m_ring;
    std::size_t m_ownPosition = 0;
    std::uint64_t m_sequence = 0;
    std::size_t m_distance = 1;
    Instant m_nextStep{};
    /// Bytes sent in the current round.
    std::size_t m_roundBytes = 0;
    /// Duration of the current round, from the bytes sent in the previous one.
    Duration m_round;
    std::map<std::string, HeldReport> m_reports;
};

} // namespace pomeloport
