#pragma once

#include "pomeloport/protocol/identity.h"
#include "pomeloport/state/snapshot.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// Datagrams between controllers for membership and for the distribution of configuration and load reports. Each
/// message fits one datagram and may be lost, duplicated or delayed.
namespace pomeloport
{

namespace control
{

/// State of an instance, as announced by itself or by a peer. Of two records of one instance the one with the higher
/// incarnation takes precedence, then the one with the higher revision, then the one with the worse state.
struct MemberRecord
{
    OwnerId id;
    /// Raised by the instance itself when its state changes or when it refutes a suspicion.
    std::uint32_t revision = 0;
    InstanceState state = InstanceState::Alive;
    std::string region;
    std::string failureDomain;
    std::string httpAddress;
    std::string peerAddress;
    std::string datagramAddress;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(id, revision, state, region, failureDomain, httpAddress, peerAddress, datagramAddress);
    }
};

/// Addresses of an instance of another region.
struct RegionContact
{
    OwnerId id;
    std::string failureDomain;
    std::string httpAddress;
    std::string peerAddress;
    std::string datagramAddress;

    bool operator==(const RegionContact &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(id, failureDomain, httpAddress, peerAddress, datagramAddress);
    }
};

/// Summary of a region for the other regions.
struct RegionSummary
{
    std::string region;
    /// Calendar time at the author, in milliseconds; the summary with the highest value takes precedence.
    std::uint64_t createdAtMs = 0;
    std::uint32_t liveInstances = 0;
    /// Lowest configuration version among the live instances of the region.
    std::uint64_t lowestConfigVersion = 0;
    /// Some of the instances that do not have the region's highest version yet.
    std::vector<std::string> lagging;
    std::vector<RegionContact> contacts;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(region, createdAtMs, liveInstances, lowestConfigVersion, lagging, contacts);
    }
};

/// Part of each heartbeat: the sender's own record, digests by which a receiver detects differing state, and recent
/// updates.
struct Gossip
{
    MemberRecord self;
    /// Digest of the members of the region that the sender considers live.
    std::uint64_t memberDigest = 0;
    std::uint64_t configVersion = 0;
    std::vector<MemberRecord> records;
    std::vector<RegionSummary> regions;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(self, memberDigest, configVersion, records, regions);
    }
};

/// A heartbeat, answered by Ack. If it is sent on behalf of another instance, relayTo is the address to which the Ack
/// is forwarded.
struct Ping
{
    std::uint64_t number = 0;
    std::string relayTo;
    Gossip gossip;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(number, relayTo, gossip);
    }
};

struct Ack
{
    std::uint64_t number = 0;
    std::string relayTo;
    Gossip gossip;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(number, relayTo, gossip);
    }
};

/// Asks a peer to send a Ping on behalf of the sender, whose own Ping was not answered.
struct PingRequest
{
    std::uint64_t number = 0;
    std::string targetAddress;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(number, targetAddress);
    }
};

/// Digests of the name and the content of one member record.
struct MemberDigest
{
    std::uint32_t name = 0;
    std::uint32_t content = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(name, content);
    }
};

/// Sent when member digests differ: digests of the records that the sender considers live.
struct SyncOffer
{
    std::vector<MemberDigest> entries;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(entries);
    }
};

/// Records that the receiver lacks, and the name digests of records that the sender requests.
struct SyncRecords
{
    std::vector<MemberRecord> records;
    std::vector<std::uint32_t> wanted;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(records, wanted);
    }
};

/// Region summaries, sent to another region.
struct RegionExchange
{
    std::vector<RegionSummary> regions;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(regions);
    }
};

/// The change from one version of the declarations' text to the next: the bytes between the prefix and the suffix that
/// both versions share.
struct ConfigPatch
{
    std::uint64_t fromVersion = 0;
    std::uint64_t toVersion = 0;
    std::uint64_t prefixBytes = 0;
    std::uint64_t suffixBytes = 0;
    std::string middle;
    /// xxHash64 of the whole new text.
    std::uint64_t digest = 0;
    /// Change token of the new version.
    std::string token;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(fromVersion, toVersion, prefixBytes, suffixBytes, middle, digest, token);
    }
};

/// Announces a configuration version, with the patches that lead to it where they are short enough.
struct ConfigAnnounce
{
    std::uint64_t version = 0;
    std::vector<ConfigPatch> patches;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(version, patches);
    }
};

/// Requests the patches from the sender's version to the receiver's; answered by ConfigAnnounce.
struct ConfigPull
{
    std::uint64_t have = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(have);
    }
};

/// Load of one engine, in coarse units that encode to few bytes.
struct EngineLoad
{
    /// Low 32 bits of the xxHash64 of the engine's name.
    std::uint32_t engine = 0;
    BackendState state = BackendState::Live;
    /// Age of the report when it was sent, in milliseconds.
    std::uint32_t ageMs = 0;
    std::uint64_t sequence = 0;
    /// The engine's epoch folded to 16 bits; differs after a restart.
    std::uint16_t epoch = 0;
    /// In units of 256 tokens.
    std::uint32_t kvUsed = 0;
    std::uint32_t queuedPrefill = 0;
    std::uint32_t queuedBulk = 0;
    std::uint32_t runningStreams = 0;
    std::uint32_t queuedStreams = 0;
    /// In units of 16 tokens a second.
    std::uint32_t prefillRate = 0;
    /// In units of 100 microseconds.
    std::uint32_t decodeStep = 0;
    /// Indices into the sorted names of everything that the configuration asks engines to load.
    std::vector<std::uint16_t> loaded;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(engine, state, ageMs, sequence, epoch, kvUsed, queuedPrefill, queuedBulk);
        archive(runningStreams, queuedStreams, prefillRate, decodeStep, loaded);
    }
};

/// Memory of an engine reserved by a group coordinator, for granted groups and for the one that is being assembled.
struct EngineReservation
{
    /// Name as in EngineLoad.
    std::uint32_t engine = 0;
    /// In units of 256 tokens, rounded up.
    std::uint32_t units = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(engine, units);
    }
};

/// Load of one instance and of the engines whose home it is.
struct InstanceReport
{
    OwnerId id;
    std::uint64_t sequence = 0;
    std::uint64_t configVersion = 0;
    /// Open requests as a fraction of the limit, in units of 1/255.
    std::uint8_t load = 0;
    std::vector<EngineLoad> engines;
    /// Backend servers that the platform lists as leaving, if this instance reads the list; names as in EngineLoad.
    std::vector<std::uint32_t> listedLeaving;
    /// Memory that this instance has reserved as a group coordinator.
    std::vector<EngineReservation> setAside;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(id, sequence, configVersion, load, engines, listedLeaving, setAside);
    }
};

/// Load reports that instances of a region pass on to each other.
struct LoadExchange
{
    std::vector<InstanceReport> reports;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(reports);
    }
};

} // namespace control

/// Any datagram between controllers.
using ControlMessage = std::variant<control::Ping,
                                    control::Ack,
                                    control::PingRequest,
                                    control::SyncOffer,
                                    control::SyncRecords,
                                    control::RegionExchange,
                                    control::ConfigAnnounce,
                                    control::ConfigPull,
                                    control::LoadExchange>;

/// Maximum size of one encoded message.
constexpr std::size_t ControlMessageBytes = 1200;

/// Encodes a message for one datagram.
std::string encode(const ControlMessage &message);

/// Decodes a datagram's payload. Returns nothing, with a last reason, for truncated, forged or unknown input.
std::optional<ControlMessage> decodeControlMessage(std::string_view bytes);

} // namespace pomeloport
