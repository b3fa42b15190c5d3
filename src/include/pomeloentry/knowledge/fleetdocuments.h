#pragma once

#include "pomeloentry/knowledge/storeversion.h"

#include "pomeloport/clock.h"
#include "pomeloport/protocol/store.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// Local replica of the store's documents of one kind, updated from lists, watches and peers. Not thread safe.
namespace pomeloentry
{

using pomeloport::Duration;
using pomeloport::Instant;

/// A document and the store version of its last change.
struct StoredDocument
{
    StoreVersion version;
    std::string text;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(version, text);
    }
};

/// What is done with documents that a store has in an older state, or not at all, after it came back from an older
/// copy. Whoever wrote the lost changes writes them again.
struct RestoreRules
{
    /// How long a document that the restored store lacks stays in use; without a value until it is written again.
    std::optional<Duration> missingTime = std::chrono::seconds(5);
    /// How long the older state of a document is withheld if nobody writes the document again; without a value for as
    /// long as the contents are older. The default is far more than the time after which a store drops the entry of a
    /// server that is silent, so the server has written an entry that is still there.
    std::optional<Duration> withheldTime = std::chrono::seconds(30);
    /// Whether a listed state of a document is certainly later than the known one, or as good.
    std::function<bool(const std::string &name, const StoredDocument &known, const StoredDocument &listed)> isLater;
};

/// A state of a document, and for how long something holds for it.
struct TimedDocument
{
    StoredDocument document;
    std::uint32_t remainingMs = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(document, remainingMs);
    }
};

/// All documents of a kind, as transferred to another instance.
struct DocumentCopy
{
    /// Store version up to which the copy is complete.
    StoreVersion asOf;
    /// Store version of the last change that the copy holds.
    StoreVersion lastChangeVersion;
    std::map<std::string, StoredDocument> documents;
    /// Remaining delay of each pending removal: documents that the store no longer has and that are still in use.
    std::map<std::string, std::uint32_t> removalDelaysMs;
    /// States that a restored store has of documents and that are not used, with the time for which they are withheld;
    /// without limit if that is zero.
    std::map<std::string, TimedDocument> withheld;
    /// Documents that were removed recently, as they were before, with the time for which they are remembered.
    std::map<std::string, TimedDocument> removed;

    /// Subtracts the age of the copy from all remaining times.
    void subtractAge(Duration age);

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(asOf, lastChangeVersion, documents, removalDelaysMs, withheld, removed);
    }
};

/// After a restore of the store, the replica goes on using what it knew: a document that the restored store lacks, the
/// later state of one that the store has in an earlier state, and the absence of one that had been removed. Each holds
/// until the document is written again, or for the time of its RestoreRules.
class FleetDocuments
{
public:
    explicit FleetDocuments(RestoreRules rules = {});

    /// Replaces the contents with a complete list; a list older than the replica is ignored. Documents missing from
    /// the list are removed at removeAt, since entries that expired during an outage of the store are written again
    /// shortly after it. Returns whether the documents changed.
    bool replace(const std::vector<pomeloport::StoreObject> &objects, StoreVersion asOf, Instant removeAt, Instant now);

    /// Applies the changes reported by a watch, in their order; those of another era than the replica's are ignored. A
    /// reply may be delayed until a peer's copy has told of later changes: a document that is missing although the
    /// replica is complete beyond its version has been removed, and such a change does not restore it. Returns whether
    /// the documents changed.
    bool apply(const std::vector<pomeloport::StoreObject> &changes, StoreVersion asOf, Instant removeAt, Instant now);

    /// Merges a peer's copy: of each document the newer version stays, and a document that either side knows to be gone
    /// is not restored. A copy of an earlier era is ignored. A removal that is new to this replica takes effect at
    /// ownRemoveAt if that is given, which an instance does that reads the store itself. Otherwise it takes effect
    /// after the delay that the peer has for it. The delay of a peer never postpones a removal that this replica knows.
    /// Returns whether the documents changed.
    bool merge(const DocumentCopy &copy, std::optional<Instant> ownRemoveAt, Instant now);

    /// Removes documents whose delay has passed, and uses the states of documents that were withheld for long enough.
    /// Returns whether the documents changed.
    bool applyDueChanges(Instant now);

    DocumentCopy copy(Instant now) const;
    const std::map<std::string, StoredDocument> &documents() const;

    /// Number of documents that the store no longer has and that are still in use.
    std::size_t pendingRemovals() const;

    /// Number of documents that are used although the restored store lacks them, and of states of documents that it has
    /// and that are withheld.
    std::size_t unconfirmedDocuments() const;
    std::size_t withheldDocuments() const;

    /// Digest of the unconfirmed and withheld documents, which differ from the store's list; zero if there are none.
    std::uint64_t retainedDigest() const;

    /// Store version up to which all changes are known; zero before the first list.
    StoreVersion asOf() const;

    /// Store version of the last known change.
    StoreVersion lastChangeVersion() const;

private:
    struct Withheld
    {
        StoredDocument document;
        /// When the state is used after all; nothing without a limit.
        std::optional<Instant> until;
        /// Whether it has been used since.
        bool released = false;
    };

    struct Removed
    {
        StoredDocument document;
        Instant forgottenAt{};
    };

    bool beginsEra(StoreVersion asOf);
    void confirmRemovals(StoreVersion asOf);
    bool update(const std::string &name, const StoredDocument &document, Instant now);
    bool list(const std::string &name, const StoredDocument &document, Instant now);
    bool take(const std::string &name, const StoredDocument &document, Instant now);
    bool isEarlierState(const std::string &name, const StoredDocument &known, const StoredDocument &listed) const;
    void adopt(const std::string &name, const StoredDocument &document);
    void withhold(const std::string &name, const StoredDocument &document, Instant now);
    bool isWithheld(const std::string &name) const;
    void retain(const std::string &name, Instant removeAt);
    bool remove(const std::string &name, Instant removeAt, Instant now);
    bool erase(const std::string &name, Instant now);
    bool mergeWithheld(const DocumentCopy &copy, Instant now);
    bool mergeUnconfirmed(const std::string &name,
                          const StoredDocument &document,
                          const DocumentCopy &copy,
                          Instant now);
    bool mergeAbsent(const DocumentCopy &copy, std::optional<Instant> ownRemoveAt, Instant now);

    RestoreRules m_rules;
    std::map<std::string, StoredDocument> m_documents;
    std::map<std::string, Instant> m_pendingRemovals;
    std::map<std::string, Withheld> m_withheld;
    std::map<std::string, Removed> m_removed;
    /// Names of documents in use that no list of the current era has had.
    std::set<std::string> m_unconfirmed;
    StoreVersion m_asOf;
    StoreVersion m_lastChangeVersion;
};

} // namespace pomeloentry
