#include "pomeloentry/knowledge/fleetdocuments.h"

#include <catch2/catch.hpp>

using namespace pomeloentry;
using namespace std::chrono_literals;
using pomeloport::StoreObject;

namespace
{

constexpr auto Now = Instant(1h);

/// A version of a store without eras.
StoreVersion at(std::uint64_t revision)
{
    return {0, revision};
}

StoreObject object(const std::string &name, std::uint64_t version, bool removed = false)
{
    return {"servers", name, std::string("v").append(std::to_string(version)), version, removed};
}

} // namespace

TEST_CASE("lists and watches keep the latest version of each document", "[fleetdocuments]")
{
    FleetDocuments documents;
    CHECK(documents.replace({object("a", 3), object("b", 4)}, at(5), Now, Now));
    CHECK(documents.asOf() == at(5));
    CHECK(documents.apply({object("a", 7)}, at(7), Now, Now));
    CHECK_FALSE(documents.apply({object("a", 6)}, at(7), Now, Now));
    CHECK(documents.documents().at("a").text == "v7");
    CHECK(documents.apply({object("b", 4, true)}, at(8), Now, Now));
    CHECK_FALSE(documents.documents().contains("b"));
    CHECK(documents.lastChangeVersion() == at(8));
}

TEST_CASE("a list older than the replica is ignored", "[fleetdocuments]")
{
    FleetDocuments documents;
    documents.replace({object("a", 3)}, at(9), Now, Now);
    CHECK_FALSE(documents.replace({}, at(8), Now, Now));
    CHECK(documents.documents().contains("a"));
}

TEST_CASE("a delayed removal takes effect unless the document is written again in time", "[fleetdocuments]")
{
    FleetDocuments documents;
    documents.replace({object("a", 3), object("b", 4)}, at(5), Now, Now);
    CHECK_FALSE(documents.apply({object("a", 3, true), object("b", 4, true)}, at(7), Now + 2s, Now));
    CHECK(documents.documents().size() == 2);
    CHECK(documents.apply({object("a", 8)}, at(8), Now, Now + 1s));
    CHECK(documents.applyDueChanges(Now + 2s));
    CHECK(documents.documents().contains("a"));
    CHECK_FALSE(documents.documents().contains("b"));
}

TEST_CASE("a peer's copy is adopted only when it holds newer changes", "[fleetdocuments]")
{
    FleetDocuments behind;
    FleetDocuments ahead;
    behind.replace({object("a", 3)}, at(5), Now, Now);
    ahead.replace({object("a", 3)}, at(5), Now, Now);
    ahead.apply({object("a", 6)}, at(6), Now, Now);
    CHECK_FALSE(ahead.merge(behind.copy(Now), std::nullopt, Now));
    CHECK(behind.merge(ahead.copy(Now), std::nullopt, Now));
    CHECK(behind.documents().at("a").text == "v6");
    CHECK_FALSE(behind.merge(ahead.copy(Now), std::nullopt, Now));
}

TEST_CASE("a copy transfers pending removals", "[fleetdocuments]")
{
    FleetDocuments source;
    source.replace({object("a", 3), object("b", 4)}, at(5), Now, Now);
    CHECK_FALSE(source.apply({object("b", 4, true)}, at(8), Now + 2s, Now));
    FleetDocuments other;
    CHECK(other.merge(source.copy(Now), std::nullopt, Now));
    CHECK(other.documents().contains("b"));
    CHECK_FALSE(other.applyDueChanges(Now + 1900ms));
    CHECK(other.applyDueChanges(Now + 2s));
    CHECK_FALSE(other.documents().contains("b"));
}

TEST_CASE("a list that lacks a document advances the version of the last change", "[fleetdocuments]")
{
    FleetDocuments documents;
    documents.replace({object("a", 3), object("b", 4)}, at(5), Now, Now);
    CHECK(documents.lastChangeVersion() == at(4));
    documents.replace({object("a", 3)}, at(9), Now, Now);
    CHECK(documents.lastChangeVersion() == at(9));
}

