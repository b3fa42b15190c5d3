#pragma once

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

/// Authenticated TCP links between the system's own processes. Each message is one frame: its length, an HMAC-SHA256
/// and its bytes. Both sides contribute a random nonce to the key of a connection, and the frames of each direction
/// are numbered, so that a recorded, repeated, reordered or reflected frame is rejected. A frame that fails the check
/// closes its connection.
namespace pomeloport
{

/// Limits of a framed connection.
struct FrameLimits
{
    /// Largest message in either direction, in bytes.
    std::size_t messageBytes = std::size_t{16} * 1024 * 1024;
    /// Bytes that may wait to be sent; a connection whose peer reads too slowly is closed beyond it.
    std::size_t queuedBytes = std::size_t{64} * 1024 * 1024;
    /// Time for the peer to prove that it knows the key.
    std::chrono::milliseconds handshakeTimeout{3000};
    /// Delay before the first reconnection of a client; doubles up to the maximum, with jitter.
    std::chrono::milliseconds firstReconnectDelay{50};
    std::chrono::milliseconds maximumReconnectDelay{1000};
};

namespace detail
{
class FramedSession;
} // namespace detail

/// One authenticated connection. Shared ownership; all functions are safe from any thread.
class FramedConnection
{
public:
    explicit FramedConnection(std::shared_ptr<detail::FramedSession> session);
    ~FramedConnection();
    FramedConnection(const FramedConnection &) = delete;
    FramedConnection &operator=(const FramedConnection &) = delete;

    /// Queues a message. Returns false, with a last reason, when it exceeds a limit; a message queued on a connection
    /// that fails is lost.
    bool send(std::string message);

    /// Closes the connection; the closed handler follows.
    void close();

private:
    std::shared_ptr<detail::FramedSession> m_session;
};

/// Called on threads of the io_context, one at a time for each connection. `opened` comes once the peer has proved
/// that it knows the key; `closed` comes once for each `opened`.
struct FramedHandlers
{
    std::function<void(const std::shared_ptr<FramedConnection> &)> opened;
    std::function<void(const std::shared_ptr<FramedConnection> &, std::string message)> received;
    std::function<void(const std::shared_ptr<FramedConnection> &)> closed;
};

/// Accepts framed connections.
class FramedServer
{
public:
    /// Listens on "IP:port". Returns null, with a last reason, when the address is malformed or taken.
    static std::shared_ptr<FramedServer> listen(boost::asio::io_context &context,
                                                const std::string &address,
                                                std::string key,
                                                FrameLimits limits,
                                                FramedHandlers handlers);
    ~FramedServer();
    FramedServer(const FramedServer &) = delete;
    FramedServer &operator=(const FramedServer &) = delete;

    /// The port that it listens on; of use after listening on port 0.
    std::uint16_t port() const;

    /// Stops accepting and closes all connections.
    void stop();

private:
    struct Implementation;
    explicit FramedServer(std::shared_ptr<Implementation> implementation);
    std::shared_ptr<Implementation> m_implementation;
};

/// Keeps one framed connection to an address and reconnects when it fails. Safe from any thread.
class FramedClient
{
public:
    /// Starts connecting to "IP:port". Returns null, with a last reason, when the address is malformed.
    static std::shared_ptr<FramedClient> start(boost::asio::io_context &context,
                                               const std::string &address,
                                               std::string key,
                                               FrameLimits limits,
                                               FramedHandlers handlers);
    ~FramedClient();
    FramedClient(const FramedClient &) = delete;
    FramedClient &operator=(const FramedClient &) = delete;

    /// Queues a message on the present connection. Returns false, with a last reason, when there is none.
    bool send(std::string message);

    /// Closes the connection and connects no more.
    void stop();

private:
    struct Implementation;
    explicit FramedClient(std::shared_ptr<Implementation> implementation);
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace pomeloport
