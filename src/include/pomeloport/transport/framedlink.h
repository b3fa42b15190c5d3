#pragma once

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

/// Authenticated TCP links between the processes of this system. Each message is one frame: length, HMAC-SHA256 tag and
/// payload. The key of a connection is derived from a random nonce of either side, and the tag covers the direction and
/// a sequence number, so that a replayed, reordered or reflected frame is rejected. A frame that fails authentication
/// closes the connection.
namespace pomeloport
{

/// Size and time limits of a framed connection.
struct FrameLimits
{
    /// Maximum message size in either direction.
    std::size_t messageBytes = std::size_t{16} * 1024 * 1024;
    /// Maximum size of the send queue. A connection that exceeds it, because its peer reads too slowly, is closed.
    std::size_t queuedBytes = std::size_t{64} * 1024 * 1024;
    /// Time within which the peer must prove knowledge of the key.
    std::chrono::milliseconds handshakeTimeout{3000};
    /// Delay before the first reconnection attempt of a client. It doubles with each attempt up to the maximum, with
    /// jitter.
    std::chrono::milliseconds firstReconnectDelay{50};
    std::chrono::milliseconds maximumReconnectDelay{1000};
};

namespace detail
{
class FramedSession;
} // namespace detail

/// One authenticated connection. Thread-safe.
class FramedConnection
{
public:
    explicit FramedConnection(std::shared_ptr<detail::FramedSession> session);
    ~FramedConnection();
    FramedConnection(const FramedConnection &) = delete;
    FramedConnection &operator=(const FramedConnection &) = delete;

    /// Queues a message. Returns false and sets the last reason if a limit is exceeded. Messages still queued when the
    /// connection fails are lost.
    bool send(std::string message);

    /// Closes the connection; the `closed` handler is called afterwards.
    void close();

private:
    std::shared_ptr<detail::FramedSession> m_session;
};

/// Called on threads of the io_context, one call at a time for each connection. `opened` is called once the peer has
/// proved knowledge of the key, and `closed` once for each `opened`. A server also calls `closed`, with null, for a
/// connection that ended before `opened`.
struct FramedHandlers
{
    std::function<void(const std::shared_ptr<FramedConnection> &)> opened;
    std::function<void(const std::shared_ptr<FramedConnection> &, std::string message)> received;
    std::function<void(const std::shared_ptr<FramedConnection> &)> closed;
};

/// Accepts framed connections. The destructor stops the server.
class FramedServer
{
public:
    /// Listens on "IP:port". Returns null and sets the last reason if the address is malformed or in use.
    static std::shared_ptr<FramedServer> listen(boost::asio::io_context &context,
                                                const std::string &address,
                                                std::string key,
                                                FrameLimits limits,
                                                FramedHandlers handlers);
    ~FramedServer();
    FramedServer(const FramedServer &) = delete;
    FramedServer &operator=(const FramedServer &) = delete;

    /// The port in use, also when listen() was called with port 0.
    std::uint16_t port() const;

    /// Stops accepting and closes all connections.
    void stop();

private:
    struct Implementation;
    explicit FramedServer(std::shared_ptr<Implementation> implementation);
    std::shared_ptr<Implementation> m_implementation;
};

/// Maintains one framed connection to an address and reconnects after a failure. Thread-safe. The destructor stops the
/// client.
class FramedClient
{
public:
    /// Starts connecting to "IP:port". Returns null and sets the last reason if the address is malformed.
    static std::shared_ptr<FramedClient> start(boost::asio::io_context &context,
                                               const std::string &address,
                                               std::string key,
                                               FrameLimits limits,
                                               FramedHandlers handlers);
    ~FramedClient();
    FramedClient(const FramedClient &) = delete;
    FramedClient &operator=(const FramedClient &) = delete;

    /// Queues a message on the current connection. Returns false and sets the last reason if there is none or a limit
    /// is exceeded.
    bool send(std::string message);

    /// Closes the connection and stops reconnecting.
    void stop();

private:
    struct Implementation;
    explicit FramedClient(std::shared_ptr<Implementation> implementation);
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace pomeloport
