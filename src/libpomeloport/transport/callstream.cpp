#include "pomeloport/transport/callstream.h"

#include "addresses.h"
#include "connectionpool.h"
#include "replyparser.h"
#include "socketoptions.h"

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>
#include <vector>

namespace pomeloport
{

namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using Strand = asio::strand<asio::io_context::executor_type>;

/// Allows for a few round trips and, with ConnectInterval, for lost packets.
constexpr std::chrono::milliseconds ConnectTimeout{700};
/// Interval at which another connection is begun while none is established. The system repeats a request for a
/// connection that was lost, or that found the listen queue of the server full, only after 1 s.
constexpr std::chrono::milliseconds ConnectInterval{200};
constexpr std::size_t ReadBufferBytes = 4096;
/// Maximum size of the status line and header fields of a response.
constexpr std::uint32_t MaximumHeadBytes = 64 * 1024;
/// Maximum number of received bytes that the parser has not consumed, such as a chunk's extension or the trailer.
constexpr std::size_t MaximumUnparsedBytes = 2 * MaximumHeadBytes;
/// Subtracted from the keep-alive timeout that a server announces, so that a request in transit does not reach a
/// connection that the server is closing.
constexpr std::chrono::milliseconds KeepAliveMargin{500};
constexpr std::chrono::milliseconds DefaultKeepAliveTimeout{4000};
/// Interval at which a closed connection is checked for bytes of the request that the server has not acknowledged.
constexpr std::chrono::milliseconds DeliveryCheckInterval{10};

/// How long the connection may be reused, according to the Keep-Alive field of the response.
std::chrono::milliseconds keepAliveTimeout(const HttpFields &fields)
{
    constexpr std::string_view Parameter = "timeout=";
    const auto value = fieldValue(fields, "Keep-Alive");
    const auto position = value.find(Parameter);
    unsigned seconds = 0;
    if (position == std::string_view::npos
        || std::from_chars(value.data() + position + Parameter.size(), value.data() + value.size(), seconds).ec
            != std::errc()) {
        return DefaultKeepAliveTimeout;
    }
    const std::chrono::milliseconds keepAlive = std::chrono::seconds(seconds);
    return keepAlive > KeepAliveMargin ? keepAlive - KeepAliveMargin : std::chrono::milliseconds::zero();
}

bool mayHaveBody(const std::string &method)
{
    return method == "POST" || method == "PUT" || method == "PATCH";
}

} // namespace

namespace detail
{

/// The session behind a CallStream; kept alive by its pending operations.
class CallStreamSession : public std::enable_shared_from_this<CallStreamSession>
{
public:
    CallStreamSession(std::shared_ptr<ConnectionPool> pool,
                      Strand executor,
                      RelayedCall call,
                      CallStream::Listener listener)
        : m_pool(std::move(pool))
        , m_executor(std::move(executor))
        , m_timer(m_executor)
        , m_call(std::move(call))
        , m_listener(std::make_shared<CallStream::Listener>(std::move(listener)))
    {
        m_requestHead = m_call.method + " " + m_call.target + " HTTP/1.1\r\n";
        appendFields(m_requestHead, m_call.fields);
        if (!m_call.body) {
            m_call.body = std::make_shared<const std::string>();
        }
        if (!m_call.body->empty() || mayHaveBody(m_call.method)) {
            m_requestHead += "Content-Length: " + std::to_string(m_call.body->size()) + "\r\n";
        }
        m_requestHead += "\r\n";
    }

    void start()
    {
        asio::post(m_executor, [self = shared_from_this()] { self->begin(); });
    }

    void pause()
    {
        m_paused = true;
    }

    void resume()
    {
        m_paused = false;
        if (m_readDeferred && !m_closed) {
            read();
        }
    }

    void close()
    {
        m_closed = true;
        m_listener = nullptr;
        closeSocket();
    }

private:
    template<typename Handler>
    auto onExecutor(Handler handler)
    {
        return asio::bind_executor(m_executor, std::move(handler));
    }

