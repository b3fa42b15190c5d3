#include "admission.h"

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
/// A caller that comes while this instance has no configuration, or is about to end, finds another one at once.
constexpr std::chrono::milliseconds RetryElsewhere{100};
/// Tokens that an answer is expected to have when the caller gives no estimate, as a share of its maximum.
constexpr double UsualAnswerShare = 0.5;
/// Urgency has ten steps on the way to a backend server.
constexpr std::uint32_t LeastUrgent = 9;

/// Callers leave a stream after the longest of these pauses, also before its first event.
Duration abandonTime(const CallRoute &route)
{
    constexpr Duration LeastPause = std::chrono::seconds(2);
    constexpr int Targets = 4;
    constexpr int Gaps = 8;
    return std::max({LeastPause, Duration(route.target * Targets), Duration(route.eventGap * Gaps)});
}

double randomShare()
{
    static thread_local std::mt19937_64 random{std::random_device{}()};
    return std::uniform_real_distribution<double>(0, 1)(random);
}

} // namespace

std::variant<AdmittedCall, Refusal> admit(EntryCore &core, const HttpRequest &request, Instant now)
{
    auto decoded = wire::decodeRequest(request);
    if (!decoded) {
        return Refusal{StatusBadRequest, ReasonCode::BadRequest, lastReason(), {}, std::nullopt};
    }
    AdmittedCall call;
    call.request = std::move(*decoded);
    const auto &id = call.request.attemptId;
    call.fleet = core.fleet.current();
    if (!call.fleet->routing) {
        return Refusal{StatusUnavailable, ReasonCode::NotAdmitting, "no configuration is known", id, RetryElsewhere};
    }
    if (core.closing) {
        return Refusal{StatusUnavailable, ReasonCode::Stopping, "the instance is about to end", id, RetryElsewhere};
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
    call.priority = std::min(call.priority, LeastUrgent);
    auto &work = call.work;
    work.sequence = core.nextSequence++;
    work.service = drawService(*call.route, randomShare());
    work.kind = call.route->kind;
    work.promptTokens = call.request.promptTokens;
    const auto usual = static_cast<double>(call.request.maximumAnswerTokens) * UsualAnswerShare;
    work.answerTokens =
        std::min(call.request.answerHint.value_or(static_cast<std::uint64_t>(usual)), call.request.maximumAnswerTokens);
    work.eventGap = call.route->eventGap;
    work.target = call.route->target;
    work.arrival = now;
    Duration time = call.route->timeout;
    if (call.request.patience) {
        time = std::min<Duration>(time, *call.request.patience);
    }
    work.deadline = now + time;
    work.abandonedAt = std::min(work.deadline, now + abandonTime(*call.route));
    work.repeatable = work.kind == CallKind::Idempotent || (work.kind == CallKind::Streaming && call.route->resumable);
    return call;
}

} // namespace pomeloentry
