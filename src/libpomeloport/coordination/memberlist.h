#pragma once

#include "pomeloport/clock.h"
#include "pomeloport/protocol/controlmessages.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// The records of a region's instances: merging, suspicion, digests and the queue of news.
namespace pomeloport::detail
{

/// What became of a record that came in.
enum class MergeResult {
    /// It told something new.
    Applied,
    /// It equals what is known.
    Known,
    /// The known record holds over it.
    Outdated,
    /// It says of the own instance that it is not well.
    AboutSelf,
};

/// Records by instance name. The own record is kept apart and always part of the digest.
class MemberList
{
public:
    MemberList(control::MemberRecord self, Duration suspicionTime, Duration deadRetention);

    const control::MemberRecord &self() const
    {
        return m_self;
    }

    /// Changes the own state and raises the revision when it differs. Returns whether it did.
    bool setLeaving(bool leaving);

    /// Raises the own revision above one that somebody holds against this instance.
    void refute(std::uint32_t revision);

    /// Takes a record of an instance of the region.
    MergeResult merge(const control::MemberRecord &record, Instant now);

    /// Marks a live instance as suspected.
    void suspect(const std::string &name, Instant now);

    /// Turns suspects whose time is up into dead instances and forgets old dead ones. Returns whether anything changed.
    bool expire(Instant now);

    /// Gives every suspect its full time again, after this process itself was paused.
    void restartSuspicion(Instant now);

    /// Returns the record, or null.
    const control::MemberRecord *find(std::string_view name) const;

    /// Names of live and suspected peers, by name.
    std::vector<std::string> peers() const;

    /// Names of suspected peers.
    std::vector<std::string> suspects() const;

    /// Names of dead peers.
    std::vector<std::string> dead() const;

    std::vector<control::MemberRecord> all() const;

    /// Digest of the records taken for live, the own one included.
    std::uint64_t digest() const;

    /// Entries of the digest, for comparison with a peer.
    std::vector<control::MemberDigest> entries() const;

    /// The records that a peer with these entries lacks, and the names that this list lacks.
    control::SyncRecords compare(const std::vector<control::MemberDigest> &theirs) const;

    /// Records with these hashed names.
    std::vector<control::MemberRecord> byHash(const std::vector<std::uint32_t> &names) const;

    /// Takes up to a number of records from the news, those sent least often first.
    std::vector<control::MemberRecord> takeNews(std::size_t count);

    /// Puts a record among the news.
    void spread(const std::string &name);

private:
    struct Entry
    {
        control::MemberRecord record;
        /// When a suspect counts as dead, or a dead instance is forgotten.
        Instant deadline{};
    };

    std::vector<std::string> inState(InstanceState state) const;
    void put(const control::MemberRecord &record, Instant now);
    std::uint32_t transmissions() const;

    control::MemberRecord m_self;
    Duration m_suspicionTime;
    Duration m_deadRetention;
    std::map<std::string, Entry, std::less<>> m_entries;
    /// Transmissions left by name.
    std::map<std::string, std::uint32_t> m_news;
};

/// Hashes a name for digests.
std::uint32_t nameHash(std::string_view name);

} // namespace pomeloport::detail
