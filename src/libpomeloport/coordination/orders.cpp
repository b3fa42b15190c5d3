#include "pomeloport/coordination/orders.h"

#include <algorithm>

namespace pomeloport
{

namespace
{

constexpr double SecondsPerMinute = 60;

/// Weight loads that an idle instance may accumulate. With more than one, many instances that start to load at the same
/// time could exceed the limit of the weight store.
constexpr double MaximumLoadBudget = 1;

bool contains(const std::vector<std::string> &items, const std::string &item)
{
    return std::find(items.begin(), items.end(), item) != items.end();
}

bool isSubset(const std::vector<std::string> &items, const std::vector<std::string> &other)
{
    return std::all_of(items.begin(), items.end(), [&other](const std::string &item) { return contains(other, item); });
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
    refillLoadBudget(now);
    std::map<std::string, Engine> engines;
    for (EngineTarget &target : targets) {
        Engine engine;
        const auto known = m_engines.find(target.engine);
        if (known != m_engines.end()) {
            engine = std::move(known->second);
            const bool same = engine.target.load == target.load && engine.target.role == target.role;
            engine.accepted = engine.accepted && same;
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
    engine.accepted = result == OrderResult::Accepted;
    engine.settleDeadline = now + (engine.accepted ? m_limits.settleTime : m_limits.longestOrder);
}

bool OrderReconciler::needsOrder(const Engine &engine, Instant now) const
{
    if (!engine.loaded || engine.sentAt) {
        return false;
    }
    const bool settling = engine.settleDeadline && now < *engine.settleDeadline;
    const bool matchesOrder =
        isSubset(*engine.loaded, engine.orderedItems) && isSubset(engine.orderedItems, *engine.loaded);
    if (settling && (engine.accepted ? !matchesOrder : true)) {
        return false;
    }
    const bool matchesTarget =
        isSubset(*engine.loaded, engine.target.load) && isSubset(engine.target.load, *engine.loaded);
    const bool repeat = engine.settleDeadline && now >= *engine.settleDeadline + m_limits.repeatInterval;
    return !matchesTarget || !engine.accepted || repeat;
}

/// Returns the items of the target that may be ordered now: those that are already loaded, and as many others as the
/// load budget allows. Each of the others is deducted from the budget.
std::vector<std::string> OrderReconciler::admitLoads(const Engine &engine, Instant now)
{
    refillLoadBudget(now);
    std::vector<std::string> items;
    for (const std::string &item : engine.target.load) {
        const bool loaded = contains(*engine.loaded, item);
        if (!loaded && m_loadBudget < 1) {
            continue;
        }
        m_loadBudget -= loaded ? 0 : 1;
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
        std::vector<std::string> items = admitLoads(engine, now);
        const bool unchanged = engine.accepted && isSubset(items, *engine.loaded) && isSubset(*engine.loaded, items);
        const bool complete = items.size() == engine.target.load.size();
        if (unchanged && !complete) {
            continue;
        }
        engine.orderedItems = items;
        engine.sentAt = now;
        orders.push_back({name, EngineOrder{*fencingNumber, std::move(items), engine.target.role}});
    }
    return orders;
}

bool OrderReconciler::hasPendingOrders() const
{
    return std::any_of(
        m_engines.begin(), m_engines.end(), [](const auto &entry) { return entry.second.sentAt.has_value(); });
}

void OrderReconciler::refillLoadBudget(Instant now)
{
    if (m_loadBudgetRefilledAt != Instant{}) {
        m_loadBudget =
            std::min(MaximumLoadBudget, m_loadBudget + seconds(now - m_loadBudgetRefilledAt) * m_loadsPerSecond);
    }
    m_loadBudgetRefilledAt = now;
}

} // namespace pomeloport
