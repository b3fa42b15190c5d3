#include "caller.h"

#include "pomelofake/program.h"
#include "pomeloport/protocol/jsonfields.h"

#include <algorithm>

namespace pomeloload
{

using pomelofake::steadyNow;
using pomeloport::Instant;
using pomeloport::ReasonCode;
using pomeloport::Verdict;
using std::chrono::milliseconds;

namespace
{

constexpr unsigned HttpOk = 200;
constexpr unsigned MaximumResends = 3;
constexpr milliseconds ResendDelay{100};
constexpr milliseconds ActionResendDelay{300};
/// How long after its deadline a request may still be answered with a failure.
constexpr milliseconds DeadlineGrace{3000};

double millisecondsBetween(Instant begin, Instant end)
{
    constexpr double MicrosecondsPerMillisecond = 1000;
    return static_cast<double>((end - begin).count()) / MicrosecondsPerMillisecond;
}

/// Whether another instance may accept what this one refused.
bool isOfInstance(const std::string &reason)
{
    return reason == nameOf(ReasonCode::NotAdmitting) || reason == nameOf(ReasonCode::Stopping);
}

} // namespace

Caller::Caller(Shared &shared, PlannedRequest request, Instant dueAt)
    : m_shared(shared)
    , m_request(std::move(request))
    , m_dueAt(dueAt)
    , m_deadline(dueAt + shared.plan.classes()[m_request.entry.classIndex].deadline)
    , m_deadlineTimer(shared.context)
    , m_resendTimer(shared.context)
    , m_check(m_request.check)
{
}

void Caller::start()
{
    ++m_shared.statistics.sent;
    ++m_shared.statistics.open;
    m_deadlineTimer.expires_at(m_deadline + DeadlineGrace);
    m_deadlineTimer.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (!error) {
            self->giveUp();
        }
    });
    chooseAddress();
}

void Caller::chooseAddress()
{
    m_shared.endpoints.choose(m_avoid, [self = shared_from_this()](const std::string &address) {
        if (self->m_finished) {
            return;
        }
        if (address.empty()) {
            self->m_avoid.clear();
            self->resendLater(ResendDelay);
            return;
        }
        self->send(address);
    });
}

void Caller::send(const std::string &address)
{
    if (timeLeft() <= milliseconds(0)) {
        settle();
        return;
    }
    m_address = address;
    m_status = 0;
    m_body.clear();
    m_events = {};
    m_check = m_request.check;
    ReplyListener listener;
    listener.header = [this](unsigned status) {
        m_status = status;
    };
    listener.piece = [this](std::string_view piece) {
        takePiece(piece);
    };
    listener.done = [self = shared_from_this()](CallEnd end) {
        self->takeEnd(end);
    };
    m_stream.emplace(
        m_shared.context,
        StreamRequest{address, "/v1/requests", m_request.token, m_shared.plan.bodyOf(m_request, timeLeft())},
        std::move(listener));
}

void Caller::takePiece(std::string_view piece)
{
    const bool stream = m_shared.plan.classes()[m_request.entry.classIndex].stream;
    if (m_status != HttpOk || !stream) {
        m_body += piece;
        return;
    }
    m_events.take(piece, [this](const ServerEvent &event) {
        if (!m_finished) {
            takeEvent(event);
        }
    });
}

void Caller::takeEvent(const ServerEvent &event)
{
    if (event.name == "failure") {
        m_body = event.data;
        return;
    }
    pomeloport::detail::JsonReader fields(event.data);
    if (event.name == "end") {
        m_check.end(fields.number("count", true), fields.digest("digest"));
        finish(fields.ok() && m_check.right() ? Outcome::Answered : Outcome::Wrong);
        return;
    }
    m_check.addChunk(fields.number("index", true), fields.text("text", true));
    noteChunk();
    if (!fields.ok() || !m_check.right()) {
        finish(Outcome::Wrong);
    }
}

void Caller::noteChunk()
{
    const auto now = steadyNow();
    auto &statistics = m_shared.statistics.kinds[m_shared.plan.classes()[m_request.entry.classIndex].kind];
    auto &lengths = m_shared.statistics.lengths[pomeloport::promptClass(m_request.entry.promptTokens)];
    if (m_firstToken) {
        statistics.betweenTokens.add(millisecondsBetween(m_lastToken, now));
        lengths.betweenTokens.add(millisecondsBetween(m_lastToken, now));
    } else {
        m_firstToken = now;
    }
    m_lastToken = now;
}

