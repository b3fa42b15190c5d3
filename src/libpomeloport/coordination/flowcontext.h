#pragma once

#include "answerassembler.h"

#include "pomeloport/coordination/requestflow.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

/// Data and decisions of one request's lifecycle. The transition table in requestflow.cpp maps each event in each state
/// to a decision. A decision appends actions and sets the next phase.
namespace pomeloport::detail
{

/// Phases of a request's lifecycle, that is, the states in which it waits for an event.
enum class FlowPhase {
    Idle,
    Claiming,
    Waiting,
    Grouping,
    Attempting,
    Cancelling,
    Releasing,
    Recording,
    Closed,
};

constexpr NameTable<FlowPhase, 9> nameTable(FlowPhase /*unused*/)
{
    return {{{FlowPhase::Idle, "idle"},
             {FlowPhase::Claiming, "claiming"},
             {FlowPhase::Waiting, "waiting"},
             {FlowPhase::Grouping, "grouping"},
             {FlowPhase::Attempting, "attempting"},
             {FlowPhase::Cancelling, "cancelling"},
             {FlowPhase::Releasing, "releasing"},
             {FlowPhase::Recording, "recording"},
             {FlowPhase::Closed, "closed"}}};
}

/// Data of one request, with one method per decision. Not thread-safe.
class FlowContext
{
public:
    FlowContext(RequestSpec spec, FlowLimits limits, RouteChooser chooser, RetryPermit permit, std::uint64_t seed);

    /// Begins processing one event that occurred at this time.
    void startEvent(Instant now);
    /// Ends processing the event and returns its actions, including ArmTimer if the timer changed.
    std::vector<FlowAction> finishEvent();

    // Decisions, one for each kind of event.
    void begin();
    void claimSettled(const event::ClaimSettled &settled);
    void capacityFreed();
    void choose();
    void groupGranted(const event::GroupGranted &granted);
    void groupRefused(const event::GroupRefused &refused);
    void attemptSending();
    void attemptRefused(const event::AttemptRefused &refused);
    void segmentReady(const event::SegmentReady &ready);
    void chunkArrived(const event::ChunkArrived &chunk);
    void attemptEnded(const event::AttemptEnded &ended);
    void attemptBroken();
    void attemptStalled();
    void cancelSettled(bool neverRan);
    void claimReleased(bool held);
    void outcomeRecorded();
    /// Fails the request with this reason, and the delay after which a resend may succeed if it has not run.
    void giveUp(ReasonCode reason, std::string detail, std::optional<std::chrono::milliseconds> retryAfter = {});
    /// Fails the request with this reason once the pending cancel has completed.
    void abandon(ReasonCode reason, std::string detail);
    /// Reports the failure to the caller at the deadline, although cancelling or releasing is still in progress.
    void deliverFailureAtDeadline();

    /// Releases a group that was granted when the request no longer needed it.
    void releaseUnusedGroup(const event::GroupGranted &granted);
    /// Frees a segment that arrived too late to be used.
    void freeLateSegment(const event::SegmentReady &ready);

    /// Whether this is the number of the open attempt.
    bool isCurrent(std::uint32_t attempt) const;
    bool deadlineDue() const;
    bool claimReleaseDue() const;
    bool wakeUpDue() const;
    bool stallDue() const;
    bool cancelTimeoutDue() const;

    const RequestSpec &spec() const;
    FlowPhase phase() const;
    Verdict verdict() const;

private:
    template<typename Action>
    void emit(Action action)
    {
        m_actions.emplace_back(std::move(action));
    }

    void apply(const Route &route);
    void apply(const NeedsGroup &need);
    void apply(const WaitUntil &wait);
    void apply(const Failure &failure);
    void openMember();
    void retry(bool withoutDelay);
    void fail(Failure failure);
    void settleClaim();
    void deliverFailure();
    void finishIfComplete();
    void deliverRecordedAnswer(const std::string &answer);
    void closeMember(action::CloseAttempt::Outcome outcome);
    void releaseGroupResources();
    void armTimer();
    void cancelMember();
    Duration retryDelay();
    Instant claimReleaseTime() const;
    std::optional<Instant> stallTime() const;
    const std::string &currentBackend() const;

    RequestSpec m_spec;
    FlowLimits m_limits;
    RouteChooser m_chooser;
    RetryPermit m_permit;
    std::mt19937_64 m_random;

    Instant m_now{};
    FlowPhase m_phase = FlowPhase::Idle;
    std::vector<FlowAction> m_actions;
    std::optional<Instant> m_armedTimer;
    Instant m_wakeUpAt{};
    Instant m_stallAt{};
    Instant m_sentAt{};
    Instant m_cancelDeadline{};
    /// Waiting for the delay of a retry, during which freed capacity is ignored.
    bool m_backingOff = false;

    std::vector<Route> m_routes;
    std::size_t m_member = 0;
    std::vector<KvReference> m_segments;
    std::uint64_t m_reservation = 0;
    std::vector<std::string> m_avoidedBackends;
    /// Attempts that count towards FlowLimits::maximumAttempts, that is, all but refused ones.
    std::uint32_t m_countedAttempts = 0;
    bool m_attemptOpen = false;
    bool m_attemptSent = false;
    bool m_chunkSeen = false;
    /// The retry budget has already been charged for the next retry.
    bool m_retryPermitted = false;

    /// A claim of this request may be in force in the store.
    bool m_claimPossible = false;
    bool m_mayHaveRun = false;
    bool m_ran = false;
    bool m_outcomeDelivered = false;
    std::optional<Failure> m_failure;
    AnswerAssembler m_answer;
};

} // namespace pomeloport::detail
