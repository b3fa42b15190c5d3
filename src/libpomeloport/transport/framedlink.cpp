#include "pomeloport/transport/framedlink.h"

#include "framedsession.h"
#include "socketaddress.h"

#include "pomeloport/lastreason.h"

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <atomic>
#include <random>
#include <vector>

namespace pomeloport
{

using boost::asio::ip::tcp;
using detail::FramedSession;
using detail::FrameSide;

FramedConnection::FramedConnection(std::shared_ptr<FramedSession> session)
    : m_session(std::move(session))
{
}

FramedConnection::~FramedConnection() = default;

bool FramedConnection::send(std::string message)
{
    return m_session->send(std::move(message));
}

void FramedConnection::close()
{
    m_session->close();
}

/// Accepts connections on its own strand. Each session runs on a separate strand.
struct FramedServer::Implementation : std::enable_shared_from_this<FramedServer::Implementation>
{
    explicit Implementation(boost::asio::io_context &ioContext)
        : context(ioContext)
        , strand(boost::asio::make_strand(boost::asio::any_io_executor(ioContext.get_executor())))
        , acceptor(strand)
    {
    }

    bool open(const tcp::endpoint &endpoint)
    {
        boost::system::error_code error;
        acceptor.open(endpoint.protocol(), error);
        if (!error) {
            acceptor.set_option(tcp::acceptor::reuse_address(true), error);
        }
        if (!error) {
            acceptor.bind(endpoint, error);
        }
        if (!error) {
            acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
        }
        if (error) {
            setLastReason("cannot listen: " + error.message());
        }
        return !error;
    }

    void acceptNext()
    {
        auto executor = boost::asio::make_strand(boost::asio::any_io_executor(context.get_executor()));
        auto accepted = [self = shared_from_this(), executor](const auto &error, tcp::socket socket) {
            if (!self->acceptor.is_open()) {
                return;
            }
            if (!error) {
                self->startSession(std::move(socket), executor);
            }
            self->acceptNext();
        };
        acceptor.async_accept(executor, boost::asio::bind_executor(strand, std::move(accepted)));
    }

    void startSession(tcp::socket socket, FramedSession::Strand executor)
    {
        auto session =
            std::make_shared<FramedSession>(std::move(socket), executor, FrameSide::Server, key, limits, handlers);
        std::erase_if(sessions, [](const auto &entry) { return entry.expired(); });
        sessions.push_back(session);
        boost::asio::dispatch(executor, [session] { session->start(); });
    }

    void stop()
    {
        boost::system::error_code ignored;
        acceptor.close(ignored);
        for (const auto &entry : sessions) {
            if (const auto session = entry.lock()) {
                session->close();
            }
        }
    }

    boost::asio::io_context &context;
    FramedSession::Strand strand;
    tcp::acceptor acceptor;
    std::string key;
    FrameLimits limits;
    FramedHandlers handlers;
    std::vector<std::weak_ptr<FramedSession>> sessions;
};

FramedServer::FramedServer(std::shared_ptr<Implementation> implementation)
    : m_implementation(std::move(implementation))
{
}

FramedServer::~FramedServer()
{
    stop();
}

std::shared_ptr<FramedServer> FramedServer::listen(boost::asio::io_context &context,
                                                   const std::string &address,
                                                   std::string key,
                                                   FrameLimits limits,
                                                   FramedHandlers handlers)
{
    const auto endpoint = detail::parseEndpoint<tcp>(address);
    auto implementation = std::make_shared<Implementation>(context);
    if (!endpoint || !implementation->open(*endpoint)) {
        return nullptr;
    }
    implementation->key = std::move(key);
    implementation->limits = limits;
    implementation->handlers = std::move(handlers);
    boost::asio::post(implementation->strand, [implementation] { implementation->acceptNext(); });
    return std::shared_ptr<FramedServer>(new FramedServer(std::move(implementation)));
}

std::uint16_t FramedServer::port() const
{
    boost::system::error_code error;
    return m_implementation->acceptor.local_endpoint(error).port();
}

void FramedServer::stop()
{
    boost::asio::post(m_implementation->strand, [implementation = m_implementation] { implementation->stop(); });
}

/// Connects and reconnects on one strand, which is shared with its sessions.
struct FramedClient::Implementation : std::enable_shared_from_this<FramedClient::Implementation>
{
    explicit Implementation(boost::asio::io_context &context)
        : strand(boost::asio::make_strand(boost::asio::any_io_executor(context.get_executor())))
        , timer(strand)
        , random(std::random_device{}())
    {
    }

