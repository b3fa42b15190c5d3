#pragma once

#include "callerstream.h"
#include "endpoints.h"
#include "eventparser.h"
#include "loadplan.h"
#include "loadstatistics.h"
#include "pomeloport/clock.h"
#include "pomeloport/verdict.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

/// One request of a load test, from its place in the trace to its outcome.
namespace pomeloload
{

/// Sends a request as a careful caller does: to the next address when one does not answer; an idempotent request again
/// when its answer broke off; an action again under its key until its caller knows what became of it or its time is up.
/// Keeps itself alive by shared ownership until the outcome is known.
class Caller : public std::enable_shared_from_this<Caller>
{
public:
    /// What the callers of one test share; outlives them.
    struct Shared
    {
        boost::asio::io_context &context;
        const LoadPlan &plan;
        Endpoints &endpoints;
        LoadStatistics &statistics;
        std::function<void()> finished;
    };

    /// Times are counted from dueAt, when the trace wanted the request sent.
    Caller(Shared &shared, PlannedRequest request, pomeloport::Instant dueAt);

    void start();

private:
    void chooseAddress();
    void send(const std::string &address);
    void takePiece(std::string_view piece);
    void takeEvent(const ServerEvent &event);
    void takeEnd(CallEnd end);
    void takeWholeReply();
    void noteChunk();
    void fail(std::string_view failureBody);
    void resendLater(std::chrono::milliseconds delay);
    void giveUp();
    void settle();
    void finish(Outcome outcome);
    bool isAction() const;
    std::chrono::milliseconds timeLeft() const;

    Shared &m_shared;
    PlannedRequest m_request;
    pomeloport::Instant m_dueAt;
    pomeloport::Instant m_deadline;
    boost::asio::steady_timer m_deadlineTimer;
    boost::asio::steady_timer m_resendTimer;
    std::optional<CallerStream> m_stream;
    std::set<std::string> m_avoid;
    std::string m_address;
    unsigned m_status = 0;
    std::string m_body;
    EventParser m_events;
    /// The answer as far as it has come in this attempt.
    pomelofake::AnswerCheck m_check;
    std::optional<pomeloport::Instant> m_firstToken;
    pomeloport::Instant m_lastToken{};
    unsigned m_resends = 0;
    /// What the last explicit failure said.
    std::optional<pomeloport::Verdict> m_lastVerdict;
    std::string m_lastReason;
    /// Whether an attempt may have run without telling what became of it.
    bool m_uncertain = false;
    bool m_finished = false;
};

} // namespace pomeloload
