#include "pomeloport/coordination/requestadmission.h"

#include "pomeloport/lastreason.h"

#include <catch2/catch.hpp>

using namespace pomeloport;

namespace
{

constexpr std::uint64_t NowMs = 1'700'000'000'000;
const AdmissionTime Time{Instant{std::chrono::seconds(5)}, WallTime{std::chrono::milliseconds(NowMs)}};

Snapshot snapshotWithIntents()
{
    Snapshot snapshot;
    snapshot.declarations.organisations = {{"clipback", "token-c", 1}, {"kandy", "token-k", 1}, {"tokenless", "", 1}};
    Intent urgent{"urgent", {"clipback"}, {"ask"}, {{{"desk", "hire"}}}, {}, "large", "notes", "2"};
    urgent.priority = IntentPriority::Interactive;
    snapshot.declarations.intents = {urgent, {"plain", {}, {"ask"}, {}, {{{"tier", "a"}}}, "small", "", ""}};
    snapshot.declarations.intents.push_back({"bookings", {"clipback"}, {"book"}, {}, {}, "", "", ""});
    return snapshot;
}

AdmissionResult admit(const std::string &body, std::string_view token = "token-c")
{
    const auto request = decodeCallerRequest(body);
    if (!request) {
        return Failure{Verdict::NotRun, ReasonCode::BadRequest, lastReason(), std::nullopt};
    }
    return admitRequest(*request, token, snapshotWithIntents(), {}, Time);
}

ReasonCode refusal(const std::string &body, std::string_view token = "token-c")
{
    const auto result = admit(body, token);
    const auto *failure = std::get_if<Failure>(&result);
    REQUIRE(failure);
    REQUIRE(failure->verdict == (failure->reason == ReasonCode::KeyExpired ? Verdict::MayHaveRun : Verdict::NotRun));
    return failure->reason;
}

std::string booking(std::uint64_t issuedAt)
{
    return R"({"kind":"book","prompt":"p","non_idempotent":true,"idempotency_key":"k","issued_at_ms":)"
        + std::to_string(issuedAt) + "}";
}

} // namespace

TEST_CASE("request admission resolves the first matching intent")
{
    const auto urgent = admit(R"({"kind":"ask","prompt":"hello","labels":{"desk":"hire"},"deadline_ms":250})");
    const auto &spec = std::get<RequestSpec>(urgent);
    REQUIRE(spec.intent == "urgent");
    REQUIRE(spec.model == "large");
    REQUIRE(spec.priority == IntentPriority::Interactive);
    REQUIRE(spec.promptTokens == 2);
    REQUIRE(spec.deadline == Time.now + std::chrono::milliseconds(250));
    REQUIRE(std::get<RequestSpec>(admit(R"({"kind":"ask","prompt":"x"})")).intent == "plain");
    REQUIRE(std::get<RequestSpec>(admit(R"({"kind":"ask","prompt":"x"})", "token-k")).engines.matchLabels.size() == 1);
    const auto service = std::get<RequestSpec>(admit(booking(NowMs)));
    REQUIRE(service.backendKind == BackendKind::Service);
    REQUIRE(service.nonIdempotent);
}

TEST_CASE("request admission refuses bad input with a reason, as not_run unless the key has expired")
{
    REQUIRE(refusal("{") == ReasonCode::BadRequest);
    REQUIRE(refusal("[]") == ReasonCode::BadRequest);
    REQUIRE(refusal(R"({"kind":"ask"})") == ReasonCode::BadRequest);
    REQUIRE(refusal(R"({"kind":"ask","prompt":""})") == ReasonCode::BadRequest);
    REQUIRE(refusal(R"({"kind":"ask","prompt":"x","prompt_tokens":[1]})") == ReasonCode::BadRequest);
    REQUIRE(refusal(R"({"kind":"ask","prompt_tokens":[1,"x"]})") == ReasonCode::BadRequest);
    REQUIRE(refusal(R"({"kind":"ask","prompt_tokens":[-1]})") == ReasonCode::BadRequest);
    REQUIRE(refusal(R"({"kind":"ask","prompt":"x","max_token":3})") == ReasonCode::BadRequest);
    REQUIRE(refusal(R"({"kind":"ask","prompt":"x","max_tokens":0})") == ReasonCode::BadRequest);
    REQUIRE(refusal(R"({"kind":"ask","prompt":"x","labels":{"a":1}})") == ReasonCode::BadRequest);
    REQUIRE(refusal(R"({"kind":"ask","prompt":"x","deadline_ms":-1})") == ReasonCode::DeadlinePassed);
    REQUIRE(refusal(R"({"kind":"ask","prompt":"x"})", "") == ReasonCode::Unauthorised);
    REQUIRE(refusal(R"({"kind":"ask","prompt":"x"})", "guess") == ReasonCode::UnknownOrganisation);
    REQUIRE(refusal(R"({"kind":"sing","prompt":"x"})") == ReasonCode::NoMatchingIntent);
    REQUIRE(refusal(R"({"kind":"ask","prompt":"x","model":"other"})") == ReasonCode::NoMatchingIntent);
    REQUIRE(refusal(R"({"kind":"book","prompt":"x","non_idempotent":true})") == ReasonCode::MissingKey);
    REQUIRE(refusal(booking(NowMs + 3'600'000)) == ReasonCode::BadRequest);
    REQUIRE(refusal(booking(1)) == ReasonCode::KeyExpired);
}

TEST_CASE("prompts given as token numbers are counted in tokens and have a digest different from the same text")
{
    const auto tokens = decodeCallerRequest(R"({"kind":"ask","prompt_tokens":[1,2,3]})");
    const auto text = decodeCallerRequest(R"({"kind":"ask","prompt":"[1,2,3]"})");
    REQUIRE(tokens->promptTokens == 3);
    REQUIRE(tokens->promptDigest != text->promptDigest);
    const auto longer = decodeCallerRequest(R"({"kind":"ask","prompt":")" + std::string(5000, 'a') + "\"}");
    REQUIRE(longer->prefixBlocks.size() == 2);
    REQUIRE(longer->prefixBlocks[0] != longer->prefixBlocks[1]);
}

TEST_CASE("caller events escape text for JSON")
{
    std::string event;
    appendChunkEvent(event, 3, "a\"b\\c\nd\x01");
    REQUIRE(event == "id: 3\ndata: {\"index\":3,\"text\":\"a\\\"b\\\\c\\nd\\u0001\"}\n\n");
    REQUIRE(endEvent(2, 255) == "event: end\ndata: {\"count\":2,\"digest\":\"ff\"}\n\n");
}
