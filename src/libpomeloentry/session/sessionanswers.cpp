#include "session/entrysession.h"
#include "session/noticelog.h"

#include "pomeloport/logging.h"

#include <utility>

/// The part of EntrySession that reads the answers of backend servers.
namespace pomeloentry
{

using namespace pomeloport;

namespace
{

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusMultipleChoices = 300;
constexpr unsigned StatusServerError = 500;
/// Limit on answers without events, which are buffered until they are complete.
constexpr std::size_t MaximumBufferedAnswerBytes = 16 * 1024 * 1024;
/// Answers and events up to this size are not counted, so that small ones go on beside large ones.
constexpr std::size_t UncountedAnswerBytes = 16 * 1024;

bool isSuccess(unsigned status)
{
    return status >= StatusOk && status < StatusMultipleChoices;
}

} // namespace

void EntrySession::dispatchStreamEvent(std::uint32_t attempt, CallEvent event)
{
    if (attempt != m_attempt.number || m_attempt.closed || m_finished) {
        return;
    }
    std::visit([this](auto &typedEvent) { onStreamEvent(typedEvent); }, event);
}

void EntrySession::onStreamEvent(callevent::Sending & /*event*/)
{
    feed(event::AttemptSending{m_attempt.number});
}

void EntrySession::onStreamEvent(callevent::Unwritten &event)
{
    recordUnwritten(event.bytes);
}

/// Records what the server leaves unread of the current attempt's request.
void EntrySession::recordUnwritten(std::size_t bytes)
{
    if (std::exchange(m_attempt.unwritten, bytes) == bytes) {
        return;
    }
    const auto change =
        m_core->placement.requestWaits(m_call.work, m_attempt.number, m_attempt.backendKey, bytes, steadyNow());
    if (change) {
        logEvent(LogLevel::Warning,
                 "slow_server",
                 {{"backend", m_attempt.backend},
                  {"change", change->begins ? "begin" : "end"},
                  {"unread_bytes", change->bytes},
                  {"lasted_ms", change->lasted.count() / 1000}});
    }
}

void EntrySession::onStreamEvent(callevent::Unreachable &event)
{
    logEvent(LogLevel::Warning,
             "unreachable",
             {{"id", m_call.request.attemptId}, {"backend", m_attempt.backend}, {"detail", event.detail}});
    m_attempt.connectTimedOut = event.timedOut;
    feed(event::AttemptRefused{m_attempt.number, RefusalCode::Leaving});
}

void EntrySession::onStreamEvent(callevent::Head &event)
{
    m_attempt.head = std::move(event.head);
    m_attempt.answer = wire::decodeAnswer(m_attempt.head);
    const auto &answer = m_attempt.answer;
    const bool isRefusal = answer.notRun || answer.identityMismatch;
    // Only a refusal may lack the id; on a reused connection it is discarded then, as it may answer an earlier call.
    if (answer.attemptId != m_call.request.attemptId && !(isRefusal && answer.attemptId.empty())) {
        failAttempt("the answer belongs to another request");
        return;
    }
    if (!answer.identityMismatch) {
        m_core->placement.responded(m_attempt.backend, steadyNow());
        recordNotice(*m_core, m_attempt.backend, m_attempt.backendKey, answer.notice, m_call.request.attemptId);
    }
    if (isRefusal) {
        handleRefusal("status " + std::to_string(m_attempt.head.status));
        return;
    }
    if (answer.falsePromise) {
        failAttempt("status " + std::to_string(m_attempt.head.status) + " without saying that the call has not run");
        return;
    }
    if (answer.contentEncoded || (isSuccess(m_attempt.head.status) && !answer.sealed)) {
        failAttempt("the answer is content-encoded or lacks the backend server's seal");
        return;
    }
    if (m_headSent && !isStreaming()) {
        failAttempt("status " + std::to_string(m_attempt.head.status) + " without events does not continue the stream");
    }
}

void EntrySession::onStreamEvent(callevent::BodyData &event)
{
    if (isStreaming()) {
        auto events = m_attempt.events.feed(event.bytes);
        // First, as complete events are counted again while they wait to be written to the caller.
        const bool fits = holdsMemory(m_attempt.events.bufferedBytes());
        const auto attempt = m_attempt.number;
        processEvents(std::move(events));
        if (m_attempt.number != attempt || m_attempt.closed || m_finished) {
            return;
        }
        if (m_attempt.events.overflowed()) {
            failAttempt("an event exceeds 1 MiB");
        } else if (!fits) {
            failAttempt("no memory for the rest of an event");
        }
        return;
    }
    auto &body = m_attempt.body;
    const auto size = body.size() + event.bytes.size();
    if (size > MaximumBufferedAnswerBytes) {
        failAttempt("the answer exceeds 16 MiB");
        return;
    }
    if (size > body.capacity()) {
        const auto capacity = size + size / 2;
        if (!holdsMemory(capacity)) {
            failAttempt("no memory for the rest of the answer");
            return;
        }
        body.reserve(capacity);
    }
    body += event.bytes;
}

/// Takes memory for what the current attempt buffers. Returns false if there is not enough.
bool EntrySession::holdsMemory(std::size_t bytes)
{
    const bool fits = m_attempt.memory.resize(bytes > UncountedAnswerBytes ? bytes : 0);
    m_attempt.lacksMemory = !fits;
    return fits;
}

void EntrySession::onStreamEvent(callevent::Drained & /*event*/)
{
}

void EntrySession::onStreamEvent(callevent::End &event)
{
    const auto status = m_attempt.head.status;
    if (isStreaming()) {
        if (m_attempt.events.hasPartialEvent()) {
            failAttempt("the stream ended inside an event");
            return;
        }
        // A stream that is resumed may have no events left, but only its framing can say so.
        if (!event.framed && !m_attempt.answered) {
            recordCrash();
            failAttempt("the stream ended with its connection before its first event");
            return;
        }
        feed(event::AttemptEnded{m_attempt.number, m_attempt.chunks, std::nullopt});
        return;
    }
    if (status >= StatusServerError) {
        m_failureHead = m_attempt.head;
        m_failureBody = std::move(m_attempt.body);
        m_failureMemory = std::move(m_attempt.memory);
        failAttempt("status " + std::to_string(status));
        return;
    }
    recordAnswer();
    const auto attempt = m_attempt.number;
    const auto index = m_attempt.chunks++;
    feed(event::ChunkArrived{attempt, index, std::move(m_attempt.body)});
    feed(event::AttemptEnded{attempt, index + 1, std::nullopt});
}

void EntrySession::onStreamEvent(callevent::Broken &event)
{
    if (event.connectionLost && !m_attempt.answered && m_attempt.body.empty()) {
        recordCrash();
    }
    failAttempt(event.detail);
}

void EntrySession::handleRefusal(const std::string &detail)
{
    logEvent(LogLevel::Info,
             "refused",
             {{"id", m_call.request.attemptId},
              {"backend", m_attempt.backend},
              {"detail", detail},
              {"at_fault", m_attempt.answer.serverAtFault}});
    const auto fleet = m_core->fleet.current();
    for (const auto &[id, backend] : fleet->backends) {
        if (!m_attempt.answer.serverAtFault.empty() && backend.address == m_attempt.answer.serverAtFault
            && id != m_attempt.backend) {
            m_faultyBackends.push_back(id);
            m_core->placement.failed(id, steadyNow());
        }
    }
    feed(event::AttemptRefused{m_attempt.number, RefusalCode::Full});
}

bool EntrySession::isStreaming() const
{
    return m_attempt.answer.isEventStream && isSuccess(m_attempt.head.status);
}

void EntrySession::processEvents(std::vector<StreamEvent> events)
{
    const auto attempt = m_attempt.number;
    for (auto &next : events) {
        if (m_attempt.number != attempt || m_attempt.closed || m_finished) {
            return;
        }
        if (!std::exchange(m_attempt.answered, true)) {
            recordAnswer();
            if (m_groupReservation) {
                m_groupReservation->answered();
            }
        }
        const auto step = m_position.step(next, m_attemptCount);
        if (step == StreamPosition::Step::Break) {
            failAttempt("the stream skips an event or has events without ids");
            return;
        }
        if (step == StreamPosition::Step::Skip) {
            continue;
        }
        // The flow drops the chunk if the attempt has just been abandoned, so the position moves only on delivery.
        m_pendingEventId = next.id;
        feed(event::ChunkArrived{m_attempt.number, m_attempt.chunks++, std::move(next.bytes)});
    }
}

void EntrySession::recordAnswer()
{
    const auto now = steadyNow();
    if (m_core->placement.answered(m_call.work, m_attempt.number, m_attempt.backend, now)) {
        logServerReturned(m_attempt.backend, m_call.request.attemptId);
    }
    if (m_call.promptAtEngine && isSuccess(m_attempt.head.status)) {
        m_core->quarantine.answered(m_attempt.backendKey, m_call.request.sharedParts, m_attempt.startedAt, now);
    }
}

/// Records that the connection to the engine was lost before it answered. A server that leaves or is known to be gone
/// ends its connections without having crashed.
void EntrySession::recordCrash()
{
    const auto fleet = m_core->fleet.current();
    const auto found = fleet->backends.find(m_attempt.backend);
    if (!m_call.promptAtEngine || found == fleet->backends.end() || found->second.leaving
        || backendKey(found->second) != m_attempt.backendKey) {
        return;
    }
    ++m_suspectedCrashes;
    std::string parts;
    for (const auto part : m_call.request.sharedParts) {
        if (!parts.empty()) {
            parts += ',';
        }
        parts += partText(part);
    }
    logEvent(LogLevel::Warning,
             "engine_crash_suspected",
             {{"id", m_call.request.attemptId}, {"backend", m_attempt.backend}, {"parts", parts}});
    m_core->quarantine.crashed(m_attempt.backendKey, m_call.request.sharedParts, steadyNow());
}

void EntrySession::failAttempt(const std::string &detail)
{
    logEvent(LogLevel::Warning,
             "attempt_broken",
             {{"id", m_call.request.attemptId},
              {"attempt", m_attempt.number},
              {"backend", m_attempt.backend},
              {"delivered", m_deliveredEvents},
              {"detail", detail}});
    if (m_attempt.stream) {
        m_attempt.stream->close();
    }
    // Assigning an empty string would keep its capacity, which is no longer counted from here on.
    std::exchange(m_attempt.body, {});
    std::exchange(m_attempt.events, {});
    m_attempt.memory.resize(0);
    feed(event::AttemptBroken{m_attempt.number});
}

} // namespace pomeloentry
