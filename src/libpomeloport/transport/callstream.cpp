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

/// Longest wait for a connection: a few round trips with one lost packet.
constexpr std::chrono::milliseconds ConnectTimeout{700};
constexpr std::size_t ReadBufferBytes = 4096;
/// Longest status line with header fields of an answer.
constexpr std::uint32_t MaximumHeadBytes = 64 * 1024;
constexpr unsigned FirstFinalStatus = 200;
/// Taken off the time that a server says it keeps idle connections, for what is on its way.
constexpr std::chrono::milliseconds KeepAliveMargin{500};
constexpr std::chrono::milliseconds DefaultKeptFor{4000};

/// How long the server keeps the connection, by its Keep-Alive field.
std::chrono::milliseconds keptFor(const HttpFields &fields)
{
    constexpr std::string_view Key = "timeout=";
    const auto value = fieldValue(fields, "Keep-Alive");
    const auto at = value.find(Key);
    unsigned seconds = 0;
    if (at == std::string_view::npos
        || std::from_chars(value.data() + at + Key.size(), value.data() + value.size(), seconds).ec != std::errc()) {
        return DefaultKeptFor;
    }
    const std::chrono::milliseconds kept = std::chrono::seconds(seconds);
    return kept > KeepAliveMargin ? kept - KeepAliveMargin : std::chrono::milliseconds::zero();
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
        m_headText = m_call.method + " " + m_call.target + " HTTP/1.1\r\n";
        appendFields(m_headText, m_call.fields);
        if (!m_call.body.empty() || mayHaveBody(m_call.method)) {
            m_headText += "Content-Length: " + std::to_string(m_call.body.size()) + "\r\n";
        }
        m_headText += "\r\n";
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
        if (m_readWanted && !m_closed) {
            read();
        }
    }

    void close()
    {
        m_closed = true;
        m_listener = nullptr;
        shut();
    }

