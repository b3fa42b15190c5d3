#include "pomeloport/transport/httpserver.h"

#include "addresses.h"
#include "httpconnection.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>

namespace pomeloport
{

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

/// Delay before accepting again after a failure such as the exhaustion of file descriptors.
constexpr std::chrono::milliseconds AcceptRetryDelay{50};

} // namespace

namespace detail
{

/// Accepts connections for a server. Kept alive by its pending operation.
class HttpAcceptor : public std::enable_shared_from_this<HttpAcceptor>
{
public:
    HttpAcceptor(asio::io_context &context, HttpLimits limits, HttpHandler handler)
        : m_context(context)
        , m_strand(asio::make_strand(context))
        , m_acceptor(m_strand)
        , m_retry(m_strand)
        , m_state(std::make_shared<HttpServerState>())
    {
        m_state->limits.publish(std::make_shared<const HttpLimits>(limits));
        m_state->handler = std::move(handler);
    }

    /// Binds and listens. Returns false and sets the last reason on failure.
    bool open(const std::string &address)
    {
        const auto endpoint = parseEndpoint(address);
        if (!endpoint) {
            return false;
        }
        const auto error = bind(*endpoint);
        if (error) {
            setLastReason("cannot listen on " + address + ": " + error.message());
            return false;
        }
        error_code ignored;
        m_address = formatEndpoint(m_acceptor.local_endpoint(ignored));
        return true;
    }

    void accept()
    {
        m_acceptor.async_accept(asio::make_strand(m_context),
                                [self = shared_from_this()](error_code error, HttpConnection::Socket socket) {
                                    self->accepted(error, std::move(socket));
                                });
    }

    void stop()
    {
        m_state->keepAlive = false;
        asio::dispatch(m_strand, [self = shared_from_this()] {
            self->acceptWaiting();
            error_code ignored;
            self->m_acceptor.close(ignored);
            self->m_retry.cancel();
        });
    }

    const std::string &address() const
    {
        return m_address;
    }

    HttpServerState &state()
    {
        return *m_state;
    }

private:
    error_code bind(const tcp::endpoint &endpoint)
    {
        error_code error;
        m_acceptor.open(endpoint.protocol(), error);
        if (!error) {
            m_acceptor.set_option(tcp::acceptor::reuse_address(true), error);
        }
        if (!error) {
            m_acceptor.bind(endpoint, error);
        }
        if (!error) {
            m_acceptor.listen(asio::socket_base::max_listen_connections, error);
        }
        return error;
    }

    void accepted(error_code error, HttpConnection::Socket socket)
    {
        if (!error) {
            serve(std::move(socket));
        }
        if (!m_acceptor.is_open()) {
            return;
        }
        if (error) {
            m_retry.expires_after(AcceptRetryDelay);
            m_retry.async_wait([self = shared_from_this()](error_code cancelled) {
                if (!cancelled) {
                    self->accept();
                }
            });
            return;
        }
        accept();
    }

    void serve(HttpConnection::Socket socket)
    {
        auto connection = std::make_shared<HttpConnection>(std::move(socket), m_state);
        asio::dispatch(connection->strand(), [connection] { connection->start(); });
    }

    /// Accepts the connections that wait in the queue of the listening socket, which closing it would reset.
    void acceptWaiting()
    {
        error_code error;
        m_acceptor.non_blocking(true, error);
        while (!error) {
            HttpConnection::Socket socket(asio::make_strand(m_context));
            m_acceptor.accept(socket, error);
            if (!error) {
                serve(std::move(socket));
            }
        }
    }

    asio::io_context &m_context;
    HttpConnection::Strand m_strand;
    asio::basic_socket_acceptor<tcp, HttpConnection::Strand> m_acceptor;
    asio::steady_timer m_retry;
    std::shared_ptr<HttpServerState> m_state;
    std::string m_address;
};

} // namespace detail

HttpExchange::HttpExchange(std::shared_ptr<detail::HttpConnection> connection, HttpRequest request, MemoryShare memory)
    : m_connection(std::move(connection))
    , m_request(std::move(request))
    , m_memory(std::move(memory))
    , m_number(m_connection->exchange())
{
}

HttpExchange::~HttpExchange()
{
    asio::dispatch(m_connection->strand(),
                   [connection = m_connection, number = m_number] { connection->closeIfUnanswered(number); });
}

const HttpRequest &HttpExchange::request() const
{
    return m_request;
}

std::string HttpExchange::takeBody()
{
    return std::exchange(m_request.body, {});
}

