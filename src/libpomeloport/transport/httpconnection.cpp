#include "httpconnection.h"

#include "addresses.h"
#include "socketoptions.h"
#include "targets.h"

#include "pomeloport/verdict.h"

#include <boost/asio/write.hpp>

#include <algorithm>
#include <cctype>
#include <utility>

namespace pomeloport::detail
{

namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr unsigned HttpVersion11 = 11;
constexpr std::size_t LingerBytes = 16 * 1024 * 1024;
constexpr std::chrono::milliseconds LingerTimeout{2000};
/// Bodies up to this size are not counted, so that small requests go on while large ones wait for memory.
constexpr std::size_t UncountedBodyBytes = 16 * 1024;
/// Received bytes beside those of a head that wait for the parser, such as a piece of a body or a chunk's extension.
constexpr std::size_t UnparsedBytes = 64 * 1024;
/// Unit in which the memory of a body of unknown length is taken.
constexpr std::size_t MemoryStepBytes = 16 * 1024;
/// How long a request waits for memory for its body, unread. Callers give a request up that is not read within a
/// second.
constexpr std::chrono::milliseconds MemoryWait{300};
constexpr std::chrono::milliseconds MemoryCheckInterval{10};

/// The body of a response that rejects a request before any handler saw it, in the common format for failures.
std::string rejectionBody(const std::string &detail)
{
    std::string body = R"({"verdict":")";
    body += nameOf(Verdict::NotRun);
    body += R"(","reason":")";
    body += nameOf(ReasonCode::BadRequest);
    return body + R"(","detail":")" + detail + "\"}\n";
}

} // namespace

HttpConnection::HttpConnection(Socket socket, std::shared_ptr<HttpServerState> state)
    : m_socket(std::move(socket))
    , m_state(std::move(state))
    , m_timer(m_socket.get_executor())
    , m_memoryTimer(m_socket.get_executor())
    , m_unreadTimer(m_socket.get_executor())
    , m_progressTimer(m_socket.get_executor())
    , m_buffer(m_state->limits.current()->headerBytes + UnparsedBytes)
{
    Error error;
    const auto endpoint = m_socket.remote_endpoint(error);
    m_remote = error ? "unknown" : formatEndpoint(endpoint);
    configureConnection(m_socket);
    if (m_state->unreadLimits) {
        limitUnsentBytes(m_socket);
    }
    ++m_state->connections;
}

HttpConnection::~HttpConnection()
{
    setBusy(false);
    --m_state->connections;
}

HttpConnection::Strand HttpConnection::strand() const
{
    return const_cast<Socket &>(m_socket).get_executor();
}

std::uint64_t HttpConnection::exchange() const
{
    return m_exchange;
}

void HttpConnection::setBusy(bool busy)
{
    if (std::exchange(m_busy, busy) != busy) {
        busy ? ++m_state->busy : --m_state->busy;
    }
}

void HttpConnection::start()
{
    setBusy(false);
    m_phase = Phase::Reading;
    m_parser = nullptr;
    if (m_buffer.size() > 0) {
        readHeader();
        return;
    }
    m_buffer.shrink_to_fit();
    waitReadable();
}

void HttpConnection::armTimer(std::chrono::milliseconds timeout, bool respond)
{
    m_respondOnTimeout = respond;
    m_timer.expires_after(timeout);
    m_timer.async_wait([self = shared_from_this()](Error error) {
        if (!error && self->m_timer.expiry() <= std::chrono::steady_clock::now()) {
            self->timedOut();
        }
    });
}

void HttpConnection::timedOut()
{
    if (m_phase == Phase::Handling || (m_phase == Phase::Streaming && !m_ended)) {
        return;
    }
    if (m_phase != Phase::Reading || !m_respondOnTimeout) {
        close();
        return;
    }
    rejectRequest(static_cast<unsigned>(http::status::request_timeout), "the request took too long to arrive");
}