    void connect()
    {
        auto socket = std::make_shared<tcp::socket>(strand);
        socket->async_connect(endpoint, [self = shared_from_this(), socket](const boost::system::error_code &error) {
            if (self->stopped) {
                return;
            }
            if (error) {
                self->reconnectLater();
                return;
            }
            self->startSession(std::move(*socket));
        });
    }

    void startSession(tcp::socket socket)
    {
        session = std::make_shared<FramedSession>(
            std::move(socket), strand, FrameSide::Client, key, limits, sessionHandlers());
        session->start();
    }

    FramedHandlers sessionHandlers()
    {
        FramedHandlers result;
        result.received = handlers.received;
        result.opened = [self = shared_from_this()](const auto &connection) {
            self->delay = self->limits.firstReconnectDelay;
            self->connection.store(connection);
            self->handlers.opened(connection);
        };
        result.closed = [self = shared_from_this()](const auto &connection) {
            self->sessionClosed(connection);
        };
        return result;
    }

    void sessionClosed(const std::shared_ptr<FramedConnection> &closed)
    {
        connection.store(nullptr);
        session.reset();
        if (closed && handlers.closed) {
            handlers.closed(closed);
        }
        if (!stopped) {
            reconnectLater();
        }
    }

    void reconnectLater()
    {
        std::uniform_real_distribution<double> jitter(0.5, 1.0);
        timer.expires_after(std::chrono::duration_cast<std::chrono::steady_clock::duration>(delay * jitter(random)));
        delay = std::min(delay * 2, limits.maximumReconnectDelay);
        timer.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
            if (!error && !self->stopped) {
                self->connect();
            }
        });
    }

    void stop()
    {
        stopped = true;
        timer.cancel();
        if (session) {
            session->close();
        }
    }

    FramedSession::Strand strand;
    boost::asio::steady_timer timer;
    std::minstd_rand random;
    tcp::endpoint endpoint;
    std::string key;
    FrameLimits limits;
    FramedHandlers handlers;
    std::chrono::milliseconds delay{};
    std::shared_ptr<FramedSession> session;
    std::atomic<std::shared_ptr<FramedConnection>> connection;
    bool stopped = false;
};

FramedClient::FramedClient(std::shared_ptr<Implementation> implementation)
    : m_implementation(std::move(implementation))
{
}

FramedClient::~FramedClient()
{
    stop();
}

std::shared_ptr<FramedClient> FramedClient::start(boost::asio::io_context &context,
                                                  const std::string &address,
                                                  std::string key,
                                                  FrameLimits limits,
                                                  FramedHandlers handlers)
{
    const auto endpoint = detail::parseEndpoint<tcp>(address);
    if (!endpoint) {
        return nullptr;
    }
    auto implementation = std::make_shared<Implementation>(context);
    implementation->endpoint = *endpoint;
    implementation->key = std::move(key);
    implementation->limits = limits;
    implementation->handlers = std::move(handlers);
    implementation->delay = limits.firstReconnectDelay;
    boost::asio::post(implementation->strand, [implementation] { implementation->connect(); });
    return std::shared_ptr<FramedClient>(new FramedClient(std::move(implementation)));
}

bool FramedClient::send(std::string message)
{
    const auto connection = m_implementation->connection.load();
    if (!connection) {
        setLastReason("not connected");
        return false;
    }
    return connection->send(std::move(message));
}

void FramedClient::stop()
{
    boost::asio::post(m_implementation->strand, [implementation = m_implementation] { implementation->stop(); });
}

} // namespace pomeloport
