#include "callerapi.h"

#include "answerwriter.h"
#include "requestsession.h"

#include "pomeloport/coordination/claims.h"
#include "pomeloport/coordination/discovery.h"
#include "pomeloport/coordination/requestadmission.h"
#include "pomeloport/lastreason.h"
#include "pomeloport/logging.h"
#include "pomeloport/protocol/callermessages.h"

#include <boost/json.hpp>

#include <charconv>
#include <functional>
#include <string_view>

namespace pomelorouter
{

using namespace pomeloport;

namespace
{

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusAccepted = 202;
constexpr unsigned StatusUnavailable = 503;
constexpr std::chrono::milliseconds OverloadRetryAfter{1000};
constexpr std::string_view RequestsPath = "/v1/requests";
constexpr std::string_view RequestPrefix = "/v1/requests/";
constexpr std::string_view ActionPrefix = "/v1/actions/";
constexpr std::string_view OperatorPrefix = "/v1/operator/";

Failure notRun(ReasonCode reason, std::string detail, std::optional<std::chrono::milliseconds> retryAfter = {})
{
    return {Verdict::NotRun, reason, std::move(detail), retryAfter};
}

void replyJson(HttpExchange &exchange, const boost::json::value &body, unsigned status = StatusOk)
{
    exchange.reply(status, "application/json", serialize(body) + "\n");
}

std::string header(const HttpExchange &exchange, const std::string &name)
{
    const auto &headers = exchange.request().headers;
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

std::string queryParameter(const HttpExchange &exchange, const std::string &name)
{
    const auto &query = exchange.request().query;
    const auto found = query.find(name);
    return found == query.end() ? std::string() : found->second;
}

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    const bool whole = error == std::errc() && end == text.data() + text.size();
    return whole ? std::optional(number) : std::nullopt;
}

void refuse(RouterCore &core, HttpExchange &exchange, const Failure &failure, const std::string &organisation)
{
    core.metrics.series(organisation, PromptClass::Short)->countVerdict(failure.verdict, failure.reason);
    logEvent(LogLevel::Info,
             "request_refused",
             {{"organisation", organisation},
              {"reason", nameOf(failure.reason)},
              {"detail", failure.detail},
              {"remote", exchange.request().remoteAddress}});
    replyFailure(exchange, failure);
}

/// Returns the organisation of the caller's token. Returns null after replying with a refusal if there is none.
const Organisation *callerOrganisation(const Snapshot &snapshot, HttpExchange &exchange)
{
    const auto authorization = header(exchange, "authorization");
    const auto token = bearerToken(authorization);
    const auto *organisation = organisationOf(token, snapshot.declarations);
    if (!organisation) {
        const auto reason = token.empty() ? ReasonCode::Unauthorised : ReasonCode::UnknownOrganisation;
        replyFailure(exchange, notRun(reason, "no organisation has this token"));
    }
    return organisation;
}

void reportReadiness(const RouterCore &core, HttpExchange &exchange)
{
    const bool ready = !core.admissionRefusal() && !core.draining();
    exchange.reply(ready ? StatusOk : StatusUnavailable, "text/plain", ready ? "ready\n" : "not ready\n");
}

void reportMetrics(const RouterCore &core, HttpExchange &exchange)
{
    auto text = core.metrics.text();
    text += "# HELP pomelo_open_requests Requests admitted and not ended.\n# TYPE pomelo_open_requests gauge\n";
    text += "pomelo_open_requests " + std::to_string(core.openRequests.load()) + "\n";
    text += "# HELP pomelo_attempts_in_flight Attempts open at backend servers.\n"
            "# TYPE pomelo_attempts_in_flight gauge\n";
    text += "pomelo_attempts_in_flight " + std::to_string(core.placement.attemptsInFlight()) + "\n";
    text += "# HELP pomelo_config_version Version of the configuration in force.\n"
            "# TYPE pomelo_config_version gauge\n";
    text += "pomelo_config_version " + std::to_string(core.snapshot.current()->configVersion) + "\n";
    exchange.reply(StatusOk, "text/plain; version=0.0.4", std::move(text));
}

void replyUnknownResource(HttpExchange &exchange)
{
    constexpr unsigned StatusNotFound = 404;
    const auto failure = notRun(ReasonCode::BadRequest, "no such resource or method");
    exchange.reply(StatusNotFound, "application/json", encodeFailure(failure, {}));
}

/// Handles the resources without parameters in their path. Returns false for all others.
bool handleFixedPath(const std::shared_ptr<RouterCore> &core, const std::shared_ptr<HttpExchange> &exchange)
{
    const auto &method = exchange->request().method;
    const auto &path = exchange->request().path;
    if (method == "POST" && path == RequestsPath) {
        submitRequest(core, exchange);
        return true;
    }
    if (method != "GET") {
        return false;
    }
    if (path == "/v1/endpoints") {
        reportEndpoints(*core, *exchange);
    } else if (path == "/healthz") {
        exchange->reply(StatusOk, "text/plain", "ok\n");
    } else if (path == "/readyz") {
        reportReadiness(*core, *exchange);
    } else if (path == "/metrics") {
        reportMetrics(*core, *exchange);
    } else {
        return false;
    }
    return true;
}

/// Parses the sequence number from a request ID; empty unless this start of this router issued the ID.
std::optional<std::uint64_t> sequenceOf(const RouterCore &core, std::string_view id)
{
    const auto prefix = core.owner.instance + "." + std::to_string(core.owner.incarnation) + ".";
    return id.starts_with(prefix) ? parseNumber(id.substr(prefix.size())) : std::nullopt;
}

/// Formats the state of a claim for its caller.
boost::json::object describeClaim(const std::string &key, const ClaimRecord &record)
{
    boost::json::object body{{"key", key}, {"state", nameOf(record.phase)}};
    switch (record.phase) {
    case ClaimPhase::Held:
        body["verdict"] = nameOf(Verdict::MayHaveRun);
        break;
    case ClaimPhase::Released:
        body["verdict"] = nameOf(Verdict::NotRun);
        break;
    case ClaimPhase::Finished:
        body["verdict"] = nameOf(Verdict::Ran);
        body["answer_kept"] = !record.answerOmitted;
        body["answer"] = record.answer;
        break;
    }
    return body;
}

void replyAction(HttpExchange &exchange, const std::string &key, const StoreReply &reply)
{
    if (reply.status == StoreStatus::NotFound) {
        replyJson(exchange, {{"key", key}, {"state", "absent"}});
        return;
    }
    const auto record = reply.status == StoreStatus::Ok && !reply.objects.empty()
        ? decodeClaimRecord(reply.objects.front().value)
        : std::nullopt;
    if (!record) {
        replyFailure(exchange,
                     {Verdict::MayHaveRun,
                      ReasonCode::StoreUnavailable,
                      "the platform's store did not return the state of the action",
                      OverloadRetryAfter});
        return;
    }
    replyJson(exchange, describeClaim(key, *record));
}

} // namespace

void submitRequest(const std::shared_ptr<RouterCore> &core, const std::shared_ptr<HttpExchange> &exchange)
{
    const auto snapshot = core->snapshot.current();
    const auto authorization = header(*exchange, "authorization");
    const auto token = bearerToken(authorization);
    const auto *organisation = organisationOf(token, snapshot->declarations);
    const auto metricsOrganisation = organisation ? organisation->name : std::string("unknown");
    if (const auto failure = core->admissionRefusal()) {
        refuse(*core, *exchange, *failure, metricsOrganisation);
        return;
    }
    auto request = decodeCallerRequest(exchange->takeBody());
    if (!request) {
        refuse(*core, *exchange, notRun(ReasonCode::BadRequest, lastReason()), metricsOrganisation);
        return;
    }
    auto admitted = admitRequest(*request, token, *snapshot, core->settings.request, {monotonicNow(), wallNow()});
    if (const auto *failure = std::get_if<Failure>(&admitted)) {
        refuse(*core, *exchange, *failure, metricsOrganisation);
        return;
    }
    ++core->openRequests;
    std::make_shared<RequestSession>(core,
                                     exchange,
                                     std::get<RequestSpec>(std::move(admitted)),
                                     std::move(request->prompt),
                                     request->stream,
                                     core->nextSequence++)
        ->start();
}

void cancelRequest(const std::shared_ptr<RouterCore> &core,
                   const std::shared_ptr<HttpExchange> &exchange,
                   const std::string &id)
{
    constexpr unsigned StatusNotFound = 404;
    const auto snapshot = core->snapshot.current();
    const auto *organisation = callerOrganisation(*snapshot, *exchange);
    if (!organisation) {
        return;
    }
    const auto sequence = sequenceOf(*core, id);
    const auto session = sequence ? core->registry.find(*sequence) : nullptr;
    if (!session || session->organisation() != organisation->name) {
        const Failure failure{
            Verdict::MayHaveRun, ReasonCode::BadRequest, "no such open request on this instance", std::nullopt};
        exchange->reply(StatusNotFound, "application/json", encodeFailure(failure, id));
        return;
    }
    session->cancel();
    replyJson(*exchange, {{"request", id}, {"cancelling", true}}, StatusAccepted);
}

void reportAction(const std::shared_ptr<RouterCore> &core,
                  const std::shared_ptr<HttpExchange> &exchange,
                  const std::string &key)
{
    const auto snapshot = core->snapshot.current();
    const auto *organisation = callerOrganisation(*snapshot, *exchange);
    if (!organisation) {
        return;
    }
    const auto issuedAt = parseNumber(queryParameter(*exchange, "issued_at_ms"));
    if (!issuedAt || key.empty()) {
        replyFailure(*exchange,
                     notRun(ReasonCode::MissingKey,
                            "a key in the path and the numeric query parameter issued_at_ms are required"));
        return;
    }
    if (!core->platform) {
        replyAction(*exchange, key, {});
        return;
    }
    StoreCall call;
    call.id = 1;
    call.operation = StoreOperation::Get;
    call.kind = ClaimKind;
    call.name = claimName({organisation->name, key, WallTime{std::chrono::milliseconds{*issuedAt}}});
    core->platform->call(call, [exchange, key](const StoreReply &reply) { replyAction(*exchange, key, reply); });
}

void reportEndpoints(const RouterCore &core, HttpExchange &exchange)
{
    const auto snapshot = core.snapshot.current();
    DiscoveryQuery query;
    query.region = queryParameter(exchange, "region");
    query.failureDomain = queryParameter(exchange, "failure_domain");
    query.seed = std::hash<std::string>{}(exchange.request().remoteAddress);
    auto answer = discover(*snapshot, query);
    if (core.draining() || core.snapshotStale()) {
        std::erase_if(answer.endpoints,
                      [&](const DiscoveryEndpoint &endpoint) { return endpoint.instance == core.owner.instance; });
    }
    boost::json::array endpoints;
    for (const auto &endpoint : answer.endpoints) {
        endpoints.push_back({{"address", endpoint.address},
                             {"instance", endpoint.instance},
                             {"region", endpoint.region},
                             {"failure_domain", endpoint.failureDomain},
                             {"weight", endpoint.weight}});
    }
    replyJson(exchange, {{"endpoints", std::move(endpoints)}, {"lifetime_seconds", answer.lifetimeSeconds}});
}

void handleExchange(const std::shared_ptr<RouterCore> &core, const std::shared_ptr<HttpExchange> &exchange)
{
    if (handleFixedPath(core, exchange)) {
        return;
    }
    const auto &method = exchange->request().method;
    const auto &path = exchange->request().path;
    if (method == "DELETE" && path.starts_with(RequestPrefix)) {
        cancelRequest(core, exchange, path.substr(RequestPrefix.size()));
    } else if (method == "GET" && path.starts_with(ActionPrefix)) {
        reportAction(core, exchange, path.substr(ActionPrefix.size()));
    } else if (path.starts_with(OperatorPrefix)) {
        handleOperator(core, exchange, path.substr(OperatorPrefix.size()));
    } else {
        replyUnknownResource(*exchange);
    }
}

} // namespace pomelorouter