private:
    template<typename Handler>
    auto bound(Handler handler)
    {
        return asio::bind_executor(m_executor, std::move(handler));
    }

    void begin()
    {
        if (m_closed) {
            return;
        }
        if (m_call.maximumIdle > std::chrono::milliseconds::zero()) {
            m_socket = m_pool->take(m_call.address, m_call.maximumIdle);
        }
        m_reused = m_socket != nullptr;
        m_reused ? write() : connect();
    }

    void connect()
    {
        const auto endpoint = parseEndpoint(m_call.address);
        if (!endpoint) {
            emitLast(callevent::Unreachable{"not an address"});
            return;
        }
        m_reused = false;
        m_socket = std::make_unique<tcp::socket>(m_pool->context());
        m_timer.expires_after(ConnectTimeout);
        m_timer.async_wait([self = shared_from_this()](error_code error) {
            if (!error) {
                self->shut();
            }
        });
        m_socket->async_connect(*endpoint,
                                bound([self = shared_from_this()](error_code error) { self->connected(error); }));
    }

    void connected(error_code error)
    {
        m_timer.cancel();
        if (m_closed) {
            return;
        }
        if (error || !m_socket || !m_socket->is_open()) {
            emitLast(callevent::Unreachable{error ? error.message() : "no connection in time"});
            return;
        }
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
        const std::array<asio::const_buffer, 2> parts{asio::buffer(m_headText), asio::buffer(m_call.body)};
        asio::async_write(*m_socket, parts, bound([self = shared_from_this()](error_code error, std::size_t bytes) {
            self->written(error, bytes);
        }));
        m_buffer.resize(ReadBufferBytes);
        startParser();
        read();
    }

    void written(error_code error, std::size_t bytes)
    {
        m_writing = false;
        if (m_closed || !m_socket) {
            return;
        }
        if (error && bytes == 0 && m_reused) {
            m_reconnecting = true;
            shut();
            return;
        }
        // Whatever failed, the answer tells: a server may refuse a call before it has read all of it.
        m_call.body = {};
    }

    void startParser()
    {
        m_headReported = false;
        m_foreign = false;
        m_parser = std::make_unique<ReplyParser>([this](std::string_view piece) {
            reportHead();
            if (!m_foreign && !m_closed) {
                m_pieces = true;
                emit(callevent::BodyData{std::string(piece)});
            }
            return true;
        });
        m_parser->header_limit(MaximumHeadBytes);
        if (m_call.method == "HEAD") {
            m_parser->skip(true);
        }
    }

    /// Reports the head once, or finds that the answer belongs to another call.
    void reportHead()
    {
        if (m_headReported || !m_parser->is_header_done() || m_parser->status() < FirstFinalStatus) {
            return;
        }
        m_headReported = true;
        m_foreign = m_reused && m_call.responseMatches && !m_call.responseMatches(m_parser->head());
        if (!m_foreign) {
            emit(callevent::Head{m_parser->head()});
        }
    }

    void read()
    {
        m_readWanted = true;
        if (m_reading || m_paused || !m_socket) {
            return;
        }
        m_readWanted = false;
        m_reading = true;
        if (m_filled == m_buffer.size()) {
            m_buffer.resize(m_buffer.size() * 2);
        }
        m_socket->async_read_some(
            asio::buffer(m_buffer) + m_filled,
            bound([self = shared_from_this()](error_code error, std::size_t bytes) { self->received(error, bytes); }));
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
            receivedEnd(error);
            return;
        }
        m_filled += bytes;
        parseAll();
    }

    /// Feeds the parser with what was read, across informational and foreign answers.
    void parseAll()
    {
        while (true) {
            error_code error;
            parse(error);
            if (m_closed || !m_socket) {
                return;
            }
            reportHead();
            if (m_closed) {
                return;
            }
            if (error && error != http::error::need_more) {
                emitLast(callevent::Broken{"malformed answer"});
                return;
            }
            if (!m_parser->is_done()) {
                break;
            }
            const bool informational = m_parser->status() < FirstFinalStatus;
            if (!informational && !m_foreign) {
                complete();
                return;
            }
            if (!informational && !m_parser->keep_alive()) {
                emitLast(callevent::Broken{"the connection ended with an answer to another call"});
                return;
            }
            startParser();
        }
        if (std::exchange(m_pieces, false)) {
            emit(callevent::Drained{});
        }
        if (!m_closed) {
            read();
        }
    }

    void receivedEnd(error_code error)
    {
        error_code ignored;
        if (error == asio::error::eof && m_parser->is_header_done()) {
            m_parser->put_eof(ignored);
        }
        if (m_parser->is_done() && !m_foreign && m_headReported) {
            complete();
            return;
        }
        emitLast(callevent::Broken{error == asio::error::eof ? "connection closed" : error.message()});
    }

    /// Feeds the parser with the bytes at hand and keeps what it cannot use yet.
    void parse(error_code &error)
    {
        std::size_t used = 0;
        while (used < m_filled && !m_parser->is_done() && !m_closed) {
            const auto taken = m_parser->put(asio::buffer(m_buffer.data() + used, m_filled - used), error);
            used += taken;
            reportHead();
            if (error || taken == 0) {
                break;
            }
        }
        std::copy(m_buffer.begin() + static_cast<std::ptrdiff_t>(used),
                  m_buffer.begin() + static_cast<std::ptrdiff_t>(m_filled),
                  m_buffer.begin());
        m_filled -= used;
    }

    /// The answer is whole at the level of HTTP.
    void complete()
    {
        const auto kept = keptFor(m_parser->head().fields);
        const bool reusable = m_parser->keep_alive() && m_filled == 0 && !m_writing;
        if (reusable) {
            m_pool->give(m_call.address, std::move(m_socket), kept);
        }
        shut();
        emit(callevent::End{});
        m_listener = nullptr;
    }

    void emit(CallEvent event)
    {
        if (const auto listener = m_listener) {
            (*listener)(std::move(event));
        }
    }

    void emitLast(CallEvent event)
    {
        shut();
        emit(std::move(event));
        m_listener = nullptr;
    }

    void shut()
    {
        m_timer.cancel();
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
    std::string m_headText;
    std::shared_ptr<CallStream::Listener> m_listener;
    std::unique_ptr<tcp::socket> m_socket;
    std::unique_ptr<ReplyParser> m_parser;
    std::vector<char> m_buffer;
    std::size_t m_filled = 0;
    bool m_reused = false;
    /// A kept connection took no byte of the call; another one is opened once its read has ended.
    bool m_reconnecting = false;
    bool m_sendingReported = false;
    bool m_headReported = false;
    /// The answer being read belongs to an earlier call on this connection.
    bool m_foreign = false;
    bool m_pieces = false;
    bool m_writing = false;
    bool m_reading = false;
    bool m_readWanted = false;
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
