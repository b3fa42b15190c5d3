#include "pomeloentry/fleetdocuments.h"

#include <catch2/catch.hpp>

using namespace pomeloentry;
using namespace std::chrono_literals;
using pomeloport::StoreObject;

namespace
{

constexpr auto Now = Instant(1h);

StoreObject object(const std::string &name, std::uint64_t version, bool removed = false)
{
    return {"servers", name, std::string("v").append(std::to_string(version)), version, removed};
}

} // namespace

TEST_CASE("lists and watches keep the latest version of each document", "[fleetdocuments]")
{
    FleetDocuments documents;
    CHECK(documents.replace({object("a", 3), object("b", 4)}, 5, Now, Now));
    CHECK(documents.asOf() == 5);
    CHECK(documents.apply({object("a", 7)}, 7, Now, Now));
    CHECK_FALSE(documents.apply({object("a", 6)}, 7, Now, Now));
    CHECK(documents.documents().at("a").text == "v7");
    CHECK(documents.apply({object("b", 4, true)}, 8, Now, Now));
    CHECK_FALSE(documents.documents().contains("b"));
    CHECK(documents.lastChangeVersion() == 8);
}

TEST_CASE("a list older than the replica is ignored", "[fleetdocuments]")
{
    FleetDocuments documents;
    documents.replace({object("a", 3)}, 9, Now, Now);
    CHECK_FALSE(documents.replace({}, 8, Now, Now));
    CHECK(documents.documents().contains("a"));
}

TEST_CASE("a delayed removal takes effect unless the document is written again in time", "[fleetdocuments]")
{
    FleetDocuments documents;
    documents.replace({object("a", 3), object("b", 4)}, 5, Now, Now);
    CHECK_FALSE(documents.apply({object("a", 3, true), object("b", 4, true)}, 7, Now + 2s, Now));
    CHECK(documents.documents().size() == 2);
    CHECK(documents.apply({object("a", 8)}, 8, Now, Now + 1s));
    CHECK(documents.applyDueRemovals(Now + 2s));
    CHECK(documents.documents().contains("a"));
    CHECK_FALSE(documents.documents().contains("b"));
}

TEST_CASE("a peer's copy is adopted only when it holds newer changes", "[fleetdocuments]")
{
    FleetDocuments behind;
    FleetDocuments ahead;
    behind.replace({object("a", 3)}, 5, Now, Now);
    ahead.replace({object("a", 3)}, 5, Now, Now);
    ahead.apply({object("a", 6)}, 6, Now, Now);
    CHECK_FALSE(ahead.adopt(behind.copy(Now), Now));
    CHECK(behind.adopt(ahead.copy(Now), Now));
    CHECK(behind.documents().at("a").text == "v6");
    CHECK_FALSE(behind.adopt(ahead.copy(Now), Now));
}

TEST_CASE("a copy transfers pending removals", "[fleetdocuments]")
{
    FleetDocuments source;
    source.replace({object("a", 3), object("b", 4)}, 5, Now, Now);
    CHECK_FALSE(source.apply({object("b", 4, true)}, 8, Now + 2s, Now));
    FleetDocuments other;
    CHECK(other.adopt(source.copy(Now), Now));
    CHECK(other.documents().contains("b"));
    CHECK_FALSE(other.applyDueRemovals(Now + 1900ms));
    CHECK(other.applyDueRemovals(Now + 2s));
    CHECK_FALSE(other.documents().contains("b"));
}

TEST_CASE("a list that lacks a document advances the version of the last change", "[fleetdocuments]")
{
    FleetDocuments documents;
    documents.replace({object("a", 3), object("b", 4)}, 5, Now, Now);
    CHECK(documents.lastChangeVersion() == 4);
    documents.replace({object("a", 3)}, 9, Now, Now);
    CHECK(documents.lastChangeVersion() == 9);
}

// Guards against requests to a backend server that has left: a cut holds up the reply to a watch, the copy of a peer
// tells meanwhile that the server is gone, and then the reply arrives with an older change of its entry.
TEST_CASE("a delayed watch reply does not restore a document that has been removed since", "[fleetdocuments]")
{
    FleetDocuments documents;
    FleetDocuments peer;
    documents.replace({object("a", 3), object("b", 4)}, 5, Now, Now);
    peer.replace({object("a", 3)}, 8, Now, Now);
    peer.apply({object("c", 9)}, 9, Now, Now);
    REQUIRE(documents.adopt(peer.copy(Now), Now));
    REQUIRE_FALSE(documents.documents().contains("b"));
    CHECK_FALSE(documents.apply({object("b", 6)}, 6, Now, Now));
    CHECK_FALSE(documents.documents().contains("b"));
    CHECK(documents.asOf() == 9);
    // A new entry of the same name is newer than the removal.
    CHECK(documents.apply({object("b", 10)}, 10, Now, Now));
    CHECK(documents.documents().at("b").version == 10);
}