// Guards against requests to a backend server that has left: a cut holds up the reply to a watch, the copy of a peer
// tells meanwhile that the server is gone, and then the reply arrives with an older change of its entry.
TEST_CASE("a delayed watch reply does not restore a document that has been removed since", "[fleetdocuments]")
{
    FleetDocuments documents;
    FleetDocuments peer;
    documents.replace({object("a", 3), object("b", 4)}, at(5), Now, Now);
    peer.replace({object("a", 3)}, at(8), Now, Now);
    peer.apply({object("c", 9)}, at(9), Now, Now);
    REQUIRE(documents.merge(peer.copy(Now), std::nullopt, Now));
    REQUIRE_FALSE(documents.documents().contains("b"));
    CHECK_FALSE(documents.apply({object("b", 6)}, at(6), Now, Now));
    CHECK_FALSE(documents.documents().contains("b"));
    CHECK(documents.asOf() == at(9));
    // A new entry of the same name is newer than the removal.
    CHECK(documents.apply({object("b", 10)}, at(10), Now, Now));
    CHECK(documents.documents().at("b").version == at(10));
}

// Guards against requests to a backend server that has left: an instance that was frozen learns of the removal late,
// with a delay because its own watch has failed, and its copy is the newest one. The others must not use the server
// again.
TEST_CASE("a copy with a delayed removal does not restore a document that is known to be gone", "[fleetdocuments]")
{
    FleetDocuments frozen;
    FleetDocuments other;
    frozen.replace({object("a", 3), object("b", 4)}, at(5), Now, Now);
    other.replace({object("a", 3), object("b", 4)}, at(5), Now, Now);
    REQUIRE(other.apply({object("b", 6, true)}, at(6), Now, Now));
    frozen.replace({object("a", 3)}, at(9), Now + 6s, Now + 4s);
    REQUIRE(frozen.documents().contains("b"));
    const auto ownRemoveAt = GENERATE(std::optional<Instant>{}, std::optional<Instant>{Now + 4s});
    CHECK_FALSE(other.merge(frozen.copy(Now + 4s), ownRemoveAt, Now + 4s));
    CHECK_FALSE(other.documents().contains("b"));
    CHECK(other.pendingRemovals() == 0);
    CHECK(other.asOf() == at(9));
}

TEST_CASE("a reader of the store does not obey the delay of a peer that lost the store", "[fleetdocuments]")
{
    FleetDocuments cut;
    FleetDocuments reader;
    cut.replace({object("a", 3), object("b", 4)}, at(5), Now, Now);
    reader.replace({object("a", 3), object("b", 4)}, at(5), Now, Now);
    cut.apply({object("b", 6, true)}, at(6), Now + 2s, Now);
    CHECK(reader.merge(cut.copy(Now), Now, Now));
    CHECK_FALSE(reader.documents().contains("b"));
}

TEST_CASE("the earliest of several removal times holds", "[fleetdocuments]")
{
    FleetDocuments cut;
    FleetDocuments undisturbed;
    FleetDocuments follower;
    for (auto *documents : {&cut, &undisturbed, &follower}) {
        documents->replace({object("a", 3), object("b", 4)}, at(5), Now, Now);
    }
    cut.apply({object("b", 6, true)}, at(6), Now + 2s, Now);
    undisturbed.apply({object("b", 6, true)}, at(6), Now, Now);
    CHECK_FALSE(follower.merge(cut.copy(Now), std::nullopt, Now));
    CHECK(follower.pendingRemovals() == 1);
    SECTION("the copy of a peer that has removed it")
    {
        CHECK(follower.merge(undisturbed.copy(Now), std::nullopt, Now));
        CHECK_FALSE(follower.documents().contains("b"));
    }
    SECTION("a copy with a later time")
    {
        FleetDocuments later;
        later.replace({object("a", 3), object("b", 4)}, at(5), Now, Now);
        later.apply({object("b", 6, true)}, at(7), Now + 4s, Now);
        CHECK_FALSE(follower.merge(later.copy(Now), std::nullopt, Now));
        CHECK(follower.applyDueChanges(Now + 2s));
    }
    SECTION("an own removal at once")
    {
        CHECK(follower.apply({object("b", 6, true)}, at(6), Now, Now));
        CHECK_FALSE(follower.documents().contains("b"));
    }
}

