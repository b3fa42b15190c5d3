#include "pomeloentry/knowledge/peertable.h"

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
    result.exchangesWork = true;
    result.description = PeerDescription{"10.0.0.2:80", "a", 120, 3, {{"10.0.0.3:7000", "a", true}}};
    return result;
}

/// A message of an instance without calls in a failure domain.
PeerMessage idleMessage(const std::string &failureDomain)
{
    auto result = message(EntryState::Ready);
    result.exchangesWork = false;
    result.description->failureDomain = failureDomain;
    return result;
}

} // namespace

TEST_CASE("addresses are learned and expire when silent", "[peertable]")
{
    PeerTable table("10.0.0.1:7000", "a");
    CHECK(table.learn({"10.0.0.2:7000", {}, false}, false, Now));
    CHECK_FALSE(table.learn({"10.0.0.2:7000", {}, false}, false, Now));
    CHECK_FALSE(table.learn({"10.0.0.1:7000", {}, false}, false, Now));
    CHECK(table.applyMessage({"b", 1}, "10.0.0.2:7000", message(EntryState::Starting), Now) == PeerChange::Added);
    CHECK(table.learn({"10.0.0.3:7000", "a", false}, false, Now));
    CHECK(table.contacts(false) == std::vector<std::string>{"10.0.0.2:7000", "10.0.0.3:7000"});
    CHECK(table.live(Now + 500ms).size() == 1);
    CHECK(table.live(Now + 2s).empty());
    table.expire(Now + PeerTable::AddressLifetime + 1s);
    CHECK(table.contacts(true).empty());
}

// Instances of two versions work side by side while a fleet is updated.
TEST_CASE("a message without notices is the same as in versions without them", "[peertable]")
{
    auto sent = message(EntryState::Ready);
    CHECK(encodePeerMessage(sent) == pomeloport::detail::encodeCompact(sent));
    CHECK(decodePeerMessage(encodePeerMessage(sent))->notices.empty());
    sent.notices = {{7, true, 0}, {9, false, 4000}};
    const auto bytes = encodePeerMessage(sent);
    const auto received = decodePeerMessage(bytes);
    REQUIRE(received);
    REQUIRE(received->notices.size() == 2);
    CHECK(received->notices[0].leaving);
    CHECK(received->notices[1].server == 9);
    CHECK(received->notices[1].pauseMs == 4000);
    CHECK(received->description->callerAddress == sent.description->callerAddress);
    CHECK_FALSE(decodePeerMessage(bytes + "\x80"));
    CHECK_FALSE(decodePeerMessage(bytes.substr(0, bytes.size() - 1)));
    CHECK_FALSE(decodePeerMessage(""));
}

// The parts behind the fixed fields are told apart by their order alone.
TEST_CASE("a version of the evacuations follows the notices, which may be empty", "[peertable]")
{
    auto sent = message(EntryState::Ready);
    const auto without = encodePeerMessage(sent);
    sent.known.evacuations.revision = 300;
    const auto alone = encodePeerMessage(sent);
    CHECK(alone == without + std::string("\0", 1) + "\xac\x02");
    const auto received = decodePeerMessage(alone);
    REQUIRE(received);
    CHECK(received->known.evacuations.revision == 300);
    CHECK(received->notices.empty());
    sent.notices = {{7, true, 0}};
    const auto both = decodePeerMessage(encodePeerMessage(sent));
    REQUIRE(both);
    CHECK(both->known == sent.known);
    CHECK(both->notices.size() == 1);
    // A message that ends after the notices names no version.
    sent.known.evacuations = {};
    CHECK(decodePeerMessage(encodePeerMessage(sent))->known.evacuations == StoreVersion{});
    CHECK_FALSE(decodePeerMessage(alone + "x"));
    CHECK_FALSE(decodePeerMessage(alone.substr(0, alone.size() - 1)));

    PeerTable table("10.0.0.1:7000", "a");
    table.applyMessage({"b", 1}, "10.0.0.2:7000", *received, Now);
    CHECK(table.live(Now).front().known.evacuations.revision == 300);
}

