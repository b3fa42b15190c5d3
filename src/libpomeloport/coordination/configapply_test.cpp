#include "pomeloport/coordination/configapply.h"

#include "pomeloport/coordination/configpatch.h"

#include <catch2/catch.hpp>

using namespace pomeloport;
using namespace std::chrono_literals;

namespace
{

/// What the network does to the answer of the Nth call.
enum class Answer {
    Delivered,
    Lost,
    NeverSent,
};

/// Carries an edit out against a store held in a map of one object.
class Store
{
public:
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

TEST_CASE("config apply creates, updates and recognises what is there")
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

TEST_CASE("config apply settles a lost answer without writing twice")
{
    Store store;
    auto edit = makeEdit("a: 1");
    const auto done = store.run(edit, {Answer::Delivered, Answer::Lost});
    CHECK(done.result == ApplyResult::Applied);
    CHECK(done.version == 1);
    CHECK(store.writes == 1);
}

TEST_CASE("config apply settles a lost answer although a later edit stands on top")
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

TEST_CASE("config apply repeats a write that never arrived")
{
    Store store;
    auto edit = makeEdit("a: 1");
    CHECK(store.run(edit, {Answer::Delivered, Answer::NeverSent}).result == ApplyResult::Applied);
    CHECK(store.writes == 1);
}

TEST_CASE("config apply reports a conflict with what the store holds")
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

TEST_CASE("config apply says whether a write may take effect when the store stays away")
{
    Store store;
    auto unread = makeEdit("a: 1");
    CHECK(store.run(unread, std::vector(20, Answer::NeverSent)).result == ApplyResult::NotApplied);
    auto written = makeEdit("a: 1");
    std::vector<Answer> answers(20, Answer::NeverSent);
    answers[0] = Answer::Delivered;
    CHECK(store.run(written, answers).result == ApplyResult::Uncertain);
}
