#include "httpfixture.h"

#include "pomeloport/transport/httpclient.h"

#include <catch2/catch.hpp>

#include <future>

using namespace pomeloport;
namespace asio = boost::asio;
using detail::ServerFixture;

namespace
{

void answerPath(const std::shared_ptr<HttpExchange> &exchange)
{
    const auto &request = exchange->request();
    exchange->reply(200, "text/plain", request.method + " " + request.path + " " + request.body);
}

/// Sends one call and waits for its callback.
std::pair<std::optional<HttpReply>, bool> call(HttpClient &client, HttpCall wanted)
{
    std::promise<std::pair<std::optional<HttpReply>, bool>> result;
    client.send(std::move(wanted), [&result](std::optional<HttpReply> reply, bool sent) {
        result.set_value({std::move(reply), sent});
    });
    return result.get_future().get();
}

} // namespace

TEST_CASE("http server refuses bad requests with a clear error and goes on")
{
    HttpLimits limits;
    limits.headerBytes = 1024;
    limits.bodyBytes = 64;
    limits.headerTimeout = std::chrono::milliseconds(50);
    ServerFixture fixture(answerPath, limits);
    const std::string longHeader(4096, 'x');

    const auto malformed = fixture.talk("nonsense\r\n\r\n");
    REQUIRE_THAT(malformed, Catch::StartsWith("HTTP/1.1 400"));
    REQUIRE_THAT(malformed, Catch::Contains(R"("verdict":"not_run")"));
    REQUIRE_THAT(fixture.talk("GET / HTTP/1.1\r\nA: " + longHeader + "\r\n\r\n"), Catch::StartsWith("HTTP/1.1 431"));
    REQUIRE_THAT(fixture.talk("POST / HTTP/1.1\r\nContent-Length: 65\r\n\r\n" + std::string(65, 'b')),
                 Catch::StartsWith("HTTP/1.1 413"));
    REQUIRE_THAT(fixture.talk("GET / HTTP/1.1\r\nSlow: "), Catch::StartsWith("HTTP/1.1 408"));
    REQUIRE_THAT(fixture.talk("GET /x?a=1 HTTP/1.1\r\nConnection: close\r\n\r\n"), Catch::EndsWith("GET /x "));
}

TEST_CASE("http client keeps connections and replaces a closed one before sending")
{
    ServerFixture fixture(answerPath);
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

TEST_CASE("http client tells an unsent call from one that may have been sent")
{
    ServerFixture fixture([](const std::shared_ptr<HttpExchange> &exchange) { exchange->abort(); });
    HttpClient client(fixture.context);
    const auto [lost, sent] = call(client, {fixture.server->address(), "POST", "/", "x", {}});
    REQUIRE_FALSE(lost);
    REQUIRE(sent);
    const auto [refused, refusedSent] = call(client, {"127.42.0.9:1", "POST", "/", "x", {}});
    REQUIRE_FALSE(refused);
    REQUIRE_FALSE(refusedSent);
    REQUIRE_FALSE(call(client, {"not an address", "POST", "/", "x", {}}).second);
}

TEST_CASE("http server streams pieces in order and keeps the connection")
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

TEST_CASE("http server reports a peer that goes away during a stream")
{
    std::promise<void> gone;
    std::shared_ptr<HttpExchange> kept;
    ServerFixture fixture([&](const std::shared_ptr<HttpExchange> &exchange) {
        kept = exchange;
        exchange->onClosed([&gone] { gone.set_value(); });
        exchange->beginStream(200, "text/event-stream");
    });
    {
        auto socket = fixture.connect();
        asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
        char byte = 0;
        asio::read(socket, asio::buffer(&byte, 1));
    }
    gone.get_future().wait();
    std::promise<bool> written;
    kept->write("late", [&written](bool ok) { written.set_value(ok); });
    REQUIRE_FALSE(written.get_future().get());
    kept = nullptr;
}

TEST_CASE("http exchange dropped without an answer closes its connection")
{
    ServerFixture fixture([](const std::shared_ptr<HttpExchange> &) {});
    REQUIRE(fixture.talk("GET / HTTP/1.1\r\n\r\n").empty());
}

TEST_CASE("http server gives up on a peer that does not take the rest of its reply")
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

TEST_CASE("requests whose end or host is ambiguous are refused", "[http]")
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
        const auto answer = fixture.talk("POST /x HTTP/1.1\r\nHost: a\r\n" + fields + "\r\n1\r\nx\r\n0\r\n\r\n");
        CHECK(answer.starts_with("HTTP/1.1 400"));
    }
    CHECK_FALSE(served);
}

TEST_CASE("an answer's head is sent as it is, with the framing of its body", "[http]")
{
    detail::ServerFixture fixture([](const std::shared_ptr<HttpExchange> &exchange) {
        exchange->reply({418, "Teapot", {{"Seal", "s"}, {"Seal", "t"}}}, "body");
    });
    CHECK(fixture.talk("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
          == "HTTP/1.1 418 Teapot\r\nSeal: s\r\nSeal: t\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody");
}
