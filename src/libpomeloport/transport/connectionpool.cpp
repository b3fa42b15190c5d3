#include "connectionpool.h"

#include <boost/asio/buffer.hpp>

namespace pomeloport::detail
{

namespace
{

using boost::asio::ip::tcp;

/// An idle connection must have nothing to read: bytes or an end of stream both make it unusable.
bool looksOpen(tcp::socket &socket)
{
    boost::system::error_code error;
    socket.non_blocking(true, error);
    if (error) {
        return false;
    }
    char byte = 0;
    socket.receive(boost::asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error == boost::asio::error::would_block || error == boost::asio::error::try_again;
}

} // namespace

ConnectionPool::ConnectionPool(boost::asio::io_context &context)
    : m_context(context)
{
}

boost::asio::io_context &ConnectionPool::context()
{
    return m_context;
}

std::unique_ptr<ConnectionPool::Socket> ConnectionPool::take(const std::string &address)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_idle.find(address);
    if (found == m_idle.end()) {
        return nullptr;
    }
    auto &sockets = found->second;
    while (!sockets.empty()) {
        auto socket = std::move(sockets.back());
        sockets.pop_back();
        if (looksOpen(*socket)) {
            return socket;
        }
    }
    return nullptr;
}

void ConnectionPool::give(const std::string &address, std::unique_ptr<Socket> socket)
{
    const std::lock_guard lock(m_mutex);
    auto &sockets = m_idle[address];
    if (sockets.size() < IdleConnectionsPerAddress) {
        sockets.push_back(std::move(socket));
    }
}

} // namespace pomeloport::detail
