#include "httpconnection.h"

#include "socketoptions.h"

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
/// Up to this number, bytes that wait to be written are not counted, so that small events go on beside large ones.
constexpr std::size_t UncountedUnreadBytes = 16 * 1024;
constexpr std::chrono::milliseconds ProgressCheckInterval{250};
/// A peer that takes fewer bytes than this in the time of its limits counts as one that does not read.
constexpr std::uint64_t LeastTakenBytes = 16 * 1024;

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

void HttpConnection::reply(const HttpResponseHead &head, std::string body, MemoryShare memory)
{
    if (m_phase != Phase::Handling) {
        return;
    }
    beginHead(head);
    m_unreadMemory = std::move(memory);
    constexpr unsigned NoContent = 204;
    constexpr unsigned NotModified = 304;
    if (head.status != NoContent && head.status != NotModified) {
        m_pending += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    m_pending += "\r\n";
    // In front of the body, so that a large one is not copied if it has room for the head.
    body.insert(0, m_pending);
    m_pending = std::move(body);
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
    m_pendingCallbacks.push_back({m_pending.size(), std::move(written)});
    if (!holdsUnread()) {
        disconnectSlowReader(SlowReaderCause::Memory);
        return;
    }
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
    watchUnread();
    watchProgress();
    if (m_writeActive || m_pending.empty()) {
        return;
    }
    m_writing.swap(m_pending);
    m_writingCallbacks.swap(m_pendingCallbacks);
    m_written = 0;
    writeSome();
}

void HttpConnection::writeSome()
{
    m_writeActive = true;
    m_socket.async_write_some(
        asio::buffer(m_writing) + m_written,
        [self = shared_from_this()](Error error, std::size_t bytes) { self->wrote(error, bytes); });
}

void HttpConnection::wrote(Error error, std::size_t bytes)
{
    m_writeActive = false;
    m_written += bytes;
    m_takenBytes += bytes;
    if (error || m_written == m_writing.size()) {
        flushed(error);
        return;
    }
    if (m_phase != Phase::Streaming) {
        flushed(asio::error::operation_aborted);
        return;
    }
    if (m_ended) {
        // The rest of a reply may take any time as long as the peer reads.
        armTimer(m_state->limits.current()->idleTimeout, false);
    }
    // A callback may close the connection, but begins no other write while this one is active.
    m_writeActive = true;
    runCallbacks(true);
    if (m_phase != Phase::Streaming) {
        flushed(asio::error::operation_aborted);
        return;
    }
    writeSome();
}

/// Runs the callbacks of the pieces that have been written, or of all if the write has failed.
void HttpConnection::runCallbacks(bool ok)
{
    while (!m_writingCallbacks.empty() && (!ok || m_writingCallbacks.front().end <= m_written)) {
        const auto callback = std::move(m_writingCallbacks.front().written);
        m_writingCallbacks.pop_front();
        callback(ok);
    }
}

void HttpConnection::flushed(Error error)
{
    if (error == asio::error::timed_out && m_phase == Phase::Streaming) {
        reportSlowReader(SlowReaderCause::Connection);
    }
    m_writeActive = true;
    runCallbacks(!error);
    m_writeActive = false;
    m_writing.clear();
    if (m_writing.capacity() > UncountedUnreadBytes) {
        // The buffer of a large reply must not stay with the connection. Assigning an empty string would keep its
        // capacity.
        std::exchange(m_writing, {});
    }
    m_written = 0;
    if (m_phase != Phase::Streaming) {
        return;
    }
    if (error) {
        peerDisconnected();
        return;
    }
    holdsUnread();
    if (!m_pending.empty()) {
        flush();
        return;
    }
    if (m_ended) {
        finishReply();
    }
}

std::size_t HttpConnection::unreadBytes() const
{
    return m_pending.size() + m_writing.size() - m_written;
}

/// Takes memory for the streamed bytes that are held. Returns false if there is not enough.
bool HttpConnection::holdsUnread()
{
    if (!m_state->unreadMemory || m_ended) {
        return true;
    }
    const auto held = m_pending.size() + m_writing.size();
    const auto counted = held > UncountedUnreadBytes ? held : 0;
    if (counted > 0 && m_unreadMemory.bytes() == 0) {
        m_unreadMemory = MemoryShare(m_state->unreadMemory);
    }
    return m_unreadMemory.resize(counted);
}

/// Watches that the peer takes something while more than the limit waits for it.
void HttpConnection::watchUnread()
{
    if (!m_state->unreadLimits || m_watchingUnread || unreadBytes() <= m_state->unreadLimits->bytes) {
        return;
    }
    m_watchingUnread = true;
    m_takenBefore = m_takenBytes;
    m_unreadTimer.expires_after(m_state->unreadLimits->time);
    m_unreadTimer.async_wait([self = shared_from_this()](Error error) {
        self->m_watchingUnread = false;
        if (!error) {
            self->unreadTimeOver();
        }
    });
}

void HttpConnection::unreadTimeOver()
{
    if (m_phase != Phase::Streaming) {
        return;
    }
    if (unreadBytes() > m_state->unreadLimits->bytes && m_takenBytes - m_takenBefore < LeastTakenBytes) {
        disconnectSlowReader(SlowReaderCause::Limit);
        return;
    }
    watchUnread();
}

/// Watches in place of the system that the peer acknowledges something while bytes wait for it.
void HttpConnection::watchProgress()
{
    if (m_watchingProgress || !m_state->unreadLimits || unreadBytes() <= UncountedUnreadBytes) {
        return;
    }
    m_watchingProgress = true;
    setUnacknowledgedTime(m_socket, 0);
    m_acknowledged = acknowledgedBytes();
    m_acknowledgedAt = std::chrono::steady_clock::now();
    checkProgressLater();
}

void HttpConnection::checkProgressLater()
{
    m_progressTimer.expires_after(ProgressCheckInterval);
    m_progressTimer.async_wait([self = shared_from_this()](Error error) {
        if (!error && self->m_phase != Phase::Closed) {
            self->checkProgress();
        }
    });
}

void HttpConnection::checkProgress()
{
    const auto now = std::chrono::steady_clock::now();
    if (const auto acknowledged = acknowledgedBytes(); acknowledged != m_acknowledged) {
        m_acknowledged = acknowledged;
        m_acknowledgedAt = now;
    }
    if (unreadBytes() == 0 && unacknowledgedBytes(m_socket) == 0) {
        m_watchingProgress = false;
        setUnacknowledgedTime(m_socket, UnacknowledgedMilliseconds);
        return;
    }
    if (now - m_acknowledgedAt < std::chrono::milliseconds(UnacknowledgedMilliseconds)) {
        checkProgressLater();
        return;
    }
    if (m_phase == Phase::Streaming) {
        disconnectSlowReader(SlowReaderCause::Connection);
        return;
    }
    reset();
}

/// Differs from the number of all acknowledged bytes by those of replies that are not streamed, which are small.
std::int64_t HttpConnection::acknowledgedBytes()
{
    return static_cast<std::int64_t>(m_takenBytes) - unacknowledgedBytes(m_socket);
}

void HttpConnection::reportSlowReader(SlowReaderCause cause)
{
    if (m_state->slowReader) {
        m_state->slowReader({cause, m_name, m_remote, unreadBytes()});
    }
}

void HttpConnection::disconnectSlowReader(SlowReaderCause cause)
{
    reportSlowReader(cause);
    dropUnread();
    peerDisconnected();
}

} // namespace pomeloport::detail
