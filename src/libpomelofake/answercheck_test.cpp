#include "pomelofake/answercheck.h"

#include "pomelofake/answer.h"
#include "pomelofake/prompttext.h"
#include "pomelofake/trace.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace pomelofake;

namespace
{

constexpr std::uint64_t Right = 11;
constexpr std::uint64_t Other = 12;

AnswerCheck afterChunks(std::initializer_list<std::uint64_t> indexes)
{
    auto check = AnswerCheck::ofEngine({Right}, 3);
    for (const auto index : indexes) {
        check.addChunk(index, chunkText(Right, index));
    }
    check.end(3, answerDigest(Right, 3));
    return check;
}

} // namespace

TEST_CASE("answer check: whole answers pass; missing, repeated and swapped chunks do not")
{
    CHECK(afterChunks({0, 1, 2}).right());
    CHECK_FALSE(afterChunks({0, 1}).right());
    CHECK_FALSE(afterChunks({0, 1, 1, 2}).right());
    CHECK_FALSE(afterChunks({0, 2, 1}).right());
    CHECK_FALSE(afterChunks({0, 1, 2, 3}).right());
}

TEST_CASE("answer check: another's chunk, a mix of two right answers and a wrong digest do not pass")
{
    auto foreign = AnswerCheck::ofEngine({Right}, 2);
    foreign.addChunk(0, chunkText(Right, 0));
    foreign.addChunk(1, chunkText(Other, 1));
    CHECK_FALSE(foreign.right());

    auto mixed = AnswerCheck::ofEngine({Right, Other}, 2);
    mixed.addChunk(0, chunkText(Other, 0));
    CHECK(mixed.right());
    mixed.addChunk(1, chunkText(Right, 1));
    CHECK_FALSE(mixed.right());

    auto digest = AnswerCheck::ofEngine({Right}, 1);
    digest.addChunk(0, chunkText(Right, 0));
    digest.end(1, answerDigest(Other, 1));
    CHECK_FALSE(digest.right());
}

TEST_CASE("answer check: whole answers in one text")
{
    const auto text = chunkText(Right, 0) + chunkText(Right, 1);
    auto right = AnswerCheck::ofEngine({Other, Right}, 2);
    right.whole(2, answerDigest(Right, 2), text);
    CHECK(right.fault().empty());
    auto cut = AnswerCheck::ofEngine({Right}, 2);
    cut.whole(1, answerDigest(Right, 1), chunkText(Right, 0));
    CHECK_FALSE(cut.right());
    auto longer = AnswerCheck::ofEngine({Right}, 2);
    longer.whole(2, answerDigest(Right, 2), text + " more");
    CHECK_FALSE(longer.right());

    const auto result = serviceResult("key", "body");
    auto service = AnswerCheck::ofService(result);
    service.whole(1, digestOf(result), result);
    CHECK(service.fault().empty());
    auto wrong = AnswerCheck::ofService(result);
    wrong.whole(1, digestOf("done"), "done");
    CHECK_FALSE(wrong.right());
}

TEST_CASE("trace: one prompt in fifty is longer than 100,000 tokens, and the crest sends more")
{
    TraceSettings settings;
    settings.shape = GENERATE(LoadShape::Clipback, LoadShape::Kandy);
    settings.length = std::chrono::seconds(400);
    settings.baseRate = 100;
    settings.crestFactor = 4;
    const auto trace = makeTrace(settings);
    const auto isLong = [](const TraceEntry &entry) {
        return entry.promptTokens > 100'000;
    };
    const auto share = static_cast<double>(std::ranges::count_if(trace, isLong)) / static_cast<double>(trace.size());
    CHECK(share > 0.016);
    CHECK(share < 0.024);
    const auto inCrest = [&settings](const TraceEntry &entry) {
        return entry.at % settings.swingPeriod >= settings.swingPeriod * 3 / 4;
    };
    const auto crest = static_cast<double>(std::ranges::count_if(trace, inCrest));
    const auto rest = static_cast<double>(trace.size()) - crest;
    CHECK(crest / (rest / 3) > 3.6);
    CHECK(crest / (rest / 3) < 4.4);
    CHECK(std::ranges::is_sorted(trace, {}, &TraceEntry::at));
}

TEST_CASE("prompt text: prompts have the length asked for, differ, and share a beginning within a family")
{
    const PromptText text(100'000);
    const auto first = text.make(20'000, 3, 1);
    const auto second = text.make(20'000, 3, 2);
    CHECK(promptTokens(first.size()) == 20'000);
    CHECK(first != second);
    CHECK(first.substr(0, 8'192 * 4) == second.substr(0, 8'192 * 4));
    CHECK(text.make(20'000, 4, 1).substr(0, 2'048) != first.substr(0, 2'048));
    CHECK(promptTokens(text.make(100'000, 9, 77).size()) == 100'000);
}
