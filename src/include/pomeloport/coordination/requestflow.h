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

/// The lifecycle of one request as a state machine without I/O: events go in, actions come out. The router program and
/// the fault matrix both drive it. One thread at a time may use an object.
namespace pomeloport
{

namespace event
{

/// Starts the lifecycle; sent once, first.
struct Begin
{
};

/// How an attempt to claim the key of a non-idempotent request ended.
enum class ClaimResult {
    /// This request owns the claim and may send.
    Acquired,
    /// The action ran to its end earlier; the recorded answer is attached.
    Finished,
    /// Another live request holds the claim.
    InProgress,
    /// The holder is gone and nobody knows whether the action ran.
    Uncertain,
    /// The key was used with another body.
    KeyReused,
    /// The key's issue time lies outside the retention window.
    KeyExpired,
    /// The store could not settle the claim now; no claim of this request is in force unless release fails.
    Unavailable,
};

struct ClaimSettled
{
    ClaimResult result = ClaimResult::Unavailable;
    std::string recordedAnswer;
};

/// The coordinator reserved a group.
struct GroupGranted
{
    Route route;
};

/// The coordinator cannot serve the group before the deadline, or could not be reached.
struct GroupRefused
{
    Failure failure;
};

/// The first byte of the attempt's call is about to be handed to the network: from here it may have run.
struct AttemptSending
{
    std::uint32_t attempt = 0;
};

/// The backend server refused the attempt before starting it, or no connection could be made: it did not run.
struct AttemptRefused
{
    std::uint32_t attempt = 0;
    RefusalCode code = RefusalCode::Full;
};

/// A member of a group finished its segment and keeps it as a blob.
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
    /// Digest of all chunks; empty where the backend server's protocol has none.
    std::optional<std::uint64_t> digest;
};

/// The attempt's connection failed or stalled after AttemptSending.
struct AttemptBroken
{
    std::uint32_t attempt = 0;
};

/// Answer to CancelAttempt. Without a confirmation neither flag is set.
struct CancelSettled
{
    std::uint32_t attempt = 0;
    /// The backend server confirms that the attempt had not started and now never will.
    bool neverRan = false;
    bool confirmed = false;
};

/// Settles ReleaseClaim: whether the release is known to hold.
struct ClaimReleased
{
    bool held = false;
};

/// Settles RecordOutcome.
struct OutcomeRecorded
{
    bool held = false;
};

/// The caller cancelled or went away.
struct CallerCancelled
{
};

/// The time of the last ArmTimer has come.
struct TimerFired
{
};

/// Capacity may be free again; sent to waiting requests.
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
                               event::TimerFired,
                               event::CapacityFreed>;

namespace action
{

/// Claim the key in the platform's store; answer with ClaimSettled.
struct AcquireClaim
{
};

/// Give the claim back, retrying until known; answer with ClaimReleased.
struct ReleaseClaim
{
};

/// Record the outcome of a finished action; answer with OutcomeRecorded.
struct RecordOutcome
{
    std::string answer;
};

/// Ask the group coordinator; answer with GroupGranted or GroupRefused.
struct ReserveGroup
{
    NeedsGroup need;
};

/// Return a group's reservation to its coordinator. Not answered.
struct ReleaseGroup
{
    std::uint64_t reservation = 0;
};

/// Order one member's part of an attempt from its backend server.
struct OpenAttempt
{
    std::uint32_t attempt = 0;
    Route route;
    /// Index into the route's members; all but the last are exported segments.
    std::size_t member = 0;
    /// Segments computed so far, in order.
    std::vector<KvReference> imports;
    std::uint64_t resumeFrom = 0;
};

/// Cancel an attempt at its backend server; answer with CancelSettled.
struct CancelAttempt
{
    std::uint32_t attempt = 0;
    std::string backend;
};

/// Free an exported segment at its engine. Not answered; the orphan sweep covers a loss.
struct FreeBlob
{
    std::string backend;
    std::string blob;
};

/// Stop reading an attempt; its late events are not wanted. Nothing of it may be sent from here on: an attempt closed
/// before AttemptSending counts as not run. Frees the router's ledger entry for it.
struct CloseAttempt
{
    std::uint32_t attempt = 0;
    std::string backend;
    /// How the attempt went, for circuit breaking and the retry budget.
    enum class Outcome {
        Completed,
        Refused,
        Broken,
        Abandoned,
    } outcome = Outcome::Completed;
};

/// Give a chunk to the caller; chunks come in order, each once.
struct DeliverChunk
{
    std::uint64_t index = 0;
    std::string text;
};

/// The caller has the whole answer.
struct DeliverEnd
{
    std::uint64_t count = 0;
    std::uint64_t digest = 0;
};

/// The caller gets an explicit failure, also in the middle of a stream.
struct DeliverFailure
{
    Failure failure;
};

/// Send TimerFired at this time; replaces an earlier timer.
struct ArmTimer
{
    Instant at{};
};

/// Nothing more will come; the object may be dropped.
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

/// Limits of one request's lifecycle.
struct FlowLimits
{
    /// Attempts that may have run. Refused ones are not counted, up to four for each of these.
    std::uint32_t maximumAttempts = 4;
    Duration firstRetryDelay = std::chrono::milliseconds(20);
    Duration maximumRetryDelay = std::chrono::seconds(2);
    /// An attempt that sends nothing for this long after its first chunk counts as broken.
    Duration stallTimeout = std::chrono::seconds(5);
    /// Time kept before the deadline to release the claim of an action that has not started, at most a quarter of the
    /// request's whole time.
    Duration settleTime = std::chrono::milliseconds(250);
    /// Whether a non-idempotent request needs a key and a claim in the store. Off where each resend of a caller counts
    /// as a new request, so that the one process that holds it knows all of its attempts.
    bool claims = true;
    /// Whether a silent attempt goes on while no other one may be made, since its backend server may only be slow.
    bool keepStalledAttempt = false;
};

/// Asks the retry budget for one more attempt.
using RetryPermit = std::function<bool(Instant now)>;

/// Drives one request from Begin to Close. Whatever happens it delivers exactly one end or failure to the caller by the
/// deadline, and every attempt, claim, blob and reservation that it opened is closed, released or recorded.
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

    /// Feeds one event and returns the actions to carry out, in order.
    std::vector<FlowAction> handle(const FlowEvent &event, Instant now);

    /// The validated request.
    const RequestSpec &spec() const;

    /// Whether Close was returned.
    bool closed() const;

    /// The verdict that a failure at this moment would carry.
    Verdict verdict() const;

    /// Name of the present state, for logs and traces.
    std::string_view stateName() const;

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace pomeloport