    void begin()
    {
        if (m_closed) {
            return;
        }
        if (m_call.maximumIdle > std::chrono::milliseconds::zero()) {
            m_socket = m_pool->acquire(m_call.address, m_call.maximumIdle);
        }
        m_reused = m_socket != nullptr;
        m_reused ? write() : connect();
    }

    void connect()
    {
        const auto endpoint = parseEndpoint(m_call.address);
        if (!endpoint) {
            emitFinal(callevent::Unreachable{"malformed address"});
            return;
        }
        m_reused = false;
        m_socket = nullptr;
        beginConnection(*endpoint, std::chrono::steady_clock::now() + ConnectTimeout);
    }

    /// Begins a connection beside those that are not established yet, and others later until the end.
    void beginConnection(const tcp::endpoint &endpoint, std::chrono::steady_clock::time_point end)
    {
        auto *socket = m_connecting.emplace_back(std::make_unique<tcp::socket>(m_pool->context())).get();
        socket->async_connect(endpoint, onExecutor([self = shared_from_this(), socket](error_code error) {
                                  self->connected(socket, error);
                              }));
        m_timer.expires_at(std::min(std::chrono::steady_clock::now() + ConnectInterval, end));
        m_timer.async_wait([self = shared_from_this(), endpoint, end](error_code error) {
            if (error || self->m_connecting.empty()) {
                return;
            }
            if (std::chrono::steady_clock::now() >= end) {
                self->emitFinal(callevent::Unreachable{"connection timed out", true});
                return;
            }
            self->beginConnection(endpoint, end);
        });
    }

    /// Uses the first connection that is established. One that the server refuses ends the call, and so does any other
    /// error of the last one that is pending.
    void connected(const tcp::socket *socket, error_code error)
    {
        const auto found = std::ranges::find(m_connecting, socket, &std::unique_ptr<tcp::socket>::get);
        if (found == m_connecting.end()) {
            return;
        }
        if (error && error != asio::error::connection_refused && m_connecting.size() > 1) {
            m_connecting.erase(found);
            return;
        }
        if (error) {
            emitFinal(callevent::Unreachable{error.message(), error == asio::error::timed_out});
            return;
        }
        m_socket = std::move(*found);
        m_connecting.clear();
        m_timer.cancel();
        configureConnection(*m_socket);
        write();
    }

    void write()
    {
        if (!std::exchange(m_sendingReported, true)) {
            emit(callevent::Sending{});
        }
        if (m_closed) {
            return;
        }
        m_writing = true;
        m_unsentBody = MemoryShare(m_call.unsentBodies);
        m_unsentBody.resize(m_call.body->size());
        if (m_call.limitsUnsent && m_call.body->size() > UnsentBytes) {
            limitUnsentBytes(*m_socket);
        }
        const std::array<asio::const_buffer, 2> parts{asio::buffer(m_requestHead), asio::buffer(*m_call.body)};
        const auto progress = [self = shared_from_this(), size = asio::buffer_size(parts)](error_code error,
                                                                                           std::size_t bytes) {
            const auto left = error ? 0 : size - bytes;
            if (bytes > 0) {
                self->reportUnwritten(left);
            }
            return left;
        };
        asio::async_write(
            *m_socket, parts, progress, onExecutor([self = shared_from_this()](error_code error, std::size_t bytes) {
                self->written(error, bytes);
            }));
        m_buffer.resize(ReadBufferBytes);
        startParser();
        read();
    }

    /// Reports the bytes of the request that the connection has not taken, if any ever waited.
    void reportUnwritten(std::size_t bytes)
    {
        if (bytes != std::exchange(m_unwrittenBytes, bytes)) {
            emit(callevent::Unwritten{bytes});
        }
    }

    void written(error_code error, std::size_t bytes)
    {
        m_writing = false;
        m_unsentBody = {};
        if (m_closed || !m_socket) {
            return;
        }
        if (error && bytes == 0 && m_reused && !m_endReceived) {
            m_reconnecting = true;
            closeSocket();
            return;
        }
        // A write error is not reported here, because a server may reject a call before reading all of it. The response
        // or the read error determines the outcome.
        m_writeFailed = static_cast<bool>(error);
        m_call.body = nullptr;
    }

