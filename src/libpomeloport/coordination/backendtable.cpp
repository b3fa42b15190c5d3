#include "pomeloport/coordination/backendtable.h"

#include "memberlist.h"

#include "pomeloport/coordination/rendezvous.h"

#include <algorithm>
#include <functional>
#include <limits>
#include <utility>

namespace pomeloport
{

using control::EngineLoad;

namespace
{

/// Number of consecutive failed reads after which a server counts as gone.
constexpr std::uint32_t FailuresUntilGone = 3;

/// Unit of token counts in reports to peers.
constexpr std::uint64_t TokenUnit = 256;
/// Maximum number of engines whose reserved tokens are listed in one report, so that the report fits in a datagram.
constexpr std::size_t MaximumReservationEntries = 32;
/// Unit of tokens per second in reports to peers.
constexpr double RateUnit = 16;
/// Unit of the decode step in reports to peers.
constexpr double StepUnitSeconds = 1e-4;
/// Epochs are reduced modulo this number because reports to peers carry them in 16 bits.
constexpr std::uint64_t EpochModulus = 65'521;

std::uint32_t ageMs(Instant then, Instant now)
{
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - then).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(age, 0, std::numeric_limits<std::uint32_t>::max()));
}

} // namespace

BackendTable::BackendTable(OwnerId self, std::string region)
    : m_self(std::move(self))
    , m_region(std::move(region))
{
}

void BackendTable::setDeclarations(const Declarations &declarations)
{
    auto previous = std::exchange(m_entries, {});
    std::set<std::string> names;
    m_namesByHash.clear();
    for (const auto &server : declarations.backends) {
        if (!server.region.empty() && server.region != m_region) {
            continue;
        }
        auto &entry = m_entries[server.name];
        const auto known = previous.find(server.name);
        if (known != previous.end() && known->second.server.address == server.address) {
            entry = std::move(known->second);
        }
        entry.server = server;
        m_namesByHash[detail::nameHash(server.name)] = server.name;
        names.insert(server.load.begin(), server.load.end());
    }
    m_catalogue.assign(names.begin(), names.end());
    setInstances(std::exchange(m_instances, {}));
}

void BackendTable::setInstances(const std::vector<InstanceView> &instances)
{
    m_instances = instances;
    for (auto &[name, entry] : m_entries) {
        const auto *home = homeOf(entry.server, m_instances);
        entry.home = home && home->id == m_self;
    }
}

void BackendTable::setListedLeaving(std::set<std::uint32_t> names)
{
    m_listedLeaving = std::move(names);
    for (auto &[name, entry] : m_entries) {
        updateState(entry);
    }
}

void BackendTable::updateState(Entry &entry)
{
    const bool leaving = entry.report.leaving || m_listedLeaving.contains(detail::nameHash(entry.server.name));
    auto state = leaving ? BackendState::Leaving : BackendState::Live;
    if (entry.failures >= FailuresUntilGone) {
        state = BackendState::Gone;
    }
    m_stateChanged = m_stateChanged || (entry.home && state != entry.state);
    entry.state = state;
}

void BackendTable::reported(const LoadReport &report, Instant now)
{
    const auto known = m_entries.find(report.engine);
    if (known == m_entries.end()) {
        return;
    }
    auto &entry = known->second;
    entry.failures = 0;
    entry.report = report;
    entry.report.epoch = report.epoch % EpochModulus;
    entry.reportedAt = now;
    updateState(entry);
}

void BackendTable::unreachable(const std::string &backend)
{
    const auto known = m_entries.find(backend);
    if (known != m_entries.end()) {
        ++known->second.failures;
        updateState(known->second);
    }
}

void BackendTable::applyHomeReport(const control::InstanceReport &report, Instant madeAt)
{
    for (const auto &load : report.engines) {
        const auto name = m_namesByHash.find(load.engine);
        if (name == m_namesByHash.end()) {
            continue;
        }
        auto &entry = m_entries[name->second];
        if (entry.home || madeAt <= entry.homeReportMadeAt) {
            continue;
        }
        expand(entry, load);
        entry.homeReportMadeAt = madeAt;
        entry.reportedAt = madeAt - std::chrono::milliseconds(load.ageMs);
        updateState(entry);
    }
}

