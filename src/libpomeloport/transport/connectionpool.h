#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

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

    /// Takes an idle connection that still looks open, or returns null when there is none.
    std::unique_ptr<Socket> take(const std::string &address);

    /// Gives back a connection after a complete exchange. Surplus ones are closed.
    void give(const std::string &address, std::unique_ptr<Socket> socket);

private:
    static constexpr std::size_t IdleConnectionsPerAddress = 64;

    boost::asio::io_context &m_context;
    std::mutex m_mutex;
    std::unordered_map<std::string, std::vector<std::unique_ptr<Socket>>> m_idle;
};

} // namespace pomeloport::detail