    void startParser()
    {
        m_headReported = false;
        m_unrelatedResponse = false;
        m_parser = std::make_unique<ReplyParser>([this](std::string_view piece) {
            reportHead();
            if (!m_unrelatedResponse && !m_closed) {
                m_bodyDataReported = true;
                emit(callevent::BodyData{std::string(piece)});
            }
            return true;
        });
        m_parser->header_limit(MaximumHeadBytes);
        if (m_call.method == "HEAD") {
            m_parser->skip(true);
        }
    }

    /// Reports the head once, unless the response belongs to another call.
    void reportHead()
    {
        if (m_headReported || !m_parser->is_header_done() || isInformational(m_parser->status())) {
            return;
        }
        m_headReported = true;
        m_unrelatedResponse = m_reused && m_call.responseMatches && !m_call.responseMatches(m_parser->head());
        if (!m_unrelatedResponse) {
            emit(callevent::Head{m_parser->head()});
        }
    }

    void read()
    {
        m_readDeferred = true;
        if (m_reading || m_paused || !m_socket) {
            return;
        }
        m_readDeferred = false;
        if (m_bufferedBytes >= MaximumUnparsedBytes) {
            emitFinal(callevent::Broken{"a part of the response exceeds the maximum size"});
            return;
        }
        m_reading = true;
        if (m_bufferedBytes == m_buffer.size()) {
            m_buffer.resize(m_buffer.size() * 2);
        }
        m_socket->async_read_some(asio::buffer(m_buffer) + m_bufferedBytes,
                                  onExecutor([self = shared_from_this()](error_code error, std::size_t bytes) {
                                      self->received(error, bytes);
                                  }));
    }

    void received(error_code error, std::size_t bytes)
    {
        m_reading = false;
        if (m_closed || !m_socket) {
            return;
        }
        if (m_reconnecting) {
            m_reconnecting = false;
            connect();
            return;
        }
        if (error) {
            handleReadError(error);
            return;
        }
        m_bufferedBytes += bytes;
        parseReceived();
    }

    /// Parses the data read so far and skips informational responses and those that belong to another call.
    void parseReceived()
    {
        while (true) {
            error_code error;
            feedParser(error);
            if (m_closed || !m_socket) {
                return;
            }
            reportHead();
            if (m_closed) {
                return;
            }
            if (error && error != http::error::need_more) {
                emitFinal(callevent::Broken{"malformed response"});
                return;
            }
            if (!m_parser->is_done()) {
                break;
            }
            const bool informational = isInformational(m_parser->status());
            if (!informational && !m_unrelatedResponse) {
                complete();
                return;
            }
            if (!informational && !m_parser->keep_alive()) {
                emitFinal(callevent::Broken{"connection closed after a response to another call"});
                return;
            }
            if (++m_skippedResponses > MaximumSkippedResponses) {
                emitFinal(callevent::Broken{"too many informational responses or responses to other calls"});
                return;
            }
            startParser();
        }
        if (std::exchange(m_bodyDataReported, false)) {
            emit(callevent::Drained{});
        }
        if (!m_closed) {
            read();
        }
    }

    void handleReadError(error_code error)
    {
        const bool endsResponse = error == asio::error::eof && m_parser->is_header_done() && m_parser->need_eof();
        if (endsResponse && !m_unrelatedResponse && m_headReported) {
            m_endReceived = true;
            endWithConnection();
            return;
        }
        emitFinal(callevent::Broken{error == asio::error::eof ? "connection closed" : error.message(), true});
    }

    /// Ends a response without length or chunks. A connection that is reset while the request is written may read as
    /// closed, because the failed write consumes the error. Hence the response is complete only once the server has
    /// received the whole request.
    void endWithConnection()
    {
        if (m_writeFailed || pendingError(*m_socket)) {
            emitFinal(callevent::Broken{"connection reset", true});
            return;
        }
        if (!m_writing && unacknowledgedBytes(*m_socket) == 0) {
            error_code ignored;
            m_parser->put_eof(ignored);
            complete();
            return;
        }
        m_timer.expires_after(DeliveryCheckInterval);
        m_timer.async_wait([self = shared_from_this()](error_code error) {
            if (!error && self->m_socket && self->m_socket->is_open()) {
                self->endWithConnection();
            }
        });
    }

