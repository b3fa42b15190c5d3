#include "session/admission.h"

#include "pomeloport/lastreason.h"

#include <algorithm>
#include <random>

namespace pomeloentry
{

using namespace pomeloport;

namespace
{

constexpr unsigned StatusBadRequest = 400;
constexpr unsigned StatusUnauthorised = 401;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusUnavailable = 503;
/// Expected length of an answer, as a share of its maximum, when the caller gives no estimate.
constexpr double DefaultAnswerShare = 0.5;
/// Callers state up to this share less than the timeout of the route at their first attempt.
constexpr double LongestFirstAllowance = 0.2;

/// Callers abandon a stream after a pause of this length, which also applies before the first event.
Duration abandonmentDelay(const CallRoute &route)
{
    constexpr Duration MinimumDelay = std::chrono::seconds(2);
    constexpr int TargetMultiple = 4;
    constexpr int EventGapMultiple = 8;
    return std::max(
        {MinimumDelay, Duration(route.target * TargetMultiple), Duration(route.eventGap * EventGapMultiple)});
}

double randomFraction()
{
    static thread_local std::mt19937_64 random{std::random_device{}()};
    return std::uniform_real_distribution<double>(0, 1)(random);
}

} // namespace

CallWork workWithoutRoute(std::optional<std::chrono::milliseconds> timeLimit, Instant now)
{
    CallWork work;
    work.arrival = now;
    work.deadline = now + (timeLimit ? Duration(*timeLimit) : CallRoute{}.timeout);
    return work;
}

CallWork workOf(const CallRoute &route, Instant now, std::optional<Duration> timeLimit)
{
    CallWork work;
    work.kind = route.kind;
    work.eventGap = route.eventGap;
    work.target = route.target;
    work.arrival = now;
    work.deadline = now + std::min(route.timeout, timeLimit.value_or(route.timeout));
    work.abandonedAt = std::min(work.deadline, now + abandonmentDelay(route));
    work.repeatable = work.kind == CallKind::Idempotent || (work.kind == CallKind::Streaming && route.resumable);
    return work;
}

std::variant<AdmittedCall, Refusal> admit(EntryCore &core,
                                          const HttpRequest &request,
                                          Instant arrival,
                                          Duration startWait)
{
    const auto now = arrival + startWait;
    auto decoded = wire::decodeRequest(request);
    if (!decoded) {
        return Refusal{StatusBadRequest, ReasonCode::BadRequest, lastReason(), {}, std::nullopt};
    }
    AdmittedCall call;
    call.request = std::move(*decoded);
    const auto &id = call.request.attemptId;
    call.fleet = core.fleet.current();
    if (!call.fleet->routing) {
        const auto retryAfter = core.placement.retryAfter({ReturnCause::NoConfiguration, RetryElsewhereDelay},
                                                          workWithoutRoute(call.request.timeLimit, arrival),
                                                          now);
        return Refusal{StatusUnavailable,
                       ReasonCode::NotAdmitting,
                       "no configuration is loaded",
                       id,
                       retryAfter,
                       ReturnCause::NoConfiguration};
    }
    const auto &routing = *call.fleet->routing;
    call.route = routing.match(call.request.host, call.request.path);
    if (!call.route) {
        return Refusal{StatusNotFound, ReasonCode::NoMatchingIntent, "no route matches", id, std::nullopt};
    }
    call.priority = call.route->priority;
    const auto *organisation = routing.organisationOf(call.request.key);
    if (routing.keysRequired && !call.route->open && !organisation) {
        return Refusal{StatusUnauthorised, ReasonCode::Unauthorised, "unknown key", id, std::nullopt};
    }
    if (organisation) {
        call.organisation = organisation->name;
        call.priority = organisation->priority.value_or(call.priority);
    }
    call.priority = std::min(call.priority, LowestPriority);
    call.work = workOf(*call.route, arrival, call.request.timeLimit);
    auto &work = call.work;
    work.startWait = startWait;
    work.sequence = core.nextSequence++;
    work.service = drawService(*call.route, randomFraction());
    work.promptTokens = call.request.promptTokens;
    const auto service = routing.services.find(work.service);
    call.promptAtEngine = work.promptTokens > 0 && service != routing.services.end() && service->second.engine;
    const auto defaultTokens = static_cast<double>(call.request.maximumAnswerTokens) * DefaultAnswerShare;
    work.answerTokens = std::min(call.request.expectedAnswerTokens.value_or(static_cast<std::uint64_t>(defaultTokens)),
                                 call.request.maximumAnswerTokens);
    work.maximumAnswerTokens = call.request.maximumAnswerTokens;
    work.organisation = organisationKey(call.organisation);
    work.priority = static_cast<std::uint8_t>(call.priority);
    // A caller that returns after a refusal states the time that it has left.
    const Duration timeSpent = call.route->timeout - (work.deadline - arrival);
    work.isReturn = pomeloport::seconds(timeSpent) > pomeloport::seconds(call.route->timeout) * LongestFirstAllowance;
    if (core.settings.policy.returns.enabled && work.isReturn) {
        work.timeSpent = timeSpent;
    }
    core.applyStop(work);
    work.regions = RegionFilter(call.route->permittedRegions,
                                organisation ? organisation->permittedRegions : std::nullopt,
                                core.settings.regionOfDomain);
    const bool stopsUnlisted = work.stopsAt && !call.fleet->backendsListed;
    if (stopsUnlisted || !core.placement.canFinish(work, now)) {
        return Refusal{StatusUnavailable,
                       ReasonCode::Stopping,
                       "the instance stops before the answer can be complete",
                       id,
                       RetryElsewhereDelay,
                       ReturnCause::Stopping};
    }
    return call;
}

} // namespace pomeloentry
