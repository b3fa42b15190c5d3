#include "rawserver.h"

#include "pomeloport/transport/callstream.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <sys/resource.h>

#include <algorithm>
#include <thread>

using namespace pomeloport;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;
using detail::RawServer;

namespace
{

/// A server that accepts one connection, sends the next of its texts for each request and closes the connection after
/// the last one. One that is busy at first has a listen queue for one connection, takes that one out of it after the
/// given time and accepts another one then.
class ScriptedServer
{
public:
    explicit ScriptedServer(std::vector<std::string> answers, std::chrono::milliseconds busyFor = {})
        : m_acceptor(m_context, {boost::asio::ip::make_address("127.42.0.7"), 0})
    {
        if (busyFor.count() > 0) {
            m_acceptor.listen(0);
        }
        m_thread = std::thread([this, answers = std::move(answers), busyFor] {
            if (busyFor.count() > 0) {
                std::this_thread::sleep_for(busyFor);
                boost::system::error_code ignored;
                tcp::socket queued(m_context);
                m_acceptor.accept(queued, ignored);
            }
            serve(answers);
        });
    }
    ~ScriptedServer()
    {
        // Ends an accept that no caller will satisfy any more.
        shutdown(m_acceptor.native_handle(), SHUT_RDWR);
        m_thread.join();
    }

    std::string address() const
    {
        return "127.42.0.7:" + std::to_string(m_acceptor.local_endpoint().port());
    }

    std::vector<std::string> requests;

private:
    void serve(const std::vector<std::string> &answers)
    {
        tcp::socket socket(m_context);
        boost::system::error_code error;
        m_acceptor.accept(socket, error);
        boost::asio::streambuf buffer;
        for (const auto &answer : answers) {
            if (error) {
                return;
            }
            const auto size = boost::asio::read_until(socket, buffer, "\r\n\r\n", error);
            requests.emplace_back(static_cast<const char *>(buffer.data().data()), size);
            buffer.consume(size);
            boost::asio::write(socket, boost::asio::buffer(answer), error);
        }
    }

    boost::asio::io_context m_context;
    tcp::acceptor m_acceptor;
    std::thread m_thread;
};

/// Makes calls one at a time and records their events.
class Caller
{
public:
    /// Returns the events of one call as text: the status, the body and the final event.
    std::string call(const std::string &address,
                     const std::string &id,
                     const std::string &method = "GET",
                     std::shared_ptr<const std::string> body = nullptr)
    {
        m_events.clear();
        m_done = false;
        RelayedCall call;
        call.address = address;
        call.method = method;
        call.target = "/x";
        call.body = std::move(body);
        call.limitsUnsent = true;
        call.fields = {{"Host", "a"}, {"Id", id}};
        call.responseMatches = [id](const HttpResponseHead &head) {
            return fieldValue(head.fields, "Id") == id;
        };
        boost::asio::steady_timer resumption(m_strand);
        CallStream stream(m_client.pool(), m_strand, call, [&](CallEvent event) {
            std::visit([this](const auto &heard) { record(heard); }, event);
            if (std::holds_alternative<callevent::Head>(event) && pause.count() > 0) {
                stream.pause();
                resumption.expires_after(pause);
                resumption.async_wait([&stream](boost::system::error_code error) {
                    if (!error) {
                        stream.resume();
                    }
                });
            }
        });
        while (!m_done) {
            m_context.run_one();
        }
        return m_events;
    }

