#include "httpfixture.h"
#include "rawserver.h"

#include "../protocol/chunklines.h"

#include "pomeloport/transport/enginestream.h"

#include <boost/asio/strand.hpp>
#include <catch2/catch.hpp>

#include <future>

using namespace pomeloport;
namespace asio = boost::asio;
using namespace std::chrono_literals;
using detail::RawServer;
using detail::ServerFixture;

namespace
{

/// Runs calls and records their events, with the texts of chunks, until the final event.
struct Recorder
{
    explicit Recorder(ServerFixture &fixture)
        : client(fixture.context)
        , strand(asio::make_strand(fixture.context))
    {
    }

    std::string run(StreamCall call)
    {
        events.clear();
        std::promise<void> done;
        auto stream = std::make_unique<EngineStream>(
            client.pool(), strand, std::move(call), [this, &done](EngineStreamEvent event) {
                if (record(event)) {
                    done.set_value();
                }
            });
        done.get_future().wait();
        std::promise<void> closed;
        asio::post(strand, [&stream, &closed] {
            stream = nullptr;
            closed.set_value();
        });
        closed.get_future().wait();
        return events;
    }

    bool record(const EngineStreamEvent &event)
    {
        if (const auto *chunk = std::get_if<streamevent::Chunk>(&event)) {
            events += std::to_string(chunk->chunk.index) + "=" + chunk->chunk.text + " ";
            return false;
        }
        if (std::holds_alternative<streamevent::Drained>(event)) {
            return false;
        }
        if (std::holds_alternative<streamevent::Sending>(event)) {
            events += "sending ";
            return false;
        }
        if (const auto *refused = std::get_if<streamevent::Refused>(&event)) {
            events += "refused:" + std::string(nameOf(refused->code)) + (refused->unreachable ? ":unreachable" : "");
            return true;
        }
        const auto *end = std::get_if<streamevent::End>(&event);
        events += end ? "end:" + std::to_string(end->end.count) : "broken";
        return true;
    }

    HttpClient client;
    asio::strand<asio::io_context::executor_type> strand;
    std::string events;
};

/// Selects the response by the body of the request.
void respondByBody(const std::shared_ptr<HttpExchange> &exchange)
{
    const auto ignore = [](bool) {
    };
    const auto wanted = exchange->request().body;
    if (wanted == "full") {
        exchange->reply(429, "application/json", encode(Refusal{RefusalCode::Full}));
    } else if (wanted == "odd") {
        exchange->reply(503, "text/plain", "somewhere else");
    } else if (wanted == "service") {
        exchange->reply(200, "application/json", R"({"result":"booked"})");
    } else {
        exchange->beginStream(200, "application/x-ndjson");
        exchange->write(encode(StreamChunk{0, "a"}) + "\n" + R"({"index":1,"te)", ignore);
        exchange->write(R"(xt":"q\"b"})", ignore);
        exchange->write("\n", ignore);
        if (wanted == "cut") {
            exchange->abort();
            return;
        }
        if (wanted == "garbage") {
            exchange->write("{]\n", ignore);
        }
        if (wanted != "unended") {
            exchange->write(encode(StreamEnd{2, 3, {}}) + "\n", ignore);
        }
        exchange->endStream();
    }
}

} // namespace

TEST_CASE("an engine stream reports chunks, end markers, refusals and truncated or malformed responses")
{
    ServerFixture fixture(respondByBody);
    Recorder recorder(fixture);
    const auto generate = [&](const char *body) {
        return recorder.run({StreamCallKind::Generate, fixture.server->address(), body});
    };
    REQUIRE(generate("whole") == "sending 0=a 1=q\"b end:2");
    REQUIRE(generate("whole") == "sending 0=a 1=q\"b end:2");
    REQUIRE(generate("full") == "sending refused:full");
    REQUIRE(generate("odd") == "sending broken");
    REQUIRE_THAT(generate("cut"), Catch::EndsWith("broken"));
    REQUIRE(generate("unended") == "sending 0=a 1=q\"b broken");
    REQUIRE(generate("garbage") == "sending 0=a 1=q\"b broken");
    REQUIRE(recorder.run({StreamCallKind::Service, fixture.server->address(), "service"}) == "sending 0=booked end:1");
}

TEST_CASE("an engine stream that cannot connect reports the call as not sent")
{
    ServerFixture fixture(respondByBody);
    Recorder recorder(fixture);
    REQUIRE(recorder.run({StreamCallKind::Generate, "127.42.0.9:1", "x"}) == "refused:leaving:unreachable");
}

TEST_CASE("an engine stream stops reading while paused")
{
    constexpr std::size_t PieceBytes = 256 * 1024;
    constexpr int Pieces = 400;
    std::atomic<int> writtenPieces{0};
    const std::string line = encode(StreamChunk{0, std::string(PieceBytes, 'x')}) + "\n";
    ServerFixture fixture([&](const std::shared_ptr<HttpExchange> &exchange) {
        exchange->beginStream(200, "application/x-ndjson");
        auto next = std::make_shared<std::function<void(bool)>>();
        *next = [&writtenPieces, &line, exchange, weak = std::weak_ptr(next)](bool ok) {
            const auto self = weak.lock();
            if (ok && self && ++writtenPieces < Pieces) {
                exchange->write(line, [self](bool more) { (*self)(more); });
            }
        };
        (*next)(true);
    });
    HttpClient client(fixture.context);
    const auto strand = asio::make_strand(fixture.context);
    std::promise<void> first;
    std::unique_ptr<EngineStream> stream;
    int chunks = 0;
    asio::post(strand, [&] {
        stream = std::make_unique<EngineStream>(client.pool(),
                                                strand,
                                                StreamCall{StreamCallKind::Generate, fixture.server->address(), "x"},
                                                [&](EngineStreamEvent event) {
                                                    if (!std::holds_alternative<streamevent::Chunk>(event)) {
                                                        return;
                                                    }
                                                    stream->pause();
                                                    if (++chunks == 1) {
                                                        first.set_value();
                                                    }
                                                });
    });
    first.get_future().wait();
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    std::promise<void> closed;
    asio::post(strand, [&] {
        stream = nullptr;
        closed.set_value();
    });
    closed.get_future().wait();
    CHECK(chunks == 1);
    CHECK(writtenPieces < Pieces);
}

