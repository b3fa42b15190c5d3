#include "httpfixture.h"

#include "pomeloport/transport/httpclient.h"

#include <catch2/catch.hpp>

#include <future>

using namespace pomeloport;
namespace asio = boost::asio;
using detail::ServerFixture;

namespace
{

void echoRequest(const std::shared_ptr<HttpExchange> &exchange)
{
    const auto &request = exchange->request();
    exchange->reply(200, "text/plain", request.method + " " + request.path + " " + request.body);
}

/// Sends one call and waits for its callback.
std::pair<std::optional<HttpReply>, bool> call(HttpClient &client, HttpCall httpCall)
{
    std::promise<std::pair<std::optional<HttpReply>, bool>> result;
    client.send(std::move(httpCall), [&result](std::optional<HttpReply> reply, bool sent) {
        result.set_value({std::move(reply), sent});
    });
    return result.get_future().get();
}

} // namespace

TEST_CASE("an HTTP server rejects malformed, oversized and slow requests with an error and keeps serving")
{
    HttpLimits limits;
    limits.headerBytes = 1024;
    limits.bodyBytes = 64;
    limits.headerTimeout = std::chrono::milliseconds(50);
    ServerFixture fixture(echoRequest, limits);
    const std::string longHeader(4096, 'x');

    const auto malformed = fixture.sendRaw("nonsense\r\n\r\n");
    REQUIRE_THAT(malformed, Catch::StartsWith("HTTP/1.1 400"));
    REQUIRE_THAT(malformed, Catch::Contains(R"("verdict":"not_run")"));
    REQUIRE_THAT(fixture.sendRaw("GET / HTTP/1.1\r\nA: " + longHeader + "\r\n\r\n"), Catch::StartsWith("HTTP/1.1 431"));
    REQUIRE_THAT(fixture.sendRaw("POST / HTTP/1.1\r\nContent-Length: 65\r\n\r\n" + std::string(65, 'b')),
                 Catch::StartsWith("HTTP/1.1 413"));
    REQUIRE_THAT(fixture.sendRaw("GET / HTTP/1.1\r\nSlow: "), Catch::StartsWith("HTTP/1.1 408"));
    REQUIRE_THAT(fixture.sendRaw("GET /x?a=1 HTTP/1.1\r\nConnection: close\r\n\r\n"), Catch::EndsWith("GET /x "));
}

TEST_CASE("an HTTP client reuses connections and replaces one that the server closed")
{
    ServerFixture fixture(echoRequest);
    HttpClient client(fixture.context);
    for (int i = 0; i < 3; ++i) {
        const auto [reply, sent] = call(client, {fixture.server->address(), "PUT", "/p", "body", {}});
        REQUIRE(sent);
        REQUIRE(reply);
        REQUIRE(reply->body == "PUT /p body");
        REQUIRE(fixture.server->connections() == 1);
    }
    fixture.server->closeAfterReply();
    REQUIRE(call(client, {fixture.server->address(), "GET", "/p", "", {}}).first);
    REQUIRE(call(client, {fixture.server->address(), "GET", "/p", "", {}}).first);
}

TEST_CASE("an HTTP client reports whether a failed call may have been sent")
{
    ServerFixture fixture([](const std::shared_ptr<HttpExchange> &exchange) { exchange->abort(); });
    HttpClient client(fixture.context);
    const auto [abortedReply, sent] = call(client, {fixture.server->address(), "POST", "/", "x", {}});
    REQUIRE_FALSE(abortedReply);
    REQUIRE(sent);
    const auto [refused, refusedSent] = call(client, {"127.42.0.9:1", "POST", "/", "x", {}});
    REQUIRE_FALSE(refused);
    REQUIRE_FALSE(refusedSent);
    REQUIRE_FALSE(call(client, {"not an address", "POST", "/", "x", {}}).second);
}

TEST_CASE("an HTTP server streams pieces in order and keeps the connection open")
{
    ServerFixture fixture([](const std::shared_ptr<HttpExchange> &exchange) {
        exchange->beginStream(200, "text/event-stream");
        for (int i = 0; i < 3; ++i) {
            exchange->write("piece" + std::to_string(i), [](bool) {});
        }
        exchange->endStream();
    });
    HttpClient client(fixture.context);
    for (int i = 0; i < 2; ++i) {
        REQUIRE(call(client, {fixture.server->address(), "GET", "/", "", {}}).first->body == "piece0piece1piece2");
        REQUIRE(fixture.server->connections() == 1);
    }
}