    /// How long reading pauses once the head has come.
    std::chrono::milliseconds pause{0};
    /// Bytes of requests that the connections had not taken, as reported.
    std::vector<std::size_t> unwritten;

private:
    void record(const callevent::Sending & /*event*/)
    {
    }
    void record(const callevent::Unwritten &event)
    {
        unwritten.push_back(event.bytes);
    }
    void record(const callevent::Drained & /*event*/)
    {
    }
    void record(const callevent::Unreachable & /*event*/)
    {
        end("unreachable");
    }
    void record(const callevent::Head &event)
    {
        m_events += std::to_string(event.head.status) + " ";
    }
    void record(const callevent::BodyData &event)
    {
        m_events += event.bytes;
    }
    void record(const callevent::End &event)
    {
        end(event.framed ? " end" : " end with the connection");
    }
    void record(const callevent::Broken &event)
    {
        end(event.connectionLost ? " lost" : " broken");
    }
    void end(const char *outcome)
    {
        m_events += outcome;
        m_done = true;
    }

    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_guard{m_context.get_executor()};
    boost::asio::strand<boost::asio::io_context::executor_type> m_strand{m_context.get_executor()};
    HttpClient m_client{m_context};
    std::string m_events;
    bool m_done = false;
};

std::string answer(const std::string &id, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Returns the events of a call whose connection is handled by a script.
std::string eventsOf(const RawServer::Script &script,
                     std::shared_ptr<const std::string> body = nullptr,
                     std::chrono::milliseconds pause = 0ms)
{
    constexpr int ReceiveBytes = 4096;
    RawServer server(script, ReceiveBytes);
    Caller caller;
    caller.pause = pause;
    const std::string method = body ? "POST" : "GET";
    return caller.call(server.address(), "1", method, std::move(body));
}

/// Returns the events of a call that gets these bytes on a connection that stays open.
std::string eventsOfOpen(const std::string &text)
{
    return eventsOf([&text](RawServer::Connection &connection) {
        connection.write(text);
        connection.readToEnd();
    });
}

/// Larger than the buffers of the system, so that it is still being written when the response comes.
std::shared_ptr<const std::string> longBody()
{
    constexpr std::size_t Bytes = 8 << 20;
    static const auto body = std::make_shared<const std::string>(Bytes, 'x');
    return body;
}

const std::string Chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string EventStream = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";

} // namespace

TEST_CASE("a relayed call reuses its connection and sends its header fields unchanged", "[callstream]")
{
    Caller caller;
    ScriptedServer server({answer("1", "one"), answer("2", "two")});
    CHECK(caller.call(server.address(), "1") == "200 one end");
    CHECK(caller.call(server.address(), "2", "POST") == "200 two end");
    CHECK(server.requests[0] == "GET /x HTTP/1.1\r\nHost: a\r\nId: 1\r\n\r\n");
    CHECK(server.requests[1] == "POST /x HTTP/1.1\r\nHost: a\r\nId: 2\r\nContent-Length: 0\r\n\r\n");
}

TEST_CASE("a response to an earlier call on a reused connection is discarded", "[callstream]")
{
    Caller caller;
    ScriptedServer server({answer("1", "one"), answer("1", "again") + answer("2", "two")});
    CHECK(caller.call(server.address(), "1") == "200 one end");
    CHECK(caller.call(server.address(), "2") == "200 two end");
}

// Guards against an answer that is passed on with the status or the seal of another one: a second copy of an earlier
// answer comes late and breaks off, and the head that follows was read as its continuation.
TEST_CASE("a late copy that breaks off is not joined with the response that follows", "[callstream]")
{
    const auto copy =
        GENERATE(as<std::string>{},
                 "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nId: 1\r\nSeal: s\r\nContent-Length: 3\r\n\r\none",
                 "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nId: 1\r\nContent-Length: 0\r\n\r\n");
    const std::string failure = "HTTP/1.1 500 X\r\nId: 2\r\nContent-Length: 4\r\n\r\nfail";
    for (std::size_t length = 1; length <= copy.size(); ++length) {
        CAPTURE(copy.substr(0, length));
        Caller caller;
        ScriptedServer server({copy, copy.substr(0, length) + failure});
        caller.call(server.address(), "1");
        const auto outcome = caller.call(server.address(), "2");
        CHECK((outcome == "500 fail end" || outcome == " broken" || outcome == " lost"));
        CHECK((length < copy.size() || outcome == "500 fail end"));
    }
}

TEST_CASE("only the framing decides whether a response is complete", "[callstream]")
{
    const auto callOnce = [](const std::string &text) {
        Caller caller;
        ScriptedServer server({text});
        return caller.call(server.address(), "1");
    };
    CHECK(callOnce("HTTP/1.1 200 OK\r\n\r\nuntil the end") == "200 until the end end with the connection");
    CHECK(callOnce("HTTP/1.1 200 OK\r\n\r\n") == "200  end with the connection");
    CHECK(callOnce("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort") == "200 short lost");
    CHECK(callOnce("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n") == "200 abc lost");
    CHECK(callOnce("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n") == "200 abc end");
    CHECK(callOnce("HTTP/1.1 100 Continue\r\n\r\n" + answer("1", "x")) == "200 x end");
    CHECK(callOnce("garbage\r\n\r\n") == " broken");
    CHECK(callOnce("") == " lost");
    CHECK(callOnce("HTTP/1.1 200 O") == " lost");
}

// A server in trouble may send bytes that are no response without end. The buffer of unparsed bytes grew with them
// until the process exceeded its memory.
TEST_CASE("a response without end is broken off after a bounded number of bytes", "[callstream]")
{
    static constexpr std::size_t Bound = 8 << 20;
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string block(64 << 10, 'x');
    const auto outcome = [&block](const std::string &beginning, const std::string &filler) {
        std::size_t sentBytes = 0;
        const auto events = eventsOf([&](RawServer::Connection &connection) {
            connection.write(beginning);
            sentBytes = connection.flood(filler.empty() ? block : filler);
        });
        CHECK(sentBytes < Bound);
        return events;
    };
    CHECK(outcome("", {}) == " broken");
    CHECK(outcome("HTTP/1.1 200 OK\r\nField: ", {}) == " broken");
    CHECK(outcome("HTTP/1.1 200 OK\r\n", "Field: x\r\n") == " broken");
    CHECK(outcome(chunked + "3;", {}) == "200  broken");
    CHECK(outcome(chunked + "3\r\nabc\r\n0\r\n", "Field: x\r\n") == "200 abc broken");
    CHECK(outcome("", "HTTP/1.1 100 Continue\r\n\r\n") == " broken");
}

// Guards against calls that fail when many connect at once: a server whose listen queue is full drops the request for a
// connection, and the system repeats it only after 1 s, when the call has been given up.
TEST_CASE("a server whose listen queue is full for a moment is reached", "[callstream]")
{
    Caller caller;
    ScriptedServer server({answer("1", "one")}, std::chrono::milliseconds(100));
    boost::asio::io_context context;
    tcp::socket queued(context);
    const auto port = static_cast<std::uint16_t>(std::stoi(server.address().substr(server.address().find(':') + 1)));
    queued.connect({boost::asio::ip::make_address("127.42.0.7"), port});
    CHECK(caller.call(server.address(), "1") == "200 one end");
}

// Guards against calls that fail although a connection is pending, because another one could not be begun: all
// descriptors are in use when the second connection is due, and the third one is established.
TEST_CASE("a connection that cannot be begun does not end a call while another one is pending", "[callstream]")
{
    Caller caller;
    ScriptedServer server({answer("1", "one")}, std::chrono::milliseconds(350));
    boost::asio::io_context context;
    tcp::socket queued(context);
    const auto port = static_cast<std::uint16_t>(std::stoi(server.address().substr(server.address().find(':') + 1)));
    queued.connect({boost::asio::ip::make_address("127.42.0.7"), port});
    rlimit normal{};
    REQUIRE(getrlimit(RLIMIT_NOFILE, &normal) == 0);
    std::jthread limiter([&normal] {
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        const rlimit exhausted{0, normal.rlim_max};
        setrlimit(RLIMIT_NOFILE, &exhausted);
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
        setrlimit(RLIMIT_NOFILE, &normal);
    });
    CHECK(caller.call(server.address(), "1") == "200 one end");
}

// Guards against a server that reads nothing going unnoticed while requests pile up for it.
TEST_CASE("bytes of a request that the server does not read are reported until they are taken", "[callstream]")
{
    // Less than the system takes without the limit.
    constexpr std::size_t BodyBytes = 2 << 20;
    Caller caller;
    ScriptedServer server({answer("1", "small"), answer("2", "large")});
    caller.call(server.address(), "1", "POST", std::make_shared<const std::string>("body"));
    CHECK(caller.unwritten.empty());
    // The server reads the head, answers and closes the connection with most of the body unread.
    caller.call(server.address(), "2", "POST", std::make_shared<const std::string>(BodyBytes, 'x'));
    REQUIRE(!caller.unwritten.empty());
    CHECK(caller.unwritten.front() > BodyBytes / 2);
    CHECK(caller.unwritten.front() < BodyBytes);
    CHECK(std::ranges::is_sorted(caller.unwritten, std::ranges::greater{}));
}

TEST_CASE("a connection with unread bytes is not reused", "[callstream]")
{
    Caller caller;
    std::string address;
    {
        ScriptedServer server({answer("1", "one") + "rest"});
        address = server.address();
        CHECK(caller.call(address, "1") == "200 one end");
    }
    CHECK(caller.call(address, "2") == "unreachable");
}

// A server answered a long request at once with a 200 without length, sent a part and reset the connection. The failed
// write of the request consumed the error, so the connection read as closed and the part was taken as complete.
TEST_CASE("a response that is reset while the request is written is not complete", "[callstream]")
{
    const std::string events = "data: 1\n\n";
    const auto text = GENERATE_COPY(as<std::string>{},
                                    "HTTP/1.1 200 OK\r\n\r\npart",
                                    "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart",
                                    "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart",
                                    Chunked + "4\r\npart\r\n",
                                    EventStream + "\r\n" + events,
                                    EventStream + "Content-Length: 90\r\n\r\n" + events,
                                    EventStream + "Transfer-Encoding: chunked\r\n\r\n9\r\n" + events + "\r\n");
    constexpr int Repetitions = 20;
    int complete = 0;
    for (const auto delay : {0ms, 1ms, 5ms}) {
        for (int i = 0; i < Repetitions; ++i) {
            const auto outcome = eventsOf(
                [&text, delay](RawServer::Connection &connection) {
                    connection.write(text);
                    std::this_thread::sleep_for(delay);
                    connection.reset();
                },
                longBody());
            complete += outcome.ends_with("lost") ? 0 : 1;
        }
    }
    CAPTURE(text);
    CHECK(complete == 0);
}

TEST_CASE("a response that is reset while its reading is paused is not complete", "[callstream]")
{
    const auto outcome = eventsOf(
        [](RawServer::Connection &connection) {
            connection.write(EventStream + "\r\ndata: 1\n\n");
            std::this_thread::sleep_for(10ms);
            connection.reset();
        },
        longBody(),
        50ms);
    CHECK_THAT(outcome, Catch::EndsWith("lost"));
}

// The same with a server that closes: the system then resets the connection because the rest of the request is unread.
TEST_CASE("a response that is closed before the request is written is not complete", "[callstream]")
{
    const auto outcome = eventsOf(
        [](RawServer::Connection &connection) {
            connection.write("HTTP/1.1 200 OK\r\n\r\npart");
            connection.endResponse();
            std::this_thread::sleep_for(30ms);
        },
        longBody());
    CHECK_THAT(outcome, Catch::EndsWith("lost"));
}

TEST_CASE("a server may end its response before it has read the whole request", "[callstream]")
{
    std::size_t received = 0;
    const auto outcome = eventsOf(
        [&received](RawServer::Connection &connection) {
            connection.write("HTTP/1.1 200 OK\r\n\r\nwhole");
            connection.endResponse();
            std::this_thread::sleep_for(30ms);
            received = connection.readToEnd();
        },
        longBody());
    CHECK(outcome == "200 whole end with the connection");
    CHECK(received == longBody()->size());
}

// A status below 100 was taken for an informational one, and the call waited until its deadline for what follows.
TEST_CASE("a response whose status is none is malformed", "[callstream]")
{
    for (const auto *status : {"000", "099", "101", "600", "999", "20", "2000", "2 0", "abc", ""}) {
        CAPTURE(status);
        const auto line = "HTTP/1.1 " + std::string(status) + " OK\r\n";
        CHECK(eventsOfOpen(line + "Content-Length: 0\r\n\r\n") == " broken");
        CHECK(eventsOfOpen(line + "\r\n" + answer("1", "x")) == " broken");
    }
    for (const auto *line :
         {"HTTP/1.1200 OK", "HTTP/2.0 200 OK", "HTTP/1.1\t200 OK", "ICY 200 OK", "HTTP/1.1 200 \x01"}) {
        CAPTURE(line);
        CHECK(eventsOfOpen(std::string(line) + "\r\nContent-Length: 0\r\n\r\n") == " broken");
    }
}

TEST_CASE("a response with a malformed field is not passed on", "[callstream]")
{
    for (const auto *field : {"Content Length: 1",
                              "Content-Length : 1",
                              "Content-Length\t: 1",
                              "Transfer-Encoding : chunked",
                              "Content\x01-Length: 1",
                              "Fie\x7fld: 1",
                              ": 1",
                              "Field",
                              " Field: 1",
                              "Field: \x01",
                              "Content-Length: 1\r\nContent-Length: 2",
                              "Content-Length: 1\r\nTransfer-Encoding: chunked",
                              "Content-Length: -1",
                              "Content-Length: 1 1"}) {
        CAPTURE(field);
        CHECK(eventsOfOpen("HTTP/1.1 200 OK\r\n" + std::string(field) + "\r\n\r\n" + "x") == " broken");
    }
    // A folded line continues the value before it (RFC 9112, 5.2).
    CHECK(eventsOfOpen("HTTP/1.1 200 OK\r\nField: a\r\n b\r\nContent-Length: 1\r\n\r\nx") == "200 x end");
    CHECK(eventsOfOpen("HTTP/1.1 200 OK\r\nContent-Length:\r\n 1\r\n\r\nx") == "200 x end");
}

TEST_CASE("a response whose head is cut is not passed on", "[callstream]")
{
    const bool reset = GENERATE(false, true);
    const auto head = GENERATE(as<std::string>{},
                               "HTTP/1.1 200 OK\r\nContent-Length: 10\r\nId: 1\r\n\r\n",
                               "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                               "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n");
    for (std::size_t length = 0; length < head.size(); ++length) {
        CAPTURE(head.substr(0, length), reset);
        CHECK(eventsOf([&head, length, reset](RawServer::Connection &connection) {
                  connection.write(head.substr(0, length));
                  if (reset) {
                      connection.reset();
                  }
              })
              == " lost");
    }
}

TEST_CASE("a connection with a broken response is not used again", "[callstream]")
{
    for (const auto &text : {"HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n" + answer("1", "x"),
                             "HTTP/1.1 200 OK\r\nContent-Length : 0\r\n\r\n" + answer("1", "x"),
                             Chunked + "x\r\n" + answer("1", "x")}) {
        CAPTURE(text);
        Caller caller;
        RawServer server([&text](RawServer::Connection &connection) {
            connection.write(text);
            connection.readToEnd();
        });
        CHECK_THAT(caller.call(server.address(), "1"), Catch::EndsWith(" broken"));
        CHECK_THAT(caller.call(server.address(), "1"), Catch::EndsWith(" broken"));
        CHECK(server.connections() == 2);
    }
}

// The field is not passed on, so the caller would take the encoded bytes for the body.
TEST_CASE("a response with an unknown transfer encoding is malformed", "[callstream]")
{
    for (const auto *encoding :
         {"gzip", "gzip, chunked", "chunked, chunked", "identity", "x", "chunked\r\nTransfer-Encoding: chunked"}) {
        CAPTURE(encoding);
        const auto head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: " + std::string(encoding) + "\r\n\r\n";
        CHECK(eventsOf([&head](RawServer::Connection &connection) { connection.write(head + "1\r\nx\r\n0\r\n\r\n"); })
              == " broken");
    }
}
