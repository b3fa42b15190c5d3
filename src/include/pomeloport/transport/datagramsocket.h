#pragma once

#include "pomeloport/protocol/identity.h"
#include "pomeloport/transport/replaywindow.h"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

/// Authenticated UDP datagrams between instances. Each carries its sender, a sequence number and an HMAC-SHA256 tag
/// that also covers the receiver's address, so that a recorded datagram can be replayed neither to the same receiver
/// nor to another one.
namespace pomeloport
{

struct DatagramSettings
{
    /// The "IP:port" to bind, which must be the address that peers send to; port 0 selects a free port.
    std::string address;
    /// The key shared by all instances.
    std::string key;
    /// The sender identity in outgoing datagrams.
    OwnerId self;
};

/// Maximum payload of one datagram in bytes. Together with the headers it fits into one Ethernet frame.
constexpr std::size_t MaximumDatagramPayload = 1280;

/// Bytes on the wire besides the payload and the sender's name: IP and UDP headers (28), tag (16), and incarnation and
/// sequence number (17).
constexpr std::size_t DatagramOverhead = 28 + 16 + 17;

/// Traffic counters of a socket. Byte counts include all headers.
struct DatagramCounts
{
    std::uint64_t sent = 0;
    std::uint64_t sentBytes = 0;
    std::uint64_t received = 0;
    std::uint64_t receivedBytes = 0;
    /// Datagrams that were malformed, failed authentication or were replayed.
    std::uint64_t rejected = 0;
};

/// Receives an authenticated payload with its sender and source address. Called on a thread of the io_context, one call
/// at a time.
using DatagramHandler = std::function<void(const OwnerId &sender, const std::string &address, std::string payload)>;

/// Sends and receives authenticated datagrams. Thread-safe. The destructor closes the socket.
class DatagramSocket
{
public:
    /// Binds the address and starts to receive. Returns null and sets the last reason on failure. The context must
    /// outlive the socket.
    static std::shared_ptr<DatagramSocket> open(boost::asio::io_context &context,
                                                DatagramSettings settings,
                                                DatagramHandler handler);
    ~DatagramSocket();
    DatagramSocket(const DatagramSocket &) = delete;
    DatagramSocket &operator=(const DatagramSocket &) = delete;

    /// The bound "IP:port", with the port actually in use.
    const std::string &address() const;

    /// Sends a payload without guaranteeing its delivery. Returns false and sets the last reason if the payload is too
    /// large or the address is malformed.
    bool send(const std::string &address, const std::string &payload);

    DatagramCounts counts() const;

private:
    struct Implementation;
    explicit DatagramSocket(std::shared_ptr<Implementation> implementation);
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace pomeloport
