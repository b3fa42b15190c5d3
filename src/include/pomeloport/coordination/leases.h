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

/// Leases on engines: who may give orders to an engine, and with which fencing number. Two kinds of objects in the
/// platform's store serve them. Each holder renews one object of its own, whatever the number of its engines. One
/// object of the region says which holder owns which engine; it is written only when an engine changes hands.
namespace pomeloport
{

/// Kind of both objects in the platform's store.
constexpr std::string_view LeaseKind = "leases";

/// Who may order an engine, as stored. Fencing numbers rise with each change of hands.
struct EngineGrant
{
    OwnerId owner;
    std::uint64_t fencingNumber = 0;
};

/// The owners of all engines of a region, as stored.
using EngineGrants = std::map<std::string, EngineGrant>;

/// Codec of EngineGrants. The decoder returns nothing, with a last reason, for malformed input.
std::string encode(const EngineGrants &grants);
std::optional<EngineGrants> decodeEngineGrants(std::string_view json);

/// Times of leases.
struct LeaseLimits
{
    /// How long a renewal lasts, on the holder's own clock from before it was sent.
    Duration duration = std::chrono::seconds(60);
    Duration renewalInterval = std::chrono::seconds(20);
    /// Added by those who wait for another's lease to end, for clocks that run at different speeds.
    Duration clockDriftMargin = std::chrono::seconds(3);
    /// The longest time an order can be under way. New owners of engines that ignore fencing numbers wait it out.
    Duration longestOrder = std::chrono::seconds(30);
    Duration retryDelay = std::chrono::seconds(1);
};

/// The leases of one instance. The host executes the store calls, one at a time, and calls advance() for every reply
/// and when dueAt() comes. Pure; one thread at a time.
class LeaseManager
{
public:
    /// The region names the shared object; the instance must have a new incarnation after each start.
    LeaseManager(OwnerId self, std::string region, LeaseLimits limits = {});

    /// Sets the engines that this instance is home of. Others that it owns are given back.
    void setHomeEngines(std::set<std::string> engines);

    /// Gives everything back; released() tells when the store knows.
    void stop();

    /// Moves on and returns the next call, if any.
    std::optional<StoreCall> advance(Instant now);

    /// Takes the reply to the last call. A timeout counts as Unavailable.
    void answered(const StoreReply &reply, Instant now);

    /// When advance() has something to do, if no reply comes before.
    Instant dueAt() const;

    /// The fencing number for an order to this engine, to be asked for just before the order is sent. Nothing when
    /// this instance may not order it now. checksFencing says whether the engine refuses old numbers; for others the
    /// time that an order of the previous owner may be under way is waited out first.
    std::optional<std::uint64_t> orderFencingNumber(const std::string &engine, bool checksFencing, Instant now) const;

    /// Whether stop() was called and the store knows that nothing is held any more.
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

    struct Held
    {
        std::uint64_t fencingNumber = 0;
        Instant takenAt{};
    };

    /// Another holder's object as first seen with this version.
    struct Observation
    {
        std::uint64_t version = 0;
        Instant since{};
        Instant readAt{};
        /// The process that wrote it; nothing when the lease was broken or the object is absent.
        std::optional<OwnerId> owner;
        bool broken = false;
        /// Version of the grants that were known when it was read.
        std::uint64_t grantsVersion = 0;
    };

    StoreCall makeCall(Purpose purpose,
                       StoreOperation operation,
                       std::string name,
                       std::uint64_t version,
                       std::string value);
    StoreCall renew(Instant now);
    std::optional<StoreCall> finishStop();
    std::optional<StoreCall> advanceGrants(Instant now);
    std::optional<StoreCall> settleOther(const OwnerId &owner, Instant now);
    bool mayTake(const EngineGrant &grant) const;
    bool isMine(const EngineGrant &grant) const;
    EngineGrants wantedGrants(std::uint64_t fencingNumber) const;
    void ownAnswered(const StoreReply &reply, Instant now);
    void grantsAnswered(const StoreReply &reply, Instant now);
    void otherAnswered(const StoreReply &reply, Instant now);
    void adoptOwn(const StoreObject &object);
    void adoptGrants(std::uint64_t version, EngineGrants grants, Instant now);
    void observe(std::uint64_t version, const std::string &value, Instant now);
    void lapse();
    std::string grantsName() const;

    OwnerId m_self;
    std::string m_region;
    LeaseLimits m_limits;
    std::set<std::string> m_wanted;
    bool m_stopping = false;
    bool m_released = false;

    std::uint64_t m_lastCallId = 0;
    std::uint64_t m_renewals = 0;
    std::optional<Purpose> m_purpose;
    StoreCall m_call;
    Instant m_sentAt{};
    Instant m_retryAt{};

    /// The own object's version; nothing while unknown, 0 when absent.
    std::optional<std::uint64_t> m_ownVersion;
    std::string m_ownValue;
    Instant m_ownSentAt{};
    std::optional<Instant> m_validUntil;
    Instant m_renewAt{};

    /// Version and content of the shared object; nothing while it has to be read.
    std::optional<std::uint64_t> m_grantsVersion;
    std::uint64_t m_grantsSeen = 0;
    Instant m_grantsReadAt{};
    EngineGrants m_grants;
    /// Fencing numbers that this process tried to take since its lease last lapsed.
    std::set<std::uint64_t> m_attempted;
    std::map<std::string, Held> m_held;
    std::map<std::string, Observation> m_others;
    std::string m_otherInstance;
};

} // namespace pomeloport
