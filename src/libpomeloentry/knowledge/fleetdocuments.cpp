#include "pomeloentry/knowledge/fleetdocuments.h"

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace pomeloentry
{

namespace
{

/// How long a removed document is remembered, in case a restored store names it again. Copies of the store are some
/// seconds old.
constexpr Duration RemovalMemory = std::chrono::minutes(2);

std::uint32_t remainingMs(Instant until, Instant now)
{
    const auto rest = std::max(Duration(until - now), Duration::zero());
    return static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(rest).count());
}

} // namespace

void DocumentCopy::subtractAge(Duration age)
{
    const auto ageMs = static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(age).count());
    for (auto &[name, delayMs] : removalDelaysMs) {
        delayMs -= std::min(delayMs, ageMs);
    }
    for (auto &[name, entry] : withheld) {
        // Zero stands for no limit.
        entry.remainingMs = entry.remainingMs == 0 ? 0 : std::max(entry.remainingMs, ageMs + 1) - ageMs;
    }
    for (auto &[name, entry] : removed) {
        entry.remainingMs -= std::min(entry.remainingMs, ageMs);
    }
}

FleetDocuments::FleetDocuments(RestoreRules rules)
    : m_rules(std::move(rules))
{
}

bool FleetDocuments::replace(const std::vector<pomeloport::StoreObject> &objects,
                             StoreVersion asOf,
                             Instant removeAt,
                             Instant now)
{
    if (asOf < m_asOf) {
        return false;
    }
    const bool isRestored = beginsEra(asOf);
    bool changed = false;
    std::set<std::string> listedNames;
    for (const auto &object : objects) {
        listedNames.insert(object.name);
        changed = list(object.name, {{asOf.era, object.version}, object.value}, now) || changed;
    }
    std::vector<std::string> unlistedNames;
    for (const auto &[name, document] : m_documents) {
        if (!listedNames.contains(name)) {
            unlistedNames.push_back(name);
        }
    }
    for (const auto &name : unlistedNames) {
        if (m_documents.at(name).version.era < asOf.era) {
            retain(name, std::max(removeAt, now + m_rules.missingTime.value_or(Duration::zero())));
            continue;
        }
        m_lastChangeVersion = asOf;
        changed = remove(name, removeAt, now) || changed;
    }
    const auto unlisted = [&listedNames](const auto &entry) {
        return !listedNames.contains(entry.first);
    };
    if (std::erase_if(m_withheld, unlisted) > 0 || isRestored) {
        m_lastChangeVersion = asOf;
    }
    if (isRestored) {
        confirmRemovals(asOf);
    }
    m_asOf = asOf;
    return changed;
}

bool FleetDocuments::apply(const std::vector<pomeloport::StoreObject> &changes,
                           StoreVersion asOf,
                           Instant removeAt,
                           Instant now)
{
    if (asOf.era != m_asOf.era) {
        return false;
    }
    bool changed = false;
    for (const auto &object : changes) {
        const StoreVersion version{asOf.era, object.version};
        if (!object.removed) {
            changed = update(object.name, {version, object.value}, now) || changed;
            continue;
        }
        const auto withheld = m_withheld.find(object.name);
        if (withheld != m_withheld.end() && version >= withheld->second.document.version) {
            m_withheld.erase(withheld);
            m_lastChangeVersion = std::max(m_lastChangeVersion, asOf);
        }
        const auto known = m_documents.find(object.name);
        if (known != m_documents.end() && version >= known->second.version) {
            m_lastChangeVersion = std::max(m_lastChangeVersion, asOf);
            changed = remove(object.name, removeAt, now) || changed;
        }
    }
    m_asOf = std::max(m_asOf, asOf);
    return changed;
}

