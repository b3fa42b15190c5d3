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

/// State of the backend servers of a region as known to one controller. It combines the declarations, the home
/// instance of each server, load reports read from the servers or received from their home instances, and the servers
/// that are leaving.
namespace pomeloport
{

/// Merges local and remote load reports into one view of all backend servers. Performs no I/O and is not thread-safe.
class BackendTable
{
public:
    /// Covers the servers declared for this region and those declared without a region.
    BackendTable(OwnerId self, std::string region);

    /// Replaces the declarations. A server that stays declared under the same name and address keeps its reports.
    void setDeclarations(const Declarations &declarations);

    /// Replaces the known instances and recomputes which servers have this instance as their home.
    void setInstances(const std::vector<InstanceView> &instances);

    /// Replaces the set of servers that the platform lists as leaving, given as backendNameHash() of their names.
    void setListedLeaving(std::set<std::uint32_t> names);

    /// Replaces the memory reserved by group coordinators. Entries for the same engine are added up, since several
    /// coordinators can reserve memory on one engine.
    void setReservedTokens(const std::vector<control::EngineReservation> &entries);

    /// Returns the report entries for the tokens that this instance's group coordinators have reserved on each engine.
    /// If there are too many entries for a datagram, those with the most tokens are kept.
    static std::vector<control::EngineReservation> compactReservedTokens(
        const std::map<std::string, std::uint64_t> &tokens);

    /// Returns the hash that stands for a server's name in control::InstanceReport::listedLeaving.
    static std::uint32_t backendNameHash(std::string_view name);

    /// Stores a load report that this instance read from the server itself, and resets the server's failure count.
    /// Reports of undeclared servers are ignored.
    void reported(const LoadReport &report, Instant now);

    /// Counts a failed attempt to read a server's load. After several consecutive failures the server counts as gone
    /// until it answers again.
    void unreachable(const std::string &backend);

    /// Applies the loads that another instance reports for the servers whose home it is. Loads that are not newer than
    /// those already applied are ignored, as are loads of servers whose home is this instance.
    void applyHomeReport(const control::InstanceReport &report, Instant madeAt);

    /// Returns all declared servers of the region.
    std::vector<BackendServer> servers() const;

    /// Returns the servers whose home is this instance.
    std::vector<BackendServer> homeServers() const;

    /// Returns all declared servers of the region with their state and latest report.
    std::vector<BackendView> views(Instant now) const;

    /// Returns the loads of the servers whose home is this instance, for this instance's report to its peers. Servers
    /// that are live but have not reported yet are omitted.
    std::vector<control::EngineLoad> homeEngineLoads(Instant now) const;

    /// Returns whether the state of a server whose home is this instance has changed since the previous call, and
    /// resets the flag. State changes are sent to peers immediately instead of with the next periodic report.
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
        /// Time at which the home instance made the latest report applied here.
        Instant homeReportMadeAt{};
    };

    void updateState(Entry &entry);
    control::EngineLoad compact(const Entry &entry, Instant now) const;
    void expand(Entry &entry, const control::EngineLoad &load) const;

    OwnerId m_self;
    std::string m_region;
    std::map<std::string, Entry> m_entries;
    std::map<std::uint32_t, std::string> m_namesByHash;
    /// Sorted names of all items that the declarations ask engines to load. Peers refer to items by their index in it.
    std::vector<std::string> m_catalogue;
    std::vector<InstanceView> m_instances;
    std::set<std::uint32_t> m_listedLeaving;
    /// Tokens reserved for groups, keyed by the hash of the engine's name.
    std::map<std::uint32_t, std::uint64_t> m_reservedTokens;
    bool m_stateChanged = false;
};

} // namespace pomeloport