void Caller::takeEnd(CallEnd end)
{
    m_stream.reset();
    if (m_finished) {
        return;
    }
    if (end == CallEnd::NotConnected) {
        m_shared.endpoints.forget(m_address);
        m_avoid.insert(m_address);
        resendLater(milliseconds(0));
        return;
    }
    const bool cut = end == CallEnd::Broken || (m_status == HttpOk && m_body.empty());
    if (!cut) {
        takeWholeReply();
        return;
    }
    ++m_shared.statistics.cuts[m_address];
    m_uncertain = true;
    m_avoid.insert(m_address);
    resendLater(ResendDelay);
}

void Caller::takeWholeReply()
{
    pomeloport::detail::JsonReader fields{std::string_view(m_body)};
    if (m_status != HttpOk || fields.text("verdict") != nameOf(Verdict::Ran) || !fields.find("chunks")) {
        fail(m_body);
        return;
    }
    m_check.whole(fields.number("chunks", true), fields.digest("digest"), fields.text("text", true));
    noteChunk();
    finish(fields.ok() && m_check.right() ? Outcome::Answered : Outcome::Wrong);
}

void Caller::fail(std::string_view failureBody)
{
    pomeloport::detail::JsonReader fields(failureBody);
    const auto verdict = pomeloport::valueOf<Verdict>(fields.text("verdict", true));
    m_lastReason = fields.text("reason", true);
    if (!verdict || !fields.ok()) {
        m_lastReason = "status_" + std::to_string(m_status) + "_without_verdict";
        finish(Outcome::Wrong);
        return;
    }
    m_lastVerdict = verdict;
    m_uncertain = false;
    const milliseconds retryAfter(fields.number("retry_after_ms"));
    if (isOfInstance(m_lastReason)) {
        m_avoid.insert(m_address);
    }
    const bool resendable =
        isAction() ? *verdict != Verdict::Ran : isOfInstance(m_lastReason) || *verdict == Verdict::MayHaveRun;
    if (!resendable) {
        settle();
        return;
    }
    resendLater(std::max(retryAfter, isAction() ? ActionResendDelay : ResendDelay));
}

void Caller::resendLater(milliseconds delay)
{
    const bool exhausted = !isAction() && m_resends >= MaximumResends && delay > milliseconds(0);
    if (exhausted || timeLeft() <= delay) {
        settle();
        return;
    }
    m_resends += delay > milliseconds(0) ? 1 : 0;
    ++m_shared.statistics.resends;
    m_resendTimer.expires_after(delay);
    m_resendTimer.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (!error && !self->m_finished) {
            self->chooseAddress();
        }
    });
}

void Caller::giveUp()
{
    m_lastReason = m_stream ? "no_reply_by_deadline" : "no_instance_by_deadline";
    finish(m_stream || !m_lastVerdict ? Outcome::Lost : Outcome::Failed);
}

void Caller::settle()
{
    if (m_uncertain || !m_lastVerdict) {
        m_lastReason = "connection_broken";
        finish(Outcome::Lost);
        return;
    }
    finish(*m_lastVerdict == Verdict::NotRun ? Outcome::Rejected : Outcome::Failed);
}

void Caller::finish(Outcome outcome)
{
    if (std::exchange(m_finished, true)) {
        return;
    }
    const auto &kind = m_shared.plan.classes()[m_request.entry.classIndex].kind;
    const auto length = pomeloport::promptClass(m_request.entry.promptTokens);
    for (auto *statistics : {&m_shared.statistics.kinds[kind], &m_shared.statistics.lengths[length]}) {
        ++statistics->outcomes[outcome];
        if (outcome == Outcome::Answered) {
            statistics->firstToken.add(millisecondsBetween(m_dueAt, *m_firstToken));
            statistics->whole.add(millisecondsBetween(m_dueAt, steadyNow()));
        }
    }
    if (outcome == Outcome::Wrong && !m_check.right()) {
        m_lastReason = m_check.fault();
    }
    if (outcome != Outcome::Answered) {
        ++m_shared.statistics.reasons[std::string(pomeloport::nameOf(outcome)) + ' ' + kind + ": " + m_lastReason];
    }
    if (isAction()) {
        m_shared.statistics.actions.push_back({m_request.key, outcome});
    }
    --m_shared.statistics.open;
    m_deadlineTimer.cancel();
    m_resendTimer.cancel();
    m_stream.reset();
    m_shared.finished();
}

bool Caller::isAction() const
{
    return !m_request.key.empty();
}

milliseconds Caller::timeLeft() const
{
    return std::chrono::duration_cast<milliseconds>(m_deadline - steadyNow());
}

} // namespace pomeloload
