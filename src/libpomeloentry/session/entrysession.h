#pragma once

#include "program/entrycore.h"
#include "session/eventsplitter.h"
#include "session/groupreservation.h"

#include "pomeloentry/wire.h"

#include "pomeloport/coordination/requestflow.h"
#include "pomeloport/transport/callstream.h"
#include "pomeloport/transport/httpserver.h"

#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace pomeloentry
{

/// An admitted call with its route, organisation and service.
struct AdmittedCall
{
    wire::CallerRequest request;
    std::shared_ptr<const FleetState> fleet;
    const CallRoute *route = nullptr;
    std::string organisation;
    std::uint32_t priority = 0;
    CallWork work;
    /// Whether the call is a prompt that an engine processes.
    bool promptAtEngine = false;
};

/// One relayed call from admission to its end: executes the actions of its RequestFlow and passes events to it. All
/// work runs on the executor of the caller's connection; pending operations keep the session alive.
class EntrySession : public std::enable_shared_from_this<EntrySession>
{
public:
    EntrySession(std::shared_ptr<EntryCore> core,
                 std::shared_ptr<pomeloport::HttpExchange> exchange,
                 AdmittedCall call);
    ~EntrySession();
    EntrySession(const EntrySession &) = delete;
    EntrySession &operator=(const EntrySession &) = delete;

    /// Begins to relay the call. Must be called once, on the executor.
    void start();

    /// Tells a call that its instance stops and gives up open calls at a time. A call that waits chooses again at once.
    /// May be called on any thread; the reference is passed on, since sessions end on their executor only.
    static void instanceStops(std::shared_ptr<EntrySession> session, Instant end);

    /// Tells a call that some parts of prompts are quarantined from now on. A call that waits and has one of them is
    /// refused. May be called on any thread, as above.
    static void quarantineBegan(std::shared_ptr<EntrySession> session, const std::vector<PromptPart> &parts);

    /// Ends a call with its final answer, unless it has ended. May be called on any thread, as above.
    static void giveUp(std::shared_ptr<EntrySession> session);

private:
    void feed(pomeloport::FlowEvent event);
    void handle(const pomeloport::FlowEvent &event);
    pomeloport::RouteDecision choose(const pomeloport::RouteQuery &query, Instant now);

    void execute(pomeloport::action::OpenAttempt &action);
    void execute(pomeloport::action::CancelAttempt &action);
    void execute(pomeloport::action::CloseAttempt &action);
    void execute(pomeloport::action::DeliverChunk &action);
    void execute(pomeloport::action::DeliverEnd &action);
    void execute(pomeloport::action::DeliverFailure &action);
    void execute(pomeloport::action::ArmTimer &action);
    void execute(pomeloport::action::Close &action);
    void execute(pomeloport::action::ReserveGroup &action);
    void execute(pomeloport::action::ReleaseGroup &action);
    /// Ignores the actions for claims and exported segments, which do not occur in relayed calls.
    template<typename Action>
    void execute(Action & /*action*/)
    {
    }

    /// The current attempt and what was received for it.
    struct Attempt
    {
        std::uint32_t number = 0;
        std::string backend;
        /// See backendKey().
        std::uint32_t backendKey = 0;
        Instant startedAt{};
        std::unique_ptr<pomeloport::CallStream> stream;
        pomeloport::HttpResponseHead head;
        wire::BackendAnswer answer;
        EventSplitter events;
        std::string body;
        /// Share of the answer that is buffered in the memory for answers.
        pomeloport::MemoryShare memory;
        bool lacksMemory = false;
        bool connectTimedOut = false;
        /// Bytes of the request that the server leaves unread.
        std::size_t unwritten = 0;
        std::uint64_t chunks = 0;
        /// Whether the first event, or the whole answer of a call without events, has arrived.
        bool answered = false;
        bool closed = false;
    };

    void dispatchStreamEvent(std::uint32_t attempt, pomeloport::CallEvent event);
    void onStreamEvent(pomeloport::callevent::Sending &event);
    void onStreamEvent(pomeloport::callevent::Unwritten &event);
    void onStreamEvent(pomeloport::callevent::Unreachable &event);
    void onStreamEvent(pomeloport::callevent::Head &event);
    void onStreamEvent(pomeloport::callevent::BodyData &event);
    void onStreamEvent(pomeloport::callevent::Drained &event);
    void onStreamEvent(pomeloport::callevent::End &event);
    void onStreamEvent(pomeloport::callevent::Broken &event);
    void processEvents(std::vector<StreamEvent> events);
    void failAttempt(const std::string &detail);
    std::optional<pomeloport::Failure> quarantineFailure(Instant now) const;
    std::optional<pomeloport::Failure> beginAttempt(Instant now);
    pomeloport::Failure refusalOf(const SharedQuarantine::Ruling &ruling) const;
    void recordUnwritten(std::size_t bytes);
    void recordAnswer();
    void recordCrash();
    void handleRefusal(const std::string &detail);
    bool isStreaming() const;
    bool holdsMemory(std::size_t bytes);
    std::chrono::milliseconds maximumIdle(const std::string &address);
    void deliver(std::string bytes);
    void onWritten(std::size_t bytes, bool ok);
    void watchPause();
    void timerDue();
    void sendFailure(const pomeloport::Failure &failure);
    std::chrono::milliseconds timeLeft() const;
    void releaseGroup();
    void logWait(const PlacementTrace &trace, Instant now);
    void logOutcome(std::string_view outcome, const std::string &detail);

    std::shared_ptr<EntryCore> m_core;
    std::shared_ptr<pomeloport::HttpExchange> m_exchange;
    AdmittedCall m_call;
    std::shared_ptr<const std::string> m_body;
    boost::asio::strand<boost::asio::io_context::executor_type> m_executor;
    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_pauseTimer;
    pomeloport::RequestFlow m_flow;
    std::shared_ptr<pomelorouter::RequestSeries> m_metrics;
    Attempt m_attempt;
    /// Failure answer of a backend server, passed to the caller if no later attempt succeeds.
    std::optional<pomeloport::HttpResponseHead> m_failureHead;
    std::string m_failureBody;
    pomeloport::MemoryShare m_failureMemory;
    StreamPosition m_position;
    /// Id of the event whose chunk the flow currently decides to deliver or drop.
    std::optional<std::uint64_t> m_pendingEventId;
    std::deque<pomeloport::FlowEvent> m_pendingEvents;
    /// Memory reservation at several engines for the current attempt.
    std::shared_ptr<GroupReservation> m_groupReservation;
    /// Addresses to which attempts of this call were sent.
    std::vector<std::string> m_calledAddresses;
    /// Other backend servers, such as helpers, that were reported as the cause of a refusal.
    std::vector<std::string> m_faultyBackends;
    /// Attempts of this call that may have crashed an engine.
    std::size_t m_suspectedCrashes = 0;
    /// The call is the one prompt with a quarantined part that may be sent; until its attempt ends.
    bool m_isTrial = false;
    /// Cause of the latest wait that was logged; a constant of the placement.
    std::string_view m_waitCause;
    /// What the call lacked at the last placement, if it was refused, and the Retry-After that the caller was given.
    std::optional<ReturnCause> m_returnCause;
    std::optional<std::chrono::milliseconds> m_retryAfter;
    std::uint32_t m_loggedWaits = 0;
    /// Use and standing of the organisation at the latest choice, for the log.
    double m_organisationUse = 0;
    Standing m_standing = Standing::Within;
    std::size_t m_unwrittenBytes = 0;
    /// Since when reading from backend servers pauses for the caller.
    std::optional<Instant> m_pausedSince;
    std::uint64_t m_deliveredEvents = 0;
    std::uint32_t m_attemptCount = 0;
    Instant m_firstByteAt{};
    Instant m_lastEventAt{};
    Duration m_longestEventGap{};
    bool m_handlingEvents = false;
    bool m_headSent = false;
    bool m_finished = false;
};

} // namespace pomeloentry
