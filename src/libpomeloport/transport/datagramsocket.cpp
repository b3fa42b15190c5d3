#include "pomeloport/transport/datagramsocket.h"

#include "socketaddress.h"

#include "pomeloport/lastreason.h"
#include "pomeloport/protocol/compactarchive.h"
#include "pomeloport/transport/authentication.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>

#include <array>
#include <atomic>

namespace pomeloport
{

using boost::asio::ip::udp;

namespace
{

constexpr std::size_t TagBytes = 16;
constexpr std::size_t IpUdpHeaderBytes = 28;
constexpr std::size_t ReceiveBufferBytes = 2048;

/// Precedes the payload on the wire.
struct DatagramHeader
{
    OwnerId sender;
    std::uint64_t sequence = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(sender, sequence);
    }
};

std::string formatEndpoint(const udp::endpoint &endpoint)
{
    const auto ip = endpoint.address().to_string();
    return (endpoint.address().is_v6() ? '[' + ip + ']' : ip) + ':' + std::to_string(endpoint.port());
}

/// Decodes the header and removes it, so that the payload remains. Returns nothing for malformed bytes.
std::optional<DatagramHeader> decodeHeader(std::string_view &bytes)
{
    try {
        detail::CompactInputArchive archive(bytes);
        DatagramHeader header;
        archive(header);
        bytes.remove_prefix(bytes.size() - archive.bytesLeft());
        return header;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

} // namespace

/// Receives and sends on a strand. Datagrams are encoded and authenticated on the calling thread.
struct DatagramSocket::Implementation : std::enable_shared_from_this<DatagramSocket::Implementation>
{
    explicit Implementation(boost::asio::io_context &context)
        : strand(boost::asio::make_strand(boost::asio::any_io_executor(context.get_executor())))
        , socket(strand)
    {
    }

    bool bind(const udp::endpoint &endpoint)
    {
        boost::system::error_code error;
        socket.open(endpoint.protocol(), error);
        if (!error) {
            socket.bind(endpoint, error);
        }
        if (!error) {
            socket.non_blocking(true, error);
        }
        if (error) {
            setLastReason("cannot bind " + settings.address + ": " + error.message());
            return false;
        }
        ownAddress = formatEndpoint(socket.local_endpoint(error));
        return true;
    }

    void receiveNext()
    {
        const auto buffer = boost::asio::buffer(receiveBuffer);
        socket.async_receive_from(
            buffer, senderEndpoint, [self = shared_from_this()](const auto &error, std::size_t size) {
                if (!self->socket.is_open()) {
                    return;
                }
                if (!error) {
                    self->handleDatagram(std::string_view(self->receiveBuffer.data(), size));
                }
                self->receiveNext();
            });
    }

    void handleDatagram(std::string_view datagram)
    {
        received += 1;
        receivedBytes += datagram.size() + IpUdpHeaderBytes;
        auto payload = datagram.substr(0, datagram.size() - std::min(datagram.size(), TagBytes));
        const auto tag = datagram.substr(payload.size());
        if (tag.size() != TagBytes || !macMatches(computeMac(payload, ownAddress), tag)) {
            rejected += 1;
            return;
        }
        const auto header = decodeHeader(payload);
        if (!header || !window.accept(header->sender, header->sequence)) {
            rejected += 1;
            return;
        }
        handler(header->sender, formatEndpoint(senderEndpoint), std::string(payload));
    }

    MessageMac computeMac(std::string_view bytes, const std::string &receiver) const
    {
        std::string authenticated;
        authenticated.reserve(receiver.size() + 1 + bytes.size());
        authenticated = receiver;
        authenticated += ' ';
        authenticated += bytes;
        return hmacSha256(settings.key, authenticated);
    }

    void transmit(const udp::endpoint &receiver, const std::string &datagram)
    {
        boost::system::error_code ignored;
        socket.send_to(boost::asio::buffer(datagram), receiver, 0, ignored);
        sent += 1;
        sentBytes += datagram.size() + IpUdpHeaderBytes;
    }

    boost::asio::strand<boost::asio::any_io_executor> strand;
    udp::socket socket;
    DatagramSettings settings;
    DatagramHandler handler;
    std::string ownAddress;
    udp::endpoint senderEndpoint;
    std::array<char, ReceiveBufferBytes> receiveBuffer{};
    ReplayWindow window;
    std::atomic<std::uint64_t> sequence = 0;
    std::atomic<std::uint64_t> sent = 0;
    std::atomic<std::uint64_t> sentBytes = 0;
    std::atomic<std::uint64_t> received = 0;
    std::atomic<std::uint64_t> receivedBytes = 0;
    std::atomic<std::uint64_t> rejected = 0;
};

DatagramSocket::DatagramSocket(std::shared_ptr<Implementation> implementation)
    : m_implementation(std::move(implementation))
{
}

DatagramSocket::~DatagramSocket()
{
    boost::asio::post(m_implementation->strand, [implementation = m_implementation] {
        boost::system::error_code ignored;
        implementation->socket.close(ignored);
    });
}

std::shared_ptr<DatagramSocket> DatagramSocket::open(boost::asio::io_context &context,
                                                     DatagramSettings settings,
                                                     DatagramHandler handler)
{
    const auto endpoint = detail::parseEndpoint<udp>(settings.address);
    if (!endpoint) {
        return nullptr;
    }
    auto implementation = std::make_shared<Implementation>(context);
    implementation->settings = std::move(settings);
    implementation->handler = std::move(handler);
    if (!implementation->bind(*endpoint)) {
        return nullptr;
    }
    boost::asio::post(implementation->strand, [implementation] { implementation->receiveNext(); });
    return std::shared_ptr<DatagramSocket>(new DatagramSocket(std::move(implementation)));
}

const std::string &DatagramSocket::address() const
{
    return m_implementation->ownAddress;
}

bool DatagramSocket::send(const std::string &address, const std::string &payload)
{
    const auto receiver = detail::parseEndpoint<udp>(address);
    if (!receiver) {
        return false;
    }
    if (payload.size() > MaximumDatagramPayload) {
        setLastReason("payload exceeds the maximum datagram size");
        return false;
    }
    auto datagram =
        detail::encodeCompact(DatagramHeader{m_implementation->settings.self, ++m_implementation->sequence});
    datagram += payload;
    const auto mac = m_implementation->computeMac(datagram, formatEndpoint(*receiver));
    datagram.append(mac.begin(), mac.begin() + TagBytes);
    boost::asio::post(m_implementation->strand,
                      [implementation = m_implementation, receiver = *receiver, datagram = std::move(datagram)] {
                          implementation->transmit(receiver, datagram);
                      });
    return true;
}

DatagramCounts DatagramSocket::counts() const
{
    return {m_implementation->sent,
            m_implementation->sentBytes,
            m_implementation->received,
            m_implementation->receivedBytes,
            m_implementation->rejected};
}

} // namespace pomeloport