TEST_CASE("of two versions of a document the newer one stays, whoever learns of it first", "[fleetdocuments]")
{
    FleetDocuments left;
    FleetDocuments right;
    left.replace({object("a", 3), object("b", 4), object("c", 2)}, at(5), Now, Now);
    right.replace({object("a", 3), object("b", 4), object("c", 2)}, at(5), Now, Now);
    left.apply({object("b", 6), object("a", 7), object("c", 8, true)}, at(8), Now, Now);
    right.apply({object("b", 6)}, at(6), Now, Now);
    const auto leftCopy = left.copy(Now);
    left.merge(right.copy(Now), std::nullopt, Now);
    right.merge(leftCopy, std::nullopt, Now);
    CHECK(left.documents().at("a").version == at(7));
    CHECK(right.documents().at("a").version == at(7));
    CHECK(left.documents().at("b").version == at(6));
    CHECK(right.documents().at("b").version == at(6));
    CHECK_FALSE(left.documents().contains("c"));
    CHECK_FALSE(right.documents().contains("c"));
}

// Guards against changes that are taken for old ones, and removed documents that come back: a store that has come back
// from an older copy gives revisions out again.
TEST_CASE("revisions are compared within one era only", "[fleetdocuments][restore]")
{
    FleetDocuments documents;
    documents.replace({object("kept", 30), object("changed", 50), object("joined", 60)}, {1, 60}, Now, Now);
    documents.apply({object("removed", 61)}, {1, 61}, Now, Now);
    documents.apply({object("removed", 61, true)}, {1, 62}, Now, Now);
    REQUIRE_FALSE(documents.documents().contains("removed"));
    // The copy is of revision 45; "written" is new in this era, with a revision that was given out before.
    documents.replace(
        {object("kept", 30), object("changed", 40), object("removed", 44), object("written", 47)}, {2, 47}, Now, Now);
    CHECK(documents.asOf() == StoreVersion{2, 47});
    CHECK(documents.documents().at("kept").text == "v30");
    CHECK(documents.documents().at("changed").text == "v50");
    CHECK(documents.documents().at("joined").text == "v60");
    CHECK(documents.documents().at("written").text == "v47");
    CHECK_FALSE(documents.documents().contains("removed"));
    CHECK(documents.withheldDocuments() == 2);
    CHECK(documents.unconfirmedDocuments() == 1);
    SECTION("what is written anew counts at once")
    {
        CHECK(documents.apply({object("changed", 48), object("removed", 49), object("joined", 50)}, {2, 50}, Now, Now));
        CHECK(documents.documents().at("changed").text == "v48");
        CHECK(documents.documents().at("removed").text == "v49");
        CHECK(documents.documents().at("joined").text == "v50");
        CHECK(documents.retainedDigest() == 0);
    }
    SECTION("what nobody writes again is what the store has in the end")
    {
        CHECK(documents.applyDueChanges(Now + 5s));
        CHECK_FALSE(documents.documents().contains("joined"));
        CHECK(documents.applyDueChanges(Now + 30s));
        CHECK(documents.documents().at("changed").text == "v40");
        CHECK(documents.documents().at("removed").text == "v44");
        CHECK(documents.retainedDigest() == 0);
    }
    SECTION("lists, changes and copies of the earlier era are ignored")
    {
        FleetDocuments behind;
        behind.replace({object("kept", 30), object("other", 70)}, {1, 70}, Now, Now);
        CHECK_FALSE(documents.replace({object("other", 70)}, {1, 70}, Now, Now));
        CHECK_FALSE(documents.apply({object("other", 70)}, {1, 70}, Now, Now));
        CHECK_FALSE(documents.merge(behind.copy(Now), Now, Now));
        CHECK_FALSE(documents.documents().contains("other"));
        CHECK(documents.documents().size() == 4);
    }
    SECTION("an instance that has listed the restored store learns what others retain")
    {
        FleetDocuments started;
        started.replace({object("kept", 30), object("changed", 40), object("removed", 44), object("written", 47)},
                        {2, 47},
                        Now,
                        Now);
        REQUIRE(started.retainedDigest() != documents.retainedDigest());
        CHECK(started.merge(documents.copy(Now), Now, Now));
        CHECK(started.documents().at("changed").text == "v50");
        CHECK(started.documents().at("joined").text == "v60");
        CHECK_FALSE(started.documents().contains("removed"));
        CHECK(started.retainedDigest() == documents.retainedDigest());
        // Its copy changes nothing where it came from.
        CHECK_FALSE(documents.merge(started.copy(Now), Now, Now));
        CHECK(started.retainedDigest() == documents.retainedDigest());
    }
}
