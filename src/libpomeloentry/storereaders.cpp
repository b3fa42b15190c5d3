#include "pomeloentry/storereaders.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace pomeloentry
{

namespace
{

/// Rank of an instance by the hash of its name, so that instances whose names sort first are not favoured.
std::pair<std::uint64_t, std::string> rankOf(const ReaderCandidate &candidate)
{
    return {XXH64(candidate.instance.data(), candidate.instance.size(), 0), candidate.instance};
}

} // namespace

std::vector<ReaderCandidate> readerCandidates(const std::vector<PeerView> &peers)
{
    std::vector<ReaderCandidate> result;
    for (const auto &peer : peers) {
        if (peer.state != EntryState::Leaving) {
            result.push_back({peer.instance, peer.failureDomain, peer.contact});
        }
    }
    return result;
}

bool readsStore(const ReaderCandidate &self, const std::vector<ReaderCandidate> &others)
{
    const auto own = rankOf(self);
    std::size_t rankedAhead = 0;
    std::size_t answeredAhead = 0;
    for (const auto &other : others) {
        if (other.failureDomain != self.failureDomain || other.instance == self.instance || rankOf(other) > own) {
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
    const auto own = rankOf(self);
    return std::ranges::none_of(others, [&](const ReaderCandidate &other) {
        return other.contact == StoreContact::Answering && other.instance != self.instance && rankOf(other) < own;
    });
}

} // namespace pomeloentry
