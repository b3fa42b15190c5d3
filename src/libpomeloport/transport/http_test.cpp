#include "httpfixture.h"
#include "rawserver.h"

#include "pomeloport/transport/httpclient.h"

#include <catch2/catch.hpp>

#include <future>
#include <mutex>
#include <thread>
#include <vector>

using namespace pomeloport;
namespace asio = boost::asio;
using namespace std::chrono_literals;
using detail::RawServer;
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

/// A client with a thread.
struct ClientFixture
{
    ~ClientFixture()
    {
        guard.reset();
        thread.join();
    }

    /// Returns the status and the body of the reply to one call, or "failed".
    std::string outcome(HttpCall httpCall)
    {
        const auto [reply, sent] = call(client, std::move(httpCall));
        CHECK(sent);
        return reply ? std::to_string(reply->status) + " " + reply->body : "failed";
    }

    std::string outcome(const RawServer &server)
    {
        return outcome({server.address(), "GET", "/x", "", {}});
    }

    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> guard{context.get_executor()};
    std::thread thread{[this] {
        context.run();
    }};
    HttpClient client{context};
};

/// Sends a text in reply to the request and keeps the connection open.
RawServer::Script sends(const std::string &text)
{
    return [text](RawServer::Connection &connection) {
        connection.write(text);
        connection.readToEnd();
    };
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

// Guards against a process that is killed with all its requests because it keeps the bodies of those that wait.
TEST_CASE("request bodies share a budget, and one that finds no place is refused unread")
{
    std::mutex mutex;
    std::vector<std::shared_ptr<HttpExchange>> held;
    ServerFixture fixture([&](const std::shared_ptr<HttpExchange> &exchange) {
        if (exchange->request().path == "/held") {
            const std::lock_guard lock(mutex);
            held.push_back(exchange);
            return;
        }
        exchange->reply(200, "text/plain", std::to_string(exchange->request().body.size()));
    });
    const auto budget = std::make_shared<MemoryBudget>(200'000);
    fixture.server->limitMemory(budget, [](const std::shared_ptr<HttpExchange> &exchange) {
        exchange->reply(HttpResponseHead{503, "", {{"Retry-After", "1"}}}, exchange->request().path);
    });
    const auto sized = [](const std::string &path, std::size_t bytes) {
        return "POST " + path + " HTTP/1.1\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n"
            + std::string(bytes, 'b');
    };
    const auto chunked = [](std::size_t bytes) {
        std::string text = "POST /chunked HTTP/1.1\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n";
        for (std::size_t sent = 0; sent < bytes; sent += 1000) {
            text += "3e8\r\n" + std::string(1000, 'b') + "\r\n";
        }
        return text + "0\r\n\r\n";
    };
    auto waiting = fixture.connect();
    boost::asio::write(waiting, boost::asio::buffer(sized("/held", 150'000)));
    while (budget->used() < 150'000) {
        std::this_thread::yield();
    }
    const auto refused = fixture.sendRaw(sized("/large", 100'000));
    REQUIRE_THAT(refused, Catch::StartsWith("HTTP/1.1 503"));
    REQUIRE_THAT(refused, Catch::Contains("Retry-After: 1"));
    REQUIRE_THAT(refused, Catch::EndsWith("/large"));
    REQUIRE_THAT(fixture.sendRaw(chunked(150'000)), Catch::StartsWith("HTTP/1.1 503"));
    REQUIRE_THAT(fixture.sendRaw(chunked(30'000)), Catch::EndsWith("30000"));
    REQUIRE_THAT(fixture.sendRaw("POST /small HTTP/1.1\r\nConnection: close\r\nContent-Length: 3\r\n\r\nabc"),
                 Catch::EndsWith("3"));
    REQUIRE(budget->peak() <= 200'000);

    // A place that becomes free in time is used.
    std::thread releasing([&] {
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        const std::lock_guard lock(mutex);
        held.front()->reply(200, "text/plain", "done");
        held.clear();
    });
    auto large = sized("/large", 100'000);
    large.insert(large.find("Content-Length"), "Connection: close\r\n");
    REQUIRE_THAT(fixture.sendRaw(large), Catch::EndsWith("100000"));
    releasing.join();
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

// Guards against calls that find out whether a server answers on connections that may all have gone silent.
TEST_CASE("an HTTP client uses a new connection for a call that needs one", "[http]")
{
    ServerFixture fixture(echoRequest);
    HttpClient client(fixture.context);
    HttpCall request{fixture.server->address(), "GET", "/p", "", {}};
    REQUIRE(call(client, request).first);
    REQUIRE(fixture.server->connections() == 1);
    request.newConnection = true;
    REQUIRE(call(client, request).first);
    REQUIRE(fixture.server->connections() == 2);
    request.newConnection = false;
    REQUIRE(call(client, request).first);
    REQUIRE(fixture.server->connections() == 2);
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

namespace
{

/// A server with limits on unread bytes, and what it reports.
struct UnreadFixture
{
    explicit UnreadFixture(HttpHandler handler,
                           std::size_t budgetBytes,
                           UnreadLimits unread = {100'000, std::chrono::milliseconds(300)})
        : budget(std::make_shared<MemoryBudget>(budgetBytes))
        , fixture(std::move(handler), limits())
    {
        fixture.server->limitUnread(budget, unread, [this](const SlowReader &reader) { reported.set_value(reader); });
    }

    static HttpLimits limits()
    {
        HttpLimits result;
        result.idleTimeout = std::chrono::seconds(5);
        return result;
    }

    asio::ip::tcp::socket request(int receiveBufferBytes = 0)
    {
        auto socket = fixture.connect();
        if (receiveBufferBytes > 0) {
            socket.set_option(asio::socket_base::receive_buffer_size(receiveBufferBytes));
        }
        asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\r\nConnection: close\r\n\r\n")));
        return socket;
    }

    /// Waits until the connections are closed and all memory is given back.
    bool settles() const
    {
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
        while (fixture.server->connections() > 0 || budget->used() > 0) {
            if (std::chrono::steady_clock::now() > end) {
                return false;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
        return true;
    }

    std::shared_ptr<MemoryBudget> budget;
    std::promise<SlowReader> reported;
    ServerFixture fixture;
};

constexpr std::size_t LargeReplyBytes = 32UL * 1024 * 1024;

} // namespace

// Guards against a peer that reads nothing holding the memory of a large reply.
TEST_CASE("a peer that leaves a reply unread is disconnected and its memory given back", "[http]")
{
    std::shared_ptr<MemoryBudget> budget;
    UnreadFixture fixture(
        [&budget](const std::shared_ptr<HttpExchange> &exchange) {
            MemoryShare share(budget);
            CHECK(share.resize(LargeReplyBytes));
            exchange->setName("large");
            exchange->reply({200, "", {}}, std::string(LargeReplyBytes, 'x'), std::move(share));
        },
        LargeReplyBytes);
    budget = fixture.budget;
    const auto socket = fixture.request();
    const auto reader = fixture.reported.get_future().get();
    CHECK(reader.cause == SlowReaderCause::Limit);
    CHECK(reader.exchange == "large");
    CHECK(reader.unreadBytes > 100'000);
    CHECK(fixture.settles());
    CHECK(budget->peak() == LargeReplyBytes);
}

// Guards against a time limit on the whole reply, which would cut the replies of peers that read slowly.
TEST_CASE("a peer that reads slowly but steadily gets its whole reply", "[http]")
{
    constexpr std::size_t ReplyBytes = 8UL * 1024 * 1024;
    UnreadFixture fixture(
        [](const std::shared_ptr<HttpExchange> &exchange) {
            exchange->reply({200, "", {}}, std::string(ReplyBytes, 'x'));
        },
        ReplyBytes);
    auto socket = fixture.request();
    std::vector<char> piece(64 * 1024);
    boost::system::error_code error;
    std::size_t received = 0;
    const auto begin = std::chrono::steady_clock::now();
    while (!error) {
        received += asio::read(socket, asio::buffer(piece), error);
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    CHECK(received > ReplyBytes);
    // Several times the limit, so that it would have been disconnected.
    CHECK(std::chrono::steady_clock::now() - begin > std::chrono::seconds(1));
    CHECK(fixture.settles());
}

// Guards against steady readers on a busy machine being reset: the system's time without progress runs on from the
// first moment without room at the peer unless much room is there at once, so it ended peers that read 100 KB each
// second after 2.8 s.
TEST_CASE("a peer whose reading halts for moments gets its whole reply, and one that reads nothing is disconnected",
          "[http]")
{
    constexpr std::size_t ReplyBytes = 2UL * 1024 * 1024;
    constexpr int ReceiveBufferBytes = 32 * 1024;
    constexpr auto TimeWithoutProgress = std::chrono::milliseconds(2500);
    const bool isReading = GENERATE(true, false);
    UnreadFixture fixture(
        [](const std::shared_ptr<HttpExchange> &exchange) {
            exchange->reply({200, "", {}}, std::string(ReplyBytes, 'x'));
        },
        ReplyBytes,
        {ReplyBytes, std::chrono::seconds(1)});
    auto socket = fixture.request(ReceiveBufferBytes);
    const auto begin = std::chrono::steady_clock::now();
    boost::system::error_code error;
    std::vector<char> piece(ReplyBytes);
    std::size_t received = 0;
    for (int halt = 0; halt < 4 && isReading; ++halt) {
        received += socket.read_some(asio::buffer(piece), error);
        std::this_thread::sleep_for(std::chrono::seconds(1));
    }
    if (isReading) {
        received += asio::read(socket, asio::buffer(piece), error);
        CHECK(received > ReplyBytes);
    } else {
        CHECK(fixture.reported.get_future().get().cause == SlowReaderCause::Connection);
        CHECK(std::chrono::steady_clock::now() - begin >= TimeWithoutProgress);
    }
    CHECK(fixture.settles());
}

// Guards against streams whose peers do not read growing beyond the memory for them.
TEST_CASE("a stream that finds no memory is closed, and its pieces are reported as not written", "[http]")
{
    constexpr std::size_t BudgetBytes = 8UL * 1024 * 1024;
    std::promise<void> closed;
    std::atomic<std::size_t> pieces{0};
    std::atomic<std::size_t> failedPieces{0};
    std::shared_ptr<HttpExchange> openExchange;
    UnreadFixture fixture(
        [&](const std::shared_ptr<HttpExchange> &exchange) {
            openExchange = exchange;
            bool isClosed = false;
            exchange->onClosed([&closed, &isClosed] {
                isClosed = true;
                closed.set_value();
            });
            exchange->beginStream({200, "", {}});
            while (!isClosed) {
                ++pieces;
                exchange->write(std::string(64 * 1024, 'x'), [&](bool ok) { failedPieces += ok ? 0 : 1; });
            }
        },
        BudgetBytes);
    const auto socket = fixture.request();
    closed.get_future().wait();
    CHECK(fixture.reported.get_future().get().cause == SlowReaderCause::Memory);
    openExchange = nullptr;
    CHECK(fixture.settles());
    CHECK(fixture.budget->peak() <= BudgetBytes);
    CHECK(failedPieces > 0);
    CHECK(failedPieces < pieces + 1);
}

// An informational response was taken for the reply.
TEST_CASE("an HTTP client skips informational replies", "[http]")
{
    ClientFixture fixture;
    const std::string first = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";
    const std::string second = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond";
    RawServer server([&](RawServer::Connection &connection) {
        connection.write("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 X\r\nLink: a\r\n\r\n");
        std::this_thread::sleep_for(20ms);
        connection.write(first);
        connection.readHead();
        connection.write(second);
        connection.readToEnd();
    });
    CHECK(fixture.outcome(server) == "200 first");
    CHECK(fixture.outcome(server) == "200 second");
    CHECK(server.connections() == 1);
}

TEST_CASE("an HTTP client takes no malformed reply and does not use its connection again", "[http]")
{
    ClientFixture fixture;
    const std::string rest = "Content-Length: 0\r\n\r\n";
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const auto &text : std::vector<std::string>{"HTTP/1.1 000 X\r\n" + rest,
                                                     "HTTP/1.1 099 X\r\n" + rest,
                                                     "HTTP/1.1 101 X\r\n" + rest,
                                                     "HTTP/1.1 600 X\r\n" + rest,
                                                     "HTTP/1.1 2000 X\r\n" + rest,
                                                     "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n",
                                                     "HTTP/1.1 200 OK\r\nContent-Length : 0\r\n\r\n",
                                                     "HTTP/1.1 200 OK\r\nContent Length: 0\r\n\r\n",
                                                     "HTTP/1.1 200 OK\r\nFie\x01ld: 0\r\n" + rest,
                                                     "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n" + rest,
                                                     chunked + "x\r\n",
                                                     "garbage\r\n\r\n"}) {
        CAPTURE(text);
        RawServer server(sends(text));
        CHECK(fixture.outcome(server) == "failed");
        CHECK(fixture.outcome(server) == "failed");
        CHECK(server.connections() == 2);
    }
    // A folded line continues the value before it (RFC 9112, 5.2).
    RawServer folding(sends("HTTP/1.1 200 OK\r\nField: a\r\n b\r\nContent-Length: 1\r\n\r\nx"));
    CHECK(fixture.outcome(folding) == "200 x");
}

TEST_CASE("an HTTP client takes no reply that is cut", "[http]")
{
    const bool reset = GENERATE(false, true);
    ClientFixture fixture;
    for (const auto &text : {std::string("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"),
                             std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"),
                             std::string("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 X\r\n\r\n")}) {
        for (std::size_t length = 0; length < text.size(); ++length) {
            CAPTURE(text.substr(0, length), reset);
            RawServer server([&](RawServer::Connection &connection) {
                connection.write(text.substr(0, length));
                if (reset) {
                    connection.reset();
                }
            });
            CHECK(fixture.outcome(server) == "failed");
        }
    }
    // A reply without length or chunks ends with its connection, unless that is reset.
    RawServer server([&](RawServer::Connection &connection) {
        connection.write("HTTP/1.1 200 OK\r\n\r\nbody");
        if (reset) {
            std::this_thread::sleep_for(10ms);
            connection.reset();
        }
    });
    CHECK(fixture.outcome(server) == (reset ? "failed" : "200 body"));
}

// The first write that fails tells that the connection was reset, and the read that follows that it was closed.
TEST_CASE("an HTTP client takes no reply that is reset while the request is written", "[http]")
{
    constexpr std::size_t BodyBytes = 8 << 20;
    constexpr int Repetitions = 20;
    const auto text = GENERATE(as<std::string>{},
                               "HTTP/1.1 200 OK\r\n\r\npart",
                               "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart",
                               "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart",
                               "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n");
    ClientFixture fixture;
    for (int i = 0; i < Repetitions; ++i) {
        RawServer server(
            [&text](RawServer::Connection &connection) {
                connection.write(text);
                connection.reset();
            },
            4096);
        CHECK(fixture.outcome({server.address(), "PUT", "/x", std::string(BodyBytes, 'x'), {}}) == "failed");
    }
}

// A reply of any server could take 64 MiB.
TEST_CASE("an HTTP client breaks a reply without end off after a bounded number of bytes", "[http]")
{
    constexpr std::size_t Bound = 8 << 20;
    const std::string block(64 << 10, 'x');
    const auto [beginning, filler] = GENERATE_COPY(table<std::string, std::string>({
        {"", block},
        {"HTTP/1.1 200 OK\r\nField: ", block},
        {"HTTP/1.1 200 OK\r\n", "Field: x\r\n"},
        {"HTTP/1.1 200 OK\r\n\r\n", block},
        {"HTTP/1.1 200 OK\r\nContent-Length: 67108864\r\n\r\n", block},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "10000\r\n" + block + "\r\n"},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;", block},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "Field: x\r\n"},
        {"", "HTTP/1.1 100 Continue\r\n\r\n"},
    }));
    CAPTURE(beginning);
    std::size_t sentBytes = 0;
    ClientFixture fixture;
    {
        RawServer server([&](RawServer::Connection &connection) {
            connection.write(beginning);
            sentBytes = connection.flood(filler);
        });
        CHECK(fixture.outcome(server) == "failed");
    }
    CHECK(sentBytes < Bound);
}

TEST_CASE("replies to an HTTP client share a budget", "[http]")
{
    constexpr std::size_t Limit = 300'000;
    constexpr std::size_t Calls = 20;
    const auto memory = std::make_shared<MemoryBudget>(Limit);
    ClientFixture fixture;
    RawServer endless([](RawServer::Connection &connection) {
        connection.write("HTTP/1.1 200 OK\r\n\r\n");
        while (connection.write(std::string(1000, 'x'))) {
            std::this_thread::sleep_for(1ms);
        }
    });
    std::atomic<std::size_t> failed{0};
    for (std::size_t i = 0; i < Calls; ++i) {
        HttpCall endlessCall{endless.address(), "GET", "/x", "", {}};
        endlessCall.replyMemory = memory;
        fixture.client.send(std::move(endlessCall), [&failed](const auto &reply, bool) { failed += reply ? 0 : 1; });
    }
    // Short replies are not counted.
    RawServer server(
        sends("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 10000\r\n\r\n" + std::string(10'000, 'x')));
    while (failed < Calls) {
        HttpCall shortCall{server.address(), "GET", "/x", "", {}};
        shortCall.replyMemory = memory;
        CHECK(fixture.outcome(std::move(shortCall)).size() > 10'000);
        std::this_thread::sleep_for(10ms);
    }
    CHECK(memory->peak() <= Limit);
    CHECK(memory->peak() > Limit / 2);
    CHECK(memory->used() == 0);
}

TEST_CASE("an HTTP server dispatches no request that is cut", "[http]")
{
    const bool reset = GENERATE(false, true);
    std::atomic<int> dispatched{0};
    ServerFixture fixture([&dispatched](const std::shared_ptr<HttpExchange> &exchange) {
        ++dispatched;
        exchange->reply(200, "text/plain", "");
    });
    for (const auto &text : std::vector<std::string>{
             std::string("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody"),
             std::string("POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n")}) {
        for (std::size_t length = 0; length < text.size(); ++length) {
            auto socket = fixture.connect();
            boost::asio::write(socket, boost::asio::buffer(text.substr(0, length)));
            if (reset) {
                socket.set_option(boost::asio::socket_base::linger(true, 0));
            }
        }
        while (fixture.server->connections() > 0) {
            std::this_thread::sleep_for(1ms);
        }
        CHECK_THAT(fixture.sendRaw("GET / HTTP/1.1\r\nConnection: close\r\n\r\n"), Catch::StartsWith("HTTP/1.1 200"));
    }
    CHECK(dispatched == 2);
}

// The bytes that the parser had not consumed could take as much as a whole body, which the budget did not count.
TEST_CASE("an HTTP server keeps few bytes of a request without end", "[http]")
{
    constexpr std::size_t Bound = 512 << 10;
    ServerFixture fixture(echoRequest);
    const std::string block(16 << 10, 'x');
    const auto [beginning, filler] = GENERATE_COPY(table<std::string, std::string>({
        {"", block},
        {"GET / HTTP/1.1\r\nField: ", block},
        {"GET / HTTP/1.1\r\n", "Field: " + block + "\r\n"},
        {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;", block},
        {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "Field: " + block + "\r\n"},
    }));
    CAPTURE(beginning);
    auto socket = fixture.connect();
    boost::system::error_code error;
    std::size_t sentBytes = boost::asio::write(socket, boost::asio::buffer(beginning), error);
    while (!error && socket.available() == 0 && sentBytes < 4 * Bound) {
        sentBytes += boost::asio::write(socket, boost::asio::buffer(filler), error);
        std::this_thread::sleep_for(2ms);
    }
    REQUIRE(sentBytes < Bound);
    std::string answer;
    boost::asio::read_until(socket, boost::asio::dynamic_buffer(answer), "\r\n\r\n", error);
    CHECK_THAT(answer, Catch::StartsWith("HTTP/1.1 4"));
}
