#include "pomeloentry/decisions/returnforecast.h"

#include "pomeloentry/decisions/entryplacement.h"

#include <algorithm>
#include <cmath>

namespace pomeloentry
{

using std::chrono::milliseconds;

namespace
{

/// Time constant of the rates at which calls start, as that of the ledger's rates of arriving work.
constexpr Duration RateTimeConstant = WorkLedger::RateTimeConstant;
/// A ready peer counts for this long: its heartbeats come every two seconds if it exchanges no work.
constexpr Duration ReadyPeerMemory = std::chrono::milliseconds(2500);
/// Server entries that expired in an outage of the store are written again within this time after it.
constexpr Duration ListingTime = std::chrono::seconds(2);
/// A list that has not grown for this long is complete: servers write their entries about once a second.
constexpr Duration GrowthPause = std::chrono::milliseconds(1000);
/// From this time after the first list, a list that grows shows new servers, not an incomplete list.
constexpr Duration LongestGrowth = std::chrono::seconds(6);
/// Return times of refused callers are counted in intervals of this length.
constexpr Duration ReturnInterval = std::chrono::milliseconds(100);
/// Longest Retry-After, whatever time the caller states.
constexpr Duration LongestReturn = std::chrono::seconds(30);
/// Callers are spread over this share of the forecast time beyond its least.
constexpr double SpreadShare = 0.5;
/// With a higher demand for prefill a backlog is assumed to shrink at this share of the engines' time all the same,
/// since bursts end.
constexpr double MinimumSpareShare = 0.1;
/// Share of the calls that is attributed to this instance at least, which bounds the estimate of the refused callers of
/// all instances.
constexpr double MinimumOwnShare = 1.0 / 64;
/// Fractional part of the golden ratio: its multiples modulo 1 fill the range evenly, however many are taken.
constexpr double GoldenFraction = 0.6180339887498949;

std::int64_t intervalOf(Instant time)
{
    return time.time_since_epoch() / ReturnInterval;
}

Duration scaled(Duration time, double factor)
{
    return pomeloport::fromSeconds(pomeloport::seconds(time) * factor);
}

/// When callers return that do so once, in an outage of unknown end that is expected to last as long as this: the later
/// they return, the more likely it is over. Arriving callers are spread already, so in a long outage a narrow range
/// does.
std::pair<Duration, Duration> lateRange(Duration expected, Duration limit)
{
    constexpr double LatestShare = 0.9;
    return {std::max(scaled(limit, 1 - SpreadShare), std::min(expected, scaled(limit, LatestShare))), limit};
}

bool isRecent(std::optional<Instant> time, Duration span, Instant now)
{
    return time && now - *time <= span;
}

} // namespace

Duration latestReturn(const ReturnPolicy &policy, const CallWork &work, Instant now)
{
    const auto remaining = std::max(work.deadline - now, Duration::zero());
    const auto share = scaled(remaining, policy.maximumShare);
    // A target of more than half of the time left is no measure of how long the answer takes.
    const auto beforeAnswer = remaining - std::min(work.target, remaining / 2);
    return std::min({share, beforeAnswer, LongestReturn});
}

ReturnForecast::ReturnForecast(const ReturnPolicy &policy, std::uint64_t seed)
    : m_policy(policy)
{
    // Multiples of another irrational number, so that the sequences of instances do not coincide.
    constexpr double SeedFactor = 0.7548776662466927;
    constexpr std::uint64_t SeedRange = 1 << 20;
    m_draw = std::fmod(static_cast<double>(seed % SeedRange) * SeedFactor, 1.0);
}

milliseconds ReturnForecast::retryAfter(const Shortage &shortage, const CallWork &work, Instant now)
{
    if (!m_policy.enabled || shortage.cause == ReturnCause::Stopping || shortage.cause == ReturnCause::Paused) {
        return shortage.fixedDelay;
    }
    auto &service = m_services[work.service];
    const auto limit = latestReturn(m_policy, work, now);
    Range range{m_policy.minimum, scaled(m_policy.minimum, 1 + SpreadShare)};
    switch (shortage.cause) {
    case ReturnCause::NoConfiguration:
        range = configurationRange(limit, now);
        break;
    case ReturnCause::NoServer:
        range = serverRange(shortage, work.service, limit, now);
        break;
    case ReturnCause::SlotsFull:
        range = slotRange(shortage, service, now);
        break;
    case ReturnCause::PrefillTooDear:
        range = prefillRange(shortage);
        break;
    case ReturnCause::Memory:
    case ReturnCause::Stopping:
    case ReturnCause::Paused:
        break;
    }
    const auto span = std::max(range.latest - range.earliest, Duration::zero());
    const auto drawn = std::max(range.earliest + scaled(span, nextDraw()), m_policy.minimum);
    const auto result =
        std::max<milliseconds>(std::chrono::floor<milliseconds>(std::min(drawn, limit)), milliseconds(1));
    ++service.returns[intervalOf(now + result)];
    return result;
}

void ReturnForecast::instanceStarted(Instant now)
{
    m_startedAt = now;
}

void ReturnForecast::readyPeerHeard(Instant now)
{
    m_readyPeerAt = now;
}

void ReturnForecast::storeAnswered(Instant now)
{
    m_storeAnsweredAt = now;
}

void ReturnForecast::storeFailed(Instant now)
{
    m_storeFailedAt = now;
}

void ReturnForecast::serversListed(const std::string &service, std::size_t count, Instant now)
{
    auto &entry = m_services[service];
    if (!m_firstListAt) {
        m_firstListAt = now;
        m_startedInOutage = m_storeFailedAt.has_value();
    } else if (count > entry.servers) {
        entry.grewAt = now;
    }
    entry.servers = count;
}

bool ReturnForecast::listGrows(const std::string &service, Instant now) const
{
    if (!m_policy.enabled || !isRecent(m_firstListAt, LongestGrowth, now)) {
        return false;
    }
    if (m_startedInOutage && now - *m_firstListAt < ListingTime) {
        return true;
    }
    const auto found = m_services.find(service);
    return found != m_services.end() && found->second.grewAt != Instant{} && now - found->second.grewAt < GrowthPause;
}

void ReturnForecast::callStarted(const std::string &service, bool isOwn, Instant now)
{
    if (!m_policy.enabled) {
        return;
    }
    auto &entry = m_services[service];
    entry.started.record(now);
    if (isOwn) {
        entry.startedHere.record(now);
    }
}

/// The configuration comes from a ready peer within half a second, and from a store that answers soon after. Without
/// either, the instance has started in an outage, which is expected to last as long again as it has lasted. Since the
/// caller returns only once, it returns late.
ReturnForecast::Range ReturnForecast::configurationRange(Duration limit, Instant now) const
{
    const Range soon{m_policy.minimum, scaled(m_policy.minimum, 1 + SpreadShare)};
    if (isRecent(m_readyPeerAt, ReadyPeerMemory, now)) {
        return soon;
    }
    const auto lasted = m_startedAt ? now - *m_startedAt : Duration::zero();
    const auto expected = std::max(lasted, m_policy.minimum);
    const bool storeAnswers = m_storeAnsweredAt && (!m_storeFailedAt || *m_storeFailedAt < *m_storeAnsweredAt);
    if (storeAnswers) {
        return {expected, scaled(expected, 1 + SpreadShare)};
    }
    const auto [earliest, latest] = lateRange(expected, limit);
    return {earliest, latest};
}

/// Servers that are still being listed are there after ListingTime. Otherwise the service is expected to be without
/// servers for as long again.
ReturnForecast::Range ReturnForecast::serverRange(const Shortage &shortage,
                                                  const std::string &service,
                                                  Duration limit,
                                                  Instant now) const
{
    if (listGrows(service, now)) {
        const auto left = std::max<Duration>(ListingTime - (now - *m_firstListAt), m_policy.minimum);
        return {left, std::max(limit, left)};
    }
    const auto lasted = shortage.since ? now - *shortage.since : Duration::zero();
    const auto expected = std::max(lasted, m_policy.minimum);
    const auto [earliest, latest] = lateRange(expected, limit);
    return {earliest, latest};
}

/// The calls that wait and those that were told to return need as many slots, which become free at the rate at which
/// calls have started lately.
ReturnForecast::Range ReturnForecast::slotRange(const Shortage &shortage, Service &service, Instant now) const
{
    service.returns.erase(service.returns.begin(), service.returns.lower_bound(intervalOf(now)));
    double returning = 1;
    for (const auto &[interval, count] : service.returns) {
        returning += static_cast<double>(count);
    }
    const double rate = service.started.perSecond(now);
    if (rate <= 0) {
        return {m_policy.minimum, LongestReturn};
    }
    const double ownShare = std::clamp(service.startedHere.perSecond(now) / rate, MinimumOwnShare, 1.0);
    const double backlog = static_cast<double>(shortage.waiting) + returning / ownShare;
    const auto free = pomeloport::fromSeconds(std::min(backlog / rate, pomeloport::seconds(LongestReturn)));
    return {m_policy.minimum, std::max(free, scaled(m_policy.minimum, 1 + SpreadShare))};
}

ReturnForecast::Range ReturnForecast::prefillRange(const Shortage &shortage) const
{
    const auto drained = scaled(shortage.backlog, 1 / std::max(shortage.spareShare, MinimumSpareShare));
    const auto earliest = std::max<Duration>({drained, shortage.fixedDelay, m_policy.minimum});
    return {earliest, scaled(earliest, 1 + SpreadShare)};
}

double ReturnForecast::nextDraw()
{
    m_draw = std::fmod(m_draw + GoldenFraction, 1.0);
    return m_draw;
}

void ReturnForecast::Rate::record(Instant now)
{
    if (firstAt == Instant{}) {
        firstAt = now;
        updatedAt = now;
    }
    const double elapsed = std::max(pomeloport::seconds(now - updatedAt), 0.0);
    sum = sum * std::exp(-elapsed / pomeloport::seconds(RateTimeConstant)) + 1;
    updatedAt = std::max(updatedAt, now);
}

double ReturnForecast::Rate::perSecond(Instant now) const
{
    if (firstAt == Instant{}) {
        return 0;
    }
    const double timeConstant = pomeloport::seconds(RateTimeConstant);
    const double elapsed = std::max(pomeloport::seconds(now - updatedAt), 0.0);
    // A sum that began recently holds less than one time constant of events.
    constexpr double MinimumSpan = 0.1;
    const double age = std::max(pomeloport::seconds(now - firstAt), MinimumSpan);
    return sum * std::exp(-elapsed / timeConstant) / (timeConstant * (1 - std::exp(-age / timeConstant)));
}

} // namespace pomeloentry
