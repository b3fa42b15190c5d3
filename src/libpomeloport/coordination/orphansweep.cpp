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
    std::visit([this, now](const auto &taken) { take(taken, now); }, event);
    return std::move(m_actions);
}

void OrphanSweep::forget(const std::string &engine)
{
    m_firstSeen.erase(engine);
    std::erase_if(m_queries, [&engine](const auto &query) { return query.second.engine == engine; });
}

void OrphanSweep::take(const sweepevent::HoldingsRead &event, Instant now)
{
    const std::string &engine = event.holdings.engine;
    // Unanswered queries are over; the new books are asked about afresh.
    std::erase_if(m_queries, [&engine](const auto &query) { return query.second.engine == engine; });
    std::map<HoldingKey, Instant> seen;
    std::map<OwnerId, std::vector<HoldingKey>> byOwner;
    std::map<HoldingKey, Instant> &before = m_firstSeen[engine];
    for (const Holding &holding : event.holdings.holdings) {
        const HoldingKey key{holding.stream, holding.blob};
        const auto known = before.find(key);
        const Instant since = known == before.end() ? now : known->second;
        seen[key] = since;
        if (now - since > m_limits.longestRequest + m_limits.margin) {
            free(engine, key);
        } else {
            byOwner[holding.stream.owner].push_back(key);
        }
    }
    before = std::move(seen);
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

void OrphanSweep::take(const sweepevent::OwnerAnswered &event, Instant /*now*/)
{
    const auto found = m_queries.find(event.reply.query);
    if (found == m_queries.end()) {
        return;
    }
    const OpenQuery query = std::move(found->second);
    m_queries.erase(found);
    if (!event.reply.answered && !event.reply.ownerGone) {
        return;
    }
    const std::vector<std::uint64_t> &live = event.reply.live;
    for (const HoldingKey &holding : query.holdings) {
        const bool open = std::find(live.begin(), live.end(), holding.first.sequence) != live.end();
        if (event.reply.ownerGone || !open) {
            free(query.engine, holding);
        }
    }
}

void OrphanSweep::free(const std::string &engine, const HoldingKey &holding)
{
    const auto &[stream, blob] = holding;
    if (blob.empty()) {
        m_actions.emplace_back(sweepaction::CancelStream{engine, stream});
    } else {
        m_actions.emplace_back(sweepaction::FreeBlob{engine, blob});
    }
}

} // namespace pomeloport
