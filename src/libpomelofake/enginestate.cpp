#include "enginestream.h"
#include "pomelofake/enginemodel.h"

#include <algorithm>

/// The engine model's reports, orders and faults.
namespace pomelofake
{

using pomeloport::Instant;
using pomeloport::Refusal;
using pomeloport::RefusalCode;

bool EngineModel::holdsBlob(const std::string &blob) const
{
    return m_blobs.contains(blob);
}

pomeloport::EngineHoldings EngineModel::holdings() const
{
    pomeloport::EngineHoldings result;
    result.engine = m_settings.engine;
    for (const auto &[address, stream] : m_streams) {
        result.holdings.push_back({address, {}, stream->started ? stream->reservedTokens : 0});
    }
    for (const auto &[name, blob] : m_blobs) {
        result.holdings.push_back({blob.stream, name, blob.tokens});
    }
    return result;
}

pomeloport::LoadReport EngineModel::loadReport(Instant now)
{
    catchUp(now);
    pomeloport::LoadReport report;
    report.engine = m_settings.engine;
    report.sequence = ++m_reportSequence;
    report.epoch = m_settings.epoch;
    report.kvTokensTotal = m_settings.kvTokens;
    report.kvTokensUsed = m_kvTokensUsed;
    for (const auto &[address, stream] : m_streams) {
        const bool bulk = stream->priority == pomeloport::EnginePriority::Bulk;
        report.queuedPrefillTokens += stream->prefillLeft();
        report.queuedBulkTokens += bulk ? stream->prefillLeft() : 0;
    }
    report.runningStreams = static_cast<std::uint32_t>(m_running.size());
    report.queuedStreams = static_cast<std::uint32_t>(m_queue.size());
    if (m_prefillSecondsSinceReport > 0) {
        report.prefillTokensPerSecond = static_cast<double>(m_prefilledSinceReport) / m_prefillSecondsSinceReport;
    }
    if (m_decodeStepsSinceReport > 0) {
        report.decodeStepSeconds = m_decodeSecondsSinceReport / static_cast<double>(m_decodeStepsSinceReport);
    }
    report.leaving = m_leaving;
    report.loaded = m_loaded;
    m_prefilledSinceReport = 0;
    m_prefillSecondsSinceReport = 0;
    m_decodeStepsSinceReport = 0;
    m_decodeSecondsSinceReport = 0;
    return report;
}

pomeloport::CacheEvents EngineModel::cacheEvents(std::uint64_t since) const
{
    return {m_settings.engine, m_settings.epoch, m_cache.lastSequence(), m_cache.eventsSince(since)};
}

std::optional<Refusal> EngineModel::order(const pomeloport::EngineOrder &order, Instant now)
{
    catchUp(now);
    if (m_settings.checksFencing && order.fencingNumber < m_fencingNumber) {
        return Refusal{RefusalCode::Fenced};
    }
    m_fencingNumber = std::max(m_fencingNumber, order.fencingNumber);
    if (!order.role.empty()) {
        m_role = order.role;
    }
    const auto isWanted = [&order](const std::string &item) {
        return std::ranges::find(order.load, item) != order.load.end();
    };
    const auto loadingBefore = m_loading.empty() ? std::string() : m_loading.front();
    std::erase_if(m_loaded, [&isWanted](const std::string &item) { return !isWanted(item); });
    std::erase_if(m_loading, [&isWanted](const std::string &item) { return !isWanted(item); });
    for (const auto &item : order.load) {
        const bool known = std::ranges::find(m_loaded, item) != m_loaded.end()
            || std::ranges::find(m_loading, item) != m_loading.end();
        if (!known) {
            m_loading.push_back(item);
        }
    }
    if (m_loading.empty() || m_loading.front() != loadingBefore) {
        startLoad(now);
    }
    return std::nullopt;
}

void EngineModel::startLoad(Instant at)
{
    const bool starts = !m_loading.empty() && !m_settings.waitsForWeights;
    m_loadEnds = starts ? at + m_settings.loadTime : Instant::max();
}

void EngineModel::finishLoads(Instant now)
{
    while (!m_loading.empty() && m_loadEnds <= now) {
        m_loaded.push_back(std::move(m_loading.front()));
        m_loading.pop_front();
        startLoad(m_loadEnds);
    }
}

std::optional<std::string> EngineModel::awaitedWeights() const
{
    const bool awaits = m_alive && !m_loading.empty() && m_loadEnds == Instant::max();
    return awaits ? std::optional(m_loading.front()) : std::nullopt;
}

void EngineModel::grantWeights(const std::string &item, Instant now)
{
    catchUp(now);
    if (awaitedWeights() == item) {
        m_loadEnds = now + m_settings.loadTime;
    }
}

const std::string &EngineModel::role() const
{
    return m_role;
}

std::uint64_t EngineModel::fencingNumber() const
{
    return m_fencingNumber;
}

void EngineModel::kill(Instant now)
{
    catchUp(now);
    m_alive = false;
    m_outputs.clear();
    m_queue.clear();
    m_running.clear();
    m_streams.clear();
    m_blobs.clear();
    m_cache.clear();
    m_kvTokensUsed = 0;
    m_stepRunning = false;
    m_loading.clear();
    m_loadEnds = Instant::max();
}

void EngineModel::setCold(Instant until, std::size_t callsPerSecond)
{
    m_coldUntil = until;
    m_coldLimit = callsPerSecond;
    m_coldCalls.clear();
    m_mostColdCalls = 0;
}

std::size_t EngineModel::mostColdCalls() const
{
    return m_mostColdCalls;
}

/// Counts a call while the engine is cold. Kills the engine, and returns true, if there are too many in one second.
bool EngineModel::diesOfColdCall(Instant now)
{
    if (now >= m_coldUntil) {
        return false;
    }
    m_coldCalls.push_back(now);
    while (now - m_coldCalls.front() >= std::chrono::seconds(1)) {
        m_coldCalls.pop_front();
    }
    m_mostColdCalls = std::max(m_mostColdCalls, m_coldCalls.size());
    if (m_coldCalls.size() <= m_coldLimit) {
        return false;
    }
    kill(now);
    return true;
}

void EngineModel::restart(Instant now)
{
    kill(now);
    m_coldUntil = Instant{};
    m_alive = true;
    m_stalled = false;
    m_leaving = false;
    m_refusing = false;
    m_slowdown = 1;
    ++m_settings.epoch;
    m_reportSequence = 0;
    m_blobSequence = 0;
    m_fencingNumber = 0;
    m_role = "general";
    m_loaded = m_settings.loaded;
}

bool EngineModel::alive() const
{
    return m_alive;
}

void EngineModel::setSlowdown(double factor)
{
    m_slowdown = factor;
}

void EngineModel::setStalled(bool stalled, Instant now)
{
    catchUp(now);
    if (m_stalled && !stalled) {
        m_stepEnds = std::max(m_stepEnds, now);
    }
    m_stalled = stalled;
}

void EngineModel::setLeaving(bool leaving)
{
    m_leaving = leaving;
}

void EngineModel::setRefusing(bool refusing)
{
    m_refusing = refusing;
}

std::uint64_t EngineModel::kvTokensUsed() const
{
    return m_kvTokensUsed;
}

const EngineModelSettings &EngineModel::settings() const
{
    return m_settings;
}

} // namespace pomelofake
