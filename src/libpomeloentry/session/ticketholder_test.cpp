#include "session/ticketholder.h"

#include "../libpomeloport/transport/httpfixture.h"
#include "../libpomeloport/transport/rawserver.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <mutex>

using namespace pomeloentry;
using namespace std::chrono_literals;
using Step = ReservationUse::Step;

namespace
{

constexpr auto Start = Instant(1h);

/// Reserves memory for one ticket at an engine that grants it and reports this state of it. Returns the engine for
/// which the holder reports that it stays unused, or an empty string after two idle limits.
std::string unusedEngine(const std::string &state, bool answered)
{
    pomeloport::detail::ServerFixture engine([&state](const std::shared_ptr<pomeloport::HttpExchange> &exchange) {
        const bool isReport = exchange->request().method == "GET";
        exchange->reply(200,
                        "application/json",
                        isReport ? R"({"tickets":[{"id":"t","tokens":9,"state":")" + state + R"("}]})"
                                 : R"({"free":1})");
    });
    boost::asio::io_context context;
    EntrySettings settings;
    settings.reservationTimeout = 80ms;
    settings.reservationIdleLimit = 400ms;
    const auto core = std::make_shared<EntryCore>(context, settings, 1);
    const auto holder = std::make_shared<TicketHolder>(
        core, boost::asio::make_strand(context), std::vector<Ticket>{{"e", engine.server->address(), "t", 9}});
    std::string result;
    holder->onUnused([&result](const std::string &backend) { result = backend; });
    holder->reserve([&holder, answered](const std::string &failed) {
        CHECK(failed.empty());
        if (answered) {
            holder->answered();
        }
    });
    context.run_for(800ms);
    holder->release();
    return result;
}

} // namespace

// The answering engine began with nothing for twelve seconds, while the memory of another engine stayed reserved for
// the prompt until its caller left.
TEST_CASE("a reservation that no request uses is given up before the idle limit", "[ticketholder]")
{
    ReservationUse use({"a", "b"}, Start, 9s);
    CHECK(use.step(Start + 4s) == Step::Keep);
    CHECK(use.step(Start + 5s) == Step::Check);
    use.reported({"a"});
    CHECK(use.unused() == std::vector<std::string>{"b"});
    CHECK(use.step(Start + 7s) == Step::GiveUp);
    CHECK(unusedEngine("held", false) == "e");
}

// Guards against memory that stays reserved without use beyond the bound: the holder renews the reservation and is
// killed, or its order to free the memory gets lost, so that the memory is only freed when the lease ends.
TEST_CASE("the lease of an unused reservation ends before the idle limit, whenever its holder dies", "[ticketholder]")
{
    constexpr auto IdleLimit = 9s;
    constexpr Duration Hold = 3s;
    for (auto diesAt = Start; diesAt < Start + 12s; diesAt += 10ms) {
        ReservationUse use({"a", "b"}, Start, IdleLimit);
        auto leaseEnd = Start + Hold;
        for (auto now = Start + Hold / 3; now <= diesAt && use.step(now) != Step::GiveUp; now += Hold / 3) {
            leaseEnd = std::max(leaseEnd, now + use.holdTime("a", Hold, now));
        }
        REQUIRE(leaseEnd < Start + IdleLimit);
        REQUIRE(leaseEnd >= std::min(diesAt + Hold / 3, Start + 7s));
    }
    ReservationUse use({"a", "b"}, Start, IdleLimit);
    use.reported({"b"});
    CHECK(use.holdTime("b", Hold, Start + 20s) == Hold);
    CHECK(use.holdTime("a", Hold, Start + 20s) == Duration::zero());
    use.answered();
    CHECK(use.holdTime("a", Hold, Start + 20s) == Hold);
}

TEST_CASE("a slow prefill that uses its reservation is not given up", "[ticketholder]")
{
    ReservationUse use({"a"}, Start, 9s);
    use.reported({"x", "a"});
    CHECK(use.step(Start + 12s) == Step::Keep);
    CHECK(unusedEngine("used", false).empty());
}

TEST_CASE("a reservation is in use once the answer has begun", "[ticketholder]")
{
    ReservationUse use({"a"}, Start, 9s);
    use.answered();
    CHECK(use.step(Start + 12s) == Step::Keep);
    CHECK(unusedEngine("held", true).empty());
}

// Guards against memory that stays reserved until its lease ends, because the process exits before the order to free it
// has reached the engine.
TEST_CASE("an order to free memory is open until its engine answers", "[ticketholder]")
{
    std::mutex mutex;
    std::vector<std::shared_ptr<pomeloport::HttpExchange>> unanswered;
    pomeloport::detail::ServerFixture engine([&](const std::shared_ptr<pomeloport::HttpExchange> &exchange) {
        const std::lock_guard lock(mutex);
        unanswered.push_back(exchange);
    });
    const auto isOrdered = [&] {
        const std::lock_guard lock(mutex);
        return !unanswered.empty();
    };
    boost::asio::io_context context;
    const auto core = std::make_shared<EntryCore>(context, EntrySettings{}, 1);
    const auto holder = std::make_shared<TicketHolder>(
        core, boost::asio::make_strand(context), std::vector<Ticket>{{"e", engine.server->address(), "t", 9}});
    holder->release();
    while (!isOrdered()) {
        context.run_for(10ms);
    }
    CHECK(core->openReleases == 1);
    {
        const std::lock_guard lock(mutex);
        unanswered.front()->reply(200, "application/json", R"({"free":1})");
    }
    context.restart();
    context.run_for(2s);
    CHECK(core->openReleases == 0);
    const std::lock_guard lock(mutex);
    unanswered.clear();
}

// An order to free memory counted as carried out with any response, also an informational one or one without a status.
TEST_CASE("an order is not taken as answered by a broken response", "[ticketholder]")
{
    const std::string ok = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n";
    const auto text = GENERATE_COPY(as<std::string>{},
                                    "",
                                    "HTTP/1.1 100 Continue\r\n\r\n",
                                    "HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n",
                                    "HTTP/1.1 600 X\r\nContent-Length: 0\r\n\r\n",
                                    ok + "Fie ld: 1\r\n\r\n{\"free\":1}",
                                    ok + "\r\n{\"free\":",
                                    "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n" + std::string(1'000'000, ' '));
    std::atomic<int> orders{0};
    pomeloport::detail::RawServer engine([&](pomeloport::detail::RawServer::Connection &connection) {
        ++orders;
        connection.write(text);
        connection.reset();
    });
    boost::asio::io_context context;
    const auto core = std::make_shared<EntryCore>(context, EntrySettings{}, 1);
    const auto holder = std::make_shared<TicketHolder>(
        core, boost::asio::make_strand(context), std::vector<Ticket>{{"e", engine.address(), "t", 9}});
    const auto runUntil = [&context](const auto &done) {
        const auto end = std::chrono::steady_clock::now() + 5s;
        while (!done() && std::chrono::steady_clock::now() < end) {
            context.restart();
            context.run_for(5ms);
        }
    };
    std::string failedBackend;
    holder->reserve([&failedBackend](const std::string &failed) { failedBackend = failed; });
    runUntil([&failedBackend] { return !failedBackend.empty(); });
    CHECK(failedBackend == "e");
    orders = 0;
    holder->release();
    CHECK(core->openReleases == 1);
    runUntil([&core] { return core->openReleases == 0; });
    // Tried again as often as after no response.
    CHECK(orders == 3);
    CHECK(core->openReleases == 0);
    CHECK(core->answerMemory->used() == 0);
}