TEST_CASE("stream lines decode to the values that were encoded, and malformed lines are rejected")
{
    for (const auto *text : {"", "plain", "quote\"", "back\\slash", "line\nfeed", "ünï", "\"}", "{\"index\":3"}) {
        const auto line = detail::parseStreamLine(encode(StreamChunk{7, text}));
        REQUIRE(line);
        REQUIRE(std::get<StreamChunk>(*line).index == 7);
        REQUIRE(std::get<StreamChunk>(*line).text == text);
    }
    for (const auto *bad : {"", "{", R"({"index":1,"text":"a"b"})", R"({"index":-1,"text":""})", R"({"end":false})"}) {
        REQUIRE_FALSE(detail::parseStreamLine(bad));
    }
}

TEST_CASE("an engine stream takes no broken response for a whole one and does not use its connection again")
{
    const bool reset = GENERATE(false, true);
    ServerFixture fixture(respondByBody);
    Recorder recorder(fixture);
    const auto chunk = encode(StreamChunk{0, "a"}) + "\n";
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::string refused = "Content-Length: 0\r\n\r\n";
    for (const auto &text :
         {std::string(),
          ok,
          ok + "\r\n",
          ok + "\r\n" + chunk,
          "HTTP/1.1 000 X\r\n" + refused,
          "HTTP/1.1 099 X\r\n" + refused,
          "HTTP/1.1 101 X\r\n" + refused,
          "HTTP/1.1 600 X\r\n" + refused,
          ok + "Content-Length : 2\r\n\r\n{}",
          ok + "Fie ld: 2\r\n" + refused,
          std::string("HTTP/1.1 503 X\r\nContent-Length: 90\r\n\r\n") + encode(Refusal{RefusalCode::Full})}) {
        CAPTURE(text, reset);
        RawServer server([&text, reset](RawServer::Connection &connection) {
            connection.write(text);
            if (reset) {
                std::this_thread::sleep_for(2ms);
                connection.reset();
            }
        });
        for (const auto kind : {StreamCallKind::Generate, StreamCallKind::Service}) {
            CHECK_THAT(recorder.run({kind, server.address(), "x"}), Catch::EndsWith("broken"));
        }
        CHECK(server.connections() == 2);
    }
}

// An informational response was taken for the final one.
TEST_CASE("an engine stream skips informational responses")
{
    ServerFixture fixture(respondByBody);
    Recorder recorder(fixture);
    const auto lines = encode(StreamChunk{0, "a"}) + "\n" + encode(StreamEnd{1, 3, {}}) + "\n";
    RawServer server([&lines](RawServer::Connection &connection) {
        connection.write("HTTP/1.1 100 Continue\r\n\r\n");
        std::this_thread::sleep_for(10ms);
        connection.write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(lines.size()) + "\r\n\r\n" + lines);
        connection.readToEnd();
    });
    CHECK(recorder.run({StreamCallKind::Generate, server.address(), "x"}) == "sending 0=a end:1");
}

// Bytes that the parser does not consume were kept without a limit.
TEST_CASE("an engine stream breaks a response without end off after a bounded number of bytes")
{
    constexpr std::size_t Bound = 8 << 20;
    const std::string block(64 << 10, 'x');
    const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
    const auto [beginning, filler] = GENERATE_COPY(table<std::string, std::string>({
        {"", block},
        {"HTTP/1.1 200 OK\r\nField: ", block},
        {"HTTP/1.1 200 OK\r\n" + chunked + "3;", block},
        {"HTTP/1.1 200 OK\r\n" + chunked + "0\r\n", "Field: x\r\n"},
        {"HTTP/1.1 200 OK\r\n\r\n", block},
        {"HTTP/1.1 503 X\r\n\r\n", block},
        {"", "HTTP/1.1 100 Continue\r\n\r\n"},
    }));
    CAPTURE(beginning);
    ServerFixture fixture(respondByBody);
    Recorder recorder(fixture);
    std::size_t sentBytes = 0;
    {
        RawServer server([&](RawServer::Connection &connection) {
            connection.write(beginning);
            sentBytes = connection.flood(filler);
        });
        CHECK_THAT(recorder.run({StreamCallKind::Generate, server.address(), "x"}), Catch::EndsWith("broken"));
    }
    CHECK(sentBytes < Bound);
}

TEST_CASE("an engine stream that is reset while the request is written is broken")
{
    constexpr int Repetitions = 20;
    ServerFixture fixture(respondByBody);
    Recorder recorder(fixture);
    const auto kind = GENERATE(StreamCallKind::Generate, StreamCallKind::Service);
    const std::string body(8 << 20, 'x');
    for (int i = 0; i < Repetitions; ++i) {
        RawServer server(
            [](RawServer::Connection &connection) {
                connection.write("HTTP/1.1 200 OK\r\n\r\n" + std::string(R"({"result":"booked"})") + "\n");
                connection.reset();
            },
            4096);
        CHECK_THAT(recorder.run({kind, server.address(), body}), Catch::EndsWith("broken"));
    }
}