EngineLoad BackendTable::compact(const Entry &entry, Instant now) const
{
    const auto &report = entry.report;
    EngineLoad load;
    load.engine = detail::nameHash(entry.server.name);
    load.state = entry.state;
    load.ageMs = ageMs(entry.reportedAt, now);
    load.sequence = report.sequence;
    load.epoch = static_cast<std::uint16_t>(report.epoch);
    load.kvUsed = static_cast<std::uint32_t>(report.kvTokensUsed / TokenUnit);
    load.queuedPrefill = static_cast<std::uint32_t>(report.queuedPrefillTokens / TokenUnit);
    load.queuedBulk = static_cast<std::uint32_t>(report.queuedBulkTokens / TokenUnit);
    load.runningStreams = report.runningStreams;
    load.queuedStreams = report.queuedStreams;
    load.prefillRate = static_cast<std::uint32_t>(report.prefillTokensPerSecond / RateUnit);
    load.decodeStep = static_cast<std::uint32_t>(report.decodeStepSeconds / StepUnitSeconds);
    for (const auto &item : report.loaded) {
        const auto position = std::ranges::lower_bound(m_catalogue, item);
        if (position != m_catalogue.end() && *position == item) {
            load.loaded.push_back(static_cast<std::uint16_t>(position - m_catalogue.begin()));
        }
    }
    return load;
}

void BackendTable::expand(Entry &entry, const EngineLoad &load) const
{
    auto &report = entry.report;
    report.engine = entry.server.name;
    report.sequence = load.sequence;
    report.epoch = load.epoch;
    report.kvTokensTotal = entry.server.kvTokens;
    report.kvTokensUsed = load.kvUsed * TokenUnit;
    report.queuedPrefillTokens = load.queuedPrefill * TokenUnit;
    report.queuedBulkTokens = load.queuedBulk * TokenUnit;
    report.runningStreams = load.runningStreams;
    report.queuedStreams = load.queuedStreams;
    report.prefillTokensPerSecond = load.prefillRate * RateUnit;
    report.decodeStepSeconds = load.decodeStep * StepUnitSeconds;
    report.leaving = load.state == BackendState::Leaving;
    entry.failures = load.state == BackendState::Gone ? FailuresUntilGone : 0;
    report.loaded.clear();
    for (const auto index : load.loaded) {
        if (index < m_catalogue.size()) {
            report.loaded.push_back(m_catalogue[index]);
        }
    }
}

void BackendTable::setReservedTokens(const std::vector<control::EngineReservation> &entries)
{
    m_reservedTokens.clear();
    for (const auto &entry : entries) {
        m_reservedTokens[entry.engine] += entry.units * TokenUnit;
    }
}

std::vector<control::EngineReservation> BackendTable::compactReservedTokens(
    const std::map<std::string, std::uint64_t> &tokens)
{
    std::vector<control::EngineReservation> result;
    for (const auto &[engine, count] : tokens) {
        if (count > 0) {
            const auto units = (count + TokenUnit - 1) / TokenUnit;
            result.push_back({detail::nameHash(engine), static_cast<std::uint32_t>(units)});
        }
    }
    std::ranges::sort(result, std::greater(), &control::EngineReservation::units);
    result.resize(std::min(result.size(), MaximumReservationEntries));
    return result;
}

std::uint32_t BackendTable::backendNameHash(std::string_view name)
{
    return detail::nameHash(name);
}

std::vector<BackendServer> BackendTable::servers() const
{
    std::vector<BackendServer> result;
    for (const auto &[name, entry] : m_entries) {
        result.push_back(entry.server);
    }
    return result;
}

std::vector<BackendServer> BackendTable::homeServers() const
{
    std::vector<BackendServer> result;
    for (const auto &[name, entry] : m_entries) {
        if (entry.home) {
            result.push_back(entry.server);
        }
    }
    return result;
}

std::vector<BackendView> BackendTable::views(Instant now) const
{
    std::vector<BackendView> result;
    result.reserve(m_entries.size());
    for (const auto &[name, entry] : m_entries) {
        BackendView view;
        view.server = entry.server;
        view.state = entry.state;
        view.report = entry.report;
        view.reportAgeMs = ageMs(entry.reportedAt, now);
        const auto reserved = m_reservedTokens.find(detail::nameHash(name));
        view.reservedGroupTokens = reserved == m_reservedTokens.end() ? 0 : reserved->second;
        result.push_back(std::move(view));
    }
    return result;
}

std::vector<EngineLoad> BackendTable::homeEngineLoads(Instant now) const
{
    std::vector<EngineLoad> result;
    for (const auto &[name, entry] : m_entries) {
        if (entry.home && (entry.reportedAt != Instant{} || entry.state != BackendState::Live)) {
            result.push_back(compact(entry, now));
        }
    }
    return result;
}

bool BackendTable::takeStateChange()
{
    return std::exchange(m_stateChanged, false);
}

} // namespace pomeloport