bool FleetDocuments::merge(const DocumentCopy &copy, std::optional<Instant> ownRemoveAt, Instant now)
{
    if (copy.asOf.era < m_asOf.era) {
        return false;
    }
    const bool isRestored = beginsEra(copy.asOf);
    for (const auto &[name, removed] : copy.removed) {
        if (!m_documents.contains(name)) {
            const auto forgottenAt = now + std::chrono::milliseconds(removed.remainingMs);
            m_removed.try_emplace(name, Removed{removed.document, forgottenAt});
        }
    }
    bool changed = mergeWithheld(copy, now);
    std::erase_if(m_withheld, [&copy](const auto &entry) {
        const auto &[name, withheld] = entry;
        const bool isUsed = copy.documents.contains(name) && !copy.removalDelaysMs.contains(name);
        // The store no longer has this state.
        return !copy.withheld.contains(name) && !isUsed && withheld.document.version <= copy.asOf;
    });
    for (const auto &[name, document] : copy.documents) {
        if (document.version.era < copy.asOf.era) {
            changed = mergeUnconfirmed(name, document, copy, now) || changed;
            continue;
        }
        const auto delay = copy.removalDelaysMs.find(name);
        if (delay == copy.removalDelaysMs.end()) {
            changed = update(name, document, now) || changed;
            continue;
        }
        const auto removeAt = ownRemoveAt.value_or(now + std::chrono::milliseconds(delay->second));
        const auto known = m_documents.find(name);
        const auto removed = m_removed.find(name);
        const bool isGone = known == m_documents.end() && removed != m_removed.end()
            && removed->second.document.version.era < document.version.era;
        if (isGone || (known != m_documents.end() && known->second.version > document.version)) {
            continue;
        }
        // An instance that has just started uses documents that may be written again soon.
        changed = (removeAt > now && update(name, document, now)) || changed;
        changed = remove(name, removeAt, now) || changed;
    }
    changed = mergeAbsent(copy, ownRemoveAt, now) || changed;
    m_lastChangeVersion = std::max(m_lastChangeVersion, copy.lastChangeVersion);
    if (isRestored) {
        // Also if the peer knows of no change in this era, the others lack what this replica retains.
        m_lastChangeVersion = std::max(m_lastChangeVersion, copy.asOf);
        confirmRemovals(copy.asOf);
    }
    m_asOf = std::max(m_asOf, copy.asOf);
    return changed;
}

/// Merges the states that a peer withholds: a later state that it uses in their place, or that the document is gone.
bool FleetDocuments::mergeWithheld(const DocumentCopy &copy, Instant now)
{
    bool changed = false;
    for (const auto &[name, entry] : copy.withheld) {
        const auto version = entry.document.version;
        const auto known = m_documents.find(name);
        const auto own = m_withheld.find(name);
        const bool hasOwn = own != m_withheld.end() && own->second.document.version >= version;
        const bool isWrittenAnew = known != m_documents.end() && known->second.version > version;
        if ((hasOwn && own->second.released) || isWrittenAnew) {
            continue;
        }
        const auto used = copy.documents.find(name);
        const bool isListedHere =
            known != m_documents.end() && known->second.version.era == version.era && !m_pendingRemovals.contains(name);
        if (!hasOwn && !isListedHere && version <= m_asOf) {
            // The store has lost this state, too, since the peer read it.
            changed = (used == copy.documents.end() && erase(name, now)) || changed;
            continue;
        }
        if (used == copy.documents.end()) {
            changed = erase(name, now) || changed;
            m_removed[name].document = entry.document;
        } else if (known == m_documents.end()) {
            if (!m_removed.contains(name)) {
                m_documents[name] = {version, used->second.text};
                changed = true;
            }
        } else {
            const bool isFromStore = !hasOwn && known->second.version.era == version.era;
            const bool isLater = m_rules.isLater && m_rules.isLater(name, known->second, used->second);
            if (known->second.text != used->second.text && (isFromStore || isLater)) {
                known->second.text = used->second.text;
                changed = true;
            }
            known->second.version = std::max(known->second.version, version);
        }
        if (!hasOwn) {
            const auto limit = std::chrono::milliseconds(entry.remainingMs);
            const auto until = entry.remainingMs > 0 ? std::optional<Instant>(now + limit) : std::nullopt;
            m_withheld[name] = {entry.document, until, false};
        }
    }
    return changed;
}

/// Merges a document that a peer uses although the restored store lacks it.
bool FleetDocuments::mergeUnconfirmed(const std::string &name,
                                      const StoredDocument &document,
                                      const DocumentCopy &copy,
                                      Instant now)
{
    const auto delay = copy.removalDelaysMs.find(name);
    const auto removeAt = now + std::chrono::milliseconds(delay == copy.removalDelaysMs.end() ? 0 : delay->second);
    const auto known = m_documents.find(name);
    if (known == m_documents.end() && m_removed.contains(name)) {
        return false;
    }
    if (known != m_documents.end() && known->second.version >= document.version) {
        if (known->second.version.era < copy.asOf.era) {
            retain(name, removeAt);
        }
        return false;
    }
    m_documents[name] = document;
    retain(name, removeAt);
    return true;
}

