#pragma once

#include "answerwriter.h"
#include "routercore.h"

#include "pomeloport/coordination/requestflow.h"
#include "pomeloport/protocol/linkmessages.h"
#include "pomeloport/transport/enginestream.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace pomelorouter
{

class ClaimRunner;

/// One request from its admission to its end: carries out the actions of its RequestFlow and feeds their results back
/// as events. All work runs on the executor of the caller's connection. The registry owns the session until it ends.
class RequestSession : public std::enable_shared_from_this<RequestSession>
{
public:
    /// Creates the session of an admitted request. The sequence number must be unique within this start of the router.
    RequestSession(std::shared_ptr<RouterCore> core,
                   std::shared_ptr<pomeloport::HttpExchange> exchange,
                   pomeloport::RequestSpec specification,
                   std::string prompt,
                   bool stream,
                   std::uint64_t sequence);
    ~RequestSession();
    RequestSession(const RequestSession &) = delete;
    RequestSession &operator=(const RequestSession &) = delete;

    /// Registers the session and starts its flow. Call it once, on the executor.
    void start();

    /// The request ID as callers see it: INSTANCE.INCARNATION.SEQUENCE.
    const std::string &id() const;

    /// The organisation that sent the request.
    const std::string &organisation() const;

    /// Cancels the request on behalf of its caller. Thread-safe.
    void cancel();

    /// Fails the request because the process ends. A repetition does not wait for a pending cancel or release.
    /// Thread-safe.
    void abandon(std::chrono::milliseconds retryAfter);

    /// Notifies a waiting request that capacity may be free. If it opens an attempt, the next waiting request is
    /// notified too, since capacity may be left. Thread-safe.
    void capacityFreed();

    /// Calls back on the executor with the state of this request's claim, as reported to peers. Thread-safe.
    void queryClaimState(std::function<void(pomeloport::link::ClaimHolderState state)> callback);

private:
    /// The stream of one group member within an attempt.
    struct OpenStream
    {
        std::uint32_t attempt = 0;
        std::size_t member = 0;
        std::string backend;
        /// Whether this member computes a segment of the prompt for the next member and sends no answer.
        bool exporting = false;
        std::uint64_t chunks = 0;
        std::unique_ptr<pomeloport::EngineStream> stream;
    };

    void feed(pomeloport::FlowEvent event);
    void handle(const pomeloport::FlowEvent &event);
    void post(pomeloport::FlowEvent event);
    pomeloport::RouteDecision choose(const pomeloport::RouteQuery &query, pomeloport::Instant now);

    void execute(pomeloport::action::AcquireClaim &action);
    void execute(pomeloport::action::ReleaseClaim &action);
    void execute(pomeloport::action::RecordOutcome &action);
    void execute(pomeloport::action::ReserveGroup &action);
    void execute(pomeloport::action::ReleaseGroup &action);
    void execute(pomeloport::action::OpenAttempt &action);
    void execute(pomeloport::action::CancelAttempt &action);
    void execute(pomeloport::action::FreeBlob &action);
    void execute(pomeloport::action::CloseAttempt &action);
    void execute(pomeloport::action::DeliverChunk &action);
    void execute(pomeloport::action::DeliverEnd &action);
    void execute(pomeloport::action::DeliverFailure &action);
    void execute(pomeloport::action::ArmTimer &action);
    void execute(pomeloport::action::Close &action);

    OpenStream *findStream(std::uint32_t attempt, std::size_t member);
    pomeloport::StreamCall makeCall(const pomeloport::action::OpenAttempt &action,
                                    const std::string &serverAddress) const;
    void dispatchStreamEvent(std::uint32_t attempt, std::size_t member, pomeloport::EngineStreamEvent event);
    void handleStreamEvent(OpenStream &open, pomeloport::streamevent::Sending &event);
    void handleStreamEvent(OpenStream &open, pomeloport::streamevent::Refused &event);
    void handleStreamEvent(OpenStream &open, pomeloport::streamevent::Chunk &event);
    void handleStreamEvent(OpenStream &open, pomeloport::streamevent::Drained &event);
    void handleStreamEvent(OpenStream &open, pomeloport::streamevent::End &event);
    void handleStreamEvent(OpenStream &open, pomeloport::streamevent::Broken &event);
    void handleCancelReply(std::uint32_t attempt, const std::optional<pomeloport::HttpReply> &reply);

    void writeCompleted(bool ok);
    void setPaused(bool paused);
    void ensureTimer();
    void timerExpired();
    void startTimer(pomeloport::Instant at);
    void trace(std::string text);
    void reportOutcome(pomeloport::Verdict verdict, std::optional<pomeloport::ReasonCode> reason);
    void handleClaimEvent(pomeloport::FlowEvent event);
    void finishIfDone();
    pomeloport::StreamAddress address(std::uint32_t attempt) const;

    std::shared_ptr<RouterCore> m_core;
    std::shared_ptr<pomeloport::HttpExchange> m_exchange;
    boost::asio::strand<boost::asio::io_context::executor_type> m_executor;
    boost::asio::steady_timer m_timer;
    pomeloport::StreamAddress m_address;
    std::string m_id;
    std::string m_prompt;
    pomeloport::RequestFlow m_flow;
    AnswerWriter m_writer;
    std::shared_ptr<ClaimRunner> m_claim;
    std::shared_ptr<RequestSeries> m_series;
    std::shared_ptr<RequestTrace> m_trace;
    std::vector<OpenStream> m_streams;
    std::deque<pomeloport::FlowEvent> m_pendingEvents;
    std::uint64_t m_deliveredChunks = 0;
    std::uint32_t m_lastAttempt = 0;
    pomeloport::Instant m_lastChunkAt{};
    /// When TimerFired is due, and when the running timer expires. The latter may be earlier: a due time that moves
    /// later does not restart the timer.
    pomeloport::Instant m_timerDueAt = pomeloport::Instant::max();
    pomeloport::Instant m_timerExpiresAt = pomeloport::Instant::max();
    bool m_feeding = false;
    /// Whether further chunks may follow from the same network read; flushing is deferred until all of them arrived.
    bool m_batching = false;
    bool m_paused = false;
    bool m_callerDisconnected = false;
    bool m_flowClosed = false;
    bool m_finished = false;
};

} // namespace pomelorouter
