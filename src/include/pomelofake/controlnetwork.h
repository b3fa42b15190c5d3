#pragma once

#include "pomelofake/platformmodel.h"
#include "pomeloport/clock.h"
#include "pomeloport/coordination/controlplane.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <variant>
#include <vector>

/// Control planes joined by a queue of delayed datagrams on a virtual clock, with one platform. Runs the real decision
/// code of the controllers without sockets or threads.
namespace pomelofake
{

/// Shape of the fleet and of its network.
struct ControlNetworkSettings
{
    std::size_t regions = 1;
    std::size_t domainsPerRegion = 3;
    std::size_t instances = 9;
    /// Engines that each instance reports.
    std::size_t enginesPerInstance = 2;
    /// Share of datagrams lost, 0 to 1.
    double loss = 0;
    /// One-way delay within a region and between regions.
    pomeloport::Duration nearDelay = std::chrono::microseconds(500);
    pomeloport::Duration farDelay = std::chrono::milliseconds(40);
    /// Round trip to the platform.
    pomeloport::Duration storeDelay = std::chrono::milliseconds(4);
    /// How long a call of a platform that is cut off takes to fail.
    pomeloport::Duration storeTimeout = std::chrono::seconds(2);
    pomeloport::SpreadPolicy policy = pomeloport::SpreadPolicy::Random;
    std::uint64_t seed = 1;
};

/// What one instance sent and received, with all headers.
struct ControlTraffic
{
    std::uint64_t sent = 0;
    std::uint64_t sentBytes = 0;
    std::uint64_t received = 0;
    std::uint64_t receivedBytes = 0;
    /// Of the sent: announcements and requests of configuration.
    std::uint64_t configSent = 0;
    std::uint64_t configBytes = 0;
    /// Of the config bytes: those that left the failure domain.
    std::uint64_t configBytesAcross = 0;
    /// Whole configurations read from peers and from the store, with their bytes.
    std::uint64_t fetches = 0;
    std::uint64_t fetchBytes = 0;
    std::uint64_t storeBytes = 0;
};

/// A fleet of control planes.
class ControlNetwork
{
public:
    /// One instance: its decisions, and whether it runs and what it can reach.
    struct Node
    {
        pomeloport::control::MemberRecord record;
        std::unique_ptr<pomeloport::ControlPlane> plane;
        ControlTraffic traffic;
        /// A stopped process receives nothing and does nothing.
        bool running = true;
        /// Whether it can reach the platform.
        bool reachesStore = true;
        /// Datagrams pass only between nodes of the same island.
        int island = 0;
        /// Versions that were brought into force, in order.
        std::vector<std::uint64_t> adopted;
    };

    explicit ControlNetwork(ControlNetworkSettings settings);

    /// Writes the declarations' text to the store; returns its version, or 0 when the store refuses.
    std::uint64_t writeConfig(const std::string &yaml);

    /// Starts an instance with a new incarnation at a place; replaces the one that ran there.
    void start(std::size_t index);

    /// Starts all instances within a time.
    void startAll(pomeloport::Duration within);

    /// Stops a process at once.
    void kill(std::size_t index);

    /// Runs the clock on.
    void run(pomeloport::Duration duration);

    /// Runs until the condition holds or the time is up; returns whether it holds.
    bool runUntil(const std::function<bool()> &condition, pomeloport::Duration limit);

    /// Whether all running instances that reach others have at least this version.
    bool inForce(std::uint64_t version) const;

    /// Whether every running instance takes exactly the running ones of its region for live.
    bool agreed() const;

    pomeloport::Instant now() const
    {
        return m_now;
    }

    std::vector<Node> &nodes()
    {
        return m_nodes;
    }

    PlatformModel &platform()
    {
        return m_platform;
    }

    /// Time that the decision code of all nodes has used on this machine.
    std::chrono::nanoseconds busy() const
    {
        return m_busy;
    }

    /// Calls of the store so far, a waiting watch counted as one.
    std::uint64_t storeCalls() const;

    /// Sets every traffic count to zero.
    void resetTraffic();

private:
    struct Delivery
    {
        std::size_t receiver = 0;
        pomeloport::ControlEvent event;
        std::uint64_t incarnation = 0;
        std::size_t bytes = 0;
    };

    void step();
    void feed(std::size_t index, const pomeloport::ControlEvent &event);
    void send(std::size_t index, const std::string &address, const pomeloport::ControlMessage &message);
    void callStore(std::size_t index, pomeloport::StoreCall call);
    void fetch(std::size_t index, const std::string &instance);
    void deliver(std::size_t receiver, pomeloport::Duration delay, pomeloport::ControlEvent event, std::size_t bytes);
    void answerStore();
    pomeloport::control::InstanceReport reportOf(std::size_t index) const;
    void learnAddresses(std::size_t index);

    ControlNetworkSettings m_settings;
    pomeloport::Instant m_now{std::chrono::seconds(1)};
    std::vector<Node> m_nodes;
    std::map<std::string, std::size_t> m_byAddress;
    std::multimap<pomeloport::Instant, Delivery> m_queue;
    std::multimap<pomeloport::Instant, std::size_t> m_starts;
    PlatformModel m_platform;
    struct StoreCaller
    {
        std::size_t index = 0;
        std::uint64_t incarnation = 0;
        std::uint64_t id = 0;
    };
    std::map<std::uint64_t, StoreCaller> m_tickets;
    std::mt19937_64 m_random;
    std::uint64_t m_incarnations = 1'700'000'000'000;
    std::uint64_t m_configVersion = 0;
    std::uint64_t m_edits = 0;
    std::chrono::nanoseconds m_busy{};
};

} // namespace pomelofake
