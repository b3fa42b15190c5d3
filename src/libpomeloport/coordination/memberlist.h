#pragma once

#include "pomeloport/clock.h"
#include "pomeloport/protocol/controlmessages.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// Records of the instances of one region: merging of received records, suspicion, digests, and the queue of updates to
/// send with heartbeats.
namespace pomeloport::detail
{

/// Outcome of merging a received record.
enum class MergeResult {
    /// The record was newer and replaced the known one.
    Applied,
    /// The record adds nothing to what is known.
    AlreadyKnown,
    /// The known record is newer.
    Outdated,
    /// The record declares this instance suspect or dead, which it has to refute.
    RefutationNeeded,
};

/// Member records by instance name. The record of this instance is kept separately and is always part of the digest.
class MemberList
{
public:
    MemberList(control::MemberRecord self, Duration suspicionTime, Duration deadRetention);

    const control::MemberRecord &self() const
    {
        return m_self;
    }

    /// Sets the state of this instance to Leaving or Alive and raises its revision if that changes it. Returns whether
    /// it changed.
    bool setLeaving(bool leaving);

    /// Raises the revision of this instance above that of a record that declares it suspect or dead.
    void refute(std::uint32_t revision);

    /// Merges a received record of an instance of the region.
    MergeResult merge(const control::MemberRecord &record, Instant now);

    /// Marks a live instance as suspect.
    void suspect(const std::string &name, Instant now);

    /// Declares suspects dead when their time for refuting ends, and forgets dead instances when their retention ends.
    /// Returns whether anything changed.
    bool expire(Instant now);

    /// Restarts the time for refuting of every suspect. Used after a pause of this process, in which refutations may
    /// have been missed.
    void restartSuspicion(Instant now);

    /// Returns the record of an instance, this one included, or null.
    const control::MemberRecord *find(std::string_view name) const;

    /// Returns the names of all peers that are not dead, in ascending order.
    std::vector<std::string> peers() const;

    /// Returns the names of suspects, in ascending order.
    std::vector<std::string> suspects() const;

    /// Returns the names of dead peers, in ascending order.
    std::vector<std::string> dead() const;

    /// Returns all records, including that of this instance, ordered by name.
    std::vector<control::MemberRecord> all() const;

    /// Returns a digest of all records that are not dead, including that of this instance.
    std::uint64_t digest() const;

    /// Returns the entries that the digest covers, for comparison by a peer.
    std::vector<control::MemberDigest> entries() const;

    /// Compares a peer's digest entries with this list. Returns the records that the peer lacks or holds differently,
    /// and the hashed names of those that this list lacks or holds differently.
    control::SyncRecords compare(const std::vector<control::MemberDigest> &theirs) const;

    /// Returns the records with the given hashed names.
    std::vector<control::MemberRecord> byHash(const std::vector<std::uint32_t> &names) const;

    /// Returns at most the given number of updated records to send, those with the most transmissions left first, and
    /// counts one transmission of each.
    std::vector<control::MemberRecord> takeUpdates(std::size_t count);

    /// Queues a record to be sent with heartbeats.
    void queueUpdate(const std::string &name);

private:
    struct Entry
    {
        control::MemberRecord record;
        /// When a suspect is declared dead, or a dead instance forgotten.
        Instant deadline{};
    };

    std::vector<std::string> namesInState(InstanceState state) const;
    void storeRecord(const control::MemberRecord &record, Instant now);
    std::uint32_t transmissions() const;

    control::MemberRecord m_self;
    Duration m_suspicionTime;
    Duration m_deadRetention;
    std::map<std::string, Entry, std::less<>> m_entries;
    /// Remaining transmissions of queued updates, by instance name.
    std::map<std::string, std::uint32_t> m_remainingTransmissions;
};

/// Returns the hash that stands for an instance name in digest entries.
std::uint32_t nameHash(std::string_view name);

} // namespace pomeloport::detail
