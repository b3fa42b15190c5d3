#pragma once

#include "pomeloport/clock.h"
#include "pomeloport/coordination/requestflow.h"
#include "pomeloport/protocol/identity.h"
#include "pomeloport/protocol/linkmessages.h"
#include "pomeloport/protocol/store.h"

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// At-most-once execution through claims on idempotency keys in the platform's store. A claim names the only request
/// that may send the action, and later holds the outcome of the action. Nothing here performs I/O: events go in,
/// actions come out.
namespace pomeloport
{

/// Object kind under which the platform's store keeps claims.
constexpr std::string_view ClaimKind = "claims";

/// Identifies an action. A resent request carries the same three values.
struct ClaimKey
{
    std::string organisation;
    std::string key;
    WallTime issuedAt{};
};

/// Claims whose keys were issued within the same slice of this length share a name prefix, so that expired claims can
/// be listed together.
constexpr std::chrono::minutes ClaimSliceDuration{1};

/// Returns the number of the time slice in which a key was issued.
std::uint64_t claimSlice(WallTime issuedAt);

/// Returns the name prefix shared by all claims whose keys were issued in a slice.
std::string claimSlicePrefix(std::uint64_t slice);

/// Returns the name of the store object that holds the claim: the prefix of its slice and a hash of organisation and
/// key.
std::string claimName(const ClaimKey &key);

enum class ClaimPhase {
    /// Only the holder may send the action.
    Held,
    /// The holder gave up before sending the action; any request may claim the key again.
    Released,
    /// The action completed; the record carries its outcome.
    Finished,
};

constexpr NameTable<ClaimPhase, 3> nameTable(ClaimPhase /*unused*/)
{
    return {{{ClaimPhase::Held, "held"}, {ClaimPhase::Released, "released"}, {ClaimPhase::Finished, "finished"}}};
}

/// Value of a claim's object in the store.
struct ClaimRecord
{
    ClaimPhase phase = ClaimPhase::Held;
    /// The request that wrote the record. Its text form is the token of the claim.
    StreamAddress holder;
    std::uint64_t bodyDigest = 0;
    WallTime issuedAt{};
    std::string answer;
    /// Whether the answer exceeded ClaimLimits::maximumAnswerBytes and was left out.
    bool answerOmitted = false;
};

/// Encodes and decodes ClaimRecord as JSON. For malformed input the decoder returns nothing and sets the last reason.
std::string encode(const ClaimRecord &record);
std::optional<ClaimRecord> decodeClaimRecord(std::string_view json);

/// Timing and size limits of claims.
struct ClaimLimits
{
    Duration firstRetryDelay = std::chrono::milliseconds(20);
    Duration maximumRetryDelay = std::chrono::seconds(2);
    /// How long a key stays claimed after its issue time. Keys older than this are rejected as expired.
    std::chrono::milliseconds retention = std::chrono::hours(24);
    /// Tolerance for callers' clocks that run ahead: keys issued further in the future are rejected.
    std::chrono::milliseconds clockSkew = std::chrono::minutes(1);
    /// Number of queries to an unreachable holder after which the claim counts as uncertain.
    std::uint32_t maximumHolderQueries = 3;
    /// Longer answers are not stored in the claim; a resend then gets an uncertain outcome.
    std::size_t maximumAnswerBytes = 256UL * 1024;
};

namespace claimevent
{

/// Starts acquiring the claim. If storeHealthy is false, the claim is read before the first write, so that an attempt
/// during a store outage does not leave a write that may still take effect.
struct Acquire
{
    bool storeHealthy = true;
};

/// The request gives up before sending the action, so the claim is to be released.
struct Release
{
};

/// The action completed, so its answer is to be stored in the claim.
struct Record
{
    std::string answer;
};

/// The reply to the last CallStore. A timeout is reported as Unavailable.
struct StoreAnswered
{
    StoreReply reply;
};

/// The reply to the last AskHolder query.
struct HolderAnswered
{
    link::ClaimHolderState state = link::ClaimHolderState::Unreachable;
};

/// The time set by the last ArmRetry has been reached.
struct RetryDue
{
};

} // namespace claimevent

using ClaimEvent = std::variant<claimevent::Acquire,
                                claimevent::Release,
                                claimevent::Record,
                                claimevent::StoreAnswered,
                                claimevent::HolderAnswered,
                                claimevent::RetryDue>;

namespace claimaction
{

/// Execute a store call. Call ids of one state machine count up from 1, and at most one call is outstanding.
struct CallStore
{
    StoreCall call;
};

/// Ask the instance that holds another request's claim for the state of that claim.
struct AskHolder
{
    StreamAddress holder;
};

/// Pass this event to the request's flow.
struct Tell
{
    FlowEvent event;
};

/// Send RetryDue at this time.
struct ArmRetry
{
    Instant at{};
};

} // namespace claimaction

using ClaimAction =
    std::variant<claimaction::CallStore, claimaction::AskHolder, claimaction::Tell, claimaction::ArmRetry>;

/// Acquires and releases the claim of one request and records its outcome, tolerating lost store replies, outages,
/// stale reads and races with other requests. Not thread-safe. The owner keeps the object until done() returns true, or
/// until the request's flow closes while no release or record is in progress; after that the owner answers holder
/// queries about the request with Uncertain.
class ClaimStateMachine
{
public:
    /// The attempt number in the address of the request (self) is ignored. The seed drives the jitter of retry delays.
    ClaimStateMachine(ClaimKey key,
                      StreamAddress self,
                      std::uint64_t bodyDigest,
                      ClaimLimits limits,
                      std::uint64_t seed);

