#pragma once

#include "pomeloport/clock.h"
#include "pomeloport/coordination/configspread.h"
#include "pomeloport/coordination/loadspread.h"
#include "pomeloport/coordination/membership.h"
#include "pomeloport/state/snapshot.h"

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

/// The control decisions of one instance put together: membership, the spread of configuration and of load reports.
/// The controller drives it with sockets and clocks, the bench and tests with a virtual network.
namespace pomeloport
{

/// Settings of the control decisions.
struct ControlSettings
{
    MembershipSettings membership;
    ConfigSpreadSettings config;
    LoadSpreadSettings load;
};

/// Returns settings for an instance with all parts agreeing on identity, failure domain and seed.
ControlSettings controlSettings(const control::MemberRecord &self, std::uint64_t seed);

namespace controlevent
{

/// Time passes; sent about every 20 ms.
struct Tick
{
};

/// A datagram arrived.
struct Datagram
{
    OwnerId sender;
    std::string address;
    ControlMessage message;
};

/// The own load and configuration version in force, and the load of the engines whose home this instance is.
struct OwnReport
{
    control::InstanceReport report;
    /// Send it to all instances of the region at once, because a server's state changed.
    bool urgent = false;
};

/// Whether this instance wants no new callers: it does not admit, drains, or its router does not run.
struct Leaving
{
    bool leaving = true;
};

} // namespace controlevent

using ControlEvent = std::variant<controlevent::Tick,
                                  controlevent::Datagram,
                                  controlevent::OwnReport,
                                  controlevent::Leaving,
                                  membership::AddressesLearned,
                                  configspread::StoreAnswered,
                                  configspread::Fetched,
                                  configspread::FetchFailed>;

namespace controlaction
{

/// Send a datagram.
struct Send
{
    std::string address;
    ControlMessage message;
};

/// The instances of the region changed; read them with instances().
struct InstancesChanged
{
};

} // namespace controlaction

using ControlAction = std::variant<controlaction::Send,
                                   controlaction::InstancesChanged,
                                   configspread::CallStore,
                                   configspread::Fetch,
                                   configspread::Adopt,
                                   configspread::AdmissionChanged>;

/// The control decisions of one instance. Pure; one thread at a time.
class ControlPlane
{
public:
    ControlPlane(ControlSettings settings, Instant now);

    std::vector<ControlAction> handle(const ControlEvent &event, Instant now);

    /// All remembered instances of the region with their loads and configuration versions, the own included.
    std::vector<InstanceView> instances() const;

    const Membership &membership() const
    {
        return m_membership;
    }

    const ConfigSpread &config() const
    {
        return m_config;
    }

    const LoadSpread &load() const
    {
        return m_load;
    }

private:
    void on(const controlevent::Tick &event, Instant now);
    void on(const controlevent::Datagram &event, Instant now);
    void on(const controlevent::OwnReport &event, Instant now);
    void on(const controlevent::Leaving &event, Instant now);
    void on(const membership::AddressesLearned &event, Instant now);
    template<typename Event>
    void on(const Event &event, Instant now)
    {
        feedConfig(event, now);
    }
    void feedMembership(const MembershipEvent &event, Instant now);
    void feedConfig(const ConfigSpreadEvent &event, Instant now);
    void membersChanged(Instant now);
    void tellSelf(Instant now);

    Membership m_membership;
    ConfigSpread m_config;
    LoadSpread m_load;
    std::string m_ownAddress;
    bool m_addressesKnown = false;
    bool m_leaving = false;
    /// When peers died, by name.
    std::map<std::string, Instant> m_deaths;
    Instant m_nextSelf{};
    std::vector<ControlAction> m_actions;
};

} // namespace pomeloport
