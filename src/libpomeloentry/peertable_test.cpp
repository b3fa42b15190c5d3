#include "pomeloentry/peertable.h"

#include "pomeloport/protocol/compactarchive.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace pomeloentry;
using namespace std::chrono_literals;

namespace
{

constexpr auto Now = Instant(1h);

PeerMessage message(EntryState state)
{
    PeerMessage result;
    result.state = state;
    result.description = PeerDescription{"10.0.0.2:80", "a", {"10.0.0.3:7000", "10.0.0.1:7000"}};
    return result;
}

} // namespace

TEST_CASE("addresses are learned from peers and expire when silent", "[peertable]")
{
    PeerTable table("10.0.0.1:7000");
    CHECK(table.learn("10.0.0.2:7000", Now));
    CHECK_FALSE(table.learn("10.0.0.2:7000", Now));
    CHECK_FALSE(table.learn("10.0.0.1:7000", Now));
    CHECK(table.applyMessage({"b", 1}, "10.0.0.2:7000", message(EntryState::Starting), Now));
    CHECK(table.addresses() == std::vector<std::string>{"10.0.0.2:7000", "10.0.0.3:7000"});
    CHECK(table.live(Now + 500ms).size() == 1);
    CHECK(table.live(Now + 2s).empty());
    table.expire(Now + PeerTable::AddressLifetime + 1s);
    CHECK(table.addresses().empty());
}

TEST_CASE("a change of state or incarnation is reported and an older incarnation is ignored", "[peertable]")
{
    PeerTable table("10.0.0.1:7000");
    table.applyMessage({"b", 2}, "10.0.0.2:7000", message(EntryState::Ready), Now);
    CHECK_FALSE(table.applyMessage({"b", 2}, "10.0.0.2:7000", message(EntryState::Ready), Now));
    CHECK(table.applyMessage({"b", 2}, "10.0.0.2:7000", message(EntryState::Leaving), Now));
    CHECK_FALSE(table.applyMessage({"b", 1}, "10.0.0.2:7000", message(EntryState::Ready), Now));
    CHECK(table.live(Now).front().state == EntryState::Leaving);
    CHECK(table.applyMessage({"b", 3}, "10.0.0.9:7000", message(EntryState::Starting), Now));
    CHECK(table.live(Now).front().address == "10.0.0.9:7000");
}

TEST_CASE("peer messages survive encoding and decoding, and truncated ones are rejected", "[peertable]")
{
    auto sent = message(EntryState::Ready);
    sent.known = {5, 9};
    sent.work.items.push_back({77, 0, true, false, 10, 5, -20, 250, 30, 1.5F, {{3, 12.5F, 900}}});
    sent.work.ended = {1, 2};
    const auto bytes = pomeloport::detail::encodeCompact(sent);
    const auto read = pomeloport::detail::decodeCompact<PeerMessage>(bytes);
    REQUIRE(read);
    CHECK(read->known.backends == 9);
    CHECK(read->work.items.front().dueInMs == -20);
    CHECK(read->work.items.front().parts.front().prefillMs == 12.5F);
    for (std::size_t length = 0; length < bytes.size(); ++length) {
        CHECK_FALSE(pomeloport::detail::decodeCompact<PeerMessage>(std::string_view(bytes).substr(0, length)));
    }
}

TEST_CASE("callers get addresses of their own failure domain if it has enough instances", "[peertable]")
{
    std::vector<ReadyInstance> ready;
    for (int i = 0; i < 100; ++i) {
        ready.push_back({std::string("a").append(std::to_string(i)), "a"});
        ready.push_back({std::string("b").append(std::to_string(i)), "b"});
    }
    ready.push_back({"c", "c"});
    const auto near = addressesFor("a", ready);
    CHECK(near.size() == 64);
    CHECK(std::ranges::all_of(near, [](const auto &address) { return address.starts_with('a'); }));
    const auto few = addressesFor("c", ready);
    CHECK(few.size() == 64);
    CHECK(few.front() == "c");
    // Removing one instance replaces only its own address.
    const auto left = near.front();
    std::erase_if(ready, [&left](const auto &instance) { return instance.callerAddress == left; });
    auto next = addressesFor("a", ready);
    next.pop_back();
    CHECK(std::ranges::all_of(next,
                              [&near](const auto &address) { return std::ranges::find(near, address) != near.end(); }));
}

TEST_CASE("a peer is added with its description, which later messages may omit", "[peertable]")
{
    PeerTable table("10.0.0.1:7000");
    auto brief = message(EntryState::Ready);
    brief.description.reset();
    CHECK_FALSE(table.applyMessage({"b", 1}, "10.0.0.2:7000", brief, Now));
    CHECK(table.live(Now).empty());
    CHECK(table.applyMessage({"b", 1}, "10.0.0.2:7000", message(EntryState::Ready), Now));
    CHECK_FALSE(table.applyMessage({"b", 1}, "10.0.0.2:7000", brief, Now + 800ms));
    REQUIRE(table.live(Now + 1500ms).size() == 1);
    CHECK(table.live(Now + 1500ms).front().callerAddress == "10.0.0.2:80");
    // A restarted process is ignored until it sends its description.
    CHECK_FALSE(table.applyMessage({"b", 2}, "10.0.0.2:7000", brief, Now + 900ms));
    CHECK(table.live(Now + 900ms).front().incarnation == 1);
}
