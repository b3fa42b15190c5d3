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

/// One request from admission to its end: carries out the actions of its RequestFlow and feeds it with what happens.
/// All work runs on the executor of the caller's connection; the registry owns the session until it ends.
class RequestSession : public std::enable_shared_from_this<RequestSession>
{
public:
    /// Takes an admitted request and its prompt. The sequence number must be unique for this router.
    RequestSession(std::shared_ptr<RouterCore> core,
                   std::shared_ptr<pomeloport::HttpExchange> exchange,
                   pomeloport::RequestSpec specification,
                   std::string prompt,
                   bool stream,
                   std::uint64_t sequence);
    ~RequestSession();
    RequestSession(const RequestSession &) = delete;
    RequestSession &operator=(const RequestSession &) = delete;

    /// Registers the session and starts the request. Call once, on the executor.
    void start();

    /// The request's identity as callers see it.
    const std::string &id() const;

    /// The organisation that sent it.
    const std::string &organisation() const;

    /// Cancels the request on behalf of its caller. Any thread.
    void cancel();

    /// Tells the request that capacity may be free; when it takes some, the next one is told. Any thread.
    void capacityFreed();

    /// Answers a peer's question about this request's claim, on the executor. Any thread.
    void askClaim(std::function<void(pomeloport::link::ClaimHolderState state)> callback);

private:
    /// One member's part of an attempt.
    struct OpenStream
    {
        std::uint32_t attempt = 0;
        std::size_t member = 0;
        std::string backend;
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
    pomeloport::StreamCall makeCall(const pomeloport::action::OpenAttempt &action, const std::string &address) const;
    void streamEvent(std::uint32_t attempt, std::size_t member, pomeloport::EngineStreamEvent event);
    void take(OpenStream &open, pomeloport::streamevent::Sending &event);
    void take(OpenStream &open, pomeloport::streamevent::Refused &event);
    void take(OpenStream &open, pomeloport::streamevent::Chunk &event);
    void take(OpenStream &open, pomeloport::streamevent::Drained &event);
    void take(OpenStream &open, pomeloport::streamevent::End &event);
    void take(OpenStream &open, pomeloport::streamevent::Broken &event);
    void cancelAnswered(std::uint32_t attempt, const std::optional<pomeloport::HttpReply> &reply);

    void pieceWritten(bool ok);
    void setPaused(bool paused);
    void waitForTimer();
    void timerDue();
    void lookAt(pomeloport::Instant at);
    void trace(std::string text);
    void ended(pomeloport::Verdict verdict, std::optional<pomeloport::ReasonCode> reason);
    void tellClaim(pomeloport::FlowEvent event);
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
    std::deque<pomeloport::FlowEvent> m_events;
    std::uint64_t m_chunks = 0;
    std::uint32_t m_attempts = 0;
    pomeloport::Instant m_lastChunkAt{};
    /// When TimerFired is due, and when the timer that is running will look; the latter may be earlier.
    pomeloport::Instant m_timerAt = pomeloport::Instant::max();
    pomeloport::Instant m_timerLooks = pomeloport::Instant::max();
    bool m_feeding = false;
    /// More chunks are at hand, so that sending waits for the last of them.
    bool m_batching = false;
    bool m_paused = false;
    bool m_callerGone = false;
    bool m_flowClosed = false;
    bool m_finished = false;
};

} // namespace pomelorouter
