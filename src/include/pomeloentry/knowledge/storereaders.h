#pragma once

#include "pomeloentry/decisions/gateways.h"
#include "pomeloentry/knowledge/peertable.h"

#include "pomeloport/nametable.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

/// Selection of the instances that read the platform's store. Calls to the store are rate limited, so a few readers per
/// failure domain watch it and propagate changes to the other instances. Pure.
namespace pomeloentry
{

/// The properties of an instance that the selection depends on.
struct ReaderCandidate
{
    /// Readers rank like gateways, so that they are gateways themselves and hear those of other failure domains.
    InstanceRank rank;
    std::string failureDomain;
    StoreContact contact = StoreContact::Unknown;
};

/// Readers of the store per failure domain while it answers them. With two, the loss of one delays no change.
constexpr std::size_t ReadersPerDomain = 2;

/// Limit on the instances of a failure domain that call the store while it answers none of them: enough to find a
/// working path, few enough not to overload a store that is failing.
constexpr std::size_t MaximumReadersPerDomain = 4;

/// Returns the live peers that are not leaving.
std::vector<ReaderCandidate> readerCandidates(const std::vector<PeerView> &peers);

/// Whether this instance is to read the store. All instances rank the candidates of a failure domain in the same order,
/// so instances with slightly different peer lists select nearly the same readers. The next candidate in the order
/// replaces one that gets no answer from the store.
bool readsStore(const ReaderCandidate &self, const std::vector<ReaderCandidate> &others);

/// Whether this instance ranks first among all candidates that the store answers. That instance removes the store
/// entries of dead instances.
bool ranksFirst(const ReaderCandidate &self, const std::vector<ReaderCandidate> &others);

/// When an instance that has just started, has no state and is no reader calls the store itself. Load pattern: the
/// whole fleet starts while the store is away. All instances called it in turn until it came back, and then each of
/// them listed all servers, which took longer than to fetch them from a reader. So an instance waits for a reader that
/// the store answers, and as long as there is none, the instances take turns that are spread over the fleet: a few
/// calls in each second find a path to the store that the readers lack.
class StartReads
{
public:
    /// Time between the turns of the whole fleet, and the least time between those of one instance.
    static constexpr Duration FleetSpacing = std::chrono::milliseconds(20);
    static constexpr Duration MinimumSpacing = std::chrono::milliseconds(800);
    /// How long the state of a peer that the store answers is expected, which may have no documents then.
    static constexpr Duration ExpectedFor = std::chrono::seconds(10);

    /// No turn comes before a time.
    explicit StartReads(Instant from = {});

    /// Whether to call the store now, which takes the turn. Live instances are the peers that are heard; the draw in
    /// [0, 1) is a new one each time.
    bool takeTurn(std::size_t livePeers, bool peerReads, double draw, Instant now);

private:
    Instant m_from;
    std::optional<Instant> m_next;
};

} // namespace pomeloentry
