#pragma once

#include "pomeloport/clock.h"
#include "pomeloport/coordination/route.h"
#include "pomeloport/protocol/identity.h"
#include "pomeloport/verdict.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// The lifecycle of one request as a state machine without I/O: events go in, actions come out. It is driven by the
/// router program and by the fault matrix. Objects are not thread-safe.
namespace pomeloport
{

namespace event
{

/// Starts the lifecycle. Must be the first event, sent once.
struct Begin
{
};

/// Result of claiming the idempotency key of a non-idempotent request.
enum class ClaimResult {
    /// This request owns the claim and may send.
    Acquired,
    /// The action completed earlier; the recorded answer is attached.
    Finished,
    /// Another live request holds the claim.
    InProgress,
    /// The holder is gone, and it cannot be determined whether the action ran.
    Uncertain,
    /// The key was already used with a different body.
    KeyReused,
    /// The key's issue time lies outside the retention window.
    KeyExpired,
    /// The store could not confirm or deny the claim in time. A write of the claim may still take effect, so the claim
    /// must be released before the request counts as not run.
    Unavailable,
};

struct ClaimSettled
{
    ClaimResult result = ClaimResult::Unavailable;
    std::string recordedAnswer;
};

/// The group coordinator reserved a group of engines.
struct GroupGranted
{
    Route route;
};

/// The group coordinator cannot reserve a group before the deadline, or could not be reached.
struct GroupRefused
{
    Failure failure;
};

/// The first byte of the attempt's call is about to be sent. From here on the attempt may have run.
struct AttemptSending
{
    std::uint32_t attempt = 0;
};

/// The backend server refused the attempt before starting it, or no connection could be established. The attempt did
/// not run.
struct AttemptRefused
{
    std::uint32_t attempt = 0;
    RefusalCode code = RefusalCode::Full;
};

/// A member of a group finished its prompt segment and stores its KV cache as a blob.
struct SegmentReady
{
    std::uint32_t attempt = 0;
    std::size_t member = 0;
    std::string blob;
};

struct ChunkArrived
{
    std::uint32_t attempt = 0;
    std::uint64_t index = 0;
    std::string text;
};

struct AttemptEnded
{
    std::uint32_t attempt = 0;
    std::uint64_t count = 0;
    /// Digest of all chunks; empty if the backend server's protocol has none.
    std::optional<std::uint64_t> digest;
};

/// The attempt's connection failed or stalled after AttemptSending.
struct AttemptBroken
{
    std::uint32_t attempt = 0;
};

/// Reply to CancelAttempt. If the backend server did not answer, neither flag is set.
struct CancelSettled
{
    std::uint32_t attempt = 0;
    /// The backend server reports that the attempt had not started and will never start.
    bool neverRan = false;
    /// Whether the backend server answered the cancel.
    bool confirmed = false;
};

/// Reply to ReleaseClaim.
struct ClaimReleased
{
    /// Whether the release is known to be in effect.
    bool held = false;
};

/// Reply to RecordOutcome.
struct OutcomeRecorded
{
    /// Whether the outcome is known to be stored.
    bool held = false;
};

/// The caller cancelled the request or disconnected.
struct CallerCancelled
{
};

/// The process ends before the request can: it fails with this reason unless it has ended.
struct Abandoned
{
    ReasonCode reason = ReasonCode::Stopping;
    /// Literal that explains the reason.
    const char *detail = "";
    /// Delay after which a resend may succeed, if the request has not run.
    std::optional<std::chrono::milliseconds> retryAfter;
};

/// The time set by the last ArmTimer has been reached.
struct TimerFired
{
};

/// Capacity may have become available. Sent to waiting requests.
struct CapacityFreed
{
};

} // namespace event

using FlowEvent = std::variant<event::Begin,
                               event::ClaimSettled,
                               event::GroupGranted,
                               event::GroupRefused,
                               event::AttemptSending,
                               event::AttemptRefused,
                               event::SegmentReady,
                               event::ChunkArrived,
                               event::AttemptEnded,
                               event::AttemptBroken,
                               event::CancelSettled,
                               event::ClaimReleased,
                               event::OutcomeRecorded,
                               event::CallerCancelled,
                               event::Abandoned,
                               event::TimerFired,
                               event::CapacityFreed>;

namespace action
{

/// Claim the key in the platform's store and reply with ClaimSettled.
struct AcquireClaim
{
};

/// Release the claim, retrying until the result is known, and reply with ClaimReleased.
struct ReleaseClaim
{
};

/// Record the outcome of a completed action and reply with OutcomeRecorded.
struct RecordOutcome
{
    std::string answer;
};

/// Reserve engines at the group coordinator and reply with GroupGranted or GroupRefused.
struct ReserveGroup
{
    NeedsGroup need;
};

/// Release a group's reservation at its coordinator. No reply is expected.
struct ReleaseGroup
{
    std::uint64_t reservation = 0;
};

/// Send one member's part of an attempt to its backend server.
struct OpenAttempt
{
    std::uint32_t attempt = 0;
    Route route;
    /// Index into the route's members. All but the last one export their segment.
    std::size_t member = 0;
    /// Segments exported so far, in prompt order.
    std::vector<KvReference> imports;
    std::uint64_t resumeFrom = 0;
};

/// Cancel an attempt at its backend server and reply with CancelSettled.
struct CancelAttempt
{
    std::uint32_t attempt = 0;
    std::string backend;
};

/// Free an exported segment at its engine. No reply is expected; if the call is lost, the orphan sweep frees the blob.
struct FreeBlob
{
    std::string backend;
    std::string blob;
};

/// Stop reading an attempt; its later events are ignored. Nothing of it may be sent from here on, because an attempt
/// that is closed before AttemptSending counts as not run. Also frees the attempt's entry in the router's ledger.
struct CloseAttempt
{
    std::uint32_t attempt = 0;
    std::string backend;
    /// How the attempt ended, for circuit breaking and the retry budget.
    enum class Outcome {
        Completed,
        Refused,
        Broken,
        Abandoned,
    } outcome = Outcome::Completed;
};

/// Deliver a chunk to the caller. Chunks are delivered in order, each exactly once.
struct DeliverChunk
{
    std::uint64_t index = 0;
    std::string text;
};

/// Tell the caller that the answer is complete.
struct DeliverEnd
{
    std::uint64_t count = 0;
    std::uint64_t digest = 0;
};

/// Report an explicit failure to the caller, also in the middle of a stream.
struct DeliverFailure
{
    Failure failure;
};

/// Send TimerFired at this time. Replaces the earlier timer, if any.
struct ArmTimer
{
    Instant at{};
};

/// The lifecycle has ended. No further actions follow, and the flow may be destroyed.
struct Close
{
};

} // namespace action

using FlowAction = std::variant<action::AcquireClaim,
                                action::ReleaseClaim,
                                action::RecordOutcome,
                                action::ReserveGroup,
                                action::ReleaseGroup,
                                action::OpenAttempt,
                                action::CancelAttempt,
                                action::FreeBlob,
                                action::CloseAttempt,
                                action::DeliverChunk,
                                action::DeliverEnd,
                                action::DeliverFailure,
                                action::ArmTimer,
                                action::Close>;

/// Limits and options of one request's lifecycle.
struct FlowLimits
{
    /// Maximum number of attempts that may have run. Refused attempts do not count, but attempts of both kinds together
    /// are limited to four times this number.
    std::uint32_t maximumAttempts = 4;
    Duration firstRetryDelay = std::chrono::milliseconds(20);
    Duration maximumRetryDelay = std::chrono::seconds(2);
    /// An attempt that sends nothing for this long after its first chunk counts as stalled.
    Duration stallTimeout = std::chrono::seconds(5);
    /// Time reserved before the deadline to release the claim of an action that has not started; at most a quarter of
    /// the time between arrival and deadline.
    Duration claimReleaseReserve = std::chrono::milliseconds(250);
    /// Whether a non-idempotent request needs an idempotency key and a claim in the store. Not needed where each resend
    /// by a caller counts as a new request, since the process that serves the request then knows all of its attempts.
    bool claims = true;
    /// Whether a stalled attempt continues while no further attempt is allowed, since its backend server may merely be
    /// slow.
    bool keepStalledAttempt = false;
};

/// Asks the retry budget for one more attempt. Returns whether it is granted.
using RetryPermit = std::function<bool(Instant now)>;

/// Drives one request from Begin to Close. In every case it delivers exactly one end or failure to the caller by the
/// deadline, and closes, releases or records every attempt, claim, blob and reservation that it opened.
class RequestFlow
{
public:
    /// The chooser and the permit must outlive the flow. The seed drives the jitter of retry delays.
    RequestFlow(RequestSpec spec,
                StreamAddress address,
                FlowLimits limits,
                RouteChooser chooser,
                RetryPermit permit,
                std::uint64_t seed);
    ~RequestFlow();
    RequestFlow(const RequestFlow &) = delete;
    RequestFlow &operator=(const RequestFlow &) = delete;

    /// Processes one event and returns the actions to carry out, in order.
    std::vector<FlowAction> handle(const FlowEvent &event, Instant now);

    const RequestSpec &spec() const;

    /// Whether the Close action has been returned.
    bool closed() const;

    /// The verdict that a failure would carry if the request failed now.
    Verdict verdict() const;

    /// Name of the current state, for logs and traces.
    std::string_view stateName() const;

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace pomeloport
