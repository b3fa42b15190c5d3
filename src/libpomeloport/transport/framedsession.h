#pragma once

#include "pomeloport/transport/authentication.h"
#include "pomeloport/transport/framedlink.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <array>
#include <atomic>
#include <deque>
#include <memory>
#include <string>

/// One side of a framed TCP connection, from the nonce exchange to its close.
namespace pomeloport::detail
{

/// The side of a connection that a session represents. The HMAC of each frame covers it.
enum class FrameSide : char {
    Client = 'c',
    Server = 's',
};

/// Runs one connection on a strand. Pending reads and writes keep the session alive.
class FramedSession : public std::enable_shared_from_this<FramedSession>
{
public:
    using Strand = boost::asio::strand<boost::asio::any_io_executor>;

    /// The socket must be connected and use the strand as its executor.
    FramedSession(boost::asio::ip::tcp::socket socket,
                  Strand strand,
                  FrameSide side,
                  std::string key,
                  FrameLimits limits,
                  FramedHandlers handlers);

    /// Starts the handshake. Call once, on the strand.
    void start();

    /// Queues a message. Returns false and sets the last reason if a limit is exceeded. Thread-safe.
    bool send(std::string message);

    /// Closes the connection. Thread-safe.
    void close();

private:
    void sendNonce();
    void readNonce();
    void completeNonceExchange(const std::string &peerNonce);
    void readHeader();
    void readBody(std::size_t size);
    void handleFrame(std::string body);
    void enqueue(const std::string &message);
    void writeNext();
    void terminate(const char *reason);
    MessageMac computeMac(FrameSide side, std::uint64_t sequence, std::string_view message) const;

    boost::asio::ip::tcp::socket m_socket;
    Strand m_strand;
    boost::asio::steady_timer m_handshakeTimer;
    FrameSide m_side;
    std::string m_key;
    FrameLimits m_limits;
    FramedHandlers m_handlers;
    std::shared_ptr<FramedConnection> m_connection;
    std::string m_ownNonce;
    std::string m_connectionKey;
    std::string m_input;
    std::deque<std::string> m_output;
    std::atomic<std::size_t> m_queuedBytes = 0;
    std::uint64_t m_framesSent = 0;
    std::uint64_t m_framesReceived = 0;
    bool m_opened = false;
    bool m_writing = false;
    bool m_closed = false;
};

} // namespace pomeloport::detail
