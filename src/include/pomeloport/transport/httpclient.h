#pragma once

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

/// An HTTP/1.1 client for calls with whole replies, over kept-alive connections.
namespace pomeloport
{

namespace detail
{
class ConnectionPool;
}

/// One call. The address is a numeric "IP:port"; the timeout covers the whole call.
struct HttpCall
{
    std::string address;
    std::string method;
    std::string target;
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers;
    std::chrono::milliseconds timeout{5000};
};

/// A whole reply.
struct HttpReply
{
    unsigned status = 0;
    std::string body;
};

/// Receives the reply, or nothing on failure. Called once. "sent" says whether any byte of the request may have left
/// this process; without it the call certainly had no effect.
using HttpCallback = std::function<void(std::optional<HttpReply> reply, bool sent)>;

/// Sends calls and keeps idle connections for each address. Safe from any thread; callbacks run on threads of the
/// context. A kept-alive connection found closed is replaced only while no byte of the call has left.
class HttpClient
{
public:
    explicit HttpClient(boost::asio::io_context &context);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Starts a call. Calls under way end by themselves when the client is destroyed.
    void send(HttpCall call, HttpCallback callback);

    /// The connections that this client keeps; engine streams may share them.
    std::shared_ptr<detail::ConnectionPool> pool() const;

private:
    std::shared_ptr<detail::ConnectionPool> m_pool;
};

} // namespace pomeloport