    /// Feeds the parser with the buffered bytes and keeps those that it does not consume.
    void feedParser(error_code &error)
    {
        std::size_t used = 0;
        while (used < m_bufferedBytes && !m_parser->is_done() && !m_closed) {
            const auto taken = m_parser->put(asio::buffer(m_buffer.data() + used, m_bufferedBytes - used), error);
            used += taken;
            reportHead();
            if (error || taken == 0) {
                break;
            }
        }
        std::copy(m_buffer.begin() + static_cast<std::ptrdiff_t>(used),
                  m_buffer.begin() + static_cast<std::ptrdiff_t>(m_bufferedBytes),
                  m_buffer.begin());
        m_bufferedBytes -= used;
    }

    /// Handles a response that is complete according to its HTTP framing.
    void complete()
    {
        const bool framed = !m_parser->need_eof();
        const auto keepAlive = keepAliveTimeout(m_parser->head().fields);
        const bool reusable = m_parser->keep_alive() && m_bufferedBytes == 0 && !m_writing;
        if (reusable) {
            m_pool->release(m_call.address, std::move(m_socket), keepAlive);
        }
        closeSocket();
        emit(callevent::End{framed});
        m_listener = nullptr;
    }

    void emit(CallEvent event)
    {
        if (const auto listener = m_listener) {
            (*listener)(std::move(event));
        }
    }

    void emitFinal(CallEvent event)
    {
        closeSocket();
        emit(std::move(event));
        m_listener = nullptr;
    }

    void closeSocket()
    {
        m_timer.cancel();
        m_connecting.clear();
        if (!m_socket) {
            return;
        }
        error_code ignored;
        m_socket->close(ignored);
    }

    std::shared_ptr<ConnectionPool> m_pool;
    Strand m_executor;
    asio::steady_timer m_timer;
    RelayedCall m_call;
    std::string m_requestHead;
    MemoryShare m_unsentBody;
    std::shared_ptr<CallStream::Listener> m_listener;
    std::unique_ptr<tcp::socket> m_socket;
    /// Connections of which the first one that is established becomes the socket.
    std::vector<std::unique_ptr<tcp::socket>> m_connecting;
    std::unique_ptr<ReplyParser> m_parser;
    std::vector<char> m_buffer;
    std::size_t m_bufferedBytes = 0;
    std::size_t m_unwrittenBytes = 0;
    unsigned m_skippedResponses = 0;
    bool m_reused = false;
    /// The reused connection accepted no byte of the call. A new one is opened once the pending read has failed.
    bool m_reconnecting = false;
    bool m_sendingReported = false;
    bool m_headReported = false;
    /// The current response belongs to an earlier call on this connection.
    bool m_unrelatedResponse = false;
    bool m_bodyDataReported = false;
    bool m_writing = false;
    bool m_writeFailed = false;
    /// The server has closed its side of the connection, which ends the response.
    bool m_endReceived = false;
    bool m_reading = false;
    bool m_readDeferred = false;
    bool m_paused = false;
    bool m_closed = false;
};

} // namespace detail

CallStream::CallStream(std::shared_ptr<detail::ConnectionPool> pool,
                       asio::strand<asio::io_context::executor_type> executor,
                       RelayedCall call,
                       Listener listener)
    : m_session(std::make_shared<detail::CallStreamSession>(std::move(pool),
                                                            std::move(executor),
                                                            std::move(call),
                                                            std::move(listener)))
{
    m_session->start();
}

CallStream::~CallStream()
{
    close();
}

void CallStream::pause()
{
    m_session->pause();
}

void CallStream::resume()
{
    m_session->resume();
}

void CallStream::close()
{
    m_session->close();
}

} // namespace pomeloport
