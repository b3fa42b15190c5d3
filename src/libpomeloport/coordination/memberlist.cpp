#include "memberlist.h"

#include <algorithm>
#include <bit>
#include <set>
#include <tuple>
#include <xxhash.h>

namespace pomeloport::detail
{

using control::MemberDigest;
using control::MemberRecord;

namespace
{

/// Number of transmissions of an update for each doubling of the region's size.
constexpr std::uint32_t TransmissionsPerDoubling = 3;

/// Precedence among records of one instance: the record with the greater rank supersedes the other.
auto rank(const MemberRecord &record)
{
    constexpr int Live = 0;
    int state = Live;
    if (record.state == InstanceState::Suspect) {
        state = 1;
    } else if (record.state == InstanceState::Dead) {
        state = 2;
    }
    return std::make_tuple(record.id.incarnation, record.revision, state);
}

/// Returns the hash of the fields that a digest covers. The state is left out: a suspicion is either refuted, which
/// raises the revision, or ends in the removal of the record from the digest.
std::uint64_t contentHash(const MemberRecord &record)
{
    const std::uint64_t numbers[] = {record.id.incarnation, record.revision};
    return XXH64(numbers, sizeof(numbers), XXH64(record.id.instance.data(), record.id.instance.size(), 0));
}

MemberDigest entryOf(const MemberRecord &record)
{
    return {nameHash(record.id.instance), static_cast<std::uint32_t>(contentHash(record))};
}

} // namespace

std::uint32_t nameHash(std::string_view name)
{
    return static_cast<std::uint32_t>(XXH64(name.data(), name.size(), 0));
}

MemberList::MemberList(MemberRecord self, Duration suspicionTime, Duration deadRetention)
    : m_self(std::move(self))
    , m_suspicionTime(suspicionTime)
    , m_deadRetention(deadRetention)
{
    queueUpdate(m_self.id.instance);
}

bool MemberList::setLeaving(bool leaving)
{
    const auto state = leaving ? InstanceState::Leaving : InstanceState::Alive;
    if (m_self.state == state) {
        return false;
    }
    m_self.state = state;
    ++m_self.revision;
    queueUpdate(m_self.id.instance);
    return true;
}

void MemberList::refute(std::uint32_t revision)
{
    m_self.revision = std::max(m_self.revision, revision) + 1;
    queueUpdate(m_self.id.instance);
}

MergeResult MemberList::merge(const MemberRecord &record, Instant now)
{
    if (record.id.instance == m_self.id.instance) {
        const bool declaresFailure = record.state == InstanceState::Suspect || record.state == InstanceState::Dead;
        const bool current = record.id.incarnation == m_self.id.incarnation && record.revision >= m_self.revision;
        return declaresFailure && current ? MergeResult::RefutationNeeded : MergeResult::AlreadyKnown;
    }
    const auto known = m_entries.find(record.id.instance);
    if (known != m_entries.end()) {
        if (rank(record) < rank(known->second.record)) {
            return MergeResult::Outdated;
        }
        if (rank(record) == rank(known->second.record)) {
            return MergeResult::AlreadyKnown;
        }
    } else if (record.state == InstanceState::Dead) {
        return MergeResult::AlreadyKnown;
    }
    storeRecord(record, now);
    queueUpdate(record.id.instance);
    return MergeResult::Applied;
}

void MemberList::storeRecord(const MemberRecord &record, Instant now)
{
    auto &entry = m_entries[record.id.instance];
    entry.record = record;
    const bool dead = record.state == InstanceState::Dead;
    entry.deadline = now + (dead ? m_deadRetention : m_suspicionTime);
}

void MemberList::suspect(const std::string &name, Instant now)
{
    const auto known = m_entries.find(name);
    if (known == m_entries.end() || known->second.record.state == InstanceState::Suspect
        || known->second.record.state == InstanceState::Dead) {
        return;
    }
    known->second.record.state = InstanceState::Suspect;
    known->second.deadline = now + m_suspicionTime;
    queueUpdate(name);
}

bool MemberList::expire(Instant now)
{
    bool changed = false;
    for (auto entry = m_entries.begin(); entry != m_entries.end();) {
        auto &[record, deadline] = entry->second;
        const bool due = deadline <= now;
        if (due && record.state == InstanceState::Dead) {
            m_remainingTransmissions.erase(entry->first);
            entry = m_entries.erase(entry);
            changed = true;
            continue;
        }
        if (due && record.state == InstanceState::Suspect) {
            record.state = InstanceState::Dead;
            deadline = now + m_deadRetention;
            queueUpdate(entry->first);
            changed = true;
        }
        ++entry;
    }
    return changed;
}

void MemberList::restartSuspicion(Instant now)
{
    for (auto &[name, entry] : m_entries) {
        if (entry.record.state == InstanceState::Suspect) {
            entry.deadline = now + m_suspicionTime;
        }
    }
}

const MemberRecord *MemberList::find(std::string_view name) const
{
    if (name == m_self.id.instance) {
        return &m_self;
    }
    const auto known = m_entries.find(name);
    return known == m_entries.end() ? nullptr : &known->second.record;
}

std::vector<std::string> MemberList::peers() const
{
    std::vector<std::string> result;
    for (const auto &[name, entry] : m_entries) {
        if (entry.record.state != InstanceState::Dead) {
            result.push_back(name);
        }
    }
    return result;
}

std::vector<std::string> MemberList::suspects() const
{
    return namesInState(InstanceState::Suspect);
}

std::vector<std::string> MemberList::dead() const
{
    return namesInState(InstanceState::Dead);
}

std::vector<std::string> MemberList::namesInState(InstanceState state) const
{
    std::vector<std::string> result;
    for (const auto &[name, entry] : m_entries) {
        if (entry.record.state == state) {
            result.push_back(name);
        }
    }
    return result;
}

std::vector<MemberRecord> MemberList::all() const
{
    std::vector<MemberRecord> result;
    result.reserve(m_entries.size() + 1);
    for (const auto &[name, entry] : m_entries) {
        result.push_back(entry.record);
    }
    const auto position =
        std::ranges::lower_bound(result, m_self.id.instance, {}, [](const auto &record) { return record.id.instance; });
    result.insert(position, m_self);
    return result;
}

std::uint64_t MemberList::digest() const
{
    std::uint64_t result = contentHash(m_self);
    for (const auto &[name, entry] : m_entries) {
        result += entry.record.state == InstanceState::Dead ? 0 : contentHash(entry.record);
    }
    return result;
}

std::vector<MemberDigest> MemberList::entries() const
{
    std::vector<MemberDigest> result{entryOf(m_self)};
    for (const auto &[name, entry] : m_entries) {
        if (entry.record.state != InstanceState::Dead) {
            result.push_back(entryOf(entry.record));
        }
    }
    return result;
}

control::SyncRecords MemberList::compare(const std::vector<MemberDigest> &theirs) const
{
    std::map<std::uint32_t, std::uint32_t> unmatched;
    for (const auto &[name, content] : theirs) {
        unmatched[name] = content;
    }
    control::SyncRecords result;
    for (const auto &record : all()) {
        const auto [name, content] = entryOf(record);
        const auto entry = unmatched.find(name);
        const bool listed = entry != unmatched.end();
        const bool same = listed && entry->second == content;
        const bool dead = record.state == InstanceState::Dead;
        if (listed ? !same || dead : !dead) {
            result.records.push_back(record);
        }
        if (same) {
            unmatched.erase(entry);
        }
    }
    for (const auto &[name, content] : unmatched) {
        result.wanted.push_back(name);
    }
    return result;
}

std::vector<MemberRecord> MemberList::byHash(const std::vector<std::uint32_t> &names) const
{
    const std::set<std::uint32_t> wanted(names.begin(), names.end());
    std::vector<MemberRecord> result;
    for (const auto &record : all()) {
        if (wanted.contains(nameHash(record.id.instance))) {
            result.push_back(record);
        }
    }
    return result;
}

std::vector<MemberRecord> MemberList::takeUpdates(std::size_t count)
{
    std::vector<std::pair<std::uint32_t, std::string>> order;
    for (const auto &[name, left] : m_remainingTransmissions) {
        order.emplace_back(left, name);
    }
    std::ranges::sort(order, std::greater<>());
    order.resize(std::min(order.size(), count));
    std::vector<MemberRecord> result;
    for (const auto &[left, name] : order) {
        result.push_back(*find(name));
        if (--m_remainingTransmissions[name] == 0) {
            m_remainingTransmissions.erase(name);
        }
    }
    return result;
}

void MemberList::queueUpdate(const std::string &name)
{
    m_remainingTransmissions[name] = transmissions();
}

std::uint32_t MemberList::transmissions() const
{
    return TransmissionsPerDoubling * static_cast<std::uint32_t>(std::bit_width(m_entries.size() + 1));
}

} // namespace pomeloport::detail
