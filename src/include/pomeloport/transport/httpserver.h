#pragma once

#include "pomeloport/memorybudget.h"
#include "pomeloport/nametable.h"
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

/// An HTTP/1.1 server with complete and streamed replies, keep-alive and limits on requests.
namespace pomeloport
{

namespace detail
{
class HttpConnection;
class HttpAcceptor;
} // namespace detail

/// Size and time limits of a connection. Oversized headers are answered with 431, oversized bodies with 413, late
/// requests with 408 and malformed messages with 400; the connection is then closed.
struct HttpLimits
{
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 8 * 1024 * 1024;
    /// Time from the first byte of a request to the end of its headers.
    std::chrono::milliseconds headerTimeout{5000};
    /// Applies separately to the wait for the next request, to receiving a request body, and to the peer's receiving
    /// the rest of a reply once the reply is complete.
    std::chrono::milliseconds idleTimeout{60000};
};

/// When a peer that does not read its replies is disconnected: more than a number of bytes wait for it, and it has
/// taken almost nothing for a time. A peer that reads slowly but steadily is not.
struct UnreadLimits
{
    std::size_t bytes = 1'000'000;
    std::chrono::milliseconds time{3000};
};

/// Why a peer that does not read was disconnected.
enum class SlowReaderCause {
    /// It left more unread for longer than the limits allow.
    Limit,
    /// The memory for replies has no place for the rest of its reply.
    Memory,
    /// It acknowledged nothing, or kept its receive window closed, until the connection timed out.
    Connection,
};

constexpr NameTable<SlowReaderCause, 3> nameTable(SlowReaderCause /*unused*/)
{
    return {{{SlowReaderCause::Limit, "limit"},
             {SlowReaderCause::Memory, "memory"},
             {SlowReaderCause::Connection, "connection"}}};
}

/// A peer that was disconnected because it does not read.
struct SlowReader
{
    SlowReaderCause cause = SlowReaderCause::Limit;
    /// As set with HttpExchange::setName().
    std::string exchange;
    std::string remoteAddress;
    std::size_t unreadBytes = 0;
};

struct HttpRequest
{
    std::string method;
    /// Path and query as received.
    std::string target;
    std::string path;
    /// Query parameters, percent-decoded.
    std::map<std::string, std::string> query;
    /// Header fields by lower-case name. Of a repeated field, only the last value.
    std::map<std::string, std::string> headers;
    /// All header fields in the order received.
    HttpFields fields;
    std::string body;
    /// The peer's IP address and port.
    std::string remoteAddress;
};

/// A request and the means to reply to it. Thread-safe; callbacks run on the connection's executor. Exactly one of
/// reply() and beginStream() must be called. Destroying an exchange that was not fully answered closes the connection.
class HttpExchange
{
public:
    /// For use by the server only. The share covers the body, which may live until the end of the exchange.
    HttpExchange(std::shared_ptr<detail::HttpConnection> connection, HttpRequest request, MemoryShare memory);
    ~HttpExchange();
    HttpExchange(const HttpExchange &) = delete;
    HttpExchange &operator=(const HttpExchange &) = delete;

    /// The request as received; takeBody() empties its body.
    const HttpRequest &request() const;

    /// Moves the body out of the request, so that it is not held in memory during a long stream.
    std::string takeBody();

    /// The executor that serialises this connection's callbacks.
    boost::asio::strand<boost::asio::io_context::executor_type> executor() const;

    /// Sends a complete reply.
    void reply(unsigned status,
               std::string contentType,
               std::string body,
               std::vector<std::pair<std::string, std::string>> headers = {});

    /// Starts a reply in chunked encoding.
    void beginStream(unsigned status,
                     std::string contentType,
                     std::vector<std::pair<std::string, std::string>> headers = {});

    /// Sends a complete reply with exactly these header fields, plus those that frame the body. The share covers the
    /// body and is given back once the body is written.
    void reply(HttpResponseHead head, std::string body, MemoryShare memory = {});

    /// Starts a reply in chunked encoding with exactly these header fields, plus those that frame the body.
    void beginStream(HttpResponseHead head);

    /// Sends one piece of a streamed reply. The callback reports whether it was written to the socket. Pieces passed in
    /// before then are buffered and sent together, so wait for the callback to bound memory. An empty
    /// piece is reported without being sent.
    void write(std::string piece, std::function<void(bool ok)> written);

    /// Ends a streamed reply once all pieces are sent.
    void endStream();

    /// Closes the connection without ending the reply, so that the peer sees it as truncated.
    void abort();

    /// The same, and drops what the peer has not read: the system would keep it for a while, and the end of the
    /// connection would not reach a peer that does not read. The peer sees a reset.
    void reset();

    /// Names the exchange in reports of slow readers.
    void setName(std::string name);

    /// Sets a callback that runs once if the peer disconnects before the end of the reply; it runs at once if the
    /// connection is already closed.
    void onClosed(std::function<void()> callback);

private:
    std::shared_ptr<detail::HttpConnection> m_connection;
    HttpRequest m_request;
    MemoryShare m_memory;
    std::uint64_t m_number;
};

/// Handles one request. Runs on the connection's executor and must not block.
using HttpHandler = std::function<void(std::shared_ptr<HttpExchange>)>;

/// Accepts connections on one address. Open connections outlive the server object.
class HttpServer
{
public:
    /// Listens on a numeric "IP:port"; port 0 selects a free port. Returns null and sets the last reason on failure.
    /// The context may be run by several threads.
    static std::shared_ptr<HttpServer> listen(boost::asio::io_context &context,
                                              const std::string &address,
                                              HttpLimits limits,
                                              HttpHandler handler);

    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// The listening address with the port in use.
    std::string address() const;

    /// Number of open connections.
    std::size_t connections() const;

    /// Number of connections with a request whose reply has not been completely sent.
    std::size_t busyConnections() const;

    /// Replaces the limits, including those of open connections.
    void setLimits(HttpLimits limits);

    /// Sets the budget for request bodies, and the handler of requests whose body finds no place in it. Such a request
    /// waits for a place for a short time, unread; then the handler gets it with an incomplete body, answers it at
    /// once, and the connection is closed. Small bodies are not counted. Call before the first connection.
    void limitMemory(std::shared_ptr<MemoryBudget> budget, HttpHandler refuse);

    /// Counts the streamed bytes that wait to be written in a budget, except small numbers of them, and disconnects
    /// peers that do not read. Whole replies count where their sender passes a share. Call before the first connection.
    using SlowReaderReport = std::function<void(const SlowReader &reader)>;
    void limitUnread(std::shared_ptr<MemoryBudget> budget, UnreadLimits limits, SlowReaderReport report);

    /// Sends "Connection: close" with every reply from now on.
    void closeAfterReply();

    /// Stops accepting connections. Open connections, and those that wait to be accepted, finish their current request
    /// without keep-alive.
    void stopAccepting();

private:
    explicit HttpServer(std::shared_ptr<detail::HttpAcceptor> acceptor);

    std::shared_ptr<detail::HttpAcceptor> m_acceptor;
};

} // namespace pomeloport
