#include "pomeloport/transport/platformclient.h"

#include <catch2/catch.hpp>

using namespace pomeloport;

TEST_CASE("store calls are encoded in the platform's HTTP form")
{
    const auto update = encodeStoreCall({1, StoreOperation::Update, "claims", "org/key 1", 7, "value"});
    CHECK(update.method == "PUT");
    CHECK(update.target == "/v1/objects/claims/org%2Fkey%201?if_version=7");
    CHECK(update.body == "value");
    CHECK(encodeStoreCall({1, StoreOperation::Create, "a", "b", 9, ""}).target == "/v1/objects/a/b?if_version=0");
    CHECK(encodeStoreCall({1, StoreOperation::Watch, "config", "", 4, ""})
              .target.starts_with("/v1/watch/config?after=4&"));
}

TEST_CASE("store replies distinguish rejected writes from writes with an unknown outcome")
{
    const StoreCall write{3, StoreOperation::Update, "config", "declarations", 7, "new"};
    const StoreCall read{4, StoreOperation::Get, "config", "declarations", 0, ""};
    CHECK(decodeStoreReply(write, std::nullopt, false).status == StoreStatus::Rejected);
    CHECK(decodeStoreReply(write, std::nullopt, true).status == StoreStatus::Unavailable);
    CHECK(decodeStoreReply(read, std::nullopt, false).status == StoreStatus::Unavailable);
    CHECK(decodeStoreReply(write, HttpReply{429, ""}, true).status == StoreStatus::Rejected);
    CHECK(decodeStoreReply(write, HttpReply{503, ""}, true).status == StoreStatus::Unavailable);
    CHECK(decodeStoreReply(write, HttpReply{200, "garbled"}, true).status == StoreStatus::Unavailable);
    const auto written = decodeStoreReply(write, HttpReply{200, R"({"version": 8})"}, true);
    CHECK(written.status == StoreStatus::Ok);
    CHECK(written.objects.at(0).version == 8);
    const auto conflict = decodeStoreReply(
        write, HttpReply{409, R"({"kind":"config","name":"declarations","version":9,"value":"x"})"}, true);
    CHECK(conflict.status == StoreStatus::Conflict);
    CHECK(conflict.objects.at(0).value == "x");
    const StoreCall watch{5, StoreOperation::Watch, "config", "", 7, ""};
    const auto changes = decodeStoreReply(
        watch, HttpReply{200, R"({"version":9,"objects":[{"name":"a","version":9,"value":"","removed":true}]})"}, true);
    CHECK(changes.objects.at(0).removed);
    CHECK(changes.storeVersion == 9);
}

TEST_CASE("decoding the platform's instance list skips malformed entries")
{
    const auto list = decodePlatformInstances(
        R"({"instances":[{"name":"e1","address":"127.0.0.1:1","kind":"entry","state":"leaving"},{"name":"x"}]})");
    REQUIRE(list);
    REQUIRE(list->size() == 1);
    CHECK(list->at(0).leaving);
    CHECK_FALSE(decodePlatformInstances("[]"));
}
