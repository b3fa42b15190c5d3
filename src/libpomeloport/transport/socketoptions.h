#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

/// Options of TCP connections.
namespace pomeloport::detail
{

/// A peer that is silent at the level of TCP for this long is gone: probes start after the idle time and repeat.
/// Milliseconds and seconds, as the system takes them; together below the time in which a machine counts as in touch.
constexpr int KeepAliveIdleSeconds = 1;
constexpr int KeepAliveIntervalSeconds = 1;
constexpr int KeepAliveProbes = 2;
constexpr int UnacknowledgedMilliseconds = 2500;

/// Sends small writes at once and notices peers that are gone without a word. Failures leave the system's defaults.
template<typename Socket>
void configureConnection(Socket &socket)
{
    boost::system::error_code ignored;
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    const auto set = [&socket](int option, int value) {
        return setsockopt(socket.native_handle(), IPPROTO_TCP, option, &value, sizeof(value));
    };
    set(TCP_KEEPIDLE, KeepAliveIdleSeconds);
    set(TCP_KEEPINTVL, KeepAliveIntervalSeconds);
    set(TCP_KEEPCNT, KeepAliveProbes);
    set(TCP_USER_TIMEOUT, UnacknowledgedMilliseconds);
}

} // namespace pomeloport::detail
