#include "session/dryrun.h"

#include "session/admission.h"

#include "pomeloentry/decisions/placementexplanation.h"

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>
#include <optional>

namespace pomeloentry
{

using namespace pomeloport;

namespace
{

namespace json = boost::json;

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusBadRequest = 400;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusUnavailable = 503;
/// Expected tokens of the answer where the query states none.
constexpr std::uint64_t DefaultAnswerTokens = 256;
/// More than any engine holds.
constexpr std::uint64_t MaximumTokens = 1'000'000'000;
constexpr double MicrosecondsPerMillisecond = 1000;

DryRunReply failed(unsigned status, const std::string &error)
{
    return {status, json::serialize(json::object{{"error", error}}) + "\n"};
}

/// What a query asks for.
struct Question
{
    std::string service;
    std::string organisation;
    std::string route;
    std::uint64_t promptTokens = 0;
    std::uint64_t answerTokens = DefaultAnswerTokens;
    std::optional<std::uint64_t> priority;
};

std::optional<std::uint64_t> wholeNumber(const std::string &text)
{
    std::uint64_t value = 0;
    const auto *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    return parsed.ec == std::errc() && parsed.ptr == end && value <= MaximumTokens ? std::optional(value)
                                                                                   : std::nullopt;
}

/// Reads the parameters. Returns the name of the first one that is unknown or invalid, empty on success.
std::string read(const std::map<std::string, std::string> &query, Question &question)
{
    for (const auto &[name, text] : query) {
        const auto number = wholeNumber(text);
        if (name == "service") {
            question.service = text;
        } else if (name == "organisation") {
            question.organisation = text;
        } else if (name == "route") {
            question.route = text;
        } else if (name == "prompt" && number) {
            question.promptTokens = *number;
        } else if (name == "answer" && number) {
            question.answerTokens = *number;
        } else if (name == "priority" && number) {
            question.priority = number;
        } else {
            return name;
        }
    }
    return question.service.empty() ? "service" : "";
}

/// The named route, or the first one by name that leads to the service; null if there is none.
const CallRoute *routeTo(const RoutingTable &table, const Question &question)
{
    const CallRoute *result = nullptr;
    for (const auto &[host, routes] : table.routes) {
        for (const auto &route : routes) {
            const bool leads =
                std::ranges::find(route.services, question.service, &ServiceShare::service) != route.services.end();
            const bool isNamed = question.route.empty() || route.name == question.route;
            if (leads && isNamed && (!result || route.name < result->name)) {
                result = &route;
            }
        }
    }
    return result;
}

const CallOrganisation *organisationNamed(const RoutingTable &table, const std::string &name)
{
    const auto found = std::ranges::find_if(table.organisationsByKey,
                                            [&name](const auto &entry) { return entry.second.name == name; });
    return found == table.organisationsByKey.end() ? nullptr : &found->second;
}

double milliseconds(Duration duration)
{
    return static_cast<double>(duration.count()) / MicrosecondsPerMillisecond;
}

/// Name of a decision and what it says in words.
struct DecisionText
{
    std::string name;
    std::string detail;
};

DecisionText textOf(const RouteDecision &decision, const PlacementTrace &trace)
{
    struct Visitor
    {
        DecisionText operator()(const Route & /*route*/) const
        {
            return {"send", ""};
        }
        DecisionText operator()(const NeedsGroup & /*group*/) const
        {
            return {"reserve", "needs memory at several engines"};
        }
        DecisionText operator()(const WaitUntil & /*wait*/) const
        {
            return {"wait", reason};
        }
        DecisionText operator()(const Failure &failure) const
        {
            return {"refuse", std::string(nameOf(failure.reason)) + ": " + failure.detail};
        }
        std::string reason;
    };
    return std::visit(Visitor{trace.reason}, decision);
}

json::array serversOf(const PlacementExplanation &explanation)
{
    json::array result;
    for (const auto &server : explanation.servers) {
        const auto chosen = std::ranges::find(explanation.chosen, server.id);
        std::string role;
        if (chosen != explanation.chosen.end()) {
            role = chosen == explanation.chosen.begin() ? "answers" : "helps";
        }
        result.push_back(json::object{
            {"server", server.id},
            {"domain", server.failureDomain},
            {"role", role},
            {"ruled_out_by", nameOf(server.exclusion)},
            {"requests", server.requests},
            {"predicted_ms",
             server.predictedFirst ? json::value(milliseconds(*server.predictedFirst)) : json::value(nullptr)}});
    }
    return result;
}

} // namespace

DryRunReply dryRun(const EntryCore &core, const std::map<std::string, std::string> &query, Instant now)
{
    Question question;
    if (const auto wrong = read(query, question); !wrong.empty()) {
        return failed(StatusBadRequest, "the parameter \"" + wrong + "\" is unknown, missing or invalid");
    }
    const auto fleet = core.fleet.current();
    if (!fleet->routing) {
        return failed(StatusUnavailable, "no configuration is loaded");
    }
    const auto *route = routeTo(*fleet->routing, question);
    if (!route) {
        return failed(StatusNotFound, "no such route leads to the service");
    }
    const auto *organisation = organisationNamed(*fleet->routing, question.organisation);
    if (!question.organisation.empty() && !organisation) {
        return failed(StatusNotFound, "no organisation has this name");
    }
    // The number of the next call is not used up: a dry run is not one, and the choice depends on it in small matters.
    auto work = workOf(*route, now);
    work.sequence = core.nextSequence;
    work.service = question.service;
    work.promptTokens = question.promptTokens;
    work.answerTokens = question.answerTokens;
    work.maximumAnswerTokens = question.answerTokens;
    core.applyStop(work);
    work.regions = RegionFilter(route->permittedRegions,
                                organisation ? organisation->permittedRegions : std::nullopt,
                                core.settings.regionOfDomain);
    auto priority = organisation ? organisation->priority.value_or(route->priority) : route->priority;
    priority = static_cast<std::uint32_t>(question.priority.value_or(priority));
    const auto explanation = core.placement.explain(work, now);
    const auto &trace = explanation.trace;
    const auto text = textOf(explanation.decision, trace);
    return {StatusOk,
            json::serialize(json::object{{"instance", core.settings.instance},
                                         {"route", route->name},
                                         {"organisation", question.organisation},
                                         {"priority", std::min(priority, LowestPriority)},
                                         {"decision", text.name},
                                         {"detail", text.detail},
                                         {"predicted_ms", milliseconds(trace.predictedFirst)},
                                         {"loss", trace.loss},
                                         {"cost_to_others", trace.costToOthers},
                                         {"price", trace.price},
                                         {"queue_position", trace.queuePosition},
                                         {"candidates", trace.candidates},
                                         {"excluded", trace.excluded},
                                         {"servers", serversOf(explanation)}})
                + "\n"};
}

} // namespace pomeloentry
