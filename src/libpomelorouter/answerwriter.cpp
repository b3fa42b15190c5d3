#include "answerwriter.h"

#include "pomeloport/protocol/callermessages.h"

#include <utility>
#include <vector>

namespace pomelorouter
{

namespace
{

using namespace pomeloport;

constexpr unsigned StatusOk = 200;
constexpr std::int64_t MillisecondsPerSecond = 1000;

} // namespace

AnswerWriter::AnswerWriter(std::shared_ptr<HttpExchange> exchange, std::string request, bool stream)
    : m_exchange(std::move(exchange))
    , m_request(std::move(request))
{
    if (stream) {
        m_answer = EventStreamAnswer{};
    }
}

void AnswerWriter::onWriteCompleted(WriteHandler handler)
{
    m_writeHandler = std::make_shared<WriteHandler>(std::move(handler));
}

void AnswerWriter::chunk(std::uint64_t index, std::string_view text)
{
    if (auto *buffered = std::get_if<BufferedAnswer>(&m_answer)) {
        buffered->text += text;
        return;
    }
    appendChunkEvent(std::get<EventStreamAnswer>(m_answer).pending, index, text);
}

void AnswerWriter::sendHeaders(EventStreamAnswer &answer)
{
    if (!answer.headersSent) {
        answer.headersSent = true;
        m_exchange->beginStream(StatusOk, "text/event-stream", {{"X-Request-Id", m_request}});
    }
}

void AnswerWriter::flush()
{
    auto *answer = std::get_if<EventStreamAnswer>(&m_answer);
    if (!answer || answer->writeInProgress || answer->pending.empty()) {
        return;
    }
    sendHeaders(*answer);
    answer->writeInProgress = true;
    m_exchange->write(std::exchange(answer->pending, {}), [handler = m_writeHandler](bool ok) {
        if (*handler) {
            (*handler)(ok);
        }
    });
}

void AnswerWriter::writeCompleted(bool ok)
{
    auto *answer = std::get_if<EventStreamAnswer>(&m_answer);
    if (!answer) {
        return;
    }
    answer->writeInProgress = false;
    if (ok) {
        flush();
    }
}

void AnswerWriter::endStream(EventStreamAnswer &answer, std::string lastEvent)
{
    sendHeaders(answer);
    answer.pending += lastEvent;
    m_exchange->write(std::exchange(answer.pending, {}), [](bool) {});
    m_exchange->endStream();
}

void AnswerWriter::end(std::uint64_t count, std::uint64_t digest)
{
    if (auto *stream = std::get_if<EventStreamAnswer>(&m_answer)) {
        endStream(*stream, endEvent(count, digest));
        return;
    }
    const auto &text = std::get<BufferedAnswer>(m_answer).text;
    m_exchange->reply(
        StatusOk, "application/json", encodeAnswer(m_request, count, digest, text), {{"X-Request-Id", m_request}});
}

void AnswerWriter::failure(const Failure &failure)
{
    auto *stream = std::get_if<EventStreamAnswer>(&m_answer);
    if (stream && (stream->headersSent || !stream->pending.empty())) {
        endStream(*stream, failureEvent(failure, m_request));
        return;
    }
    replyFailure(*m_exchange, failure, m_request);
}

std::size_t AnswerWriter::pendingBytes() const
{
    const auto *stream = std::get_if<EventStreamAnswer>(&m_answer);
    return stream ? stream->pending.size() : 0;
}

void replyFailure(HttpExchange &exchange, const Failure &failure, std::string_view request)
{
    std::vector<std::pair<std::string, std::string>> headers;
    if (!request.empty()) {
        headers.emplace_back("X-Request-Id", request);
    }
    if (failure.retryAfter) {
        const auto seconds = (failure.retryAfter->count() + MillisecondsPerSecond - 1) / MillisecondsPerSecond;
        headers.emplace_back("Retry-After", std::to_string(seconds));
    }
    exchange.reply(statusOf(failure.reason), "application/json", encodeFailure(failure, request), std::move(headers));
}

} // namespace pomelorouter
