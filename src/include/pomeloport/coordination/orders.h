#pragma once

#include "pomeloport/clock.h"
#include "pomeloport/protocol/enginemessages.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// Orders to engines: which items an engine is to keep in memory and which role it has. An order contains the complete
/// target state, so repeating it is harmless. The reports of each engine are compared with its target, so the effect of
/// a late order from a former owner is corrected. Weight loads are rate-limited so that all instances together stay
/// within the limit of the weight store. The code performs no I/O and is not thread-safe.
namespace pomeloport
{

/// Target state of one engine.
struct EngineTarget
{
    std::string engine;
    std::vector<std::string> load;
    std::string role;
    /// Whether the engine refuses outdated fencing numbers.
    bool checksFencing = false;
};

/// Timing parameters of orders.
struct OrderLimits
{
    /// An order without an answer counts as lost after this time. A new owner of an engine waits for the same time, see
    /// LeaseLimits::longestOrder.
    Duration longestOrder = std::chrono::seconds(30);
    /// Time that an engine has after accepting an order until its reports must show the effect.
    Duration settleTime = std::chrono::seconds(60);
    /// Interval at which an order is repeated although the reports match the target, for the parts of the state that
    /// reports do not contain.
    Duration repeatInterval = std::chrono::minutes(5);
};

/// Outcome of an order.
enum class OrderResult {
    Accepted,
    /// Refused because of an outdated fencing number: this instance no longer owns the engine.
    Fenced,
    Refused,
    /// No answer was received; the order may still take effect.
    Lost,
};

/// An order together with the engine that it is to be sent to.
struct OrderToSend
{
    std::string engine;
    EngineOrder order;
};

/// Returns the fencing number for an order to an engine, or std::nullopt if no order may be sent at the given time. See
/// LeaseManager::orderFencingNumber().
using OrderPermit = std::function<std::optional<std::uint64_t>(const EngineTarget &target, Instant now)>;

/// Reconciles the engines that one instance owns with their target states.
class OrderReconciler
{
public:
    explicit OrderReconciler(OrderLimits limits = {});

    /// Replaces the targets. Of the weight store's limit, loadsPerMinute, this instance may use the share that
    /// corresponds to its targets among the fleetEngines engines of the fleet.
    void setTargets(std::vector<EngineTarget> targets, std::size_t fleetEngines, double loadsPerMinute, Instant now);

    /// Records which items an engine reports as loaded. Reports of engines without a target are ignored.
    void reported(const LoadReport &report, Instant now);

    /// Records the outcome of the order that is in flight to an engine.
    void answered(const std::string &engine, OrderResult result, Instant now);

    /// Returns the orders to send now. The permit is requested separately for each order.
    std::vector<OrderToSend> advance(const OrderPermit &permit, Instant now);

    /// Returns whether orders are in flight. Leases must not be released until they have ended.
    bool hasPendingOrders() const;

private:
    struct Engine
    {
        EngineTarget target;
        /// Items in the latest report; std::nullopt before the first report.
        std::optional<std::vector<std::string>> loaded;
        /// When the order in flight was sent; std::nullopt if there is none.
        std::optional<Instant> sentAt;
        /// Until when the engine may still be acting on the latest order, or a lost order may still take effect.
        std::optional<Instant> settleDeadline;
        /// Whether the engine accepted the latest order and the target has not changed since.
        bool accepted = false;
        /// Items in the latest order; only a part of the target while weight loads are rate-limited.
        std::vector<std::string> orderedItems;
    };

    bool needsOrder(const Engine &engine, Instant now) const;
    std::vector<std::string> admitLoads(const Engine &engine, Instant now);
    void refillLoadBudget(Instant now);

    OrderLimits m_limits;
    std::map<std::string, Engine> m_engines;
    double m_loadsPerSecond = 0;
    /// Weight loads that may be ordered now; refilled at m_loadsPerSecond.
    double m_loadBudget = 0;
    Instant m_loadBudgetRefilledAt{};
};

} // namespace pomeloport
