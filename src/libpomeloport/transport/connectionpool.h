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

/// Idle client connections, by address.
namespace pomeloport::detail
{

/// Keeps idle connections for reuse. Sockets carry the context's own executor, so that each user may bind handlers to
/// a strand of its own. Safe from any thread.
class ConnectionPool
{
public:
    using Socket = boost::asio::ip::tcp::socket;

    explicit ConnectionPool(boost::asio::io_context &context);

    /// The context of the sockets.
    boost::asio::io_context &context();

    /// Takes an idle connection that still looks open and was idle for no longer than this, or returns null when there
    /// is none.
    std::unique_ptr<Socket> take(const std::string &address, std::chrono::milliseconds maximumIdle = LongestIdle);

    /// Gives back a connection after a complete exchange, usable for as long as its server keeps it. Surplus ones are
    /// closed.
    void give(const std::string &address,
              std::unique_ptr<Socket> socket,
              std::chrono::milliseconds keptFor = LongestIdle);

private:
    using Clock = std::chrono::steady_clock;

    /// A connection with the time at which it became idle and until which its server keeps it.
    struct Idle
    {
        std::unique_ptr<Socket> socket;
        Clock::time_point since;
        Clock::time_point until;
    };

    static constexpr std::size_t IdleConnectionsPerAddress = 64;
    static constexpr std::chrono::milliseconds LongestIdle = std::chrono::hours(1);

    boost::asio::io_context &m_context;
    std::mutex m_mutex;
    std::unordered_map<std::string, std::vector<Idle>> m_idle;
};

} // namespace pomeloport::detail
