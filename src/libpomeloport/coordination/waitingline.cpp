#include "pomeloport/coordination/waitingline.h"

#include <algorithm>
#include <cmath>

namespace pomeloport
{

namespace
{

// How long the first request of a line is cached before ranks are compared again.
constexpr Duration FirstValidity = std::chrono::milliseconds(20);
// How long after its latest start a request is kept before it counts as left behind by its owner.
constexpr Duration StaleGrace = std::chrono::seconds(30);
// A request closer than this to its latest start precedes all that are not.
constexpr Duration UrgentSlack = std::chrono::milliseconds(1500);
constexpr double UrgentRank = 1e12;
// Seconds.
constexpr double DemandTimeConstant = 5;
// Each bucket covers a factor of two of worth per engine second; this is the base-2 exponent of the lowest one.
constexpr double LowestBucketExponent = -8;

} // namespace

WaitingLine::CachedFirst &WaitingLine::cached(LineKind kind)
{
    return m_first.at(kind == LineKind::Prompt ? 0 : 1);
}

void WaitingLine::put(Key key, LineEntry entry)
{
    const auto [place, added] = m_entries.try_emplace(key, entry);
    entry.order = added ? m_nextOrder++ : place->second.order;
    place->second = entry;
    auto &first = cached(entry.kind);
    if (!first.known || first.key == nullptr || first.key == key) {
        first.known = false;
    } else if (rank(entry, first.foundAt) > rank(m_entries.at(first.key), first.foundAt)) {
        first.key = key;
    }
}

void WaitingLine::remove(Key key)
{
    if (m_entries.erase(key) == 0) {
        return;
    }
    for (auto &first : m_first) {
        first.known = first.known && first.key != key;
    }
}

bool WaitingLine::contains(Key key) const
{
    return m_entries.contains(key);
}

double WaitingLine::rank(const LineEntry &entry, Instant now)
{
    const auto slack = entry.latestStart - now;
    if (slack < UrgentSlack) {
        return UrgentRank * (1 + entry.worthPerEngineSecond);
    }
    const auto waitBudget = std::max(0.001, seconds(entry.latestStart - entry.arrival));
    const auto waitedFraction = seconds(now - entry.arrival) / waitBudget;
    // The rank has doubled after half of the time to the latest start, and rises to at most 100 times its initial
    // value.
    return entry.worthPerEngineSecond / std::max(0.01, 1 - waitedFraction);
}

WaitingLine::Key WaitingLine::first(LineKind kind, Instant now)
{
    auto &known = cached(kind);
    if (!known.known || now >= known.foundAt + FirstValidity) {
        known = {findFirst(kind, now), now, true};
    }
    return known.key;
}

WaitingLine::Key WaitingLine::findFirst(LineKind kind, Instant now) const
{
    Key best = nullptr;
    double bestRank = 0;
    std::uint64_t bestOrder = 0;
    for (const auto &[key, entry] : m_entries) {
        if (entry.kind != kind) {
            continue;
        }
        const auto candidate = rank(entry, now);
        if (best == nullptr || candidate > bestRank || (candidate == bestRank && entry.order < bestOrder)) {
            best = key;
            bestRank = candidate;
            bestOrder = entry.order;
        }
    }
    return best;
}

bool WaitingLine::anyRankedAbove(Key key, const LineEntry &entry, Instant now)
{
    const auto best = first(entry.kind, now);
    return best != nullptr && best != key && rank(m_entries.at(best), now) > rank(entry, now);
}

double WaitingLine::costRankedAbove(Key key, const LineEntry &entry, Instant now) const
{
    const auto own = rank(entry, now);
    double cost = 0;
    for (const auto &[other, waiting] : m_entries) {
        if (other != key && waiting.kind == entry.kind && rank(waiting, now) > own) {
            cost += waiting.cost;
        }
    }
    return cost;
}

void WaitingLine::dropStale(Instant now)
{
    if (now < m_droppedAt + StaleGrace) {
        return;
    }
    m_droppedAt = now;
    std::erase_if(m_entries, [now](const auto &entry) { return entry.second.latestStart + StaleGrace < now; });
    for (auto &first : m_first) {
        first.known = first.known && m_entries.contains(first.key);
    }
}

std::size_t WaitingLine::size() const
{
    return m_entries.size();
}

std::size_t DemandMeter::bucketOf(double worthPerEngineSecond)
{
    const auto exponent = std::log2(std::max(worthPerEngineSecond, 1e-6)) - LowestBucketExponent;
    return static_cast<std::size_t>(std::clamp(exponent, 0.0, static_cast<double>(Buckets - 1)));
}

void DemandMeter::arrived(const LineEntry &entry, Instant now)
{
    auto &bucket = m_buckets.at(bucketOf(entry.worthPerEngineSecond));
    bucket.sum = bucket.sum * std::exp(-seconds(now - bucket.time) / DemandTimeConstant) + entry.cost;
    bucket.time = now;
}

double DemandMeter::rateAbove(double worthPerEngineSecond, Instant now) const
{
    double sum = 0;
    for (auto index = bucketOf(worthPerEngineSecond) + 1; index < Buckets; ++index) {
        const auto &bucket = m_buckets.at(index);
        sum += bucket.sum * std::exp(-seconds(now - bucket.time) / DemandTimeConstant);
    }
    return sum / DemandTimeConstant;
}

} // namespace pomeloport
