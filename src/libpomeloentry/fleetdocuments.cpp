#include "pomeloentry/fleetdocuments.h"

#include <algorithm>
#include <set>

namespace pomeloentry
{

using pomeloport::Duration;

bool FleetDocuments::replace(const std::vector<pomeloport::StoreObject> &objects,
                             std::uint64_t asOf,
                             Instant removeAt,
                             Instant now)
{
    if (asOf < m_asOf) {
        return false;
    }
    bool changed = false;
    std::set<std::string> listedNames;
    for (const auto &object : objects) {
        listedNames.insert(object.name);
        m_pendingRemovals.erase(object.name);
        auto &known = m_documents[object.name];
        if (object.version > known.version) {
            known = {object.version, object.value};
            m_lastChangeVersion = std::max(m_lastChangeVersion, object.version);
            changed = true;
        }
    }
    std::vector<std::string> unlistedNames;
    for (const auto &[name, document] : m_documents) {
        if (!listedNames.contains(name)) {
            unlistedNames.push_back(name);
        }
    }
    for (const auto &name : unlistedNames) {
        m_lastChangeVersion = asOf;
        changed = remove(name, removeAt, now) || changed;
    }
    m_asOf = asOf;
    return changed;
}

bool FleetDocuments::apply(const std::vector<pomeloport::StoreObject> &changes,
                           std::uint64_t asOf,
                           Instant removeAt,
                           Instant now)
{
    bool changed = false;
    for (const auto &object : changes) {
        const auto known = m_documents.find(object.name);
        if (object.removed) {
            if (known != m_documents.end() && object.version >= known->second.version) {
                m_lastChangeVersion = std::max(m_lastChangeVersion, asOf);
                changed = remove(object.name, removeAt, now) || changed;
            }
            continue;
        }
        if (known != m_documents.end() ? known->second.version >= object.version : object.version <= m_asOf) {
            continue;
        }
        m_pendingRemovals.erase(object.name);
        m_documents[object.name] = {object.version, object.value};
        m_lastChangeVersion = std::max(m_lastChangeVersion, object.version);
        changed = true;
    }
    m_asOf = std::max(m_asOf, asOf);
    return changed;
}

bool FleetDocuments::adopt(const DocumentCopy &copy, Instant now)
{
    if (copy.asOf <= m_asOf || copy.lastChangeVersion <= m_lastChangeVersion) {
        return false;
    }
    m_documents = copy.documents;
    m_pendingRemovals.clear();
    for (const auto &[name, delayMs] : copy.removalDelaysMs) {
        m_pendingRemovals.emplace(name, now + std::chrono::milliseconds(delayMs));
    }
    m_asOf = copy.asOf;
    m_lastChangeVersion = copy.lastChangeVersion;
    return true;
}

bool FleetDocuments::applyDueRemovals(Instant now)
{
    bool changed = false;
    for (auto entry = m_pendingRemovals.begin(); entry != m_pendingRemovals.end();) {
        if (entry->second > now) {
            ++entry;
            continue;
        }
        changed = m_documents.erase(entry->first) > 0 || changed;
        entry = m_pendingRemovals.erase(entry);
    }
    return changed;
}

bool FleetDocuments::remove(const std::string &name, Instant removeAt, Instant now)
{
    if (removeAt <= now) {
        m_pendingRemovals.erase(name);
        return m_documents.erase(name) > 0;
    }
    m_pendingRemovals.try_emplace(name, removeAt);
    return false;
}

DocumentCopy FleetDocuments::copy(Instant now) const
{
    DocumentCopy result{m_asOf, m_lastChangeVersion, m_documents, {}};
    for (const auto &[name, removeAt] : m_pendingRemovals) {
        const auto delay = std::max(Duration(removeAt - now), Duration::zero());
        result.removalDelaysMs.emplace(name, std::chrono::duration_cast<std::chrono::milliseconds>(delay).count());
    }
    return result;
}

const std::map<std::string, StoredDocument> &FleetDocuments::documents() const
{
    return m_documents;
}

std::uint64_t FleetDocuments::asOf() const
{
    return m_asOf;
}

std::uint64_t FleetDocuments::lastChangeVersion() const
{
    return m_lastChangeVersion;
}

} // namespace pomeloentry
