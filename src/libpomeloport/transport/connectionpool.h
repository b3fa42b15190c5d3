#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstddef>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

/// Pooling of idle client connections by address.
namespace pomeloport::detail
{

/// Keeps idle connections for reuse. Sockets use the executor of the io_context, so that each user can bind its
/// handlers to its own strand. Thread-safe.
class ConnectionPool
{
public:
    using Socket = boost::asio::ip::tcp::socket;

    explicit ConnectionPool(boost::asio::io_context &context);

    /// The context with which sockets must be created.
    boost::asio::io_context &context();

    /// Removes and returns an idle connection that still appears open and was idle for at most maximumIdle, or returns
    /// null if there is none.
    std::unique_ptr<Socket> acquire(const std::string &address,
                                    std::chrono::milliseconds maximumIdle = MaximumIdleTime);

    /// Returns a connection to the pool after a complete exchange. It may be reused for as long as the server keeps it
    /// open. The connection is closed if the pool holds enough for this address.
    void release(const std::string &address,
                 std::unique_ptr<Socket> socket,
                 std::chrono::milliseconds keepAlive = MaximumIdleTime);

private:
    using Clock = std::chrono::steady_clock;

    /// An idle connection, when it became idle and until when its server keeps it open.
    struct IdleConnection
    {
        std::unique_ptr<Socket> socket;
        Clock::time_point idleSince;
        Clock::time_point expiry;
    };

    static constexpr std::size_t MaximumIdlePerAddress = 64;
    static constexpr std::chrono::milliseconds MaximumIdleTime = std::chrono::hours(1);

    boost::asio::io_context &m_context;
    std::mutex m_mutex;
    std::unordered_map<std::string, std::vector<IdleConnection>> m_idle;
};

} // namespace pomeloport::detail
