#include "pomeloport/coordination/requestadmission.h"

#include "pomeloport/coordination/eligibility.h"

#include <xxhash.h>

#include <algorithm>
#include <chrono>
#include <optional>

namespace pomeloport
{

namespace
{

Failure notRun(ReasonCode reason, std::string detail)
{
    return {Verdict::NotRun, reason, std::move(detail), std::nullopt};
}

bool emptyOrContains(const std::vector<std::string> &list, const std::string &name)
{
    return list.empty() || std::ranges::find(list, name) != list.end();
}

std::optional<Failure> checkNames(const CallerRequest &request, const RequestLimits &limits)
{
    if (request.kind.empty() || request.kind.size() > limits.nameBytes) {
        return notRun(ReasonCode::BadRequest, "kind must have 1 to " + std::to_string(limits.nameBytes) + " bytes");
    }
    const auto tooLong = [&limits](const auto &label) {
        return label.first.size() > limits.nameBytes || label.second.size() > limits.nameBytes;
    };
    if (request.labels.size() > limits.labelCount || std::ranges::any_of(request.labels, tooLong)) {
        return notRun(ReasonCode::BadRequest, "too many labels, or a label is too long");
    }
    if (request.maxTokens && (*request.maxTokens == 0 || *request.maxTokens > limits.maximumTokens)) {
        return notRun(ReasonCode::BadRequest, "max_tokens must be 1 to " + std::to_string(limits.maximumTokens));
    }
    if (request.promptTokens == 0) {
        return notRun(ReasonCode::BadRequest, "the prompt is empty");
    }
    return std::nullopt;
}

std::optional<Failure> checkDeadline(const CallerRequest &request, const ServiceLimits &limits)
{
    if (request.deadlineMs && *request.deadlineMs <= 0) {
        return notRun(ReasonCode::DeadlinePassed, "the deadline is in the past");
    }
    if (request.deadlineMs && *request.deadlineMs > limits.maximumDeadlineMs) {
        return notRun(ReasonCode::BadRequest,
                      "deadline_ms must be at most " + std::to_string(limits.maximumDeadlineMs));
    }
    return std::nullopt;
}

std::optional<Failure> checkKey(const CallerRequest &request,
                                const RequestLimits &limits,
                                std::uint64_t retentionMs,
                                WallTime now)
{
    if (!request.nonIdempotent) {
        return std::nullopt;
    }
    if (request.idempotencyKey.empty() || request.issuedAtMs == 0) {
        return notRun(ReasonCode::MissingKey, "a non-idempotent request needs idempotency_key and issued_at_ms");
    }
    if (request.idempotencyKey.size() > limits.nameBytes) {
        return notRun(ReasonCode::BadRequest, "idempotency_key is too long");
    }
    const auto nowMs = static_cast<std::uint64_t>(now.time_since_epoch().count());
    if (request.issuedAtMs > nowMs + static_cast<std::uint64_t>(limits.clockTolerance.count())) {
        return notRun(ReasonCode::BadRequest, "issued_at_ms is in the future");
    }
    if (request.issuedAtMs + retentionMs < nowMs) {
        return Failure{Verdict::MayHaveRun,
                       ReasonCode::KeyExpired,
                       "the idempotency key is older than the retention window; its action may have run before",
                       std::nullopt};
    }
    return std::nullopt;
}

/// Returns the digest that determines whether two requests with the same idempotency key ask for the same action.
std::uint64_t bodyDigest(const CallerRequest &request)
{
    std::uint64_t digest = XXH64(request.kind.data(), request.kind.size(), request.promptDigest);
    return XXH64(request.model.data(), request.model.size(), digest);
}

/// Refuses long prompts that exceed the KV memory of all suitable engines together. Other prompts are left to
/// placement.
std::optional<Failure> checkSize(const RequestSpec &spec, const Snapshot &snapshot)
{
    if (spec.backendKind != BackendKind::Engine || spec.promptTokens <= MediumPromptTokens) {
        return std::nullopt;
    }
    std::uint64_t total = 0;
    const auto members = poolMembers(poolKey(spec), snapshot);
    for (const auto index : members) {
        total += snapshot.backends[index].server.kvTokens;
    }
    if (members.empty() || total >= spec.promptTokens + spec.maxTokens) {
        return std::nullopt;
    }
    return notRun(ReasonCode::PromptTooLarge,
                  "the prompt and its answer need " + std::to_string(spec.promptTokens + spec.maxTokens)
                      + " tokens of KV memory; all suitable engines together have " + std::to_string(total));
}

RequestSpec makeSpec(const CallerRequest &request,
                     const Organisation &organisation,
                     const Intent &intent,
                     const RequestLimits &limits)
{
    RequestSpec spec;
    spec.organisation = organisation.name;
    spec.kind = request.kind;
    spec.intent = intent.name;
    spec.backendKind = intent.model.empty() ? BackendKind::Service : BackendKind::Engine;
    spec.model = intent.model;
    spec.adapter = intent.adapter;
    spec.version = intent.version;
    spec.engines = intent.engines;
    spec.promptTokens = request.promptTokens;
    spec.promptDigest = request.promptDigest;
    spec.prefixBlocks = request.prefixBlocks;
    spec.maxTokens = request.maxTokens.value_or(limits.defaultTokens);
    spec.priority = intent.priority;
    spec.worth = intent.worth;
    spec.nonIdempotent = request.nonIdempotent;
    spec.idempotencyKey = request.idempotencyKey;
    spec.issuedAt = WallTime{std::chrono::milliseconds{request.issuedAtMs}};
    spec.bodyDigest = bodyDigest(request);
    return spec;
}

} // namespace

bool equalTokens(std::string_view left, std::string_view right)
{
    if (left.size() != right.size()) {
        return false;
    }
    unsigned difference = 0;
    for (std::size_t i = 0; i < left.size(); ++i) {
        difference |= static_cast<unsigned char>(left[i]) ^ static_cast<unsigned char>(right[i]);
    }
    return difference == 0;
}

std::string_view bearerToken(std::string_view authorization)
{
    constexpr std::string_view Scheme = "Bearer ";
    return authorization.starts_with(Scheme) ? authorization.substr(Scheme.size()) : std::string_view();
}

const Organisation *organisationOf(std::string_view token, const Declarations &declarations)
{
    const auto found = std::ranges::find_if(declarations.organisations, [token](const Organisation &organisation) {
        return !organisation.token.empty() && equalTokens(organisation.token, token);
    });
    return found == declarations.organisations.end() ? nullptr : &*found;
}

const Intent *matchIntent(const CallerRequest &request,
                          const Organisation &organisation,
                          const Declarations &declarations)
{
    const auto found = std::ranges::find_if(declarations.intents, [&](const Intent &intent) {
        return emptyOrContains(intent.organisations, organisation.name) && emptyOrContains(intent.kinds, request.kind)
            && matches(intent.work, request.labels) && (request.model.empty() || request.model == intent.model);
    });
    return found == declarations.intents.end() ? nullptr : &*found;
}

AdmissionResult admitRequest(const CallerRequest &request,
                             std::string_view token,
                             const Snapshot &snapshot,
                             const RequestLimits &limits,
                             AdmissionTime time)
{
    const auto &declarations = snapshot.declarations;
    if (token.empty()) {
        return notRun(ReasonCode::Unauthorised, "the request carries no bearer token");
    }
    const auto *organisation = organisationOf(token, declarations);
    if (!organisation) {
        return notRun(ReasonCode::UnknownOrganisation, "no organisation has this token");
    }
    auto failure = checkNames(request, limits);
    failure = failure ? failure : checkDeadline(request, declarations.limits);
    failure = failure ? failure : checkKey(request, limits, declarations.limits.keyRetentionMs, time.wall);
    if (failure) {
        return *failure;
    }
    const auto *intent = matchIntent(request, *organisation, declarations);
    if (!intent) {
        return notRun(ReasonCode::NoMatchingIntent, "no serving intent applies to this request");
    }
    auto spec = makeSpec(request, *organisation, *intent, limits);
    spec.arrival = time.now;
    const auto budget = request.deadlineMs.value_or(declarations.limits.defaultDeadlineMs);
    spec.deadline = time.now + std::chrono::milliseconds(budget);
    if (const auto tooLarge = checkSize(spec, snapshot)) {
        return *tooLarge;
    }
    return spec;
}

} // namespace pomeloport