/// Removes the documents that a peer's copy lacks, if it would have them.
bool FleetDocuments::mergeAbsent(const DocumentCopy &copy, std::optional<Instant> ownRemoveAt, Instant now)
{
    std::vector<std::string> absentNames;
    for (const auto &[name, document] : m_documents) {
        const auto listed = copy.documents.find(name);
        // The list that the copy is of lacks a document which the peer knows from an earlier era only.
        const bool isListed = listed != copy.documents.end()
            && (listed->second.version.era == copy.asOf.era || document.version.era < copy.asOf.era);
        if (document.version <= copy.asOf && !isListed) {
            absentNames.push_back(name);
        }
    }
    bool changed = false;
    for (const auto &name : absentNames) {
        const auto &own = m_documents.at(name);
        const auto removed = copy.removed.find(name);
        const bool isKnownGone =
            removed != copy.removed.end() && !(m_rules.isLater && m_rules.isLater(name, removed->second.document, own));
        if (own.version.era < copy.asOf.era && !isKnownGone) {
            retain(name, now + m_rules.missingTime.value_or(Duration::zero()));
        } else {
            changed = remove(name, ownRemoveAt.value_or(now), now) || changed;
        }
    }
    return changed;
}

bool FleetDocuments::applyDueChanges(Instant now)
{
    std::vector<std::string> dueRemovals;
    for (const auto &[name, removeAt] : m_pendingRemovals) {
        if (removeAt <= now) {
            dueRemovals.push_back(name);
        }
    }
    bool changed = false;
    for (const auto &name : dueRemovals) {
        changed = erase(name, now) || changed;
    }
    for (auto &[name, entry] : m_withheld) {
        if (!entry.released && entry.until && *entry.until <= now) {
            entry.released = true;
            m_documents[name] = entry.document;
            m_removed.erase(name);
            changed = true;
        }
    }
    std::erase_if(m_removed, [this, now](const auto &entry) {
        return entry.second.forgottenAt <= now && !isWithheld(entry.first);
    });
    return changed;
}

/// Whether a list or copy is the first one of a later era than the replica's. What was withheld in the earlier era is
/// forgotten then, as the list tells anew what the store has.
bool FleetDocuments::beginsEra(StoreVersion asOf)
{
    if (asOf.era <= m_asOf.era || m_asOf == StoreVersion{}) {
        return false;
    }
    m_withheld.clear();
    for (const auto &name : m_unconfirmed) {
        m_pendingRemovals.erase(name);
    }
    m_unconfirmed.clear();
    return true;
}

/// Records that the store lacks the removed documents also in the current era, unless it has an earlier state of them.
void FleetDocuments::confirmRemovals(StoreVersion asOf)
{
    for (auto &[name, removed] : m_removed) {
        if (!m_withheld.contains(name)) {
            removed.document.version = std::max(removed.document.version, asOf);
        }
    }
}

/// Applies a change of a document unless the replica knows that it has changed or gone since: a document that is
/// missing, or that the lists of the era lack, is known to be gone up to m_asOf. Returns whether it did.
bool FleetDocuments::update(const std::string &name, const StoredDocument &document, Instant now)
{
    const auto known = m_documents.find(name);
    const bool isInEra = known != m_documents.end() && known->second.version.era == document.version.era;
    const bool isOlder = document.version <= (isInEra ? known->second.version : m_asOf)
        || (known != m_documents.end() && document.version < known->second.version);
    return !isOlder && take(name, document, now);
}

/// Applies a document of a list, which is complete: a document that the replica has lost track of is used again.
bool FleetDocuments::list(const std::string &name, const StoredDocument &document, Instant now)
{
    const auto known = m_documents.find(name);
    if (known == m_documents.end()) {
        const bool isWithheldState = isWithheld(name) && document.version <= m_withheld[name].document.version;
        return !isWithheldState && take(name, document, now);
    }
    if (known->second.version.era == document.version.era && !isWithheld(name)) {
        m_pendingRemovals.erase(name);
    }
    return document.version > known->second.version && take(name, document, now);
}

/// Uses a document that is newer than the known one, or withholds it if it is an earlier state that a restored store
/// has. Returns whether the documents changed.
bool FleetDocuments::take(const std::string &name, const StoredDocument &document, Instant now)
{
    const auto known = m_documents.find(name);
    const auto removed = m_removed.find(name);
    const bool isKnown = known != m_documents.end();
    const StoredDocument *before = isKnown ? &known->second : nullptr;
    if (!isKnown && removed != m_removed.end()) {
        before = &removed->second.document;
    }
    const bool isRestored = before && before->version.era < document.version.era;
    const bool isRetained = isKnown && isWithheld(name) && !m_withheld[name].until;
    if ((!isRestored && !isRetained) || !isEarlierState(name, *before, document)) {
        const bool changed = !isRestored || !isKnown || known->second.text != document.text;
        adopt(name, document);
        return changed;
    }
    if (!isKnown) {
        removed->second.document.version = document.version;
        withhold(name, document, now);
        return false;
    }
    known->second.version = document.version;
    if (known->second.text != document.text || m_pendingRemovals.contains(name)) {
        withhold(name, document, now);
    }
    return false;
}

