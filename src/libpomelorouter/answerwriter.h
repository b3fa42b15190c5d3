#pragma once

#include "pomeloport/transport/httpserver.h"
#include "pomeloport/verdict.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

/// Writes answers to callers, whole or as server-sent events.
namespace pomelorouter
{

/// State of an answer that is collected and sent as one reply.
struct BufferedAnswer
{
    std::string text;
};

/// State of an answer that is sent as server-sent events.
struct EventStreamAnswer
{
    bool headersSent = false;
    /// At most one write is in progress; later events collect in pending until it completes.
    bool writeInProgress = false;
    std::string pending;
};

/// Writes the answer to one request. Not thread-safe: use it only on the executor of its exchange.
class AnswerWriter
{
public:
    /// Called when a write has completed or failed, so that paused reading from the backend server can resume.
    using WriteHandler = std::function<void(bool ok)>;

    /// Writes to the exchange, as a stream of events if requested and as one reply otherwise.
    AnswerWriter(std::shared_ptr<pomeloport::HttpExchange> exchange, std::string request, bool stream);

    /// Sets the handler of completed writes, which must call writeCompleted(). Not called for the last write of an
    /// answer.
    void onWriteCompleted(WriteHandler handler);

    /// Marks the write in progress as completed and, unless it failed, flushes the events that arrived meanwhile.
    void writeCompleted(bool ok);

    /// Appends a chunk of the answer; a stream sends it at the next flush().
    void chunk(std::uint64_t index, std::string_view text);

    /// Sends the pending events of a stream. While a write is in progress they stay pending until it completes.
    void flush();

    /// Completes the answer with the number of chunks and the digest of the text.
    void end(std::uint64_t count, std::uint64_t digest);

    /// Ends the answer with a failure: as the last event of a stream that has chunks, else as a reply with the status
    /// of the reason.
    void failure(const pomeloport::Failure &failure);

    /// Bytes of a stream that are not yet handed to the network; 0 for a buffered answer.
    std::size_t pendingBytes() const;

private:
    void sendHeaders(EventStreamAnswer &answer);
    void endStream(EventStreamAnswer &answer, std::string lastEvent);

    std::shared_ptr<pomeloport::HttpExchange> m_exchange;
    std::string m_request;
    std::variant<BufferedAnswer, EventStreamAnswer> m_answer;
    std::shared_ptr<WriteHandler> m_writeHandler;
};

/// Replies to an exchange with a failure, with the HTTP status of its reason and, where the failure has a retry delay,
/// a Retry-After header in full seconds. A request ID that is not empty is sent as X-Request-Id.
void replyFailure(pomeloport::HttpExchange &exchange,
                  const pomeloport::Failure &failure,
                  std::string_view request = {});

} // namespace pomelorouter
