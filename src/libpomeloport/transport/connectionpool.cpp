#include "connectionpool.h"

#include <boost/asio/buffer.hpp>

namespace pomeloport::detail
{

namespace
{

using boost::asio::ip::tcp;

/// An idle connection must have nothing to read; unexpected bytes or an end of stream make it unusable.
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

std::unique_ptr<ConnectionPool::Socket> ConnectionPool::acquire(const std::string &address,
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
        // Entries are ordered by the time at which they became idle, so if the last one is too old, all are.
        if (now - idle.back().idleSince > maximumIdle) {
            return nullptr;
        }
        auto entry = std::move(idle.back());
        idle.pop_back();
        if (now < entry.expiry && looksOpen(*entry.socket)) {
            return std::move(entry.socket);
        }
    }
    return nullptr;
}

void ConnectionPool::release(const std::string &address,
                             std::unique_ptr<Socket> socket,
                             std::chrono::milliseconds keepAlive)
{
    const std::lock_guard lock(m_mutex);
    auto &idle = m_idle[address];
    const auto now = Clock::now();
    std::erase_if(idle, [now](const IdleConnection &entry) { return entry.expiry <= now; });
    if (idle.size() < MaximumIdlePerAddress) {
        idle.push_back({std::move(socket), now, now + keepAlive});
    }
}

} // namespace pomeloport::detail
