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

std::unique_ptr<ConnectionPool::Socket> ConnectionPool::take(const std::string &address,
                                                             std::chrono::milliseconds maximumIdle)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_idle.find(address);
    if (found == m_idle.end()) {
        return nullptr;
    }
    auto &idle = found->second;
    const auto now = Clock::now();
    while (!idle.empty()) {
        // The last one became idle last: when it waited too long, so did the others.
        if (now - idle.back().since > maximumIdle) {
            return nullptr;
        }
        auto entry = std::move(idle.back());
        idle.pop_back();
        if (now < entry.until && looksOpen(*entry.socket)) {
            return std::move(entry.socket);
        }
    }
    return nullptr;
}

void ConnectionPool::give(const std::string &address, std::unique_ptr<Socket> socket, std::chrono::milliseconds keptFor)
{
    const std::lock_guard lock(m_mutex);
    auto &idle = m_idle[address];
    const auto now = Clock::now();
    std::erase_if(idle, [now](const Idle &entry) { return entry.until <= now; });
    if (idle.size() < IdleConnectionsPerAddress) {
        idle.push_back({std::move(socket), now, now + keptFor});
    }
}

} // namespace pomeloport::detail
