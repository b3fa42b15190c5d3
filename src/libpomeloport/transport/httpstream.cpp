#include "httpconnection.h"

#include <boost/asio/write.hpp>

#include <cstdio>

/// The part of HttpConnection that writes streamed replies and replies with given header fields.
namespace pomeloport::detail
{

namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr std::string_view LastChunk = "0\r\n\r\n";

/// Appends a piece as one chunk in chunked encoding.
void appendChunk(std::string &out, const std::string &piece)
{
    constexpr std::size_t SizeLineBytes = 24;
    char size[SizeLineBytes];
    const int length = std::snprintf(size, sizeof(size), "%zx\r\n", piece.size());
    out.append(size, static_cast<std::size_t>(length));
    out += piece;
    out += "\r\n";
}

} // namespace

void HttpConnection::beginStream(unsigned status, std::string contentType, const HeaderList &headers)
{
    if (m_phase != Phase::Handling) {
        return;
    }
    m_phase = Phase::Streaming;
    m_keepAlive = m_keepAlive && m_state->keepAlive;
    m_pending += "HTTP/1.1 " + std::to_string(status) + " ";
    m_pending += http::obsolete_reason(static_cast<http::status>(status));
    m_pending += "\r\nContent-Type: " + contentType + "\r\nCache-Control: no-store\r\nTransfer-Encoding: chunked\r\n";
    for (const auto &[name, value] : headers) {
        m_pending += name + ": " + value + "\r\n";
    }
    m_pending += m_keepAlive ? "\r\n" : "Connection: close\r\n\r\n";
    flush();
}

void HttpConnection::beginHead(const HttpResponseHead &head)
{
    m_phase = Phase::Streaming;
    m_keepAlive = m_keepAlive && m_state->keepAlive;
    m_pending += "HTTP/1.1 " + std::to_string(head.status) + " ";
    if (head.reason.empty()) {
        m_pending += http::obsolete_reason(static_cast<http::status>(head.status));
    }
    m_pending += head.reason + "\r\n";
    appendFields(m_pending, head.fields);
    if (!m_keepAlive) {
        m_pending += "Connection: close\r\n";
    }
}

void HttpConnection::reply(const HttpResponseHead &head, std::string body)
{
    if (m_phase != Phase::Handling) {
        return;
    }
    beginHead(head);
    constexpr unsigned NoContent = 204;
    constexpr unsigned NotModified = 304;
    if (head.status != NoContent && head.status != NotModified) {
        m_pending += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    m_pending += "\r\n";
    m_pending += body;
    m_ended = true;
    armTimer(m_state->limits.current()->idleTimeout, false);
    flush();
}

void HttpConnection::beginStream(const HttpResponseHead &head)
{
    if (m_phase != Phase::Handling) {
        return;
    }
    beginHead(head);
    m_pending += "Transfer-Encoding: chunked\r\n\r\n";
    flush();
}

void HttpConnection::write(std::string piece, Written written)
{
    if (m_phase != Phase::Streaming || m_ended) {
        written(false);
        return;
    }
    if (piece.empty()) {
        written(true);
        return;
    }
    appendChunk(m_pending, piece);
    m_pendingCallbacks.push_back(std::move(written));
    flush();
}

void HttpConnection::endStream()
{
    if (m_phase != Phase::Streaming || m_ended) {
        return;
    }
    m_ended = true;
    armTimer(m_state->limits.current()->idleTimeout, false);
    m_pending += LastChunk;
    flush();
}

void HttpConnection::flush()
{
    if (m_writeActive || m_pending.empty()) {
        return;
    }
    m_writeActive = true;
    m_writing.clear();
    m_writing.swap(m_pending);
    m_writingCallbacks.swap(m_pendingCallbacks);
    asio::async_write(m_socket, asio::buffer(m_writing), [self = shared_from_this()](Error error, std::size_t) {
        self->flushed(error);
    });
}

void HttpConnection::flushed(Error error)
{
    m_writeActive = false;
    auto callbacks = std::exchange(m_writingCallbacks, {});
    for (auto &callback : callbacks) {
        callback(!error);
    }
    if (m_phase != Phase::Streaming) {
        return;
    }
    if (error) {
        peerDisconnected();
        return;
    }
    if (!m_pending.empty()) {
        flush();
        return;
    }
    if (m_ended) {
        finishReply();
    }
}

} // namespace pomeloport::detail
