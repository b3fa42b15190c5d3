#pragma once

#include "answerassembler.h"

#include "pomeloport/coordination/requestflow.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

/// Data and decisions of one request's lifecycle. The state machine in requestflow.cpp says which decision answers
/// which event in which state; each decision here appends actions and names the next phase.
namespace pomeloport::detail
{

/// Phases of a request's lifecycle: the states in which it waits for an event.
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

/// One request's data, and a method for each decision. Not thread-safe.
class FlowContext
{
public:
    FlowContext(RequestSpec spec, FlowLimits limits, RouteChooser chooser, RetryPermit permit, std::uint64_t seed);

    /// Starts the handling of one event at this time.
    void startEvent(Instant now);
    /// Returns the actions of the event, with a new timer when it changed.
    std::vector<FlowAction> finishEvent();

    /// Decisions, one for each kind of event.
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
    /// Gives the request up for this reason.
    void giveUp(ReasonCode reason, std::string detail);
    /// Gives the request up once the cancel under way is settled.
    void abandon(ReasonCode reason, std::string detail);
    /// Tells the caller the failure that the request is being wound down for, because the deadline has come.
    void tellAtDeadline();

    /// Undoes a grant that nobody waits for.
    void returnGroup(const event::GroupGranted &granted);
    /// Frees a segment that arrived too late to be used.
    void freeLateSegment(const event::SegmentReady &ready);

    /// Whether an event of this attempt belongs to the open attempt.
    bool isCurrent(std::uint32_t attempt) const;
    bool deadlineDue() const;
    bool settleDue() const;
    bool wakeUpDue() const;
    bool stallDue() const;
    bool cancelLimitDue() const;

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
    void retry(bool atOnce);
    void fail(Failure failure);
    void settleClaim();
    void tellFailure();
    void complete();
    void deliverRecorded(const std::string &answer);
    void closeMember(action::CloseAttempt::Outcome outcome);
    void freeGroup();
    void armTimer();
    void cancelMember();
    Duration retryDelay();
    Instant settleTime() const;
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
    std::optional<Instant> m_armed;
    Instant m_wakeAt{};
    Instant m_stallAt{};
    Instant m_sentAt{};
    Instant m_cancelLimit{};
    bool m_backingOff = false;

    std::vector<Route> m_routes;
    std::size_t m_member = 0;
    std::vector<KvReference> m_segments;
    std::uint64_t m_reservation = 0;
    std::vector<std::string> m_avoid;
    std::uint32_t m_countedAttempts = 0;
    bool m_open = false;
    bool m_sent = false;
    bool m_chunkSeen = false;
    /// The next retry has been taken from the budget.
    bool m_retryPermitted = false;

    bool m_claimPossible = false;
    bool m_mayHaveRun = false;
    bool m_ran = false;
    bool m_told = false;
    std::optional<Failure> m_failure;
    AnswerAssembler m_answer;
};

} // namespace pomeloport::detail
