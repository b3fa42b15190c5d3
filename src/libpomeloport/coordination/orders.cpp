#include "pomeloport/coordination/orders.h"

#include <algorithm>

namespace pomeloport
{

namespace
{

constexpr double SecondsPerMinute = 60;

/// Loads that may be saved up: one, so that many instances together stay below the limit.
constexpr double GreatestSaving = 1;

bool contains(const std::vector<std::string> &items, const std::string &item)
{
    return std::find(items.begin(), items.end(), item) != items.end();
}

bool isSubset(const std::vector<std::string> &items, const std::vector<std::string> &of)
{
    return std::all_of(items.begin(), items.end(), [&of](const std::string &item) { return contains(of, item); });
}

} // namespace

OrderReconciler::OrderReconciler(OrderLimits limits)
    : m_limits(limits)
{
}

void OrderReconciler::setTargets(std::vector<EngineTarget> targets,
                                 std::size_t fleetEngines,
                                 double loadsPerMinute,
                                 Instant now)
{
    refill(now);
    std::map<std::string, Engine> engines;
    for (EngineTarget &target : targets) {
        Engine engine;
        const auto known = m_engines.find(target.engine);
        if (known != m_engines.end()) {
            engine = std::move(known->second);
            const bool same = engine.target.load == target.load && engine.target.role == target.role;
            engine.ordered = engine.ordered && same;
        }
        const std::string name = target.engine;
        engine.target = std::move(target);
        engines[name] = std::move(engine);
    }
    m_engines = std::move(engines);
    const double share =
        static_cast<double>(m_engines.size()) / static_cast<double>(std::max<std::size_t>(fleetEngines, 1));
    m_loadsPerSecond = loadsPerMinute / SecondsPerMinute * std::min(share, 1.0);
}

void OrderReconciler::reported(const LoadReport &report, Instant /*now*/)
{
    const auto found = m_engines.find(report.engine);
    if (found != m_engines.end()) {
        found->second.loaded = report.loaded;
    }
}

void OrderReconciler::answered(const std::string &name, OrderResult result, Instant now)
{
    const auto found = m_engines.find(name);
    if (found == m_engines.end() || !found->second.sentAt) {
        return;
    }
    Engine &engine = found->second;
    engine.sentAt.reset();
    engine.ordered = result == OrderResult::Accepted;
    engine.settledAt = now + (engine.ordered ? m_limits.settleTime : m_limits.longestOrder);
}

bool OrderReconciler::needsOrder(const Engine &engine, Instant now) const
{
    if (!engine.loaded || engine.sentAt) {
        return false;
    }
    const bool settling = engine.settledAt && now < *engine.settledAt;
    const bool asAllowed = isSubset(*engine.loaded, engine.allowed) && isSubset(engine.allowed, *engine.loaded);
    if (settling && (engine.ordered ? !asAllowed : true)) {
        return false;
    }
    const bool asWanted = isSubset(*engine.loaded, engine.target.load) && isSubset(engine.target.load, *engine.loaded);
    const bool repeat = engine.settledAt && now >= *engine.settledAt + m_limits.repeatEvery;
    return !asWanted || !engine.ordered || repeat;
}

/// Returns the part of the target that may be ordered now: what is loaded already, and further items that are paid for.
std::vector<std::string> OrderReconciler::payForLoads(const Engine &engine, Instant now)
{
    refill(now);
    std::vector<std::string> items;
    for (const std::string &item : engine.target.load) {
        const bool loaded = contains(*engine.loaded, item);
        if (!loaded && m_loads < 1) {
            continue;
        }
        m_loads -= loaded ? 0 : 1;
        items.push_back(item);
    }
    return items;
}

std::vector<OrderToSend> OrderReconciler::advance(const OrderPermit &permit, Instant now)
{
    std::vector<OrderToSend> orders;
    for (auto &[name, engine] : m_engines) {
        if (engine.sentAt && now >= *engine.sentAt + m_limits.longestOrder) {
            answered(name, OrderResult::Lost, now);
        }
        if (!needsOrder(engine, now)) {
            continue;
        }
        const auto fencingNumber = permit(engine.target, now);
        if (!fencingNumber) {
            continue;
        }
        std::vector<std::string> items = payForLoads(engine, now);
        const bool unchanged = engine.ordered && isSubset(items, *engine.loaded) && isSubset(*engine.loaded, items);
        const bool complete = items.size() == engine.target.load.size();
        if (unchanged && !complete) {
            continue;
        }
        engine.allowed = items;
        engine.sentAt = now;
        orders.push_back({name, EngineOrder{*fencingNumber, std::move(items), engine.target.role}});
    }
    return orders;
}

bool OrderReconciler::underWay() const
{
    return std::any_of(
        m_engines.begin(), m_engines.end(), [](const auto &entry) { return entry.second.sentAt.has_value(); });
}

void OrderReconciler::refill(Instant now)
{
    if (m_refilledAt != Instant{}) {
        m_loads = std::min(GreatestSaving, m_loads + seconds(now - m_refilledAt) * m_loadsPerSecond);
    }
    m_refilledAt = now;
}

} // namespace pomeloport
