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

/// Returns the process that wrote a holder's object, or std::nullopt if the lease was broken.
std::optional<OwnerId> parseOwner(const std::string &value)
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
    m_homeEngines = std::move(engines);
}

void LeaseManager::stop()
{
    m_stopping = true;
    m_homeEngines.clear();
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
    if (held == m_held.end() || !m_homeEngines.contains(engine) || !m_validUntil || now >= *m_validUntil) {
        return std::nullopt;
    }
    if (!checksFencing && now < held->second.acquiredAt + m_limits.longestOrder) {
        return std::nullopt;
    }
    return held->second.fencingNumber;
}

Instant LeaseManager::dueAt() const
{
    if (m_pendingPurpose || m_released) {
        return Instant::max();
    }
    if (m_stopping || !m_grantsVersion) {
        return m_retryAt;
    }
    const bool missing = std::any_of(m_homeEngines.begin(), m_homeEngines.end(), [this](const std::string &engine) {
        return !m_held.contains(engine);
    });
    const Instant next = missing ? m_grantsReadAt + m_limits.retryDelay : m_grantsReadAt + m_limits.renewalInterval;
    return std::max(m_retryAt, std::min(m_renewAt, next));
}

std::optional<StoreCall> LeaseManager::advance(Instant now)
{
    if (m_validUntil && now >= *m_validUntil) {
        expireLease();
    }
    if (m_pendingPurpose || m_released || now < m_retryAt) {
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
    const bool missing = std::any_of(m_homeEngines.begin(), m_homeEngines.end(), [this](const std::string &engine) {
        return !m_held.contains(engine);
    });
    const Duration age = now - m_grantsReadAt;
    if (!m_grantsVersion || age >= m_limits.renewalInterval || (missing && age >= m_limits.retryDelay)) {
        return makeCall(Purpose::ReadGrants, StoreOperation::Get, grantsName(), 0, {});
    }
    for (const std::string &engine : m_homeEngines) {
        const auto grant = m_grants.find(engine);
        if (grant == m_grants.end() || mayTakeOver(grant->second)) {
            continue;
        }
        if (auto call = checkOtherHolder(grant->second.owner, now)) {
            return call;
        }
    }
    const std::uint64_t fencingNumber = *m_grantsVersion + 1;
    const std::string desiredValue = encode(desiredGrants(fencingNumber));
    if (desiredValue != encode(m_grants)) {
        m_attemptedFencingNumbers.insert(fencingNumber);
        const StoreOperation operation = *m_grantsVersion == 0 ? StoreOperation::Create : StoreOperation::Update;
        return makeCall(Purpose::WriteGrants, operation, grantsName(), *m_grantsVersion, desiredValue);
    }
    return m_stopping ? releaseOwnLease() : std::nullopt;
}

std::optional<StoreCall> LeaseManager::releaseOwnLease()
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

/// Returns the next call needed to find out whether another holder's lease has ended. A lease that was not renewed for
/// its whole duration is broken by a conditional write, which fails if the holder has renewed the lease in the
/// meantime.
std::optional<StoreCall> LeaseManager::checkOtherHolder(const OwnerId &owner, Instant now)
{
    const std::string &instance = owner.instance;
    const auto known = m_otherHolders.find(instance);
    m_observedInstance = instance;
    const bool outdated = known != m_otherHolders.end() && known->second.broken
        && known->second.grantsVersion != m_grantsVersion.value_or(0);
    if (known == m_otherHolders.end() || outdated || now - known->second.readAt >= m_limits.retryDelay) {
        return makeCall(Purpose::ReadOther, StoreOperation::Get, holderName(instance), 0, {});
    }
    const Observation &observation = known->second;
    if (now - observation.unchangedSince < m_limits.duration + m_limits.clockDriftMargin) {
        return std::nullopt;
    }
    const StoreOperation operation = observation.version == 0 ? StoreOperation::Create : StoreOperation::Update;
    return makeCall(Purpose::BreakOther, operation, holderName(instance), observation.version, brokenValue(m_self));
}

bool LeaseManager::isOwnGrant(const EngineGrant &grant) const
{
    return grant.owner.instance == m_self.instance;
}

/// Returns whether the owner of a grant can no longer send orders under it.
bool LeaseManager::mayTakeOver(const EngineGrant &grant) const
{
    if (isOwnGrant(grant)) {
        return true;
    }
    const auto known = m_otherHolders.find(grant.owner.instance);
    if (known == m_otherHolders.end()) {
        return false;
    }
    const Observation &observation = known->second;
    // A broken lease that was read with an earlier version of the grants does not count: the holder may have taken the
    // engine again since then.
    const bool broken = observation.broken && m_grantsVersion && observation.grantsVersion == *m_grantsVersion;
    return broken || (observation.owner && observation.owner->incarnation > grant.owner.incarnation);
}

EngineGrants LeaseManager::desiredGrants(std::uint64_t fencingNumber) const
{
    EngineGrants grants = m_grants;
    std::erase_if(
        grants, [this](const auto &entry) { return isOwnGrant(entry.second) && !m_homeEngines.contains(entry.first); });
    for (const std::string &engine : m_homeEngines) {
        const auto grant = grants.find(engine);
        if (!m_held.contains(engine) && (grant == grants.end() || mayTakeOver(grant->second))) {
            grants[engine] = EngineGrant{m_self, fencingNumber};
        }
    }
    return grants;
}

void LeaseManager::answered(const StoreReply &reply, Instant now)
{
    if (!m_pendingPurpose || reply.id != m_pendingCall.id) {
        return;
    }
    const Purpose purpose = *m_pendingPurpose;
    m_pendingPurpose.reset();
    if (reply.status == StoreStatus::Rejected || reply.status == StoreStatus::Unavailable) {
        m_retryAt = now + m_limits.retryDelay;
    }
    switch (purpose) {
    case Purpose::ReadOwn:
    case Purpose::WriteOwn:
        return handleOwnReply(reply, now);
    case Purpose::ReadGrants:
    case Purpose::WriteGrants:
        return handleGrantsReply(reply, now);
    case Purpose::ReadOther:
    case Purpose::BreakOther:
        return handleOtherReply(reply, now);
    }
}

void LeaseManager::handleOwnReply(const StoreReply &reply, Instant /*now*/)
{
    switch (reply.status) {
    case StoreStatus::Ok:
        if (m_pendingCall.operation == StoreOperation::Remove) {
            m_ownVersion = 0;
            return;
        }
        [[fallthrough]];
    case StoreStatus::Conflict:
        if (reply.objects.empty()) {
            m_ownVersion.reset();
            return;
        }
        applyOwnObject(reply.objects.front());
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

void LeaseManager::applyOwnObject(const StoreObject &object)
{
    m_ownVersion = object.version;
    if (object.value == m_ownValue) {
        m_validUntil = m_ownSentAt + m_limits.duration;
        m_renewAt = m_ownSentAt + m_limits.renewalInterval;
        return;
    }
    if (parseOwner(object.value) != m_self) {
        expireLease();
    }
}

void LeaseManager::handleGrantsReply(const StoreReply &reply, Instant now)
{
    if (reply.status == StoreStatus::Unavailable) {
        m_grantsVersion.reset();
        return;
    }
    if (reply.status == StoreStatus::Rejected) {
        return;
    }
    if (reply.objects.empty()) {
        applyGrants(0, {}, now);
        return;
    }
    const StoreObject &object = reply.objects.front();
    auto grants = decodeEngineGrants(object.value);
    applyGrants(object.version, grants ? std::move(*grants) : EngineGrants{}, now);
}

/// Ignores versions older than one read before, as the store may return stale reads, and schedules another read.
void LeaseManager::applyGrants(std::uint64_t version, EngineGrants grants, Instant now)
{
    m_grantsReadAt = now;
    if (version < m_latestGrantsVersion) {
        m_grantsVersion.reset();
        m_retryAt = now + m_limits.retryDelay;
        return;
    }
    m_latestGrantsVersion = version;
    m_grantsVersion = version;
    m_grants = std::move(grants);
    std::map<std::string, HeldEngine> held;
    for (const auto &[engine, grant] : m_grants) {
        if (grant.owner != m_self || !m_attemptedFencingNumbers.contains(grant.fencingNumber)) {
            continue;
        }
        const auto previous = m_held.find(engine);
        const bool same = previous != m_held.end() && previous->second.fencingNumber == grant.fencingNumber;
        held[engine] = HeldEngine{grant.fencingNumber, same ? previous->second.acquiredAt : now};
    }
    m_held = std::move(held);
}

void LeaseManager::handleOtherReply(const StoreReply &reply, Instant now)
{
    switch (reply.status) {
    case StoreStatus::Ok:
    case StoreStatus::Conflict:
        if (!reply.objects.empty()) {
            recordObservation(reply.objects.front().version, reply.objects.front().value, now);
        }
        return;
    case StoreStatus::NotFound:
        recordObservation(0, {}, now);
        return;
    case StoreStatus::Rejected:
    case StoreStatus::Unavailable:
    case StoreStatus::HistoryGone:
        return;
    }
}

void LeaseManager::recordObservation(std::uint64_t version, const std::string &value, Instant now)
{
    const auto known = m_otherHolders.find(m_observedInstance);
    if (known != m_otherHolders.end() && version < known->second.version) {
        known->second.readAt = now;
        known->second.grantsVersion = 0;
        return;
    }
    const bool same = known != m_otherHolders.end() && known->second.version == version;
    Observation observation;
    observation.version = version;
    observation.unchangedSince = same ? known->second.unchangedSince : now;
    observation.readAt = now;
    observation.owner = parseOwner(value);
    observation.broken = !value.empty() && !observation.owner;
    observation.grantsVersion = m_grantsVersion.value_or(0);
    m_otherHolders[m_observedInstance] = observation;
}

/// Drops all engines held so far. After its lease has expired, this instance has to take each engine again by a
/// conditional write.
void LeaseManager::expireLease()
{
    m_validUntil.reset();
    m_renewAt = {};
    m_held.clear();
    m_attemptedFencingNumbers.clear();
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
    m_pendingPurpose = purpose;
    m_pendingCall = call;
    return call;
}

std::string LeaseManager::grantsName() const
{
    return std::string(GrantsPrefix) + m_region;
}

} // namespace pomeloport
