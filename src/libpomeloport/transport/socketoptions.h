#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

/// Socket options for TCP connections.
namespace pomeloport::detail
{

/// TCP keepalive probes start after the idle time and repeat at the interval; a peer that answers none of them, or
/// leaves data unacknowledged for the given time, is considered dead. The total must stay below the time for which a
/// silent machine is still considered reachable. The units are those of the socket options.
constexpr int KeepAliveIdleSeconds = 1;
constexpr int KeepAliveIntervalSeconds = 1;
constexpr int KeepAliveProbes = 2;
constexpr int UnacknowledgedMilliseconds = 2500;

/// Disables Nagle's algorithm and detects peers that vanish without closing the connection. An option that cannot be
/// set keeps the system default.
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

/// Sets the time without progress after which the system gives a connection up; zero for none. The system measures it
/// from the first moment without room at the peer, and does not start again when the peer reads a little, so it also
/// ends peers that read steadily with halts of some hundred milliseconds.
template<typename Socket>
void setUnacknowledgedTime(Socket &socket, int milliseconds)
{
    setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds, sizeof(milliseconds));
}

/// Number of bytes that the system has taken for a connection and the peer has not acknowledged.
template<typename Socket>
int unacknowledgedBytes(Socket &socket)
{
    int bytes = 0;
    ioctl(socket.native_handle(), SIOCOUTQ, &bytes);
    return bytes;
}

/// Whether the connection has failed in a way that no operation has reported yet.
template<typename Socket>
bool pendingError(Socket &socket)
{
    int error = 0;
    socklen_t size = sizeof(error);
    return getsockopt(socket.native_handle(), SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0;
}

/// Number of unsent bytes above which the system takes no more for a peer whose reading is watched.
constexpr unsigned UnsentBytes = 64 * 1024;

/// Lets the system take bytes only as the peer reads. By default it takes up to 4 MB, and then none until a third of
/// them is read, so that a peer that reads 200 KB/s seems to read nothing for 6 s.
template<typename Socket>
void limitUnsentBytes(Socket &socket)
{
    setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_NOTSENT_LOWAT, &UnsentBytes, sizeof(UnsentBytes));
}

} // namespace pomeloport::detail
