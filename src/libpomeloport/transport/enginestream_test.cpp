#include "httpfixture.h"

#include "../protocol/chunklines.h"

#include "pomeloport/transport/enginestream.h"

#include <boost/asio/strand.hpp>
#include <catch2/catch.hpp>

#include <future>

using namespace pomeloport;
namespace asio = boost::asio;
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
