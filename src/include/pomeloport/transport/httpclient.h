#pragma once

#include "pomeloport/memorybudget.h"
#include "pomeloport/transport/httpmessage.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

/// An HTTP/1.1 client with keep-alive that buffers whole responses.
namespace pomeloport
{

namespace detail
{
class ConnectionPool;
}

/// A request with a numeric "IP:port" address. The timeout covers the whole call, connecting included.
struct HttpCall
{
    std::string address;
    std::string method;
    std::string target;
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers;
    std::chrono::milliseconds timeout{5000};
    /// Maximum size of the body of the response; a longer one fails the call.
    std::size_t maximumReplyBytes = 1024 * 1024;
    /// Counts bodies of more than UncountedReplyBytes while they are received. One that finds no place fails the call.
    std::shared_ptr<MemoryBudget> replyMemory;
    static constexpr std::size_t UncountedReplyBytes = 16 * 1024;
    /// Whether the call needs a connection of its own, since those that are open may have gone silent.
    bool newConnection = false;
};

/// A complete response.
struct HttpReply
{
    unsigned status = 0;
    std::string body;
    HttpFields fields;
};

/// Called once, with the final reply or, on failure, with nothing. `sent` tells whether any byte of the request may
/// have left this process; if not, the call had no effect.
using HttpCallback = std::function<void(std::optional<HttpReply> reply, bool sent)>;

/// Sends calls and pools idle connections by address. Thread-safe; callbacks run on threads of the io_context. If a
/// pooled connection turns out to be closed, the call is repeated on a new one only if no byte of it was sent.
class HttpClient
{
public:
    explicit HttpClient(boost::asio::io_context &context);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Starts a call. Calls in progress are completed even if the client is destroyed.
    void send(HttpCall call, HttpCallback callback);

    /// The connection pool of this client, which EngineStream and CallStream can share.
    std::shared_ptr<detail::ConnectionPool> pool() const;

private:
    std::shared_ptr<detail::ConnectionPool> m_pool;
};

} // namespace pomeloport
