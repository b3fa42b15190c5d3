#pragma once

#include "pomeloport/transport/httpmessage.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

/// An HTTP/1.1 server: whole and streamed replies, keep-alive, and limits on what a peer may send.
namespace pomeloport
{

namespace detail
{
class HttpConnection;
class HttpAcceptor;
} // namespace detail

/// Limits on what a peer may send and how long it may take. Oversized headers are answered 431, oversized bodies 413,
/// late headers 408, malformed messages 400; the connection is then closed.
struct HttpLimits
{
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 8 * 1024 * 1024;
    /// Time from the first byte of a request to the end of its headers.
    std::chrono::milliseconds headerTimeout{5000};
    /// Time that a connection may wait for its next request, that a body may take, and that the peer may take to accept
    /// the rest of a reply once it is complete.
    std::chrono::milliseconds idleTimeout{60000};
};

/// One request as received.
struct HttpRequest
{
    std::string method;
    /// Path and query as sent.
    std::string target;
    std::string path;
    /// Query parameters, percent-decoded.
    std::map<std::string, std::string> query;
    /// Header fields by lower-case name; the last value of a repeated field.
    std::map<std::string, std::string> headers;
    /// All header fields as sent, in order.
    HttpFields fields;
    std::string body;
    /// The peer's IP address and port.
    std::string remoteAddress;
};

/// One request with the means to answer it, held by shared ownership. Methods may be called from any thread; callbacks
/// run on the connection's executor. Exactly one of reply() or beginStream() answers the request. An exchange that is
/// dropped unanswered closes its connection.
class HttpExchange
{
public:
    /// Used by the server only.
    HttpExchange(std::shared_ptr<detail::HttpConnection> connection, HttpRequest request);
    ~HttpExchange();
    HttpExchange(const HttpExchange &) = delete;
    HttpExchange &operator=(const HttpExchange &) = delete;

    /// The request; unchanged until takeBody().
    const HttpRequest &request() const;

    /// Moves the body out, so that a long stream does not hold it.
    std::string takeBody();

    /// The executor that serialises this connection's callbacks.
    boost::asio::strand<boost::asio::io_context::executor_type> executor() const;

    /// Sends a whole reply.
    void reply(unsigned status,
               std::string contentType,
               std::string body,
               std::vector<std::pair<std::string, std::string>> headers = {});

    /// Starts a reply in chunked encoding.
    void beginStream(unsigned status,
                     std::string contentType,
                     std::vector<std::pair<std::string, std::string>> headers = {});

    /// Sends a whole reply with exactly these header fields, and those that frame the body.
    void reply(HttpResponseHead head, std::string body);

    /// Starts a reply in chunked encoding with exactly these header fields, and those that frame the body.
    void beginStream(HttpResponseHead head);

    /// Sends one piece of a streamed reply and reports whether it was handed to the network. Pieces written before that
    /// are kept in memory and sent together, so a sender with bounded memory waits for the callback. Empty pieces are
    /// reported without being sent.
    void write(std::string piece, std::function<void(bool ok)> written);

    /// Ends a streamed reply after all pieces.
    void endStream();

    /// Closes the connection without a proper end, so that the peer does not take the answer for whole.
    void abort();

    /// Sets what to call, once, when the peer goes away before the end of the reply.
    void onClosed(std::function<void()> callback);

private:
    std::shared_ptr<detail::HttpConnection> m_connection;
    HttpRequest m_request;
    std::uint64_t m_number;
};

/// Answers one request; runs on the connection's executor and must not block.
using HttpHandler = std::function<void(std::shared_ptr<HttpExchange>)>;

/// Accepts connections on one address. Connections live on by themselves after the server object is gone.
class HttpServer
{
public:
    /// Listens on a numeric "IP:port"; port 0 picks a free one. Returns null, with a last reason, on failure. The
    /// context may be run by several threads.
    static std::shared_ptr<HttpServer> listen(boost::asio::io_context &context,
                                              const std::string &address,
                                              HttpLimits limits,
                                              HttpHandler handler);

    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// The address listened on, with the port that was picked.
    std::string address() const;

    /// Number of open connections.
    std::size_t connections() const;

    /// Number of connections with a request whose reply the peer may not have received to its end.
    std::size_t busyConnections() const;

    /// Replaces the limits, also for connections that are open.
    void setLimits(HttpLimits limits);

    /// Sends "Connection: close" with every reply from now on.
    void closeAfterReply();

    /// Stops accepting connections; those that are open go on, without keep-alive.
    void stopAccepting();

private:
    explicit HttpServer(std::shared_ptr<detail::HttpAcceptor> acceptor);

    std::shared_ptr<detail::HttpAcceptor> m_acceptor;
};

} // namespace pomeloport
