#include "answerwriter.h"
#include "callerapi.h"

#include "pomeloport/coordination/requestadmission.h"

#include <boost/json.hpp>

/// HTTP interface of the operators.
namespace pomelorouter
{

using namespace pomeloport;

namespace
{

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusAccepted = 202;
constexpr unsigned StatusNotFound = 404;

void replyJson(HttpExchange &exchange, const boost::json::value &body, unsigned status = StatusOk)
{
    exchange.reply(status, "application/json", serialize(body) + "\n");
}

bool isOperator(const RouterCore &core, const HttpExchange &exchange)
{
    const auto &headers = exchange.request().headers;
    const auto found = headers.find("authorization");
    const auto &expected = core.settings.operatorToken;
    return found != headers.end() && !expected.empty() && equalTokens(bearerToken(found->second), expected);
}

boost::json::array describeInstances(const Snapshot &snapshot)
{
    boost::json::array instances;
    for (const auto &instance : snapshot.instances) {
        instances.push_back({{"instance", instance.id.instance},
                             {"incarnation", instance.id.incarnation},
                             {"region", instance.region},
                             {"failure_domain", instance.failureDomain},
                             {"http_address", instance.httpAddress},
                             {"state", nameOf(instance.state)},
                             {"load", instance.load},
                             {"config_version", instance.configVersion}});
    }
    return instances;
}

boost::json::array describeBackends(const Snapshot &snapshot)
{
    boost::json::array backends;
    for (const auto &backend : snapshot.backends) {
        const auto &report = backend.report;
        backends.push_back({{"backend", backend.server.name},
                            {"kind", nameOf(backend.server.kind)},
                            {"address", backend.server.address},
                            {"state", nameOf(backend.state)},
                            {"short_only", backend.shortOnly},
                            {"report_age_ms", backend.reportAgeMs},
                            {"kv_tokens_used", report.kvTokensUsed},
                            {"kv_tokens_total", report.kvTokensTotal},
                            {"queued_prefill_tokens", report.queuedPrefillTokens},
                            {"running_streams", report.runningStreams},
                            {"queued_streams", report.queuedStreams}});
    }
    return backends;
}

void reportStatus(const RouterCore &core, HttpExchange &exchange)
{
    const auto snapshot = core.snapshot.current();
    replyJson(exchange,
              {{"instance", core.owner.instance},
               {"incarnation", core.owner.incarnation},
               {"config_version", snapshot->configVersion},
               {"admitting", snapshot->admitting},
               {"draining", core.draining()},
               {"open_requests", core.openRequests.load()},
               {"instances", describeInstances(*snapshot)},
               {"backends", describeBackends(*snapshot)}});
}

void explainRequest(const RouterCore &core, HttpExchange &exchange)
{
    const auto &query = exchange.request().query;
    const auto id = query.find("request");
    const auto trace = id == query.end() ? nullptr : core.traces.find(id->second);
    if (!trace) {
        replyJson(exchange, {{"error", "this instance keeps no trace of this request"}}, StatusNotFound);
        return;
    }
    boost::json::array steps;
    for (const auto &step : trace->steps()) {
        steps.push_back({{"at_us", step.at.count()}, {"step", step.text}});
    }
    replyJson(exchange, {{"request", id->second}, {"steps", std::move(steps)}});
}

} // namespace

void handleOperator(const std::shared_ptr<RouterCore> &core,
                    const std::shared_ptr<HttpExchange> &exchange,
                    const std::string &resource)
{
    if (!isOperator(*core, *exchange)) {
        replyFailure(*exchange,
                     {Verdict::NotRun, ReasonCode::Unauthorised, "the operator token is required", std::nullopt});
        return;
    }
    const auto &method = exchange->request().method;
    if (method == "GET" && resource == "status") {
        reportStatus(*core, *exchange);
    } else if (method == "GET" && resource == "explain") {
        explainRequest(*core, *exchange);
    } else if (method == "POST" && resource == "drain") {
        core->drain();
        replyJson(*exchange, {{"instance", core->owner.instance}, {"draining", true}}, StatusAccepted);
    } else {
        replyJson(*exchange, {{"error", "no such resource or method"}}, StatusNotFound);
    }
}

} // namespace pomelorouter
