#include "pomeloport/coordination/controlplane.h"

#include <algorithm>

namespace pomeloport
{

namespace
{

/// Time for which a dead peer counts as recently dead.
constexpr Duration RecentDeathPeriod = std::chrono::hours(1);
/// Interval at which the state that this instance reports about itself and the region's configuration versions is
/// updated.
constexpr Duration SelfUpdateInterval = std::chrono::milliseconds(250);
/// Value of control::InstanceReport::load that stands for full load.
constexpr double FullLoad = 255;

} // namespace

ControlSettings controlSettings(const control::MemberRecord &self, std::uint64_t seed)
{
    ControlSettings settings;
    settings.membership.self = self;
    settings.membership.seed = seed;
    settings.config.self = self.id;
    settings.config.failureDomain = self.failureDomain;
    settings.config.seed = seed + 1;
    settings.load.self = self.id;
    return settings;
}

ControlPlane::ControlPlane(ControlSettings settings, Instant now)
    : m_membership(settings.membership, now)
    , m_config(settings.config, now)
    , m_load(settings.load)
    , m_ownAddress(settings.membership.self.datagramAddress)
{
    membersChanged(now);
    m_actions.clear();
}

std::vector<ControlAction> ControlPlane::handle(const ControlEvent &event, Instant now)
{
    std::visit([&](const auto &concrete) { on(concrete, now); }, event);
    return std::exchange(m_actions, {});
}

void ControlPlane::on(const controlevent::Tick & /*event*/, Instant now)
{
    if (now >= m_nextSelfUpdate) {
        m_nextSelfUpdate = now + SelfUpdateInterval;
        updateSelf(now);
    }
    passToMembership(membership::Tick{}, now);
    passToConfig(configspread::Tick{}, now);
    for (auto &datagram : m_load.tick(now)) {
        m_actions.emplace_back(controlaction::Send{std::move(datagram.address), std::move(datagram.share)});
    }
}

void ControlPlane::on(const controlevent::Datagram &event, Instant now)
{
    if (const auto *share = std::get_if<control::LoadExchange>(&event.message)) {
        m_load.receive(*share, now);
        return;
    }
    const bool config = std::holds_alternative<control::ConfigAnnounce>(event.message)
        || std::holds_alternative<control::ConfigPull>(event.message);
    if (config) {
        passToConfig(configspread::Received{event.sender, event.address, event.message}, now);
        return;
    }
    passToMembership(membership::Received{event.sender, event.address, event.message}, now);
}

void ControlPlane::on(const controlevent::OwnReport &event, Instant now)
{
    m_load.setOwnReport(event.report, now);
    if (!event.urgent) {
        return;
    }
    for (auto &datagram : m_load.ownReportDatagrams()) {
        m_actions.emplace_back(controlaction::Send{std::move(datagram.address), std::move(datagram.share)});
    }
}

void ControlPlane::on(const controlevent::Leaving &event, Instant now)
{
    m_leaving = event.leaving;
    updateSelf(now);
}

void ControlPlane::on(const membership::AddressesLearned &event, Instant now)
{
    auto addresses = event.addresses;
    std::erase(addresses, m_ownAddress);
    m_addressesKnown = !addresses.empty();
    passToMembership(membership::AddressesLearned{std::move(addresses)}, now);
    membersChanged(now);
}

void ControlPlane::passToMembership(const MembershipEvent &event, Instant now)
{
    for (auto &action : m_membership.handle(event, now)) {
        if (auto *send = std::get_if<membership::Send>(&action)) {
            m_actions.emplace_back(controlaction::Send{std::move(send->address), std::move(send->message)});
        } else if (const auto *heartbeat = std::get_if<membership::HeartbeatReceived>(&action)) {
            passToConfig(
                configspread::HeartbeatReceived{
                    heartbeat->id, heartbeat->datagramAddress, heartbeat->peerAddress, heartbeat->configVersion},
                now);
        } else {
            membersChanged(now);
        }
    }
}

void ControlPlane::passToConfig(const ConfigSpreadEvent &event, Instant now)
{
    for (auto &action : m_config.handle(event, now)) {
        if (auto *send = std::get_if<configspread::Send>(&action)) {
            m_actions.emplace_back(controlaction::Send{std::move(send->address), std::move(send->message)});
        } else if (auto *call = std::get_if<configspread::CallStore>(&action)) {
            m_actions.emplace_back(std::move(*call));
        } else if (auto *fetch = std::get_if<configspread::Fetch>(&action)) {
            m_actions.emplace_back(std::move(*fetch));
        } else if (auto *adopt = std::get_if<configspread::Adopt>(&action)) {
            m_actions.emplace_back(std::move(*adopt));
            updateSelf(now);
        } else if (auto *admission = std::get_if<configspread::AdmissionChanged>(&action)) {
            m_actions.emplace_back(std::move(*admission));
        }
    }
}

void ControlPlane::membersChanged(Instant now)
{
    configspread::PeersChanged changed;
    std::vector<RingMember> ring;
    for (const auto &record : m_membership.members()) {
        const auto &name = record.id.instance;
        if (record.state == InstanceState::Dead) {
            m_deathTimes.try_emplace(name, now);
            continue;
        }
        m_deathTimes.erase(name);
        ring.push_back({name, record.failureDomain, record.datagramAddress});
        if (name != m_membership.self().id.instance) {
            changed.peers.push_back({name, record.failureDomain, record.datagramAddress, record.peerAddress});
        }
    }
    std::erase_if(m_deathTimes, [now](const auto &death) { return now - death.second > RecentDeathPeriod; });
    changed.recentlyDead = m_deathTimes.size();
    changed.expectPeers = !changed.peers.empty() || changed.recentlyDead > 0 || m_addressesKnown;
    m_load.setMembers(std::move(ring));
    passToConfig(changed, now);
    m_actions.emplace_back(controlaction::InstancesChanged{});
}

void ControlPlane::updateSelf(Instant now)
{
    membership::SelfChanged self;
    self.leaving = m_leaving;
    self.configVersion = m_config.version();
    self.lowestConfigVersion = m_config.version();
    for (const auto &[name, held] : m_load.reports()) {
        if (held.report.configVersion < m_config.version() && name != m_membership.self().id.instance) {
            self.lowestConfigVersion = std::min(self.lowestConfigVersion, held.report.configVersion);
            self.lagging.push_back(name);
        }
    }
    passToMembership(self, now);
}

std::vector<InstanceView> ControlPlane::instances() const
{
    std::vector<InstanceView> result;
    for (const auto &record : m_membership.members()) {
        InstanceView view;
        view.id = record.id;
        view.region = record.region;
        view.failureDomain = record.failureDomain;
        view.httpAddress = record.httpAddress;
        view.peerAddress = record.peerAddress;
        view.datagramAddress = record.datagramAddress;
        view.state = record.state;
        const auto held = m_load.reports().find(record.id.instance);
        if (held != m_load.reports().end() && held->second.report.id == record.id) {
            view.load = held->second.report.load / FullLoad;
            view.configVersion = held->second.report.configVersion;
        }
        result.push_back(std::move(view));
    }
    return result;
}

} // namespace pomeloport
