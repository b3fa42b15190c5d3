#pragma once

#include "pomeloport/clock.h"
#include "pomeloport/protocol/controlmessages.h"
#include "pomeloport/protocol/enginemessages.h"
#include "pomeloport/state/snapshot.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

/// What one controller knows of the backend servers of its region: declarations, whose home it is, reports read by
/// itself or heard from the homes, and who is leaving.
namespace pomeloport
{

/// The backend servers as one instance sees them. Pure; one thread at a time.
class BackendTable
{
public:
    /// Keeps the servers of one region, and those declared without a region.
    BackendTable(OwnerId self, std::string region);

    /// Replaces the declarations. Reports of servers that stay are kept.
    void setDeclarations(const Declarations &declarations);

    /// Replaces the instances, which decides whose home this instance is.
    void setInstances(const std::vector<InstanceView> &instances);

    /// Replaces the names, as by listedName(), of servers that the platform lists as leaving.
    void setListedLeaving(std::set<std::uint32_t> names);

    /// Replaces what group coordinators have set aside, each entry of theirs; entries of one engine add up.
    void setSetAside(const std::vector<control::EngineReservation> &entries);

    /// The message form of what the own group coordinators have set aside, in tokens for each engine. The
    /// entries with the most tokens are kept when they are too many for a datagram.
    static std::vector<control::EngineReservation> compactSetAside(const std::map<std::string, std::uint64_t> &tokens);

    /// The short form of a server's name in control::InstanceReport::listedLeaving.
    static std::uint32_t listedName(std::string_view name);

    /// Takes a report that this instance read. Reports of an earlier process of the server are dropped.
    void reported(const LoadReport &report, Instant now);

    /// Counts a failed reading; a server that fails several times in a row counts as gone until it answers.
    void unreachable(const std::string &backend);

    /// Takes what the home of other servers reports.
    void heard(const control::InstanceReport &report, Instant madeAt);

    /// All declared servers of the region.
    std::vector<BackendServer> servers() const;

    /// Servers whose home this instance is.
    std::vector<BackendServer> homeServers() const;

    /// All declared servers of the region with their state and last report.
    std::vector<BackendView> views(Instant now) const;

    /// The part of the own report that tells peers of the servers whose home this instance is.
    std::vector<control::EngineLoad> ownLoads(Instant now) const;

    /// Whether the state of a server whose home this instance is changed since the last call; peers hear of it at once.
    bool takeStateChange();

private:
    struct Entry
    {
        BackendServer server;
        bool home = false;
        BackendState state = BackendState::Live;
        std::uint32_t failures = 0;
        LoadReport report;
        Instant reportedAt{};
        /// When the home made the last report that was heard.
        Instant heardAt{};
    };

    void updateState(Entry &entry);
    control::EngineLoad compact(const Entry &entry, Instant now) const;
    void expand(Entry &entry, const control::EngineLoad &load) const;

    OwnerId m_self;
    std::string m_region;
    std::map<std::string, Entry> m_entries;
    std::map<std::uint32_t, std::string> m_byHash;
    /// Sorted names of everything that the declarations ask engines to load.
    std::vector<std::string> m_catalogue;
    std::vector<InstanceView> m_instances;
    std::set<std::uint32_t> m_listedLeaving;
    /// Tokens set aside for groups, by the short form of the engine's name.
    std::map<std::uint32_t, std::uint64_t> m_setAside;
    bool m_stateChanged = false;
};

} // namespace pomeloport
