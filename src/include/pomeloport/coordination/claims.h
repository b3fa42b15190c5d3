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

/// At most once: claims of idempotency keys in the platform's store. A claim names the request that alone may send the
/// action, and later carries its outcome. Everything here is free of I/O: events go in, actions come out.
namespace pomeloport
{

/// Kind of the claims in the platform's store.
constexpr std::string_view ClaimKind = "claims";

/// Identifies an action: a resend repeats all three unchanged.
struct ClaimKey
{
    std::string organisation;
    std::string key;
    WallTime issuedAt{};
};

/// Span of issue times whose claims share a prefix of their names, so that expired ones are found together.
constexpr std::chrono::minutes ClaimSlice{1};

/// Returns the number of the slice in which a key was issued.
std::uint64_t claimSlice(WallTime issuedAt);

/// Returns the prefix of the names of all claims whose keys were issued in a slice.
std::string claimSlicePrefix(std::uint64_t slice);

/// Returns the name of the claim's object in the store.
std::string claimName(const ClaimKey &key);

/// Phases of a claim.
enum class ClaimPhase {
    /// Its holder alone may send the action.
    Held,
    /// The holder gave up before it sent anything; anyone may claim anew.
    Released,
    /// The action ran to its end; the outcome is attached.
    Finished,
};

constexpr NameTable<ClaimPhase, 3> nameTable(ClaimPhase /*unused*/)
{
    return {{{ClaimPhase::Held, "held"}, {ClaimPhase::Released, "released"}, {ClaimPhase::Finished, "finished"}}};
}

/// A claim as stored.
struct ClaimRecord
{
    ClaimPhase phase = ClaimPhase::Held;
    /// The request that wrote it; its text form is the token of the claim.
    StreamAddress holder;
    std::uint64_t bodyDigest = 0;
    WallTime issuedAt{};
    std::string answer;
    /// Whether the answer was too long to be kept.
    bool answerOmitted = false;
};

/// Codec of ClaimRecord. The decoder returns nothing, with a last reason, for malformed input.
std::string encode(const ClaimRecord &record);
std::optional<ClaimRecord> decodeClaimRecord(std::string_view json);

/// Limits of claims.
struct ClaimLimits
{
    Duration firstRetryDelay = std::chrono::milliseconds(20);
    Duration maximumRetryDelay = std::chrono::seconds(2);
    /// How long keys are remembered after their issue.
    std::chrono::milliseconds retention = std::chrono::hours(24);
    /// How far a caller's clock may be ahead.
    std::chrono::milliseconds clockSkew = std::chrono::minutes(1);
    /// How often a holder that cannot be reached is asked.
    std::uint32_t holderQuestions = 3;
    /// Longer answers are not kept in the claim.
    std::size_t maximumAnswerBytes = 256UL * 1024;
};

namespace claimevent
{

/// Starts to acquire the claim. With storeHealthy unset the claim is read before the first write, so that an attempt
/// during an outage leaves nothing behind.
struct Acquire
{
    bool storeHealthy = true;
};

/// The request gives up before sending.
struct Release
{
};

/// The action ran to its end.
struct Record
{
    std::string answer;
};

/// The reply to the last CallStore; a timeout counts as Unavailable.
struct StoreAnswered
{
    StoreReply reply;
};

/// The reply to the last AskHolder.
struct HolderAnswered
{
    link::ClaimHolderState state = link::ClaimHolderState::Unreachable;
};

/// The time of the last ArmRetry has come.
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

/// Execute a call; ids rise from 1 within one keeper, and at most one call is under way.
struct CallStore
{
    StoreCall call;
};

/// Ask the holder of another request's claim.
struct AskHolder
{
    StreamAddress holder;
};

/// Feed this to the request's flow.
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

/// Keeps the claim of one request: acquires, releases and records it through lost answers, outages, stale reads and
/// races. One thread at a time. The host keeps it until done(), or until its flow closes without a release or a record
/// under way; from then on it answers holder queries about the request with Uncertain.
class ClaimStateMachine
{
public:
    /// The address of the request without attempt number; the digest of its body; a seed for the retry jitter.
    ClaimStateMachine(ClaimKey key,
                      StreamAddress self,
                      std::uint64_t bodyDigest,
                      ClaimLimits limits,
                      std::uint64_t seed);

    /// Feeds one event and returns the actions to carry out, in order.
    std::vector<ClaimAction> handle(const ClaimEvent &event, Instant now, WallTime wall);

    /// What to answer a peer that asks about this claim. GivenUp commits this request never to send.
    link::ClaimHolderState holderState() const;

    /// Whether a release or record has been settled; nothing more will come.
    bool done() const;

private:
    /// What the keeper works towards.
    enum class Goal {
        None,
        Acquire,
        Release,
        Record,
    };

    /// A write whose answer was lost; it may still take effect.
    struct OpenWrite
    {
        StoreOperation operation = StoreOperation::Create;
        std::uint64_t ifVersion = 0;
    };

    void take(const claimevent::Acquire &event);
    void take(const claimevent::Release &event);
    void take(const claimevent::Record &event);
    void take(const claimevent::StoreAnswered &event);
    void take(const claimevent::HolderAnswered &event);
    void take(const claimevent::RetryDue &event);

    void advance();
    void advanceAcquire();
    void advanceRelease();
    void advanceRecord();
    void judgeOther(const ClaimRecord &record);
    void adopt(const StoreObject &object);
    void callStore(StoreOperation operation, ClaimPhase phase = ClaimPhase::Held);
    void retryLater();
    void settle(event::ClaimResult result, std::string answer = {});
    void finish(FlowEvent event);
    bool isMine() const;
    bool mayStillWrite() const;
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
    std::optional<StoreCall> m_underWay;
    std::optional<OpenWrite> m_openWrite;
    /// The object as last seen; nothing while unknown or absent.
    std::optional<StoreObject> m_object;
    std::optional<ClaimRecord> m_record;
    bool m_known = false;
    bool m_retryArmed = false;
    std::uint32_t m_failures = 0;

    bool m_asking = false;
    std::uint32_t m_questions = 0;
    /// Version of the claim whose holder knew no outcome; seen again unchanged it is uncertain.
    std::uint64_t m_doubtedVersion = 0;
    /// Version of the claim whose holder gave it up.
    std::uint64_t m_givenUpVersion = 0;
};

} // namespace pomeloport
