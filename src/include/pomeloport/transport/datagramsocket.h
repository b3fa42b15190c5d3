#pragma once

#include "pomeloport/protocol/identity.h"
#include "pomeloport/transport/replaywindow.h"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

/// Authenticated UDP datagrams between instances. Each carries its sender, a sequence number and an HMAC-SHA256 that
/// also covers the receiver's address, so that a recorded datagram works neither twice nor at another receiver.
namespace pomeloport
{

/// Settings of a datagram socket.
struct DatagramSettings
{
    /// The address to bind, as peers know it, "IP:port"; port 0 picks a free one.
    std::string address;
    /// The shared key of all instances.
    std::string key;
    /// The sender of what this socket sends.
    OwnerId self;
};

/// Largest payload of one datagram, in bytes; with its header it fits an Ethernet frame.
constexpr std::size_t MaximumDatagramPayload = 1280;

/// Bytes on the wire beside payload and sender's name: IP and UDP headers, tag, incarnation and sequence number.
constexpr std::size_t DatagramOverhead = 28 + 16 + 17;

/// What passed through a socket; payloads with all headers.
struct DatagramCounts
{
    std::uint64_t sent = 0;
    std::uint64_t sentBytes = 0;
    std::uint64_t received = 0;
    std::uint64_t receivedBytes = 0;
    /// Datagrams that were malformed, not authentic or replayed.
    std::uint64_t rejected = 0;
};

/// Receives an authentic payload together with its sender and the address that it came from. Runs on a thread of the
/// context, one call at a time.
using DatagramHandler = std::function<void(const OwnerId &sender, const std::string &address, std::string payload)>;

/// Sends and receives datagrams. Safe from any thread. Stops when destroyed.
class DatagramSocket
{
public:
    /// Binds the address. Returns null, with a last reason, on failure. The context must outlive the socket.
    static std::shared_ptr<DatagramSocket> open(boost::asio::io_context &context,
                                                DatagramSettings settings,
                                                DatagramHandler handler);
    ~DatagramSocket();
    DatagramSocket(const DatagramSocket &) = delete;
    DatagramSocket &operator=(const DatagramSocket &) = delete;

    /// The bound address, "IP:port".
    const std::string &address() const;

    /// Sends a payload; one that is too large, or for a malformed address, is dropped and gives false with a last
    /// reason. Delivery is not certain.
    bool send(const std::string &address, const std::string &payload);

    DatagramCounts counts() const;

private:
    struct Implementation;
    explicit DatagramSocket(std::shared_ptr<Implementation> implementation);
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace pomeloport