void HttpConnection::waitReadable()
{
    armTimer(m_state->limits.current()->idleTimeout, false);
    m_socket.async_wait(Socket::wait_read, [self = shared_from_this()](Error error) {
        if (!error && self->m_phase == Phase::Reading) {
            self->readHeader();
        }
    });
}

void HttpConnection::readHeader()
{
    m_parser = std::make_unique<Parser>();
    m_parser->header_limit(static_cast<std::uint32_t>(m_state->limits.current()->headerBytes));
    m_parser->body_limit(m_state->limits.current()->bodyBytes);
    armTimer(m_state->limits.current()->headerTimeout, true);
    http::async_read_header(m_socket, m_buffer, *m_parser, [self = shared_from_this()](Error error, std::size_t) {
        self->headerRead(error);
    });
}

void HttpConnection::headerRead(Error error)
{
    if (m_phase != Phase::Reading) {
        return;
    }
    if (error) {
        rejectOnError(error);
        return;
    }
    if (!framingIsUnambiguous()) {
        rejectRequest(static_cast<unsigned>(http::status::bad_request), "the length of the body is ambiguous");
        return;
    }
    armTimer(m_state->limits.current()->idleTimeout, true);
    if (m_parser->get()[http::field::expect] == "100-continue") {
        sendContinue();
        return;
    }
    readBody();
}

/// Whether every proxy and server on the path must agree on where this request ends and which host it addresses
/// (RFC 9112, sections 3.2 and 6). Disagreement would allow request smuggling.
bool HttpConnection::framingIsUnambiguous() const
{
    const auto &message = m_parser->get();
    std::size_t lengths = 0;
    std::size_t encodings = 0;
    std::size_t hosts = 0;
    for (const auto &field : message) {
        lengths += field.name() == http::field::content_length ? 1 : 0;
        encodings += field.name() == http::field::transfer_encoding ? 1 : 0;
        hosts += field.name() == http::field::host ? 1 : 0;
    }
    if (lengths + encodings > 1 || hosts > 1) {
        return false;
    }
    const auto encoding = message[http::field::transfer_encoding];
    return encodings == 0 || boost::beast::iequals(encoding, "chunked");
}

void HttpConnection::sendContinue()
{
    static constexpr std::string_view Continue = "HTTP/1.1 100 Continue\r\n\r\n";
    asio::async_write(m_socket, asio::buffer(Continue), [self = shared_from_this()](Error error, std::size_t) {
        if (error) {
            self->close();
            return;
        }
        if (self->m_phase == Phase::Reading) {
            self->readBody();
        }
    });
}

void HttpConnection::readBody()
{
    if (m_parser->is_done()) {
        bodyRead({});
        return;
    }
    m_memory = MemoryShare(m_state->memory);
    m_parser->eager(true);
    waitForMemory(std::chrono::steady_clock::now() + MemoryWait);
}

/// Takes the memory for the body: all of it if its length is known, otherwise for the next piece. Returns false if
/// there is not enough.
bool HttpConnection::takeMemory()
{
    const auto length = m_parser->content_length();
    const auto read = m_parser->get().body().size();
    const auto needed = length ? static_cast<std::size_t>(*length) : (read / MemoryStepBytes + 1) * MemoryStepBytes;
    const auto uncounted = length ? needed <= UncountedBodyBytes : read < UncountedBodyBytes;
    return uncounted || needed <= m_memory.bytes() || m_memory.resize(needed);
}

/// Reads on once there is memory for it, and refuses the request if there is none in time.
void HttpConnection::waitForMemory(std::chrono::steady_clock::time_point end)
{
    if (m_phase != Phase::Reading) {
        return;
    }
    if (takeMemory()) {
        readBodyPiece();
        return;
    }
    if (std::chrono::steady_clock::now() >= end) {
        refuseForMemory();
        return;
    }
    m_memoryTimer.expires_after(MemoryCheckInterval);
    m_memoryTimer.async_wait([self = shared_from_this(), end](Error error) {
        if (!error) {
            self->waitForMemory(end);
        }
    });
}

