#pragma once

#include "pomeloport/clock.h"
#include "pomeloport/protocol/enginemessages.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// Orders to engines: what each should have in memory and which role it plays. Orders name the whole wanted state, so
/// that repeating one does no harm; what an engine reports is compared with it, and a late order of a former owner is
/// undone. Loads are paced below the weight store's limit over all instances. Pure; one thread at a time.
namespace pomeloport
{

/// The wanted state of one engine.
struct EngineTarget
{
    std::string engine;
    std::vector<std::string> load;
    std::string role;
    /// Whether it refuses old fencing numbers.
    bool checksFencing = false;
};

/// Times of orders.
struct OrderLimits
{
    /// An order without an answer counts as lost after this time, which the leases wait out.
    Duration longestOrder = std::chrono::seconds(30);
    /// Time that an engine is given to show the effect of an accepted order.
    Duration settleTime = std::chrono::seconds(60);
    /// How often the state is ordered again although the engine shows it, for what reports don't tell.
    Duration repeatEvery = std::chrono::minutes(5);
};

/// How an order ended.
enum class OrderResult {
    Accepted,
    /// Refused for an old fencing number: this instance no longer owns the engine.
    Fenced,
    Refused,
    /// No answer; the order may take effect.
    Lost,
};

/// An order to send now.
struct OrderToSend
{
    std::string engine;
    EngineOrder order;
};

/// Returns the fencing number for an order to an engine right now, or nothing when it may not be ordered. See
/// LeaseManager::orderFencingNumber().
using OrderPermit = std::function<std::optional<std::uint64_t>(const EngineTarget &target, Instant now)>;

/// Brings the engines that one instance owns to their wanted state.
class OrderReconciler
{
public:
    explicit OrderReconciler(OrderLimits limits = {});

    /// Replaces the targets. This instance may spend its engines' share of the fleet's weight loads: the limit of the
    /// weight store, times its engines, over the engines of the fleet.
    void setTargets(std::vector<EngineTarget> targets, std::size_t fleetEngines, double loadsPerMinute, Instant now);

    /// Takes what an engine reports.
    void reported(const LoadReport &report, Instant now);

    /// Takes the end of an order.
    void answered(const std::string &engine, OrderResult result, Instant now);

    /// Returns the orders to send now. The permit is asked just before each.
    std::vector<OrderToSend> advance(const OrderPermit &permit, Instant now);

    /// Whether orders are under way; a holder gives its leases back only after they have ended.
    bool underWay() const;

private:
    struct Engine
    {
        EngineTarget target;
        /// What the last report showed; nothing before the first.
        std::optional<std::vector<std::string>> loaded;
        std::optional<Instant> sentAt;
        std::optional<Instant> settledAt;
        bool ordered = false;
        std::vector<std::string> allowed;
    };

    bool needsOrder(const Engine &engine, Instant now) const;
    std::vector<std::string> payForLoads(const Engine &engine, Instant now);
    void refill(Instant now);

    OrderLimits m_limits;
    std::map<std::string, Engine> m_engines;
    double m_loadsPerSecond = 0;
    double m_loads = 0;
    Instant m_refilledAt{};
};

} // namespace pomeloport
