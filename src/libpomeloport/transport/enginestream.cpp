#include "pomeloport/transport/enginestream.h"

#include "addresses.h"
#include "connectionpool.h"
#include "replyparser.h"

#include "../protocol/chunklines.h"
#include "../protocol/jsonfields.h"

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http.hpp>

#include <xxhash.h>

#include <algorithm>
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

constexpr std::chrono::milliseconds ConnectTimeout{1000};
/// Time limit for the rest of the response after the end marker; the connection is closed afterwards.
constexpr std::chrono::milliseconds TrailingDataTimeout{1000};
constexpr std::size_t ReadBufferBytes = 2048;
constexpr std::size_t MaximumBodyBytes = 16 * 1024 * 1024;
constexpr unsigned StatusOk = 200;

const char *targetOf(StreamCallKind kind)
{
    return kind == StreamCallKind::Generate ? "/v1/generate" : "/v1/call";
}

} // namespace

namespace detail
{

/// The session behind an EngineStream; kept alive by its pending operations.
class EngineStreamSession : public std::enable_shared_from_this<EngineStreamSession>
{
public:
    EngineStreamSession(std::shared_ptr<ConnectionPool> pool,
                        Strand executor,
                        StreamCall call,
                        EngineStream::Listener listener)
        : m_pool(std::move(pool))
        , m_executor(std::move(executor))
        , m_timer(m_executor)
        , m_kind(call.kind)
        , m_address(std::move(call.address))
        , m_listener(std::make_shared<EngineStream::Listener>(std::move(listener)))
    {
        m_request = std::make_unique<Request>(http::verb::post, targetOf(m_kind), 11);
        m_request->set(http::field::host, m_address);
        m_request->set(http::field::content_type, "application/json");
        m_request->body() = std::move(call.body);
        m_request->prepare_payload();
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
        if (m_endReported) {
            return;
        }
        closeSocket();
    }

private:
    using Request = http::request<http::string_body>;

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
        m_socket = m_pool->acquire(m_address);
        m_reused = m_socket != nullptr;
        m_reused ? write() : connect();
    }

    void connect()
    {
        const auto endpoint = parseEndpoint(m_address);
        if (!endpoint) {
            emitFinal(streamevent::Refused{RefusalCode::Leaving, true});
            return;
        }
        m_reused = false;
        m_socket = std::make_unique<tcp::socket>(m_pool->context());
        armTimer(ConnectTimeout);
        m_socket->async_connect(*endpoint,
                                onExecutor([self = shared_from_this()](error_code error) { self->connected(error); }));
    }

    /// Closes the connection after the timeout, so that the pending operation fails.
    void armTimer(std::chrono::milliseconds timeout)
    {
        m_timer.expires_after(timeout);
        m_timer.async_wait([self = shared_from_this()](error_code error) {
            if (!error) {
                self->closeSocket();
            }
        });
    }

    void connected(error_code error)
    {
        m_timer.cancel();
        if (m_closed) {
            return;
        }
        if (error || !m_socket || !m_socket->is_open()) {
            emitFinal(streamevent::Refused{RefusalCode::Leaving, true});
            return;
        }
        m_socket->set_option(tcp::no_delay(true), error);
        write();
    }

    void write()
    {
        if (!m_sendingReported) {
            m_sendingReported = true;
            emit(streamevent::Sending{});
        }
        if (m_closed) {
            return;
        }
        http::async_write(
            *m_socket, *m_request, onExecutor([self = shared_from_this()](error_code error, std::size_t bytes) {
                self->written(error, bytes);
            }));
    }

    void written(error_code error, std::size_t bytes)
    {
        if (m_closed) {
            return;
        }
        if (error && bytes == 0) {
            m_reused ? connect() : emitFinal(streamevent::Refused{RefusalCode::Leaving, true});
            return;
        }
        m_request = nullptr;
        m_buffer.resize(ReadBufferBytes);
        m_parser = std::make_unique<ReplyParser>([this](std::string_view piece) { return handleBodyData(piece); });
        read();
    }

    void read()
    {
        m_readDeferred = true;
        if (m_reading || m_paused || !m_socket) {
            return;
        }
        m_readDeferred = false;
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
        if (!m_socket || (m_closed && !m_endReported)) {
            return;
        }
        if (error) {
            handleReadError(error);
            return;
        }
        m_bufferedBytes += bytes;
        error_code parseError;
        feedParser(parseError);
        if (!m_socket) {
            return;
        }
        if (parseError && parseError != http::error::need_more) {
            emitFinal(streamevent::Broken{"malformed response"});
            return;
        }
        if (m_parser->is_done()) {
            complete();
            return;
        }
        if (std::exchange(m_chunksReported, false)) {
            emit(streamevent::Drained{});
        }
        read();
    }