/// Whether a document that a restored store has is an earlier state of the known one rather than a later change. A
/// change after the restore has a later revision or, as revisions are given out again, contents that are later.
bool FleetDocuments::isEarlierState(const std::string &name,
                                    const StoredDocument &known,
                                    const StoredDocument &listed) const
{
    // The list that began this era lacked the document, so it has been written since.
    if (m_rules.withheldTime && m_unconfirmed.contains(name)) {
        return false;
    }
    const bool mayBeEarlier = !m_rules.withheldTime || listed.version.revision <= known.version.revision;
    return mayBeEarlier && !(m_rules.isLater && m_rules.isLater(name, known, listed));
}

void FleetDocuments::adopt(const std::string &name, const StoredDocument &document)
{
    m_pendingRemovals.erase(name);
    m_withheld.erase(name);
    m_removed.erase(name);
    m_unconfirmed.erase(name);
    m_documents[name] = document;
    m_lastChangeVersion = std::max(m_lastChangeVersion, document.version);
}

void FleetDocuments::withhold(const std::string &name, const StoredDocument &document, Instant now)
{
    const auto until = m_rules.withheldTime ? std::optional<Instant>(now + *m_rules.withheldTime) : std::nullopt;
    m_withheld[name] = {document, until, false};
}

bool FleetDocuments::isWithheld(const std::string &name) const
{
    const auto found = m_withheld.find(name);
    return found != m_withheld.end() && !found->second.released;
}

/// Goes on using a document that the list or copy which began an era lacks, until a time if its kind has a limit.
void FleetDocuments::retain(const std::string &name, Instant removeAt)
{
    if (m_unconfirmed.insert(name).second && m_rules.missingTime) {
        m_pendingRemovals.try_emplace(name, removeAt);
    }
}

/// Removes a document now or at a later time. Of several times the earliest holds. Returns whether it was removed.
bool FleetDocuments::remove(const std::string &name, Instant removeAt, Instant now)
{
    if (removeAt <= now) {
        return erase(name, now);
    }
    if (m_documents.contains(name)) {
        auto &pending = m_pendingRemovals.try_emplace(name, removeAt).first->second;
        pending = std::min(pending, removeAt);
    }
    return false;
}

/// Returns whether the document existed.
bool FleetDocuments::erase(const std::string &name, Instant now)
{
    m_pendingRemovals.erase(name);
    m_unconfirmed.erase(name);
    auto node = m_documents.extract(name);
    if (node.empty()) {
        return false;
    }
    m_removed[name] = {std::move(node.mapped()), now + RemovalMemory};
    return true;
}

DocumentCopy FleetDocuments::copy(Instant now) const
{
    DocumentCopy result{m_asOf, m_lastChangeVersion, m_documents, {}, {}, {}};
    for (const auto &[name, removeAt] : m_pendingRemovals) {
        result.removalDelaysMs.emplace(name, remainingMs(removeAt, now));
    }
    for (const auto &[name, entry] : m_withheld) {
        if (!entry.released) {
            const auto limit = entry.until ? std::max<std::uint32_t>(remainingMs(*entry.until, now), 1) : 0;
            result.withheld.emplace(name, TimedDocument{entry.document, limit});
        }
    }
    for (const auto &[name, entry] : m_removed) {
        result.removed.emplace(name, TimedDocument{entry.document, remainingMs(entry.forgottenAt, now)});
    }
    return result;
}

const std::map<std::string, StoredDocument> &FleetDocuments::documents() const
{
    return m_documents;
}

std::size_t FleetDocuments::pendingRemovals() const
{
    return m_pendingRemovals.size();
}

std::size_t FleetDocuments::unconfirmedDocuments() const
{
    return m_unconfirmed.size();
}

std::size_t FleetDocuments::withheldDocuments() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_withheld, [](const auto &entry) { return !entry.second.released; }));
}

std::uint64_t FleetDocuments::retainedDigest() const
{
    std::string retained;
    const auto append = [this, &retained](const std::string &name) {
        const auto used = m_documents.find(name);
        retained.append(name).append(used == m_documents.end() ? "\1" : "\2" + used->second.text).append("\3");
    };
    for (const auto &[name, entry] : m_withheld) {
        if (!entry.released) {
            append(name);
        }
    }
    for (const auto &name : m_unconfirmed) {
        append(name);
    }
    return retained.empty() ? 0 : std::max<std::uint64_t>(XXH64(retained.data(), retained.size(), 0), 1);
}

StoreVersion FleetDocuments::asOf() const
{
    return m_asOf;
}

StoreVersion FleetDocuments::lastChangeVersion() const
{
    return m_lastChangeVersion;
}

} // namespace pomeloentry
