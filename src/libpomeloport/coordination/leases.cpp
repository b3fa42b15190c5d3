#include "pomeloport/coordination/leases.h"

#include "../protocol/jsonfields.h"

#include <algorithm>

namespace pomeloport
{

namespace
{

constexpr std::string_view HolderPrefix = "holder/";
constexpr std::string_view GrantsPrefix = "grants/";

std::string holderName(const std::string &instance)
{
    return std::string(HolderPrefix) + instance;
}

std::string holderValue(const OwnerId &owner, std::uint64_t renewal)
{
    boost::json::object object;
    object["instance"] = owner.instance;
    object["incarnation"] = owner.incarnation;
    object["renewal"] = renewal;
    return boost::json::serialize(object);
}

std::string brokenValue(const OwnerId &by)
{
    boost::json::object object;
    object["broken_by"] = by.instance;
    return boost::json::serialize(object);
}

/// The process that wrote a holder's object, or nothing for a broken lease.
std::optional<OwnerId> ownerIn(const std::string &value)
{
    detail::JsonReader reader(value);
    OwnerId owner{reader.text("instance", true), reader.number("incarnation", true)};
    return reader.ok() ? std::optional(owner) : std::nullopt;
}

} // namespace

LeaseManager::LeaseManager(OwnerId self, std::string region, LeaseLimits limits)
    : m_self(std::move(self))
    , m_region(std::move(region))
    , m_limits(limits)
{
}

void LeaseManager::setHomeEngines(std::set<std::string> engines)
{
    m_wanted = std::move(engines);
}

void LeaseManager::stop()
{
    m_stopping = true;
    m_wanted.clear();
    m_held.clear();
}

bool LeaseManager::released() const
{
    return m_released;
}

std::optional<std::uint64_t> LeaseManager::orderFencingNumber(const std::string &engine,
                                                              bool checksFencing,
                                                              Instant now) const
{
    const auto held = m_held.find(engine);
    if (held == m_held.end() || !m_wanted.contains(engine) || !m_validUntil || now >= *m_validUntil) {
        return std::nullopt;
    }
    if (!checksFencing && now < held->second.takenAt + m_limits.longestOrder) {
        return std::nullopt;
    }
    return held->second.fencingNumber;
}

Instant LeaseManager::dueAt() const
{
    if (m_purpose || m_released) {
        return Instant::max();
    }
    if (m_stopping || !m_grantsVersion) {
        return m_retryAt;
    }
    const bool missing = std::any_of(
        m_wanted.begin(), m_wanted.end(), [this](const std::string &engine) { return !m_held.contains(engine); });
    const Instant next = missing ? m_grantsReadAt + m_limits.retryDelay : m_grantsReadAt + m_limits.renewalInterval;
    return std::max(m_retryAt, std::min(m_renewAt, next));
}

std::optional<StoreCall> LeaseManager::advance(Instant now)
{
    if (m_validUntil && now >= *m_validUntil) {
        lapse();
    }
    if (m_purpose || m_released || now < m_retryAt) {
        return std::nullopt;
    }
    if (!m_stopping && now >= m_renewAt) {
        return renew(now);
    }
    return advanceGrants(now);
}

StoreCall LeaseManager::renew(Instant now)
{
    if (!m_ownVersion) {
        return makeCall(Purpose::ReadOwn, StoreOperation::Get, holderName(m_self.instance), 0, {});
    }
    m_ownValue = holderValue(m_self, ++m_renewals);
    m_ownSentAt = now;
    const StoreOperation operation = *m_ownVersion == 0 ? StoreOperation::Create : StoreOperation::Update;
    return makeCall(Purpose::WriteOwn, operation, holderName(m_self.instance), *m_ownVersion, m_ownValue);
}

std::optional<StoreCall> LeaseManager::advanceGrants(Instant now)
{
    const bool missing = std::any_of(
        m_wanted.begin(), m_wanted.end(), [this](const std::string &engine) { return !m_held.contains(engine); });
    const Duration age = now - m_grantsReadAt;
    if (!m_grantsVersion || age >= m_limits.renewalInterval || (missing && age >= m_limits.retryDelay)) {
        return makeCall(Purpose::ReadGrants, StoreOperation::Get, grantsName(), 0, {});
    }
    for (const std::string &engine : m_wanted) {
        const auto grant = m_grants.find(engine);
        if (grant == m_grants.end() || mayTake(grant->second)) {
            continue;
        }
        if (auto call = settleOther(grant->second.owner, now)) {
            return call;
        }
    }
    const std::uint64_t fencingNumber = *m_grantsVersion + 1;
    const std::string wanted = encode(wantedGrants(fencingNumber));
    if (wanted != encode(m_grants)) {
        m_attempted.insert(fencingNumber);
        const StoreOperation operation = *m_grantsVersion == 0 ? StoreOperation::Create : StoreOperation::Update;
        return makeCall(Purpose::WriteGrants, operation, grantsName(), *m_grantsVersion, wanted);
    }
    return m_stopping ? finishStop() : std::nullopt;
}

std::optional<StoreCall> LeaseManager::finishStop()
{
    if (!m_ownVersion) {
        return makeCall(Purpose::ReadOwn, StoreOperation::Get, holderName(m_self.instance), 0, {});
    }
    if (*m_ownVersion != 0) {
        return makeCall(Purpose::WriteOwn, StoreOperation::Remove, holderName(m_self.instance), *m_ownVersion, {});
    }
    m_released = true;
    return std::nullopt;
}

/// Finds out whether another holder's lease has ended. A lease that looks unchanged for its whole duration is broken
/// by a conditional write, which fails if it was renewed after all.
std::optional<StoreCall> LeaseManager::settleOther(const OwnerId &owner, Instant now)
{
    const std::string &instance = owner.instance;
    const auto known = m_others.find(instance);
    m_otherInstance = instance;
    const bool outdated =
        known != m_others.end() && known->second.broken && known->second.grantsVersion != m_grantsVersion.value_or(0);
    if (known == m_others.end() || outdated || now - known->second.readAt >= m_limits.retryDelay) {
        return makeCall(Purpose::ReadOther, StoreOperation::Get, holderName(instance), 0, {});
    }
    const Observation &seen = known->second;
    if (now - seen.since < m_limits.duration + m_limits.clockDriftMargin) {
        return std::nullopt;
    }
    const StoreOperation operation = seen.version == 0 ? StoreOperation::Create : StoreOperation::Update;
    return makeCall(Purpose::BreakOther, operation, holderName(instance), seen.version, brokenValue(m_self));
}

bool LeaseManager::isMine(const EngineGrant &grant) const
{
    return grant.owner.instance == m_self.instance;
}

/// Whether the owner of a grant can no longer give orders under it.
bool LeaseManager::mayTake(const EngineGrant &grant) const
{
    if (isMine(grant)) {
        return true;
    }
    const auto known = m_others.find(grant.owner.instance);
    if (known == m_others.end()) {
        return false;
    }
    const Observation &seen = known->second;
    // A break that was read before these grants says nothing of them: the holder may have taken the engine again since.
    const bool broken = seen.broken && m_grantsVersion && seen.grantsVersion == *m_grantsVersion;
    return broken || (seen.owner && seen.owner->incarnation > grant.owner.incarnation);
}

EngineGrants LeaseManager::wantedGrants(std::uint64_t fencingNumber) const
{
    EngineGrants grants = m_grants;
    std::erase_if(grants,
                  [this](const auto &entry) { return isMine(entry.second) && !m_wanted.contains(entry.first); });
    for (const std::string &engine : m_wanted) {
        const auto grant = grants.find(engine);
        if (!m_held.contains(engine) && (grant == grants.end() || mayTake(grant->second))) {
            grants[engine] = EngineGrant{m_self, fencingNumber};
        }
    }
    return grants;
}

void LeaseManager::answered(const StoreReply &reply, Instant now)
{
    if (!m_purpose || reply.id != m_call.id) {
        return;
    }
    const Purpose purpose = *m_purpose;
    m_purpose.reset();
    if (reply.status == StoreStatus::Rejected || reply.status == StoreStatus::Unavailable) {
        m_retryAt = now + m_limits.retryDelay;
    }
    switch (purpose) {
    case Purpose::ReadOwn:
    case Purpose::WriteOwn:
        return ownAnswered(reply, now);
    case Purpose::ReadGrants:
    case Purpose::WriteGrants:
        return grantsAnswered(reply, now);
    case Purpose::ReadOther:
    case Purpose::BreakOther:
        return otherAnswered(reply, now);
    }
}

void LeaseManager::ownAnswered(const StoreReply &reply, Instant /*now*/)
{
    switch (reply.status) {
    case StoreStatus::Ok:
        if (m_call.operation == StoreOperation::Remove) {
            m_ownVersion = 0;
            return;
        }
        [[fallthrough]];
    case StoreStatus::Conflict:
        if (reply.objects.empty()) {
            m_ownVersion.reset();
            return;
        }
        adoptOwn(reply.objects.front());
        return;
    case StoreStatus::NotFound:
        m_ownVersion = 0;
        return;
    case StoreStatus::Rejected:
        return;
    case StoreStatus::Unavailable:
    case StoreStatus::HistoryGone:
        m_ownVersion.reset();
        return;
    }
}

void LeaseManager::adoptOwn(const StoreObject &object)
{
    m_ownVersion = object.version;
    if (object.value == m_ownValue) {
        m_validUntil = m_ownSentAt + m_limits.duration;
        m_renewAt = m_ownSentAt + m_limits.renewalInterval;
        return;
    }
    if (ownerIn(object.value) != m_self) {
        lapse();
    }
}

void LeaseManager::grantsAnswered(const StoreReply &reply, Instant now)
{
    if (reply.status == StoreStatus::Unavailable) {
        m_grantsVersion.reset();
        return;
    }
    if (reply.status == StoreStatus::Rejected) {
        return;
    }
    if (reply.objects.empty()) {
        adoptGrants(0, {}, now);
        return;
    }
    const StoreObject &object = reply.objects.front();
    auto grants = decodeEngineGrants(object.value);
    adoptGrants(object.version, grants ? std::move(*grants) : EngineGrants{}, now);
}

/// Ignores a version below one seen before: reads may lag.
void LeaseManager::adoptGrants(std::uint64_t version, EngineGrants grants, Instant now)
{
    m_grantsReadAt = now;
    if (version < m_grantsSeen) {
        m_grantsVersion.reset();
        m_retryAt = now + m_limits.retryDelay;
        return;
    }
    m_grantsSeen = version;
    m_grantsVersion = version;
    m_grants = std::move(grants);
    std::map<std::string, Held> held;
    for (const auto &[engine, grant] : m_grants) {
        if (grant.owner != m_self || !m_attempted.contains(grant.fencingNumber)) {
            continue;
        }
        const auto before = m_held.find(engine);
        const bool same = before != m_held.end() && before->second.fencingNumber == grant.fencingNumber;
        held[engine] = Held{grant.fencingNumber, same ? before->second.takenAt : now};
    }
    m_held = std::move(held);
}

void LeaseManager::otherAnswered(const StoreReply &reply, Instant now)
{
    switch (reply.status) {
    case StoreStatus::Ok:
    case StoreStatus::Conflict:
        if (!reply.objects.empty()) {
            observe(reply.objects.front().version, reply.objects.front().value, now);
        }
        return;
    case StoreStatus::NotFound:
        observe(0, {}, now);
        return;
    case StoreStatus::Rejected:
    case StoreStatus::Unavailable:
    case StoreStatus::HistoryGone:
        return;
    }
}

void LeaseManager::observe(std::uint64_t version, const std::string &value, Instant now)
{
    const auto known = m_others.find(m_otherInstance);
    if (known != m_others.end() && version < known->second.version) {
        known->second.readAt = now;
        known->second.grantsVersion = 0;
        return;
    }
    const bool same = known != m_others.end() && known->second.version == version;
    Observation seen;
    seen.version = version;
    seen.since = same ? known->second.since : now;
    seen.readAt = now;
    seen.owner = ownerIn(value);
    seen.broken = !value.empty() && !seen.owner;
    seen.grantsVersion = m_grantsVersion.value_or(0);
    m_others[m_otherInstance] = seen;
}

/// Nothing taken before a lapse counts any more: each engine has to be taken again by a conditional write.
void LeaseManager::lapse()
{
    m_validUntil.reset();
    m_renewAt = {};
    m_held.clear();
    m_attempted.clear();
    m_grantsVersion.reset();
}

StoreCall LeaseManager::makeCall(Purpose purpose,
                                 StoreOperation operation,
                                 std::string name,
                                 std::uint64_t version,
                                 std::string value)
{
    StoreCall call;
    call.id = ++m_lastCallId;
    call.operation = operation;
    call.kind = LeaseKind;
    call.name = std::move(name);
    call.ifVersion = version;
    call.value = std::move(value);
    m_purpose = purpose;
    m_call = call;
    return call;
}

std::string LeaseManager::grantsName() const
{
    return std::string(GrantsPrefix) + m_region;
}

} // namespace pomeloport
