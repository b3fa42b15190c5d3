#include "pomelofake/platformmodel.h"

#include <catch2/catch.hpp>

using namespace pomelofake;
using pomeloport::Instant;
using pomeloport::StoreCall;
using pomeloport::StoreOperation;
using pomeloport::StoreReply;
using pomeloport::StoreStatus;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr Instant Start = Instant(seconds(100));

StoreCall callOf(StoreOperation operation, std::string name, std::uint64_t ifVersion = 0, std::string value = {})
{
    return {7, operation, "config", std::move(name), ifVersion, std::move(value)};
}

StoreReply executeNow(PlatformModel &platform, const StoreCall &call, Instant now = Start)
{
    const auto ticket = platform.submit(call, now);
    const auto replies = platform.advance(now);
    REQUIRE(replies.size() == 1);
    CHECK(replies[0].ticket == ticket);
    CHECK(replies[0].reply.id == call.id);
    return replies[0].reply;
}

} // namespace

TEST_CASE("platform model: conditional writes succeed for one of two writers, and versions rise")
{
    PlatformModel platform({});
    const auto created = executeNow(platform, callOf(StoreOperation::Create, "a", 0, "one"));
    REQUIRE(created.status == StoreStatus::Ok);
    const auto version = created.objects[0].version;
    CHECK(executeNow(platform, callOf(StoreOperation::Create, "a", 0, "two")).status == StoreStatus::Conflict);
    const auto updated = executeNow(platform, callOf(StoreOperation::Update, "a", version, "three"));
    CHECK(updated.objects[0].version > version);
    const auto late = executeNow(platform, callOf(StoreOperation::Update, "a", version, "four"));
    CHECK(late.status == StoreStatus::Conflict);
    CHECK(late.objects[0].value == "three");
    CHECK(executeNow(platform, callOf(StoreOperation::Remove, "a", version)).status == StoreStatus::Conflict);
    const auto removal = callOf(StoreOperation::Remove, "a", updated.objects[0].version);
    CHECK(executeNow(platform, removal).status == StoreStatus::Ok);
    CHECK(executeNow(platform, callOf(StoreOperation::Get, "a")).status == StoreStatus::NotFound);
    CHECK(executeNow(platform, callOf(StoreOperation::Create, "a", 0, "new")).status == StoreStatus::Ok);
}

TEST_CASE("platform model: a lost answer hides a write that took effect")
{
    PlatformModel platform({});
    PlatformFaults faults;
    faults.loseNextAnswers = 1;
    platform.setFaults(faults, Start);
    CHECK(executeNow(platform, callOf(StoreOperation::Create, "a", 0, "x")).status == StoreStatus::Unavailable);
    CHECK(executeNow(platform, callOf(StoreOperation::Get, "a")).objects.at(0).value == "x");
}

TEST_CASE("platform model: an outage or a rejection leaves the store unchanged")
{
    PlatformModel platform({});
    PlatformFaults faults;
    faults.outage = true;
    platform.setFaults(faults, Start);
    CHECK(executeNow(platform, callOf(StoreOperation::Create, "a", 0, "x")).status == StoreStatus::Unavailable);
    faults = {};
    faults.rejectAll = true;
    platform.setFaults(faults, Start);
    CHECK(executeNow(platform, callOf(StoreOperation::Create, "a", 0, "x")).status == StoreStatus::Rejected);
    platform.setFaults({}, Start);
    CHECK(executeNow(platform, callOf(StoreOperation::Get, "a")).status == StoreStatus::NotFound);
}

TEST_CASE("platform model: a watch waits for a change, counts once and ends by itself")
{
    PlatformModel platform({});
    platform.submit(callOf(StoreOperation::Watch, ""), Start);
    CHECK(platform.advance(Start + seconds(1)).empty());
    platform.submit(callOf(StoreOperation::Create, "a", 0, "x"), Start + seconds(1));
    const auto replies = platform.advance(Start + seconds(1));
    REQUIRE(replies.size() == 2);
    CHECK(replies[1].reply.objects.at(0).value == "x");
    CHECK(platform.counts().at("watch") == 1);

    platform.submit(callOf(StoreOperation::Watch, "", platform.version()), Start + seconds(2), seconds(3));
    CHECK(platform.nextEventAt() == Start + seconds(5));
    const auto ended = platform.advance(Start + seconds(5));
    REQUIRE(ended.size() == 1);
    CHECK(ended[0].reply.status == StoreStatus::Ok);
    CHECK(ended[0].reply.objects.empty());
}

TEST_CASE("platform model: stale reads show the past, a delay holds back replies")
{
    PlatformModel platform({});
    const auto version = executeNow(platform, callOf(StoreOperation::Create, "a", 0, "old")).objects[0].version;
    const auto later = Start + seconds(10);
    executeNow(platform, callOf(StoreOperation::Update, "a", version, "new"), later);
    PlatformFaults faults;
    faults.staleReads = seconds(5);
    platform.setFaults(faults, later);
    CHECK(executeNow(platform, callOf(StoreOperation::Get, "a"), later + seconds(1)).objects[0].value == "old");
    CHECK(executeNow(platform, callOf(StoreOperation::List, "a"), later + seconds(6)).objects[0].value == "new");
    faults = {};
    faults.delay = milliseconds(300);
    platform.setFaults(faults, later + seconds(6));
    platform.submit(callOf(StoreOperation::Get, "a"), later + seconds(6));
    CHECK(platform.advance(later + seconds(6)).empty());
    CHECK(platform.advance(later + seconds(6) + milliseconds(300)).size() == 1);
}

TEST_CASE("platform model: rate limits reject writes and weight loads above them")
{
    PlatformModelSettings settings;
    settings.writesPerSecond = 2;
    settings.weightLoadsPerMinute = 1;
    PlatformModel platform(settings);
    CHECK(executeNow(platform, callOf(StoreOperation::Create, "a")).status == StoreStatus::Ok);
    CHECK(executeNow(platform, callOf(StoreOperation::Create, "b")).status == StoreStatus::Ok);
    CHECK(executeNow(platform, callOf(StoreOperation::Create, "c")).status == StoreStatus::Rejected);
    CHECK(executeNow(platform, callOf(StoreOperation::Create, "c"), Start + seconds(1)).status == StoreStatus::Ok);
    CHECK(platform.takeWeights(Start + seconds(1)));
    CHECK_FALSE(platform.takeWeights(Start + seconds(2)));
    CHECK(platform.takeWeights(Start + seconds(62)));
}

TEST_CASE("platform model: the instance list lags")
{
    PlatformModelSettings settings;
    settings.instanceListLag = seconds(3);
    PlatformModel platform(settings);
    platform.registerInstance({"engine-1", "127.0.0.1:1", PlatformInstanceKind::Engine, {}}, Start);
    CHECK(platform.instances(Start + seconds(2)).empty());
    CHECK(platform.instances(Start + seconds(3)).size() == 1);
    platform.registerInstance({"engine-1", "127.0.0.1:1", PlatformInstanceKind::Engine, PlatformInstanceState::Gone},
                              Start + seconds(4));
    CHECK(platform.instances(Start + seconds(5)).size() == 1);
    CHECK(platform.instances(Start + seconds(7)).empty());
}