    void handleReadError(error_code error)
    {
        error_code ignored;
        if (error == asio::error::eof) {
            m_parser->put_eof(ignored);
        }
        if (m_parser->is_done()) {
            complete();
            return;
        }
        emitFinal(streamevent::Broken{error.message()});
    }

    /// Feeds the parser with the buffered bytes and keeps those that it does not consume.
    void feedParser(error_code &error)
    {
        std::size_t used = 0;
        while (used < m_bufferedBytes && !m_parser->is_done()) {
            const auto taken = m_parser->put(asio::buffer(m_buffer.data() + used, m_bufferedBytes - used), error);
            used += taken;
            if (error || taken == 0) {
                break;
            }
        }
        std::copy(m_buffer.begin() + static_cast<std::ptrdiff_t>(used),
                  m_buffer.begin() + static_cast<std::ptrdiff_t>(m_bufferedBytes),
                  m_buffer.begin());
        m_bufferedBytes -= used;
    }

    bool handleBodyData(std::string_view piece)
    {
        if (m_kind == StreamCallKind::Generate && m_parser->status() == StatusOk) {
            return m_lines.feed(piece, [this](std::string_view line) { return handleLine(line); });
        }
        m_body += piece;
        return m_body.size() <= MaximumBodyBytes;
    }

    bool handleLine(std::string_view line)
    {
        if (m_closed || m_endReported) {
            return m_endReported;
        }
        auto parsed = parseStreamLine(line);
        if (!parsed) {
            return false;
        }
        if (auto *chunk = std::get_if<StreamChunk>(&*parsed)) {
            m_chunksReported = true;
            emit(streamevent::Chunk{std::move(*chunk)});
            return !m_closed;
        }
        m_endReported = true;
        armTimer(TrailingDataTimeout);
        emit(streamevent::End{std::get<StreamEnd>(std::move(*parsed))});
        return true;
    }

    /// Handles a response that is complete according to its HTTP framing.
    void complete()
    {
        m_timer.cancel();
        auto socket = std::move(m_socket);
        if (m_parser->keep_alive() && m_bufferedBytes == 0) {
            m_pool->release(m_address, std::move(socket));
        }
        if (m_endReported) {
            return;
        }
        if (m_parser->status() != StatusOk) {
            completeRefusal();
            return;
        }
        if (m_kind == StreamCallKind::Service) {
            completeService();
            return;
        }
        emitFinal(streamevent::Broken{"no end marker"});
    }

    void completeRefusal()
    {
        if (const auto refusal = decodeRefusal(m_body)) {
            emitFinal(streamevent::Refused{refusal->code, false});
            return;
        }
        emitFinal(streamevent::Broken{"status " + std::to_string(m_parser->status())});
    }

    void completeService()
    {
        JsonReader reader(std::string_view{m_body});
        auto text = reader.text("result", true);
        if (!reader.ok()) {
            emitFinal(streamevent::Broken{"malformed response"});
            return;
        }
        const auto digest = XXH64(text.data(), text.size(), 0);
        m_endReported = true;
        emit(streamevent::Chunk{{0, std::move(text)}});
        emit(streamevent::End{{1, digest, {}}});
    }

    void emit(EngineStreamEvent event)
    {
        if (const auto listener = m_listener) {
            (*listener)(std::move(event));
        }
    }

    /// Closes the connection and, unless End was reported, reports the final event.
    void emitFinal(EngineStreamEvent event)
    {
        closeSocket();
        if (m_endReported) {
            return;
        }
        emit(std::move(event));
        m_listener = nullptr;
    }

    void closeSocket()
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
    StreamCallKind m_kind;
    std::string m_address;
    std::shared_ptr<EngineStream::Listener> m_listener;
    std::unique_ptr<Request> m_request;
    std::unique_ptr<tcp::socket> m_socket;
    std::unique_ptr<ReplyParser> m_parser;
    std::vector<char> m_buffer;
    std::size_t m_bufferedBytes = 0;
    LineSplitter m_lines;
    std::string m_body;
    bool m_chunksReported = false;
    bool m_reused = false;
    bool m_sendingReported = false;
    bool m_reading = false;
    bool m_readDeferred = false;
    bool m_paused = false;
    bool m_endReported = false;
    bool m_closed = false;
};

} // namespace detail

EngineStream::EngineStream(std::shared_ptr<detail::ConnectionPool> pool,
                           asio::strand<asio::io_context::executor_type> executor,
                           StreamCall call,
                           Listener listener)
    : m_session(std::make_shared<detail::EngineStreamSession>(std::move(pool),
                                                              std::move(executor),
                                                              std::move(call),
                                                              std::move(listener)))
{
    m_session->start();
}

EngineStream::~EngineStream()
{
    close();
}

void EngineStream::pause()
{
    m_session->pause();
}

void EngineStream::resume()
{
    m_session->resume();
}

void EngineStream::close()
{
    m_session->close();
}

} // namespace pomeloport
