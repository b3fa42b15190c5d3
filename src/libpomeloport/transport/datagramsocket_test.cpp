#include "pomeloport/transport/datagramsocket.h"

#include "pomeloport/lastreason.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/udp.hpp>

#include <catch2/catch.hpp>

#include <array>
#include <vector>

using namespace pomeloport;
using boost::asio::ip::udp;

namespace
{

/// Runs the context until the socket has received the given number of datagrams, for at most ten seconds. Returns
/// whether exactly that many were received.
bool runUntilReceived(boost::asio::io_context &context, const DatagramSocket &socket, std::uint64_t count)
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (socket.counts().received < count && std::chrono::steady_clock::now() < end) {
        context.run_one_for(std::chrono::milliseconds(20));
    }
    return socket.counts().received == count;
}

} // namespace

TEST_CASE("the replay window accepts each sequence number once, even out of order")
{
    ReplayWindow window;
    const OwnerId sender{"entry-1", 7};
    CHECK(window.accept(sender, 10));
    CHECK_FALSE(window.accept(sender, 10));
    CHECK(window.accept(sender, 8));
    CHECK_FALSE(window.accept(sender, 8));
    CHECK(window.accept(sender, 200));
    CHECK_FALSE(window.accept(sender, 10));
    CHECK_FALSE(window.accept(sender, 200 - ReplayWindow::Width));
    CHECK(window.accept(sender, 201 - ReplayWindow::Width));
    CHECK(window.accept({"entry-1", 8}, 1));
    CHECK_FALSE(window.accept(sender, 300));
    CHECK(window.accept({"entry-2", 1}, 1));
}

TEST_CASE("a datagram is accepted only once, only unmodified and only by its intended receiver")
{
    boost::asio::io_context context;
    std::vector<std::string> received;
    const auto collect = [&](const OwnerId &sender, const std::string &, std::string payload) {
        received.push_back(sender.instance + ':' + payload);
    };
    const auto first = DatagramSocket::open(context, {"127.44.0.2:0", "key", {"entry-1", 1}}, collect);
    const auto second = DatagramSocket::open(context, {"127.44.0.2:0", "key", {"entry-2", 1}}, collect);
    const auto wrongKeySocket = DatagramSocket::open(context, {"127.44.0.2:0", "other", {"entry-3", 1}}, collect);
    REQUIRE((first && second && wrongKeySocket));

    // Captures a datagram that the first socket sends to this address, to replay it to another receiver below.
    udp::socket raw(context, udp::endpoint(boost::asio::ip::make_address("127.44.0.2"), 0));
    const auto rawAddress = "127.44.0.2:" + std::to_string(raw.local_endpoint().port());
    first->send(rawAddress, "recorded");
    first->send(second->address(), "direct");
    wrongKeySocket->send(second->address(), "forged");
    REQUIRE(runUntilReceived(context, *second, 2));
    CHECK(received == std::vector<std::string>{"entry-1:direct"});
    CHECK(second->counts().rejected == 1);

    std::array<char, 2000> buffer{};
    const auto size = raw.receive(boost::asio::buffer(buffer));
    const auto port = static_cast<std::uint16_t>(std::stoi(second->address().substr(second->address().find(':') + 1)));
    const udp::endpoint target(boost::asio::ip::make_address("127.44.0.2"), port);
    raw.send_to(boost::asio::buffer(buffer.data(), size), target);
    raw.send_to(boost::asio::buffer(buffer.data(), 5), target);
    REQUIRE(runUntilReceived(context, *second, 4));
    CHECK(received.size() == 1);
    CHECK(second->counts().rejected == 3);
    CHECK_FALSE(first->send(second->address(), std::string(MaximumDatagramPayload + 1, 'x')));
}
