#pragma once

#include "pomeloport/clock.h"
#include "pomeloport/protocol/identity.h"
#include "pomeloport/protocol/store.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

/// Leases on engines: they decide which instance may send orders to an engine, and with which fencing number. The
/// platform's store keeps two kinds of objects for them. Each holder renews a single object of its own, however many
/// engines it owns. One shared object per region maps engines to their owners; it is written only when the ownership of
/// an engine changes.
namespace pomeloport
{

/// Kind under which the platform's store keeps both the holder objects and the shared object.
constexpr std::string_view LeaseKind = "leases";

/// Stored ownership of one engine. The fencing number increases with each change of owner.
struct EngineGrant
{
    OwnerId owner;
    std::uint64_t fencingNumber = 0;
};

/// Content of the region's shared object: the owner of each engine, by engine name.
using EngineGrants = std::map<std::string, EngineGrant>;

/// JSON codec of EngineGrants. For malformed input the decoder sets lastReason() and returns std::nullopt.
std::string encode(const EngineGrants &grants);
std::optional<EngineGrants> decodeEngineGrants(std::string_view json);

/// Timing parameters of leases.
struct LeaseLimits
{
    /// Validity of a renewal, measured on the holder's own clock from just before the renewal was sent.
    Duration duration = std::chrono::seconds(60);
    Duration renewalInterval = std::chrono::seconds(20);
    /// Added to the duration when waiting for another holder's lease to expire, because the two clocks may run at
    /// different speeds.
    Duration clockDriftMargin = std::chrono::seconds(3);
    /// Longest time that an order can be in flight. A new owner of an engine that ignores fencing numbers waits this
    /// long before its first order, so that no order of the previous owner can arrive after it.
    Duration longestOrder = std::chrono::seconds(30);
    Duration retryDelay = std::chrono::seconds(1);
};

/// State machine for the leases of one instance. The host executes the store calls one at a time, passes each reply to
/// answered(), and calls advance() after every reply and at dueAt(). Performs no I/O and is not thread-safe.
class LeaseManager
{
public:
    /// The region determines the name of the shared object. The instance must use a new incarnation after each start.
    LeaseManager(OwnerId self, std::string region, LeaseLimits limits = {});

    /// Sets the engines whose home is this instance. The manager acquires them and releases all others that it owns.
    void setHomeEngines(std::set<std::string> engines);

    /// Starts to release all leases. released() returns true once the store has recorded it.
    void stop();

    /// Advances the state machine to the given time and returns the next store call to execute, if any.
    std::optional<StoreCall> advance(Instant now);

    /// Handles the reply to the last store call. The host reports a timeout as StoreStatus::Unavailable. Replies to
    /// earlier calls are ignored.
    void answered(const StoreReply &reply, Instant now);

    /// Returns when advance() has to be called next if no reply arrives before then.
    Instant dueAt() const;

    /// Returns the fencing number for an order to this engine, or std::nullopt if this instance may not send orders to
    /// it at the given time. Call it immediately before sending, as the lease may have expired since an earlier call.
    /// checksFencing tells whether the engine refuses outdated fencing numbers. For an engine that does not, no orders
    /// are permitted until LeaseLimits::longestOrder after the lease was acquired, because an order of the previous
    /// owner may still be in flight.
    std::optional<std::uint64_t> orderFencingNumber(const std::string &engine, bool checksFencing, Instant now) const;

    /// Returns whether stop() was called and the store has recorded that this instance holds no leases any more.
    bool released() const;

private:
    enum class Purpose {
        ReadOwn,
        WriteOwn,
        ReadGrants,
        WriteGrants,
        ReadOther,
        BreakOther,
    };

    struct HeldEngine
    {
        std::uint64_t fencingNumber = 0;
        Instant acquiredAt{};
    };

    /// Another holder's object as last read from the store.
    struct Observation
    {
        std::uint64_t version = 0;
        /// Time at which this version was first read.
        Instant unchangedSince{};
        Instant readAt{};
        /// The process that wrote the object; std::nullopt if the lease was broken or the object does not exist.
        std::optional<OwnerId> owner;
        bool broken = false;
        /// Version of the grants that were known when the object was read.
        std::uint64_t grantsVersion = 0;
    };

    StoreCall makeCall(Purpose purpose,
                       StoreOperation operation,
                       std::string name,
                       std::uint64_t version,
                       std::string value);
    StoreCall renew(Instant now);
    std::optional<StoreCall> releaseOwnLease();
    std::optional<StoreCall> advanceGrants(Instant now);
    std::optional<StoreCall> checkOtherHolder(const OwnerId &owner, Instant now);
    bool mayTakeOver(const EngineGrant &grant) const;
    bool isOwnGrant(const EngineGrant &grant) const;
    EngineGrants desiredGrants(std::uint64_t fencingNumber) const;
    void handleOwnReply(const StoreReply &reply, Instant now);
    void handleGrantsReply(const StoreReply &reply, Instant now);
    void handleOtherReply(const StoreReply &reply, Instant now);
    void applyOwnObject(const StoreObject &object);
    void applyGrants(std::uint64_t version, EngineGrants grants, Instant now);
    void recordObservation(std::uint64_t version, const std::string &value, Instant now);
    void expireLease();
    std::string grantsName() const;

    OwnerId m_self;
    std::string m_region;
    LeaseLimits m_limits;
    std::set<std::string> m_homeEngines;
    bool m_stopping = false;
    bool m_released = false;

    std::uint64_t m_lastCallId = 0;
    std::uint64_t m_renewals = 0;
    std::optional<Purpose> m_pendingPurpose;
    StoreCall m_pendingCall;
    Instant m_sentAt{};
    Instant m_retryAt{};

    /// Version of this instance's own object: std::nullopt while unknown, 0 if the object does not exist.
    std::optional<std::uint64_t> m_ownVersion;
    std::string m_ownValue;
    Instant m_ownSentAt{};
    std::optional<Instant> m_validUntil;
    Instant m_renewAt{};

    /// Version of the shared object as last read: 0 if it does not exist, std::nullopt if it has to be read again.
    std::optional<std::uint64_t> m_grantsVersion;
    /// Highest version of the shared object read so far; older versions are stale reads.
    std::uint64_t m_latestGrantsVersion = 0;
    Instant m_grantsReadAt{};
    EngineGrants m_grants;
    /// Fencing numbers that this process tried to write since its lease last expired. Grants with other fencing numbers
    /// do not count as held, even if they name this process as the owner.
    std::set<std::uint64_t> m_attemptedFencingNumbers;
    std::map<std::string, HeldEngine> m_held;
    std::map<std::string, Observation> m_otherHolders;
    /// Instance whose object the pending ReadOther or BreakOther call is about.
    std::string m_observedInstance;
};

} // namespace pomeloport
