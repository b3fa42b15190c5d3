#pragma once

#include "pomeloport/transport/httpserver.h"
#include "pomeloport/verdict.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

/// Writing of answers to callers.
namespace pomelorouter
{

/// Collects an answer and sends it whole.
struct WholeAnswer
{
    std::string text;
};

/// Sends an answer as server-sent events.
struct EventStreamAnswer
{
    bool begun = false;
    /// Whether a write is under way.
    bool writing = false;
    std::string pending;
};

/// Writes the answer to one request. Used on the executor of its exchange only.
class AnswerWriter
{
public:
    /// Called when a write has ended, so that reading can go on.
    using Written = std::function<void(bool ok)>;

    /// Writes to the exchange, as a stream of events or whole.
    AnswerWriter(std::shared_ptr<pomeloport::HttpExchange> exchange, std::string request, bool stream);

    /// Sets what to call when a piece has been handed to the network.
    void onWritten(Written written);

    /// Notes the end of a write and starts the next one. The receiver of onWritten() calls it.
    void pieceWritten(bool ok);

    /// Adds a chunk; a stream sends it at the next flush().
    void chunk(std::uint64_t index, std::string_view text);

    /// Sends what waits, unless a write is under way; the end of that one sends it.
    void flush();

    /// Ends the answer. A failure after the first chunk of a stream becomes its last event.
    void end(std::uint64_t count, std::uint64_t digest);
    void failure(const pomeloport::Failure &failure);

    /// Bytes that wait for the caller.
    std::size_t pendingBytes() const;

private:
    void begin(EventStreamAnswer &answer);
    void endStream(EventStreamAnswer &answer, std::string lastEvent);

    std::shared_ptr<pomeloport::HttpExchange> m_exchange;
    std::string m_request;
    std::variant<WholeAnswer, EventStreamAnswer> m_answer;
    std::shared_ptr<Written> m_written;
};

/// Sends a failure as the whole reply to an exchange, with the status of its reason.
void replyFailure(pomeloport::HttpExchange &exchange,
                  const pomeloport::Failure &failure,
                  std::string_view request = {});

} // namespace pomelorouter
