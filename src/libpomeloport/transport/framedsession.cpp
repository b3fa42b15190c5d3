#include "framedsession.h"

#include "pomeloport/lastreason.h"
#include "pomeloport/logging.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

namespace pomeloport::detail
{

namespace
{

constexpr std::size_t NonceBytes = 32;
constexpr std::size_t LengthBytes = 4;
constexpr std::size_t HeaderBytes = LengthBytes + MacBytes;

void appendNumber(std::string &text, std::uint64_t value, std::size_t bytes)
{
    constexpr unsigned BitsPerByte = 8;
    for (std::size_t i = bytes; i > 0; --i) {
        text += static_cast<char>(value >> (BitsPerByte * (i - 1)));
    }
}

std::size_t readLength(const std::string &header)
{
    constexpr unsigned BitsPerByte = 8;
    std::size_t result = 0;
    for (std::size_t i = 0; i < LengthBytes; ++i) {
        result = (result << BitsPerByte) | static_cast<unsigned char>(header[i]);
    }
    return result;
}

} // namespace

FramedSession::FramedSession(boost::asio::ip::tcp::socket socket,
                             Strand strand,
                             FrameSide side,
                             std::string key,
                             FrameLimits limits,
                             FramedHandlers handlers)
    : m_socket(std::move(socket))
    , m_strand(std::move(strand))
    , m_handshakeTimer(m_strand)
    , m_side(side)
    , m_key(std::move(key))
    , m_limits(limits)
    , m_handlers(std::move(handlers))
    , m_ownNonce(randomBytes(NonceBytes))
{
}

void FramedSession::start()
{
    boost::system::error_code ignored;
    m_socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    m_connection = std::make_shared<FramedConnection>(shared_from_this());
    m_handshakeTimer.expires_after(m_limits.handshakeTimeout);
    m_handshakeTimer.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (!error && !self->m_opened) {
            self->terminate("handshake timed out");
        }
    });
    sendNonce();
    readNonce();
}

void FramedSession::sendNonce()
{
    m_output.push_back(m_ownNonce);
    m_queuedBytes += m_ownNonce.size();
    writeNext();
}

void FramedSession::readNonce()
{
    m_input.resize(NonceBytes);
    const auto buffer = boost::asio::buffer(m_input);
    boost::asio::async_read(m_socket, buffer, [self = shared_from_this()](const auto &error, std::size_t) {
        if (error) {
            self->terminate("connection closed during the handshake");
            return;
        }
        self->completeNonceExchange(self->m_input);
    });
}

void FramedSession::completeNonceExchange(const std::string &peerNonce)
{
    const auto &clientNonce = m_side == FrameSide::Client ? m_ownNonce : peerNonce;
    const auto &serverNonce = m_side == FrameSide::Client ? peerNonce : m_ownNonce;
    const auto derived = hmacSha256(m_key, clientNonce + serverNonce);
    m_connectionKey.assign(derived.begin(), derived.end());
    // An empty frame proves knowledge of the key to the peer.
    enqueue({});
    readHeader();
}

void FramedSession::readHeader()
{
    m_input.resize(HeaderBytes);
    const auto buffer = boost::asio::buffer(m_input);
    boost::asio::async_read(m_socket, buffer, [self = shared_from_this()](const auto &error, std::size_t) {
        if (error) {
            self->terminate("connection closed or reset by the peer");
            return;
        }
        const auto size = readLength(self->m_input);
        const auto limit = self->m_opened ? self->m_limits.messageBytes : 0;
        if (size > limit) {
            self->terminate("frame exceeds the size limit");
            return;
        }
        self->readBody(size);
    });
}

void FramedSession::readBody(std::size_t size)
{
    m_input.resize(HeaderBytes + size);
    const auto buffer = boost::asio::buffer(m_input.data() + HeaderBytes, size);
    boost::asio::async_read(m_socket, buffer, [self = shared_from_this()](const auto &error, std::size_t) {
        if (error) {
            self->terminate("connection closed within a frame");
            return;
        }
        const auto tag = self->m_input.substr(LengthBytes, MacBytes);
        auto body = self->m_input.substr(HeaderBytes);
        const auto peer = self->m_side == FrameSide::Client ? FrameSide::Server : FrameSide::Client;
        if (!macMatches(self->computeMac(peer, self->m_framesReceived, body), tag)) {
            self->terminate("frame failed authentication");
            return;
        }
        ++self->m_framesReceived;
        self->handleFrame(std::move(body));
    });
}

void FramedSession::handleFrame(std::string body)
{
    if (m_opened) {
        m_handlers.received(m_connection, std::move(body));
    } else {
        m_opened = true;
        m_handshakeTimer.cancel();
        m_handlers.opened(m_connection);
    }
    if (!m_closed) {
        readHeader();
    }
}

bool FramedSession::send(std::string message)
{
    if (message.size() > m_limits.messageBytes) {
        setLastReason("message exceeds the size limit");
        return false;
    }
    if (m_queuedBytes + message.size() > m_limits.queuedBytes) {
        setLastReason("send queue exceeds the size limit");
        close();
        return false;
    }
    m_queuedBytes += HeaderBytes + message.size();
    boost::asio::dispatch(m_strand, [self = shared_from_this(), message = std::move(message)] {
        self->m_queuedBytes -= HeaderBytes + message.size();
        self->enqueue(message);
    });
    return true;
}

void FramedSession::enqueue(const std::string &message)
{
    if (m_closed) {
        return;
    }
    std::string frame;
    frame.reserve(HeaderBytes + message.size());
    appendNumber(frame, message.size(), LengthBytes);
    const auto mac = computeMac(m_side, m_framesSent, message);
    frame.append(mac.begin(), mac.end());
    frame += message;
    ++m_framesSent;
    m_queuedBytes += frame.size();
    m_output.push_back(std::move(frame));
    if (!m_writing) {
        writeNext();
    }
}

void FramedSession::writeNext()
{
    m_writing = true;
    const auto buffer = boost::asio::buffer(m_output.front());
    boost::asio::async_write(m_socket, buffer, [self = shared_from_this()](const auto &error, std::size_t) {
        self->m_writing = false;
        if (error) {
            self->terminate("write failed");
            return;
        }
        self->m_queuedBytes -= self->m_output.front().size();
        self->m_output.pop_front();
        if (!self->m_output.empty()) {
            self->writeNext();
        }
    });
}

void FramedSession::close()
{
    boost::asio::post(m_strand, [self = shared_from_this()] { self->terminate("closed"); });
}

void FramedSession::terminate(const char *reason)
{
    if (m_closed) {
        return;
    }
    m_closed = true;
    logEvent(LogLevel::Debug, "link_closed", {{"reason", reason}});
    m_handshakeTimer.cancel();
    boost::system::error_code ignored;
    m_socket.close(ignored);
    if (m_handlers.closed) {
        m_handlers.closed(m_opened ? m_connection : nullptr);
    }
    m_handlers = {};
    m_connection.reset();
}

MessageMac FramedSession::computeMac(FrameSide side, std::uint64_t sequence, std::string_view message) const
{
    std::string authenticated;
    authenticated.reserve(1 + sizeof(sequence) + message.size());
    authenticated += static_cast<char>(side);
    appendNumber(authenticated, sequence, sizeof(sequence));
    authenticated += message;
    return hmacSha256(m_connectionKey, authenticated);
}

} // namespace pomeloport::detail