    /// Processes one event and returns the actions to carry out, in order.
    std::vector<ClaimAction> handle(const ClaimEvent &event, Instant now, WallTime wall);

    /// Returns the reply to a peer that asks about this claim. GivenUp commits this request to never send the action.
    link::ClaimHolderState holderState() const;

    /// Whether a release or record has completed. No further actions follow.
    bool done() const;

private:
    /// The outcome that the state machine is working towards.
    enum class Goal {
        None,
        Acquire,
        Release,
        Record,
    };

    /// A write whose reply was lost. It may still take effect.
    struct UnconfirmedWrite
    {
        StoreOperation operation = StoreOperation::Create;
        std::uint64_t ifVersion = 0;
    };

    void process(const claimevent::Acquire &event);
    void process(const claimevent::Release &event);
    void process(const claimevent::Record &event);
    void process(const claimevent::StoreAnswered &event);
    void process(const claimevent::HolderAnswered &event);
    void process(const claimevent::RetryDue &event);

    void advance();
    void advanceAcquire();
    void advanceRelease();
    void advanceRecord();
    void evaluateForeignRecord(const ClaimRecord &record);
    void updateObject(const StoreObject &object);
    void callStore(StoreOperation operation, ClaimPhase phase = ClaimPhase::Held);
    void scheduleRetry();
    void reportResult(event::ClaimResult result, std::string answer = {});
    void finish(FlowEvent event);
    bool ownsRecord() const;
    bool writeMayTakeEffect() const;
    bool keyExpired() const;
    std::uint64_t objectVersion() const;

    ClaimKey m_key;
    StreamAddress m_self;
    std::uint64_t m_bodyDigest = 0;
    ClaimLimits m_limits;
    std::mt19937_64 m_random;

    Goal m_goal = Goal::None;
    bool m_held = false;
    bool m_done = false;
    std::string m_answer;
    Instant m_now{};
    WallTime m_wall{};
    std::vector<ClaimAction> m_actions;

    std::uint64_t m_lastCallId = 0;
    std::optional<StoreCall> m_pendingCall;
    std::optional<UnconfirmedWrite> m_unconfirmedWrite;
    /// The newest version of the object seen so far; empty while the object is unknown or absent.
    std::optional<StoreObject> m_object;
    std::optional<ClaimRecord> m_record;
    /// Whether the next step may rely on m_object; otherwise the object is read first.
    bool m_objectKnown = false;
    bool m_retryArmed = false;
    std::uint32_t m_failureCount = 0;

    bool m_holderQueryPending = false;
    std::uint32_t m_unreachableCount = 0;
    /// Version of the claim whose holder was gone or reported no outcome. If a second read returns the same version,
    /// the claim is uncertain.
    std::uint64_t m_uncertainVersion = 0;
    /// Version of the claim whose holder has given it up, so that it may be overwritten.
    std::uint64_t m_givenUpVersion = 0;
};

} // namespace pomeloport