asio::strand<asio::io_context::executor_type> HttpExchange::executor() const
{
    return m_connection->strand();
}

void HttpExchange::reply(unsigned status,
                         std::string contentType,
                         std::string body,
                         std::vector<std::pair<std::string, std::string>> headers)
{
    asio::dispatch(m_connection->strand(),
                   [connection = m_connection,
                    status,
                    contentType = std::move(contentType),
                    body = std::move(body),
                    headers = std::move(headers)]() mutable {
                       connection->reply(status, std::move(contentType), std::move(body), headers);
                   });
}

void HttpExchange::beginStream(unsigned status,
                               std::string contentType,
                               std::vector<std::pair<std::string, std::string>> headers)
{
    asio::dispatch(
        m_connection->strand(),
        [connection = m_connection,
         status,
         contentType = std::move(contentType),
         headers = std::move(headers)]() mutable { connection->beginStream(status, std::move(contentType), headers); });
}

void HttpExchange::reply(HttpResponseHead head, std::string body, MemoryShare memory)
{
    asio::dispatch(
        m_connection->strand(),
        [connection = m_connection,
         head = std::move(head),
         body = std::move(body),
         memory = std::move(memory)]() mutable { connection->reply(head, std::move(body), std::move(memory)); });
}

void HttpExchange::setName(std::string name)
{
    asio::dispatch(m_connection->strand(), [connection = m_connection, name = std::move(name)]() mutable {
        connection->setName(std::move(name));
    });
}

void HttpExchange::beginStream(HttpResponseHead head)
{
    asio::dispatch(m_connection->strand(),
                   [connection = m_connection, head = std::move(head)] { connection->beginStream(head); });
}

void HttpExchange::write(std::string piece, std::function<void(bool)> written)
{
    if (m_connection->strand().running_in_this_thread()) {
        m_connection->write(std::move(piece), std::move(written));
        return;
    }
    asio::post(m_connection->strand(),
               [connection = m_connection, piece = std::move(piece), written = std::move(written)]() mutable {
                   connection->write(std::move(piece), std::move(written));
               });
}

void HttpExchange::endStream()
{
    asio::dispatch(m_connection->strand(), [connection = m_connection] { connection->endStream(); });
}

void HttpExchange::abort()
{
    asio::dispatch(m_connection->strand(), [connection = m_connection] { connection->close(); });
}

void HttpExchange::reset()
{
    asio::dispatch(m_connection->strand(), [connection = m_connection] { connection->reset(); });
}

void HttpExchange::onClosed(std::function<void()> callback)
{
    asio::dispatch(m_connection->strand(), [connection = m_connection, callback = std::move(callback)]() mutable {
        connection->onClosed(std::move(callback));
    });
}

HttpServer::HttpServer(std::shared_ptr<detail::HttpAcceptor> acceptor)
    : m_acceptor(std::move(acceptor))
{
}

std::shared_ptr<HttpServer> HttpServer::listen(asio::io_context &context,
                                               const std::string &address,
                                               HttpLimits limits,
                                               HttpHandler handler)
{
    auto acceptor = std::make_shared<detail::HttpAcceptor>(context, limits, std::move(handler));
    if (!acceptor->open(address)) {
        return nullptr;
    }
    acceptor->accept();
    return std::shared_ptr<HttpServer>(new HttpServer(std::move(acceptor)));
}

HttpServer::~HttpServer()
{
    stopAccepting();
}

std::string HttpServer::address() const
{
    return m_acceptor->address();
}

std::size_t HttpServer::connections() const
{
    return m_acceptor->state().connections;
}

std::size_t HttpServer::busyConnections() const
{
    return m_acceptor->state().busy;
}

void HttpServer::setLimits(HttpLimits limits)
{
    m_acceptor->state().limits.publish(std::make_shared<const HttpLimits>(limits));
}

void HttpServer::limitMemory(std::shared_ptr<MemoryBudget> budget, HttpHandler refuse)
{
    m_acceptor->state().memory = std::move(budget);
    m_acceptor->state().refuse = std::move(refuse);
}

void HttpServer::limitUnread(std::shared_ptr<MemoryBudget> budget, UnreadLimits limits, SlowReaderReport report)
{
    m_acceptor->state().unreadMemory = std::move(budget);
    m_acceptor->state().unreadLimits = limits;
    m_acceptor->state().slowReader = std::move(report);
}

void HttpServer::closeAfterReply()
{
    m_acceptor->state().keepAlive = false;
}

void HttpServer::stopAccepting()
{
    m_acceptor->stop();
}

} // namespace pomeloport
