#pragma once

#include "pomeloport/clock.h"
#include "pomeloport/coordination/placementpolicy.h"
#include "pomeloport/coordination/requestflow.h"
#include "pomeloport/coordination/route.h"
#include "pomeloport/protocol/identity.h"
#include "pomeloport/state/snapshot.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

/// Chooses the backend servers on which requests run. Each router has one Placement, which holds all state that the
/// choice depends on: the published snapshot, the router's in-flight attempts, engine speed estimates, circuit
/// breakers, the retry budget and the requests that wait for capacity.
namespace pomeloport
{

/// Why a backend server was not considered for a request.
enum class Exclusion {
    None,
    WrongKind,
    SelectorMismatch,
    ModelNotLoaded,
    NotLive,
    Avoided,
    CircuitOpen,
    ShortOnly,
    NoMemory,
};

constexpr NameTable<Exclusion, 9> nameTable(Exclusion /*unused*/)
{
    return {{{Exclusion::None, "none"},
             {Exclusion::WrongKind, "wrong_kind"},
             {Exclusion::SelectorMismatch, "selector_mismatch"},
             {Exclusion::ModelNotLoaded, "model_not_loaded"},
             {Exclusion::NotLive, "not_live"},
             {Exclusion::Avoided, "avoided"},
             {Exclusion::CircuitOpen, "circuit_open"},
             {Exclusion::ShortOnly, "short_only"},
             {Exclusion::NoMemory, "no_memory"}}};
}

/// The evaluation of one backend server.
struct RouteCandidate
{
    std::string backend;
    /// Predicted seconds to the first token plus penalties; lower is better. Valid only for examined candidates that
    /// are not excluded.
    double score = 0;
    /// False for eligible servers that were not in the sample.
    bool examined = false;
    Exclusion exclusion = Exclusion::None;
};

/// Explains a choice to operators.
struct RouteExplanation
{
    std::vector<RouteCandidate> candidates;
    /// Description of the decision; contains no prompt text.
    std::string decision;
};

/// Chooses backend servers for attempts and accounts for the attempts in flight. Thread safe. Deterministic for a given
/// seed when called from one thread.
class Placement
{
public:
    /// The seed determines the sampling of candidates and should differ between routers.
    explicit Placement(std::uint64_t seed, const PlacementPolicy &policy = {});
    ~Placement();
    Placement(const Placement &) = delete;
    Placement &operator=(const Placement &) = delete;

    /// Replaces the snapshot. The router calls this for every snapshot that it publishes; before the first call no
    /// request is admitted.
    void update(std::shared_ptr<const Snapshot> snapshot, Instant now);

    /// Decides whether an attempt is sent to a backend server, waits, reserves a group, or fails. Usable as a
    /// RouteChooser. The verdict of a failure covers this attempt only: the caller raises it when an earlier attempt
    /// may have run. Passing an explanation to fill makes the call linear in the number of backend servers. A request
    /// that has to wait stays queued under the address of its RequestSpec until a later call decides otherwise,
    /// abandoned() is called, or its deadline passes.
    RouteDecision choose(const RouteQuery &query, Instant now, RouteExplanation *explanation = nullptr);

    /// Records an attempt that is about to be sent to a backend server. Called once for each member of a group.
    void attemptOpened(const StreamAddress &stream, const RequestSpec &request, const RouteMember &member, Instant now);

    /// Records the first chunk of an attempt; repeated calls are ignored.
    void firstChunk(const StreamAddress &stream, const std::string &backend, Instant now);

    /// Records a chunk of an attempt after the first one.
    void nextChunk(const StreamAddress &stream, const std::string &backend, Instant now);

    /// Frees the capacity of an attempt and reports its outcome to the circuit breaker. Unknown attempts are ignored.
    void attemptClosed(const StreamAddress &stream,
                       const std::string &backend,
                       action::CloseAttempt::Outcome outcome,
                       Instant now);

    /// Takes one retry from the retry budget; false when the budget is exhausted.
    bool permitRetry(Instant now);

    /// Returns the waiting request that is first in line for freed capacity, or null. The router sends CapacityFreed to
    /// its flow after an attempt closes.
    const RequestSpec *nextWaiting(Instant now);

    /// Removes a waiting request whose flow has ended.
    void abandoned(const RequestSpec &request);

    /// Number of attempts that are open.
    std::size_t attemptsInFlight() const;

    /// Total number of backend servers examined as candidates.
    std::uint64_t candidatesExamined() const;

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace pomeloport
