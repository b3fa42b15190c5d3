#pragma once

#include "pomeloentry/peertable.h"

#include "pomeloport/nametable.h"

#include <string>
#include <vector>

/// Which instances read the platform's store. Its calls are counted and limited, so a few instances of each failure
/// domain wait for changes there and the others hear of them from these. Pure.
namespace pomeloentry
{

/// An instance as the choice of readers sees it.
struct ReaderCandidate
{
    std::string instance;
    std::string failureDomain;
    StoreContact contact = StoreContact::Unknown;
};

/// Instances of one failure domain that read the store while it answers them. Two, so that the loss of one delays
/// nothing.
constexpr std::size_t ReadersPerDomain = 2;

/// Instances of one failure domain that call the store while it answers none of them: enough to find out that it
/// answers some, few enough to spare it when it is down.
constexpr std::size_t MaximumReadersPerDomain = 4;

/// The candidates among the other live instances: those that are not leaving.
std::vector<ReaderCandidate> readerCandidates(const std::vector<PeerView> &peers);

/// Whether this instance is to read the store. All instances rank the candidates of a failure domain in one order, so
/// that views which differ a little choose nearly the same readers. An instance that the store does not answer is
/// replaced by the next one.
bool readsStore(const ReaderCandidate &self, const std::vector<ReaderCandidate> &others);

/// Whether this instance ranks first among all candidates that the store answers; it clears away what is left of
/// instances that are gone.
bool ranksFirst(const ReaderCandidate &self, const std::vector<ReaderCandidate> &others);

} // namespace pomeloentry
