#include "pomeloport/coordination/controlplane.h"

#include <algorithm>

namespace pomeloport
{

namespace
{

/// Time for which a dead peer counts as lost.
constexpr Duration LostMemory = std::chrono::hours(1);
/// Time between two summaries of the region's configuration versions.
constexpr Duration SelfInterval = std::chrono::milliseconds(250);
constexpr double LoadUnits = 255;

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
    if (now >= m_nextSelf) {
        m_nextSelf = now + SelfInterval;
        tellSelf(now);
    }
    feedMembership(membership::Tick{}, now);
    feedConfig(configspread::Tick{}, now);
    for (auto &datagram : m_load.tick(now)) {
        m_actions.emplace_back(controlaction::Send{std::move(datagram.address), std::move(datagram.share)});
    }
}

void ControlPlane::on(const controlevent::Datagram &event, Instant now)
{
    if (const auto *share = std::get_if<control::LoadShare>(&event.message)) {
        m_load.receive(*share, now);
        return;
    }
    const bool config = std::holds_alternative<control::ConfigAnnounce>(event.message)
        || std::holds_alternative<control::ConfigPull>(event.message);
    if (config) {
        feedConfig(configspread::Received{event.sender, event.address, event.message}, now);
        return;
    }
    feedMembership(membership::Received{event.sender, event.address, event.message}, now);
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
    tellSelf(now);
}

void ControlPlane::on(const membership::AddressesLearned &event, Instant now)
{
    auto addresses = event.addresses;
    std::erase(addresses, m_ownAddress);
    m_addressesKnown = !addresses.empty();
    feedMembership(membership::AddressesLearned{std::move(addresses)}, now);
    membersChanged(now);
}

void ControlPlane::feedMembership(const MembershipEvent &event, Instant now)
{
    for (auto &action : m_membership.handle(event, now)) {
        if (auto *send = std::get_if<membership::Send>(&action)) {
            m_actions.emplace_back(controlaction::Send{std::move(send->address), std::move(send->message)});
        } else if (const auto *heard = std::get_if<membership::PeerHeard>(&action)) {
            feedConfig(
                configspread::PeerHeard{heard->id, heard->datagramAddress, heard->peerAddress, heard->configVersion},
                now);
        } else {
            membersChanged(now);
        }
    }
}

void ControlPlane::feedConfig(const ConfigSpreadEvent &event, Instant now)
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
            tellSelf(now);
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
            m_deaths.try_emplace(name, now);
            continue;
        }
        m_deaths.erase(name);
        ring.push_back({name, record.failureDomain, record.datagramAddress});
        if (name != m_membership.self().id.instance) {
            changed.peers.push_back({name, record.failureDomain, record.datagramAddress, record.peerAddress});
        }
    }
    std::erase_if(m_deaths, [now](const auto &death) { return now - death.second > LostMemory; });
    changed.lost = m_deaths.size();
    changed.expected = !changed.peers.empty() || changed.lost > 0 || m_addressesKnown;
    m_load.setMembers(std::move(ring));
    feedConfig(changed, now);
    m_actions.emplace_back(controlaction::InstancesChanged{});
}

void ControlPlane::tellSelf(Instant now)
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
    feedMembership(self, now);
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
            view.load = held->second.report.load / LoadUnits;
            view.configVersion = held->second.report.configVersion;
        }
        result.push_back(std::move(view));
    }
    return result;
}

} // namespace pomeloport
