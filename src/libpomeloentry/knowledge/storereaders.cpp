#include "pomeloentry/knowledge/storereaders.h"

#include <algorithm>

namespace pomeloentry
{

std::vector<ReaderCandidate> readerCandidates(const std::vector<PeerView> &peers)
{
    std::vector<ReaderCandidate> result;
    for (const auto &peer : peers) {
        if (peer.state != EntryState::Leaving) {
            result.push_back({{peer.instance, peer.processorMilli}, peer.failureDomain, peer.contact});
        }
    }
    return result;
}

bool readsStore(const ReaderCandidate &self, const std::vector<ReaderCandidate> &others)
{
    std::size_t rankedAhead = 0;
    std::size_t answeredAhead = 0;
    for (const auto &other : others) {
        if (other.failureDomain != self.failureDomain || !ranksAhead(other.rank, self.rank)) {
            continue;
        }
        ++rankedAhead;
        answeredAhead += other.contact == StoreContact::Failing ? 0 : 1;
    }
    return answeredAhead < ReadersPerDomain && rankedAhead < MaximumReadersPerDomain;
}

bool ranksFirst(const ReaderCandidate &self, const std::vector<ReaderCandidate> &others)
{
    if (self.contact != StoreContact::Answering) {
        return false;
    }
    return std::ranges::none_of(others, [&self](const ReaderCandidate &other) {
        return other.contact == StoreContact::Answering && ranksAhead(other.rank, self.rank);
    });
}

StartReads::StartReads(Instant from)
    : m_from(from)
{
}

bool StartReads::takeTurn(std::size_t livePeers, bool peerReads, double draw, Instant now)
{
    if (now < m_from || (peerReads && now < m_from + ExpectedFor)) {
        return false;
    }
    const auto spacing = std::max<Duration>(MinimumSpacing, FleetSpacing * static_cast<Duration::rep>(livePeers));
    const auto drawn = [spacing](double share) {
        return pomeloport::fromSeconds(pomeloport::seconds(spacing) * share);
    };
    if (!m_next) {
        m_next = now + drawn(draw);
    }
    if (now < *m_next) {
        return false;
    }
    // Half of the time differs from turn to turn, so that turns of instances that coincide part again.
    m_next = now + drawn(draw + 1.0 / 2);
    return true;
}

} // namespace pomeloentry