void HttpConnection::readBodyPiece()
{
    http::async_read_some(m_socket, m_buffer, *m_parser, [self = shared_from_this()](Error error, std::size_t) {
        if (error || self->m_phase != Phase::Reading || self->m_parser->is_done()) {
            self->bodyRead(error);
            return;
        }
        self->waitForMemory(std::chrono::steady_clock::now() + MemoryWait);
    });
}

/// Has the request answered without its body and closes the connection then, on which the rest of the body still
/// arrives.
void HttpConnection::refuseForMemory()
{
    m_memory = {};
    m_parser->get().body() = {};
    dispatchRequest(m_state->refuse, false);
}

void HttpConnection::bodyRead(Error error)
{
    if (m_phase != Phase::Reading) {
        return;
    }
    if (error) {
        rejectOnError(error);
        return;
    }
    dispatchRequest(m_state->handler, m_parser->keep_alive());
}

void HttpConnection::dispatchRequest(const HttpHandler &handler, bool keepAlive)
{
    m_timer.cancel();
    m_keepAlive = keepAlive;
    auto request = extractRequest();
    m_parser = nullptr;
    if (m_buffer.size() == 0) {
        m_buffer.shrink_to_fit();
    }
    m_phase = Phase::Handling;
    m_ended = false;
    ++m_exchange;
    setBusy(true);
    watchForDisconnect();
    handler(std::make_shared<HttpExchange>(shared_from_this(), std::move(request), std::move(m_memory)));
}

HttpRequest HttpConnection::extractRequest()
{
    auto message = m_parser->release();
    HttpRequest request;
    request.method = message.method_string();
    request.target = message.target();
    request.remoteAddress = m_remote;
    splitTarget(request.target, request.path, request.query);
    for (const auto &field : message) {
        std::string name(field.name_string());
        std::ranges::transform(name, name.begin(), [](unsigned char letter) { return std::tolower(letter); });
        request.headers[std::move(name)] = std::string(field.value());
        request.fields.emplace_back(std::string(field.name_string()), std::string(field.value()));
    }
    request.body = std::move(message.body());
    return request;
}

void HttpConnection::rejectRequest(unsigned status, const std::string &detail)
{
    m_phase = Phase::Replying;
    m_keepAlive = false;
    Error ignored;
    m_socket.cancel(ignored);
    auto response = std::make_shared<StringResponse>(static_cast<http::status>(status), HttpVersion11);
    response->set(http::field::content_type, "application/json");
    response->body() = rejectionBody(detail);
    sendResponse(std::move(response));
}

void HttpConnection::rejectOnError(Error error)
{
    if (error == http::error::header_limit || error == http::error::buffer_overflow) {
        rejectRequest(static_cast<unsigned>(http::status::request_header_fields_too_large),
                      "the headers are too large");
        return;
    }
    if (error == http::error::body_limit) {
        rejectRequest(static_cast<unsigned>(http::status::payload_too_large), "the body is too large");
        return;
    }
    const bool peerClosed = error == http::error::end_of_stream || error == http::error::partial_message;
    if (peerClosed || error.category() != make_error_code(http::error::bad_method).category()) {
        close();
        return;
    }
    rejectRequest(static_cast<unsigned>(http::status::bad_request), "malformed HTTP: " + error.message());
}

void HttpConnection::reply(unsigned status, std::string contentType, std::string body, const HeaderList &headers)
{
    if (m_phase != Phase::Handling) {
        return;
    }
    m_phase = Phase::Replying;
    m_onClosed = nullptr;
    auto response = std::make_shared<StringResponse>(static_cast<http::status>(status), HttpVersion11);
    response->set(http::field::content_type, contentType);
    for (const auto &[name, value] : headers) {
        response->set(name, value);
    }
    response->body() = std::move(body);
    sendResponse(std::move(response));
}

