#include "knowledge/fleetwatch.h"

#include "../libpomeloport/transport/rawserver.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <memory>
#include <string>
#include <vector>

using namespace pomeloentry;
using namespace std::chrono_literals;
using pomeloport::detail::RawServer;

namespace
{

/// A reply, and whether the connection is reset behind it.
struct Reply
{
    std::string text;
    bool reset = false;
};

std::string withLength(const std::string &statusLine, const std::string &body)
{
    return statusLine + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Replies with a state that are broken in different ways.
std::vector<Reply> brokenReplies(const std::string &state)
{
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const auto half = state.substr(0, state.size() / 2);
    std::vector<Reply> result{
        {ok + "\r\n" + half, true},
        {ok + "\r\n" + half, false},
        {ok + "\r\n" + state, true},
        {withLength(ok, state).substr(0, withLength(ok, state).size() - 1), false},
        {ok + "Transfer-Encoding: chunked\r\n\r\n1\r\n" + state.substr(0, 1) + "\r\n", true},
        {ok + "Transfer-Encoding: gzip\r\n\r\n" + state, false},
        {withLength(ok + "Fie ld: 1\r\n", state), false},
        {withLength(ok + "Field: 1\r\n" + ok, state), false},
        {withLength(ok + "Content-Length: 1\r\n", state), false},
    };
    for (const auto *status : {"000", "099", "101", "204", "500", "600", "999"}) {
        result.push_back({withLength("HTTP/1.1 " + std::string(status) + " X\r\n", state), false});
    }
    return result;
}

EntrySettings settingsOf(const std::string &instance, const std::string &peerAddress)
{
    EntrySettings settings;
    settings.instance = instance;
    settings.failureDomain = "a";
    settings.peerAddress = peerAddress;
    // Nothing listens there.
    settings.storeAddress = "127.42.0.9:1";
    return settings;
}

} // namespace

// Guards against parts of a peer's state, or other bytes, that an instance takes for the state.
TEST_CASE("an instance takes no broken reply of a peer for its state", "[fleetwatch]")
{
    FleetCopy copy;
    copy.backends = DocumentCopy{
        {0, 9},
        {0, 9},
        {{"i-1", {{0, 9}, R"({"service":"s","address":"127.42.1.1:8000","zone":"a","slots":8,"state":"ready"})"}}},
        {},
        {},
        {}};
    const auto state = encodeFleetCopy(copy);
    const auto broken = brokenReplies(state);
    std::atomic<std::size_t> fetches{0};
    RawServer peerState([&](RawServer::Connection &connection) {
        const auto fetch = fetches++;
        if (fetch >= broken.size()) {
            connection.write(withLength("HTTP/1.1 200 OK\r\n", state));
            return;
        }
        connection.write(broken[fetch].text);
        if (broken[fetch].reset) {
            std::this_thread::sleep_for(10ms);
            connection.reset();
        }
    });
    boost::asio::io_context context;
    const auto peerCore = std::make_shared<EntryCore>(context, settingsOf("peer", peerState.address()), 1);
    const auto peer = PeerMesh::start(peerCore);
    REQUIRE(peer);
    auto settings = settingsOf("instance", "127.42.0.10:7740");
    settings.seeds = {peerState.address()};
    const auto core = std::make_shared<EntryCore>(context, settings, 1);
    const auto mesh = PeerMesh::start(core);
    REQUIRE(mesh);
    const auto watch = std::make_shared<FleetWatch>(core, mesh);
    watch->start([](const FleetState & /*state*/) {});
    const auto end = steadyNow() + 20s;
    while (fetches <= broken.size() && steadyNow() < end) {
        // The peer knows changes that this instance lacks, and has a configuration.
        peer->setStoreKnowledge({{0, 1}, {0, 9}, {}, 0}, true, StoreContact::Answering);
        const auto before = fetches.load();
        context.run_for(5ms);
        if (before <= broken.size() && fetches == before) {
            CAPTURE(before);
            CHECK(core->fleet.current()->backends.empty());
        }
    }
    while (core->fleet.current()->backends.empty() && steadyNow() < end) {
        context.run_for(5ms);
    }
    CHECK(core->fleet.current()->backends.contains("i-1"));
    CHECK(fetches > broken.size());
    watch->stop();
    mesh->stop();
    peer->stop();
    context.restart();
    context.run_for(50ms);
}