// Instances of two versions work side by side while a fleet is updated; with the sharing off, messages must not change.
TEST_CASE("the origins of work follow the notices and are absent where none is known", "[peertable]")
{
    auto sent = message(EntryState::Ready);
    sent.work.items.push_back({77, 0, true, false, 10, 5, -20, 250, 30, 1.5F, {{3, 12.5F, 900}}});
    sent.work.items.push_back({78, 5, false, false, 10, 5, -20, 250, 30, 1.5F, {}});
    CHECK(encodePeerMessage(sent) == pomeloport::detail::encodeCompact(sent));
    const bool withNotices = GENERATE(false, true);
    if (withNotices) {
        sent.notices = {{7, true, 0}};
    }
    const auto withoutOrigins = encodePeerMessage(sent);
    REQUIRE(decodePeerMessage(withoutOrigins));
    sent.work.items[1].origin = {40'000, 2, ServedOften::TooSeldom};
    const auto bytes = encodePeerMessage(sent);
    CHECK(bytes.starts_with(withoutOrigins));
    const auto received = decodePeerMessage(bytes);
    REQUIRE(received);
    CHECK(received->notices.size() == (withNotices ? 1 : 0));
    CHECK(received->work.items[0].origin == WorkOrigin{});
    CHECK(received->work.items[1].origin == WorkOrigin{40'000, 2, ServedOften::TooSeldom});
    CHECK_FALSE(decodePeerMessage(bytes + "x"));
    CHECK_FALSE(decodePeerMessage(bytes.substr(0, bytes.size() - 1)));
    // Origins that do not match the items.
    auto other = sent;
    other.work.items.pop_back();
    const auto fixed = pomeloport::detail::encodeCompact(sent).size();
    CHECK_FALSE(decodePeerMessage(pomeloport::detail::encodeCompact(other) + bytes.substr(fixed)));
}

// In a fleet of several failure domains, each instance used to send heartbeats to all others, so that the messages of
// the fleet grew with the square of its size.
TEST_CASE("only instances that exchange work keep contact across failure domains", "[peertable]")
{
    PeerTable table("10.0.0.1:7000", "a");
    CHECK_FALSE(table.learn({"10.0.1.1:7000", "b", false}, true, Now));
    CHECK_FALSE(table.learn({"10.0.1.2:7000", "b", true}, false, Now));
    CHECK(table.contacts(false).empty());
    CHECK(table.contacts(true) == std::vector<std::string>{"10.0.1.2:7000"});
    CHECK(table.learn({"10.0.1.3:7000", "b", true}, true, Now));
    // An instance that has no calls any more is no contact of other domains.
    table.applyMessage({"d", 1}, "10.0.1.3:7000", idleMessage("b"), Now);
    CHECK(table.contacts(true) == std::vector<std::string>{"10.0.1.2:7000"});
}

TEST_CASE("an instance without calls may be silent for longer", "[peertable]")
{
    PeerTable table("10.0.0.1:7000", "a");
    table.applyMessage({"b", 1}, "10.0.0.2:7000", idleMessage("a"), Now);
    table.applyMessage({"c", 1}, "10.0.0.3:7000", message(EntryState::Ready), Now);
    CHECK(table.workingAddresses(Now + 500ms) == std::vector<std::string>{"10.0.0.3:7000"});
    CHECK(table.workingAddresses(Now + 1s).empty());
    REQUIRE(table.live(Now + 1s).size() == 1);
    CHECK(table.live(Now + 1s).front().instance == "b");
    CHECK(table.live(Now + 6s).empty());
}

TEST_CASE("a new instance is told of its own failure domain and of those that exchange work", "[peertable]")
{
    PeerTable table("10.0.0.1:7000", "a");
    table.applyMessage({"b", 1}, "10.0.0.2:7000", idleMessage("a"), Now);
    table.applyMessage({"c", 1}, "10.0.1.2:7000", idleMessage("b"), Now);
    table.applyMessage({"d", 1}, "10.0.0.3:7000", message(EntryState::Ready), Now);
    const auto told = table.peersFor("b", 10, Now);
    REQUIRE(told.size() == 2);
    CHECK(std::ranges::count(told, "10.0.1.2:7000", &PeerAddress::address) == 1);
    CHECK(std::ranges::count(told, "10.0.0.3:7000", &PeerAddress::address) == 1);
    CHECK(table.peersFor("b", 1, Now).size() == 1);
    // Silent ones are not passed on, so that the address of a dead instance vanishes.
    CHECK(table.nextPeers(10, Now + 1s).size() == 1);
}

TEST_CASE("a change of state or incarnation is reported and an older incarnation is ignored", "[peertable]")
{
    PeerTable table("10.0.0.1:7000", "a");
    const auto apply = [&table](std::uint64_t incarnation, const std::string &address, EntryState state) {
        return table.applyMessage({"b", incarnation}, address, message(state), Now);
    };
    CHECK(apply(2, "10.0.0.2:7000", EntryState::Ready) == PeerChange::Added);
    CHECK(apply(2, "10.0.0.2:7000", EntryState::Ready) == PeerChange::None);
    CHECK(apply(2, "10.0.0.2:7000", EntryState::Leaving) == PeerChange::State);
    CHECK(apply(1, "10.0.0.2:7000", EntryState::Ready) == PeerChange::None);
    CHECK(table.live(Now).front().state == EntryState::Leaving);
    CHECK(apply(3, "10.0.0.9:7000", EntryState::Starting) == PeerChange::Added);
    CHECK(table.live(Now).front().address == "10.0.0.9:7000");
}

TEST_CASE("peer messages survive encoding and decoding, and truncated ones are rejected", "[peertable]")
{
    auto sent = message(EntryState::Ready);
    sent.known = {{0, 5}, {0, 9}, {}, 0};
    sent.work.items.push_back({77, 0, true, false, 10, 5, -20, 250, 30, 1.5F, {{3, 12.5F, 900}}});
    sent.work.ended = {1, 2};
    const auto bytes = pomeloport::detail::encodeCompact(sent);
    const auto read = pomeloport::detail::decodeCompact<PeerMessage>(bytes);
    REQUIRE(read);
    CHECK(read->known.backends.revision == 9);
    CHECK(read->work.items.front().dueInMs == -20);
    CHECK(read->work.items.front().parts.front().prefillMs == 12.5F);
    for (std::size_t length = 0; length < bytes.size(); ++length) {
        CHECK_FALSE(pomeloport::detail::decodeCompact<PeerMessage>(std::string_view(bytes).substr(0, length)));
    }
}

TEST_CASE("a peer is added with its description, which later messages may omit", "[peertable]")
{
    PeerTable table("10.0.0.1:7000", "a");
    auto brief = message(EntryState::Ready);
    brief.description.reset();
    CHECK(table.applyMessage({"b", 1}, "10.0.0.2:7000", brief, Now) == PeerChange::None);
    CHECK(table.live(Now).empty());
    CHECK(table.applyMessage({"b", 1}, "10.0.0.2:7000", message(EntryState::Ready), Now) == PeerChange::Added);
    CHECK(table.applyMessage({"b", 1}, "10.0.0.2:7000", brief, Now + 800ms) == PeerChange::None);
    REQUIRE(table.live(Now + 1500ms).size() == 1);
    CHECK(table.live(Now + 1500ms).front().callerAddress == "10.0.0.2:80");
    // A restarted process is ignored until it sends its description.
    CHECK(table.applyMessage({"b", 2}, "10.0.0.2:7000", brief, Now + 900ms) == PeerChange::None);
    CHECK(table.live(Now + 900ms).front().incarnation == 1);
}

// Guards against versions of different eras of the store that are compared, and against messages that instances of
// earlier versions cannot read although the store names no era.
TEST_CASE("the eras of known changes follow the other parts of a message and are absent without eras", "[peertable]")
{
    PeerMessage sent;
    sent.known = {{0, 7}, {0, 9}, {}, 0};
    const auto without = encodePeerMessage(sent);
    sent.known = {{3, 7}, {2, 9}, {3, 1}, 77};
    const auto with = encodePeerMessage(sent);
    REQUIRE(decodePeerMessage(without));
    REQUIRE(decodePeerMessage(with));
    CHECK(decodePeerMessage(with)->known == sent.known);
    CHECK(decodePeerMessage(without)->known.routing == StoreVersion{0, 7});
    CHECK(with.starts_with(without));
    CHECK(StoreVersion{3, 1} > StoreVersion{2, 9});
    CHECK_FALSE(decodePeerMessage(with.substr(0, with.size() - 1)));
}
