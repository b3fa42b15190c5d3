#include "fleetview.h"

#include <algorithm>

namespace pomeloport::detail
{

namespace
{

/// Number of cached pools above which all are discarded, so that pools no longer requested do not accumulate.
constexpr std::size_t MaximumCachedPools = 256;

} // namespace

FleetView::FleetView(const PlacementPolicy &policy)
    : m_policy(policy)
{
}

void FleetView::update(std::shared_ptr<const Snapshot> snapshot, Instant /*now*/)
{
    m_snapshot = std::move(snapshot);
    ++m_snapshotNumber;
    m_recordByIndex.clear();
    m_booksByIndex.clear();
    m_indices.clear();
    for (const auto &backend : m_snapshot->backends) {
        const auto &name = backend.server.name;
        auto &record = m_records.try_emplace(name, Record{EngineSpeed(m_policy.cost), CircuitBreaker()}).first->second;
        if (backend.report.sequence > 0) {
            record.speed.observeReport(backend.report);
        }
        m_indices.emplace(name, static_cast<std::uint32_t>(m_recordByIndex.size()));
        m_recordByIndex.push_back(&record);
        m_booksByIndex.push_back(&m_ledger.books(name));
    }
    if (m_pools.size() > MaximumCachedPools) {
        m_pools.clear();
    }
}

const Snapshot *FleetView::snapshot() const
{
    return m_snapshot.get();
}

const Pool &FleetView::pool(const RequestSpec &request, Instant now)
{
    auto key = poolKey(request);
    auto &cachedPool = m_pools[key];
    if (cachedPool.snapshotNumber != m_snapshotNumber) {
        cachedPool.snapshotNumber = m_snapshotNumber;
        refresh(cachedPool.pool, key, now);
    }
    return cachedPool.pool;
}

void FleetView::refresh(Pool &pool, const PoolKey &key, Instant now)
{
    pool.members = poolMembers(key, *m_snapshot);
    std::vector<std::string> names;
    names.reserve(pool.members.size());
    pool.largestKvTokens = 0;
    pool.totalKvTokens = 0;
    pool.tokensPerSecond = 0;
    for (const auto member : pool.members) {
        const auto &server = m_snapshot->backends[member].server;
        names.push_back(server.name);
        pool.largestKvTokens = std::max(pool.largestKvTokens, server.kvTokens);
        pool.totalKvTokens += server.kvTokens;
        pool.tokensPerSecond += 1 / m_recordByIndex[member]->speed.prefillSeconds(1);
    }
    if (names != pool.names) {
        pool.names = std::move(names);
        pool.positions.clear();
        for (std::uint32_t position = 0; position < pool.names.size(); ++position) {
            pool.positions.emplace(pool.names[position], position);
        }
        pool.ring = AffinityRing(pool.names);
        pool.shortOnlyOrder = shortOnlyOrder(pool.names);
    }
    if (key.kind == BackendKind::Engine) {
        refreshShortOnly(pool, now);
    }
}

void FleetView::refreshShortOnly(Pool &pool, Instant now) const
{
    std::size_t enginesWithLongWork = 0;
    for (const auto member : pool.members) {
        enginesWithLongWork += m_snapshot->backends[member].report.queuedBulkTokens > 0 ? 1 : 0;
    }
    const auto minimumShare = m_snapshot->declarations.objective.shortOnlyShare;
    const auto count = pool.share.observe(pool.members.size(), enginesWithLongWork, minimumShare, now);
    pool.shortOnly.assign(pool.members.size(), false);
    for (std::size_t rank = 0; rank < count; ++rank) {
        pool.shortOnly[pool.shortOnlyOrder[rank]] = true;
    }
    for (std::size_t position = 0; position < pool.members.size(); ++position) {
        if (m_snapshot->backends[pool.members[position]].shortOnly) {
            pool.shortOnly[position] = true;
        }
    }
}

Prediction FleetView::predict(std::uint32_t backend,
                              const RequestSpec &request,
                              EnginePriority priority,
                              Instant now) const
{
    const auto &view = m_snapshot->backends[backend];
    const auto &report = view.report;
    const auto &speed = m_recordByIndex[backend]->speed;
    const auto &books = *m_booksByIndex[backend];
    const auto recent = books.openedAfter(view.reportedAt);
    const auto halfSpeed = m_policy.cost.halfSpeedContext;

    Prediction prediction;
    const auto age = std::max(0.0, seconds(now - view.reportedAt) + view.reportAgeMs * 1e-3);
    const auto drainedTokens = age / speed.prefillSeconds(1);
    const auto queuedPrompts = static_cast<double>(report.queuedPrefillTokens - report.queuedBulkTokens);
    const auto remainingPrompts =
        std::max(0.0, queuedPrompts - drainedTokens) + static_cast<double>(recent.promptTokens);
    prediction.bulkTokens = static_cast<double>(report.queuedBulkTokens + recent.bulkTokens);
    prediction.tokensAhead = remainingPrompts + (priority == EnginePriority::Bulk ? prediction.bulkTokens : 0);
    prediction.hasQueuedPrefill = remainingPrompts > 0 || prediction.bulkTokens > 0;

    const auto blocks = cachedLeadingBlocks(request.prefixBlocks, view.cachedBlocks);
    const auto cached = std::min<std::uint64_t>(blocks * PrefixBlockTokens, request.promptTokens - 1);
    prediction.requestTokens = emptyContextTokens(cached, request.promptTokens, halfSpeed);

    const auto overdue = std::max(0.0, seconds(books.overdue(now)));
    prediction.wait = std::max(speed.prefillSeconds(prediction.tokensAhead), overdue);
    prediction.firstToken = prediction.wait + speed.prefillSeconds(prediction.requestTokens);
    prediction.decode = static_cast<double>(request.maxTokens) * speed.decodeStepSeconds();
    prediction.finish = prediction.firstToken + (speed.decodeMeasured() ? prediction.decode : 0);

    const auto total = static_cast<double>(std::max(view.server.kvTokens, report.kvTokensTotal));
    const auto limit = memoryLimit(priority);
    const auto used = static_cast<double>(std::max(report.kvTokensUsed, view.reservedGroupTokens) + recent.kvTokens);
    const auto needed = static_cast<double>(kvTokensOf(request));
    // The limit does not apply to an empty engine: it accepts every request that fits into its memory.
    const auto free = used < 1 ? total : total * limit - used;
    prediction.memoryFit = std::max(0.0, free) / needed;
    return prediction;
}

std::optional<std::uint32_t> FleetView::indexOf(const std::string &backend) const
{
    const auto found = m_indices.find(backend);
    return found == m_indices.end() ? std::nullopt : std::optional(found->second);
}

double FleetView::memoryLimit(EnginePriority priority) const
{
    switch (priority) {
    case EnginePriority::Urgent:
        return m_policy.shortMemoryLimit;
    case EnginePriority::Normal:
        return m_policy.promptMemoryLimit;
    case EnginePriority::Bulk:
        break;
    }
    return m_policy.bulkMemoryLimit;
}

const BackendView &FleetView::view(std::uint32_t backend) const
{
    return m_snapshot->backends[backend];
}

CircuitBreaker &FleetView::breaker(const std::string &backend)
{
    return m_records.try_emplace(backend, Record{EngineSpeed(m_policy.cost), CircuitBreaker()}).first->second.breaker;
}

const CircuitBreaker &FleetView::breaker(std::uint32_t backend) const
{
    return m_recordByIndex[backend]->breaker;
}

EngineSpeed &FleetView::speed(const std::string &backend)
{
    return m_records.try_emplace(backend, Record{EngineSpeed(m_policy.cost), CircuitBreaker()}).first->second.speed;
}

InFlightLedger &FleetView::ledger()
{
    return m_ledger;
}

const BackendInFlight &FleetView::books(std::uint32_t backend) const
{
    return *m_booksByIndex[backend];
}

} // namespace pomeloport::detail