TEST_CASE("an HTTP server reports a peer that disconnects during a stream")
{
    std::promise<void> disconnected;
    std::shared_ptr<HttpExchange> openExchange;
    ServerFixture fixture([&](const std::shared_ptr<HttpExchange> &exchange) {
        openExchange = exchange;
        exchange->onClosed([&disconnected] { disconnected.set_value(); });
        exchange->beginStream(200, "text/event-stream");
    });
    {
        auto socket = fixture.connect();
        asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
        char byte = 0;
        asio::read(socket, asio::buffer(&byte, 1));
    }
    disconnected.get_future().wait();
    std::promise<bool> written;
    openExchange->write("late", [&written](bool ok) { written.set_value(ok); });
    REQUIRE_FALSE(written.get_future().get());
    openExchange = nullptr;
}

TEST_CASE("destroying an unanswered HTTP exchange closes its connection")
{
    ServerFixture fixture([](const std::shared_ptr<HttpExchange> &) {});
    REQUIRE(fixture.sendRaw("GET / HTTP/1.1\r\n\r\n").empty());
}

TEST_CASE("an HTTP server closes the connection if the peer does not read the rest of its reply in time")
{
    constexpr std::size_t ReplyBytes = 64UL * 1024 * 1024;
    HttpLimits limits;
    limits.idleTimeout = std::chrono::milliseconds(50);
    ServerFixture fixture(
        [](const std::shared_ptr<HttpExchange> &exchange) {
            exchange->reply(200, "text/plain", std::string(ReplyBytes, 'x'));
        },
        limits);
    auto socket = fixture.connect();
    asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
    char byte = 0;
    asio::read(socket, asio::buffer(&byte, 1));
    REQUIRE(fixture.server->busyConnections() == 1);
    while (fixture.server->busyConnections() > 0) {
        std::this_thread::yield();
    }
    std::string rest;
    boost::system::error_code error;
    asio::read(socket, asio::dynamic_buffer(rest), error);
    REQUIRE(rest.size() < ReplyBytes);
}

TEST_CASE("requests with ambiguous body length or host are rejected", "[http]")
{
    bool served = false;
    detail::ServerFixture fixture([&served](const std::shared_ptr<HttpExchange> &exchange) {
        served = true;
        exchange->reply(200, "text/plain", "ok");
    });
    for (const std::string fields : {"Content-Length: 1\r\nContent-Length: 1\r\n",
                                     "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n",
                                     "Transfer-Encoding: chunked\r\nContent-Length: 1\r\n",
                                     "Transfer-Encoding: gzip, chunked\r\n",
                                     "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
                                     "Host: b\r\n"}) {
        const auto answer = fixture.sendRaw("POST /x HTTP/1.1\r\nHost: a\r\n" + fields + "\r\n1\r\nx\r\n0\r\n\r\n");
        CHECK(answer.starts_with("HTTP/1.1 400"));
    }
    CHECK_FALSE(served);
}

TEST_CASE("a reply is sent with exactly the given head plus the framing of its body", "[http]")
{
    detail::ServerFixture fixture([](const std::shared_ptr<HttpExchange> &exchange) {
        exchange->reply({418, "Teapot", {{"Seal", "s"}, {"Seal", "t"}}}, "body");
    });
    CHECK(fixture.sendRaw("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
          == "HTTP/1.1 418 Teapot\r\nSeal: s\r\nSeal: t\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody");
}

// Guards against resetting connections of callers that connected just before a server stops accepting.
TEST_CASE("an HTTP server answers on connections that wait to be accepted when it stops accepting")
{
    asio::io_context context;
    const auto server = HttpServer::listen(
        context, detail::TestAddress, {}, [](const auto &exchange) { exchange->reply(200, "text/plain", "answered"); });
    REQUIRE(server);
    const auto address = server->address();
    const auto port = static_cast<std::uint16_t>(std::stoi(address.substr(address.rfind(':') + 1)));
    asio::io_context clientContext;
    std::vector<asio::ip::tcp::socket> callers;
    for (int i = 0; i < 3; ++i) {
        callers.emplace_back(clientContext).connect({asio::ip::make_address("127.42.0.1"), port});
        asio::write(callers.back(), asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
    }
    server->stopAccepting();
    std::thread runner([&context] { context.run(); });
    for (auto &caller : callers) {
        std::string answer;
        boost::system::error_code error;
        asio::read(caller, asio::dynamic_buffer(answer), error);
        CHECK_THAT(answer, Catch::Contains("answered") && Catch::Contains("Connection: close"));
        caller.close();
    }
    runner.join();
}
