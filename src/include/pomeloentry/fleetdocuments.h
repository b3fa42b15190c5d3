#pragma once

#include "pomeloport/clock.h"
#include "pomeloport/protocol/store.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// Documents of one kind as the store has them, kept current by lists, watches and other instances. Not thread safe.
namespace pomeloentry
{

using pomeloport::Instant;

/// One document with the store's version of it.
struct StoredDocument
{
    std::uint64_t version = 0;
    std::string text;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(version, text);
    }
};

/// All documents of a kind, as told to another instance.
struct DocumentCopy
{
    std::uint64_t asOf = 0;
    std::uint64_t lastChangeVersion = 0;
    std::map<std::string, StoredDocument> documents;
    /// Documents that the store has removed and that stay for a while yet, in milliseconds.
    std::map<std::string, std::uint32_t> removalDelaysMs;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(asOf, lastChangeVersion, documents, removalDelaysMs);
    }
};

class FleetDocuments
{
public:
    /// Replaces everything by a complete list. A list older than what is known is ignored. Removals that the list
    /// implies take effect at the given time: entries that lapsed while the store was away come back shortly after.
    /// Returns whether anything changed.
    bool replace(const std::vector<pomeloport::StoreObject> &objects,
                 std::uint64_t asOf,
                 Instant removeAt,
                 Instant now);

    /// Applies changes of a watch. Returns whether anything changed.
    bool apply(const std::vector<pomeloport::StoreObject> &changes, std::uint64_t asOf, Instant removeAt, Instant now);

    /// Takes the copy of another instance, if it is newer.
    bool adopt(const DocumentCopy &copy, Instant now);

    /// Carries out removals that are due.
    bool applyDueRemovals(Instant now);

    DocumentCopy copy(Instant now) const;
    const std::map<std::string, StoredDocument> &documents() const;

    /// The store's version up to which changes are known; zero before the first list.
    std::uint64_t asOf() const;

    /// The store's version of the last change that was seen.
    std::uint64_t lastChangeVersion() const;

private:
    bool remove(const std::string &name, Instant removeAt, Instant now);

    std::map<std::string, StoredDocument> m_documents;
    std::map<std::string, Instant> m_pendingRemovals;
    std::uint64_t m_asOf = 0;
    std::uint64_t m_lastChangeVersion = 0;
};

} // namespace pomeloentry
