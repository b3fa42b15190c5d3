#include "pomeloport/coordination/orphansweep.h"

#include <algorithm>
#include <set>

namespace pomeloport
{

OrphanSweep::OrphanSweep(SweepLimits limits, std::uint64_t firstQuery)
    : m_limits(limits)
    , m_lastQuery(firstQuery)
{
}

std::vector<SweepAction> OrphanSweep::handle(const SweepEvent &event, Instant now)
{
    m_actions.clear();
    std::visit([this, now](const auto &typedEvent) { handleEvent(typedEvent, now); }, event);
    return std::move(m_actions);
}

void OrphanSweep::forget(const std::string &engine)
{
    m_firstSeen.erase(engine);
    std::erase_if(m_queries, [&engine](const auto &query) { return query.second.engine == engine; });
}

void OrphanSweep::handleEvent(const sweepevent::HoldingsRead &event, Instant now)
{
    const std::string &engine = event.holdings.engine;
    // Unanswered queries about earlier holdings are dropped; new queries cover the current holdings.
    std::erase_if(m_queries, [&engine](const auto &query) { return query.second.engine == engine; });
    std::map<HoldingKey, Instant> current;
    std::map<OwnerId, std::vector<HoldingKey>> byOwner;
    std::map<HoldingKey, Instant> &previous = m_firstSeen[engine];
    for (const Holding &holding : event.holdings.holdings) {
        const HoldingKey key{holding.stream, holding.blob};
        const auto known = previous.find(key);
        const Instant since = known == previous.end() ? now : known->second;
        current[key] = since;
        if (now - since > m_limits.maximumRequestLifetime + m_limits.margin) {
            emitRelease(engine, key);
        } else {
            byOwner[holding.stream.owner].push_back(key);
        }
    }
    previous = std::move(current);
    for (auto &[owner, holdings] : byOwner) {
        link::LiveStreamsQuery query{++m_lastQuery, owner, {}};
        std::set<std::uint64_t> sequences;
        for (const HoldingKey &holding : holdings) {
            sequences.insert(holding.first.sequence);
        }
        query.sequences.assign(sequences.begin(), sequences.end());
        m_queries[query.query] = {engine, std::move(holdings)};
        m_actions.emplace_back(sweepaction::AskOwner{std::move(query)});
    }
}

void OrphanSweep::handleEvent(const sweepevent::OwnerAnswered &event, Instant /*now*/)
{
    const auto found = m_queries.find(event.reply.query);
    if (found == m_queries.end()) {
        return;
    }
    const PendingQuery query = std::move(found->second);
    m_queries.erase(found);
    if (!event.reply.answered && !event.reply.ownerGone) {
        return;
    }
    const std::vector<std::uint64_t> &live = event.reply.live;
    for (const HoldingKey &holding : query.holdings) {
        const bool isOpen = std::find(live.begin(), live.end(), holding.first.sequence) != live.end();
        if (event.reply.ownerGone || !isOpen) {
            emitRelease(query.engine, holding);
        }
    }
}

void OrphanSweep::emitRelease(const std::string &engine, const HoldingKey &holding)
{
    const auto &[stream, blob] = holding;
    if (blob.empty()) {
        m_actions.emplace_back(sweepaction::CancelStream{engine, stream});
    } else {
        m_actions.emplace_back(sweepaction::FreeBlob{engine, blob});
    }
}

} // namespace pomeloport
