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

/// Control plane of one instance: combines membership and the dissemination of configuration and load reports. The
/// controller runs it on real sockets and clocks, benchmarks and tests on a simulated network.
namespace pomeloport
{

/// Settings of ControlPlane.
struct ControlSettings
{
    MembershipSettings membership;
    ConfigSpreadSettings config;
    LoadSpreadSettings load;
};

/// Returns default settings in which all parts have the identity and failure domain of the given record and are seeded
/// from the same value.
ControlSettings controlSettings(const control::MemberRecord &self, std::uint64_t seed);

namespace controlevent
{

/// Advances time; expected about every 20 ms.
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

/// A new load report of this instance: its load, its configuration version in force, and the load of the engines whose
/// home this instance is.
struct OwnReport
{
    control::InstanceReport report;
    /// Whether to send the report to all instances of the region immediately because the state of a backend server
    /// changed.
    bool urgent = false;
};

/// This instance starts or stops turning away new callers. It does so while it does not admit work, while it drains,
/// and while its router does not run.
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

/// Request to send a datagram.
struct Send
{
    std::string address;
    ControlMessage message;
};

/// The instances of the region changed; ControlPlane::instances() returns them.
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

/// Control plane of one instance. Performs no I/O: events and the current time go in, actions come out. Not thread
/// safe.
class ControlPlane
{
public:
    ControlPlane(ControlSettings settings, Instant now);

    /// Processes one event and returns the actions that the caller has to carry out.
    std::vector<ControlAction> handle(const ControlEvent &event, Instant now);

    /// Returns all remembered instances of the region, including this one, with their loads and configuration versions.
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
        passToConfig(event, now);
    }
    void passToMembership(const MembershipEvent &event, Instant now);
    void passToConfig(const ConfigSpreadEvent &event, Instant now);
    void membersChanged(Instant now);
    void updateSelf(Instant now);

    Membership m_membership;
    ConfigSpread m_config;
    LoadSpread m_load;
    std::string m_ownAddress;
    bool m_addressesKnown = false;
    bool m_leaving = false;
    /// Times at which peers were found dead, by name.
    std::map<std::string, Instant> m_deathTimes;
    Instant m_nextSelfUpdate{};
    std::vector<ControlAction> m_actions;
};

} // namespace pomeloport