void HttpConnection::sendResponse(std::shared_ptr<StringResponse> response)
{
    m_keepAlive = m_keepAlive && m_state->keepAlive;
    response->keep_alive(m_keepAlive);
    response->prepare_payload();
    armTimer(m_state->limits.current()->idleTimeout, false);
    auto &message = *response;
    http::async_write(
        m_socket, message, [self = shared_from_this(), response = std::move(response)](Error error, std::size_t) {
            if (error) {
                self->close();
                return;
            }
            self->finishReply();
        });
}

void HttpConnection::finishReply()
{
    if (m_phase == Phase::Closed) {
        return;
    }
    m_onClosed = nullptr;
    m_unreadMemory = {};
    if (m_keepAlive) {
        start();
        return;
    }
    linger();
}

/// Shuts down the sending side and discards incoming data, because closing at once could reset the connection before
/// the peer has read the reply.
void HttpConnection::linger()
{
    m_phase = Phase::Lingering;
    Error ignored;
    m_socket.shutdown(Socket::shutdown_send, ignored);
    armTimer(LingerTimeout, false);
    m_buffer.clear();
    discard();
}

void HttpConnection::discard()
{
    constexpr std::size_t PieceBytes = 4096;
    m_socket.async_read_some(m_buffer.prepare(std::min(PieceBytes, m_buffer.max_size())),
                             [self = shared_from_this()](Error error, std::size_t bytes) {
                                 self->m_discarded += bytes;
                                 if (error || self->m_discarded > LingerBytes) {
                                     self->close();
                                     return;
                                 }
                                 self->discard();
                             });
}

void HttpConnection::watchForDisconnect()
{
    if (m_watchingPeer || m_buffer.size() > 0) {
        return;
    }
    m_watchingPeer = true;
    m_socket.async_wait(Socket::wait_read, [self = shared_from_this()](Error error) {
        self->m_watchingPeer = false;
        self->peerReadable(error);
    });
}

/// While a request is handled, the socket becomes readable when a pipelined request arrives, which has to wait, or when
/// the peer disconnects.
void HttpConnection::peerReadable(Error error)
{
    if (error || (m_phase != Phase::Handling && m_phase != Phase::Streaming)) {
        return;
    }
    char byte = 0;
    m_socket.non_blocking(true, error);
    const auto bytes = m_socket.receive(asio::buffer(&byte, 1), Socket::message_peek, error);
    if (error == asio::error::would_block || error == asio::error::try_again) {
        watchForDisconnect();
        return;
    }
    if (error == asio::error::timed_out && unreadBytes() > 0) {
        reportSlowReader(SlowReaderCause::Connection);
    }
    if (error || bytes == 0) {
        peerDisconnected();
    }
}

void HttpConnection::peerDisconnected()
{
    const auto callback = std::exchange(m_onClosed, nullptr);
    close();
    if (callback) {
        callback();
    }
}

void HttpConnection::close()
{
    m_phase = Phase::Closed;
    setBusy(false);
    m_timer.cancel();
    m_memoryTimer.cancel();
    m_unreadTimer.cancel();
    m_progressTimer.cancel();
    Error ignored;
    m_socket.close(ignored);
    m_memory = {};
    m_unreadMemory = {};
    std::exchange(m_pending, {});
    m_onClosed = nullptr;
    for (auto &callback : std::exchange(m_pendingCallbacks, {})) {
        callback.written(false);
    }
}

void HttpConnection::reset()
{
    dropUnread();
    close();
}

/// Lets the close of the socket reset the connection, so that the system keeps no bytes for the peer.
void HttpConnection::dropUnread()
{
    Error ignored;
    m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
}

void HttpConnection::onClosed(std::function<void()> callback)
{
    if (m_phase == Phase::Closed) {
        callback();
        return;
    }
    m_onClosed = std::move(callback);
}

void HttpConnection::setName(std::string name)
{
    m_name = std::move(name);
}

void HttpConnection::closeIfUnanswered(std::uint64_t exchange)
{
    if (exchange == m_exchange && (m_phase == Phase::Handling || (m_phase == Phase::Streaming && !m_ended))) {
        close();
    }
}

} // namespace pomeloport::detail
