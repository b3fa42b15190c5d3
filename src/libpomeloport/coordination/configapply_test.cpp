#include "pomeloport/coordination/configapply.h"

#include "pomeloport/coordination/configpatch.h"

#include <catch2/catch.hpp>

using namespace pomeloport;
using namespace std::chrono_literals;

namespace
{

/// Simulated network fault for one store call.
enum class Answer {
    Delivered,
    /// The store executes the call, but the reply is lost.
    Lost,
    /// The call never reaches the store.
    NeverSent,
};

/// In-memory store with a single object, against which edits run.
class Store
{
public:
    /// Runs an edit to its end. The Nth call meets the Nth fault; further calls are delivered.
    configapply::Done run(ConfigApply &edit, std::vector<Answer> answers = {})
    {
        Instant now{1h};
        auto step = edit.begin(now);
        for (std::size_t i = 0; std::holds_alternative<configapply::Call>(step); ++i) {
            const auto &wanted = std::get<configapply::Call>(step);
            now = std::max(now, wanted.at);
            const auto answer = i < answers.size() ? answers[i] : Answer::Delivered;
            StoreReply reply{wanted.call.id, StoreStatus::Unavailable, {}, 0};
            if (answer != Answer::NeverSent) {
                auto executed = execute(wanted.call);
                reply = answer == Answer::Delivered ? executed : reply;
            }
            step = edit.handle(reply, now);
        }
        return std::get<configapply::Done>(step);
    }

    StoreReply execute(const StoreCall &call)
    {
        StoreReply reply{call.id, StoreStatus::Ok, {}, version};
        if (call.operation == StoreOperation::Get) {
            if (version == 0) {
                reply.status = StoreStatus::NotFound;
                return reply;
            }
        } else if (call.ifVersion != version) {
            reply.status = StoreStatus::Conflict;
        } else {
            value = call.value;
            ++version;
            ++writes;
        }
        reply.objects = {{call.kind, call.name, value, version, false}};
        return reply;
    }

    std::string yaml() const
    {
        return decodeConfigObject(value)->yaml;
    }

    std::uint64_t version = 0;
    std::string value;
    int writes = 0;
};

ConfigApply makeEdit(const std::string &yaml, std::optional<std::uint64_t> ifVersion = {})
{
    return {{yaml, "token of " + yaml, ifVersion}, Instant{1h} + 10s};
}

} // namespace

TEST_CASE("config apply creates and updates declarations and does not rewrite identical ones")
{
    Store store;
    auto first = makeEdit("a: 1");
    CHECK(store.run(first).result == ApplyResult::Applied);
    auto second = makeEdit("a: 2");
    CHECK(store.run(second).version == 2);
    auto same = makeEdit("a: 2");
    CHECK(store.run(same).result == ApplyResult::Applied);
    auto other = ConfigApply({"a: 2", "another token", {}}, Instant{1h} + 10s);
    CHECK(store.run(other).result == ApplyResult::Unchanged);
    CHECK(store.writes == 2);
}

TEST_CASE("config apply reports success after a lost reply without writing twice")
{
    Store store;
    auto edit = makeEdit("a: 1");
    const auto done = store.run(edit, {Answer::Delivered, Answer::Lost});
    CHECK(done.result == ApplyResult::Applied);
    CHECK(done.version == 1);
    CHECK(store.writes == 1);
}

TEST_CASE("config apply recognises its write after a lost reply even if a later edit has replaced it")
{
    Store store;
    auto edit = makeEdit("a: 1");
    auto step = edit.begin(Instant{1h});
    step = edit.handle(store.execute(std::get<configapply::Call>(step).call), Instant{1h});
    store.execute(std::get<configapply::Call>(step).call);
    auto later = makeEdit("a: 2");
    REQUIRE(store.run(later).result == ApplyResult::Applied);
    step = edit.handle({0, StoreStatus::Unavailable, {}, 0}, Instant{1h});
    step = edit.handle(store.execute(std::get<configapply::Call>(step).call), Instant{1h} + 1s);
    CHECK(std::get<configapply::Done>(step).result == ApplyResult::Applied);
    CHECK(store.yaml() == "a: 2");
}

TEST_CASE("config apply repeats a write that never reached the store")
{
    Store store;
    auto edit = makeEdit("a: 1");
    CHECK(store.run(edit, {Answer::Delivered, Answer::NeverSent}).result == ApplyResult::Applied);
    CHECK(store.writes == 1);
}

TEST_CASE("config apply reports a conflict together with the declarations in the store")
{
    Store store;
    auto first = makeEdit("a: 1");
    store.run(first);
    auto winner = makeEdit("a: 2", 1);
    auto loser = makeEdit("a: 3", 1);
    CHECK(store.run(winner).result == ApplyResult::Applied);
    const auto done = store.run(loser);
    CHECK(done.result == ApplyResult::Conflict);
    CHECK(done.storedYaml == "a: 2");
    CHECK(store.yaml() == "a: 2");
}

TEST_CASE("config apply distinguishes an edit never written from an uncertain one when the store stays unavailable")
{
    Store store;
    auto unread = makeEdit("a: 1");
    CHECK(store.run(unread, std::vector(20, Answer::NeverSent)).result == ApplyResult::NotApplied);
    auto written = makeEdit("a: 1");
    std::vector<Answer> answers(20, Answer::NeverSent);
    answers[0] = Answer::Delivered;
    CHECK(store.run(written, answers).result == ApplyResult::Uncertain);
}
