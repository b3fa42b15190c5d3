#pragma once

#include "virtualclock.h"

#include "pomeloport/coordination/controlplane.h"
#include "pomeloport/coordination/groupcoordinator.h"
#include "pomeloport/coordination/leases.h"
#include "pomeloport/coordination/orders.h"
#include "pomeloport/coordination/orphansweep.h"
#include "pomeloport/state/snapshot.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace faultmatrix
{

class World;

/// One start of an instance's controller: carries out what membership, configuration spread, leases, orders, sweep and
/// group coordination decide.
class Controller
{
public:
    Controller(World &world, std::string instance, std::string failureDomain, std::uint64_t incarnation);

    const std::shared_ptr<Process> &process() const;
    const pomeloport::OwnerId &id() const;
    const pomeloport::ControlPlane &plane() const;
    const pomeloport::LeaseManager &leases() const;

    void datagram(const pomeloport::OwnerId &sender, const pomeloport::ControlMessage &message);
    void reserveGroup(const pomeloport::groupevent::Reserve &event);
    void releaseGroup(const pomeloport::StreamAddress &stream);

    /// Leaves discovery; leases go back once the router is idle.
    void leave();
    bool leaving() const;
    void releaseLeases();

private:
    void tick();
    void poll();
    void publish();
    void sweep();
    void order();
    void send(const pomeloport::OrderToSend &order);
    void driveLeases();
    void learnInstances();
    void feed(const pomeloport::ControlEvent &event);
    void feedGroups(const pomeloport::GroupEvent &event);
    void feedSweep(const pomeloport::SweepEvent &event);

    void perform(const pomeloport::controlaction::Send &action);
    void perform(const pomeloport::controlaction::InstancesChanged &action);
    void perform(const pomeloport::configspread::CallStore &action);
    void perform(const pomeloport::configspread::Fetch &action);
    void perform(const pomeloport::configspread::Adopt &action);
    void perform(const pomeloport::configspread::AdmissionChanged &action);
    void perform(const pomeloport::sweepaction::AskOwner &action);
    void perform(const pomeloport::sweepaction::CancelStream &action);
    void perform(const pomeloport::sweepaction::FreeBlob &action);

    std::set<std::string> homes() const;
    std::string processName() const;

    World &m_world;
    std::string m_instance;
    std::string m_failureDomain;
    pomeloport::OwnerId m_id;
    std::shared_ptr<Process> m_process;
    pomeloport::ControlPlane m_plane;
    pomeloport::LeaseManager m_leases;
    pomeloport::OrderReconciler m_orders;
    pomeloport::OrphanSweep m_sweep;
    pomeloport::GroupCoordinator m_groups;
    pomeloport::Declarations m_declarations;
    std::uint64_t m_version = 0;
    bool m_admitting = false;
    bool m_leaving = false;
    bool m_stopping = false;
    std::map<std::string, pomeloport::LoadReport> m_reports;
    std::map<std::string, Instant> m_reportedAt;
    std::set<std::string> m_leavingBackends;
    std::map<std::string, std::uint64_t> m_lastFencing;
};

} // namespace faultmatrix
