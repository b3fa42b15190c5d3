#include "pomeloport/transport/framedlink.h"

#include "pomeloport/lastreason.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <vector>

using namespace pomeloport;
using boost::asio::ip::tcp;

namespace
{

constexpr std::chrono::seconds EventTimeout{10};

/// A server that records and echoes each message.
struct EchoServer
{
    explicit EchoServer(boost::asio::io_context &context, FrameLimits limits = {})
    {
        FramedHandlers handlers;
        handlers.opened = [this](const auto &connection) {
            lastConnection = connection;
        };
        handlers.received = [this](const auto &connection, std::string message) {
            received.push_back(message);
            connection->send("echo " + message);
        };
        handlers.closed = [this](const auto &connection) {
            unauthenticatedClosed += connection ? 0 : 1;
        };
        server = FramedServer::listen(context, "127.44.0.1:0", "key", limits, handlers);
        REQUIRE(server);
        address = "127.44.0.1:" + std::to_string(server->port());
    }

    std::shared_ptr<FramedServer> server;
    std::shared_ptr<FramedConnection> lastConnection;
    std::string address;
    std::vector<std::string> received;
    /// Number of connections that ended before they were authenticated.
    int unauthenticatedClosed = 0;
};

template<typename Condition>
bool runUntil(boost::asio::io_context &context, Condition condition)
{
    const auto end = std::chrono::steady_clock::now() + EventTimeout;
    while (!condition() && std::chrono::steady_clock::now() < end) {
        context.run_one_for(std::chrono::milliseconds(20));
    }
    return condition();
}

} // namespace

TEST_CASE("a framed client sends and receives messages and reconnects after its connection is closed")
{
    boost::asio::io_context context;
    EchoServer echo(context);
    std::vector<std::string> replies;
    int opened = 0;
    FramedHandlers handlers;
    handlers.opened = [&](const auto &connection) {
        connection->send("hello " + std::to_string(++opened));
    };
    handlers.received = [&](const auto &, std::string message) {
        replies.push_back(message);
    };
    const auto client = FramedClient::start(context, echo.address, "key", {}, handlers);
    REQUIRE(runUntil(context, [&] { return replies.size() == 1; }));
    CHECK(replies[0] == "echo hello 1");
    echo.lastConnection->close();
    REQUIRE(runUntil(context, [&] { return replies.size() == 2; }));
    CHECK(echo.received == std::vector<std::string>{"hello 1", "hello 2"});
}

TEST_CASE("a framed server rejects a peer with a different key")
{
    boost::asio::io_context context;
    EchoServer echo(context);
    FramedHandlers handlers;
    bool opened = false;
    handlers.opened = [&](const auto &) {
        opened = true;
    };
    handlers.received = [](const auto &, const std::string &) {
    };
    const auto client = FramedClient::start(context, echo.address, "other", {}, handlers);
    REQUIRE(runUntil(context, [&] { return echo.unauthenticatedClosed > 0; }));
    CHECK_FALSE(opened);
    CHECK(echo.received.empty());
}

TEST_CASE("a framed server rejects the replay of a recorded connection")
{
    boost::asio::io_context context;
    EchoServer echo(context);
    // A relay between client and server records the bytes that the client sends on one connection, handshake included.
    tcp::acceptor relay(context, tcp::endpoint(boost::asio::ip::make_address("127.44.0.1"), 0));
    FramedHandlers handlers;
    handlers.opened = [](const auto &connection) {
        connection->send("credit 10");
    };
    handlers.received = [](const auto &, const std::string &) {
    };
    const auto relayAddress = "127.44.0.1:" + std::to_string(relay.local_endpoint().port());
    const auto client = FramedClient::start(context, relayAddress, "key", {}, handlers);
    tcp::socket clientSide(context);
    bool accepted = false;
    relay.async_accept(clientSide, [&](const auto &error) { accepted = !error; });
    REQUIRE(runUntil(context, [&] { return accepted; }));
    const auto port = echo.server->port();
    const tcp::endpoint target(boost::asio::ip::make_address("127.44.0.1"), port);
    tcp::socket serverSide(context);
    serverSide.connect(target);
    std::string recorded;
    std::array<char, 4096> upBuffer{};
    std::array<char, 4096> downBuffer{};
    std::function<void()> pumpUp = [&] {
        clientSide.async_read_some(boost::asio::buffer(upBuffer), [&](const auto &error, std::size_t size) {
            if (!error) {
                recorded.append(upBuffer.data(), size);
                boost::asio::write(serverSide, boost::asio::buffer(upBuffer.data(), size));
                pumpUp();
            }
        });
    };
    std::function<void()> pumpDown = [&] {
        serverSide.async_read_some(boost::asio::buffer(downBuffer), [&](const auto &error, std::size_t size) {
            if (!error) {
                boost::asio::write(clientSide, boost::asio::buffer(downBuffer.data(), size));
                pumpDown();
            }
        });
    };
    pumpUp();
    pumpDown();
    REQUIRE(runUntil(context, [&] { return echo.received.size() == 1; }));
    tcp::socket replay(context);
    replay.connect(target);
    boost::asio::write(replay, boost::asio::buffer(recorded));
    REQUIRE(runUntil(context, [&] { return echo.unauthenticatedClosed == 1; }));
    CHECK(echo.received == std::vector<std::string>{"credit 10"});
    client->stop();
    clientSide.close();
    serverSide.close();
    context.run_for(std::chrono::milliseconds(50));
}

TEST_CASE("framed links reject malformed addresses and oversized messages")
{
    boost::asio::io_context context;
    CHECK_FALSE(FramedServer::listen(context, "localhost", "key", {}, {}));
    CHECK_FALSE(lastReason().empty());
    FrameLimits small;
    small.messageBytes = 10;
    EchoServer echo(context, small);
    bool closed = false;
    FramedHandlers handlers;
    handlers.opened = [](const auto &connection) {
        connection->send("more than ten bytes");
    };
    handlers.received = [](const auto &, const std::string &) {
    };
    handlers.closed = [&](const auto &) {
        closed = true;
    };
    const auto client = FramedClient::start(context, echo.address, "key", {}, handlers);
    REQUIRE(runUntil(context, [&] { return closed; }));
    CHECK(echo.received.empty());
}
