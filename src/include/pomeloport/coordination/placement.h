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

/// Chooses where requests run. One Placement serves one router and holds everything that the choice depends on: the
/// published snapshot, the router's own attempts in flight, learned engine rates, circuit breakers, the retry budget
/// and the requests that wait for capacity.
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

/// One backend server as the choice saw it.
struct RouteCandidate
{
    std::string backend;
    /// Predicted seconds until the first token, with penalties; lower is better. Meaningful when not excluded and
    /// examined.
    double score = 0;
    /// False for servers that fitted but were not sampled.
    bool examined = false;
    Exclusion exclusion = Exclusion::None;
};

/// How a choice came about, for operators.
struct RouteExplanation
{
    std::vector<RouteCandidate> candidates;
    /// The decision in words, without prompt text.
    std::string decision;
};

/// Chooses backend servers for attempts and keeps the books that the choice needs. Safe from any thread. Deterministic
/// for a seed when called from one thread.
class Placement
{
public:
    /// The seed drives the sampling of candidates; give each router another one.
    explicit Placement(std::uint64_t seed, const PlacementPolicy &policy = {});
    ~Placement();
    Placement(const Placement &) = delete;
    Placement &operator=(const Placement &) = delete;

    /// Adopts a snapshot. The router calls it for every snapshot it publishes; before the first call nothing is
    /// admitted.
    void update(std::shared_ptr<const Snapshot> snapshot, Instant now);

    /// Chooses a place for an attempt, or says to wait, to reserve a group, or to fail. Usable as a RouteChooser.
    /// The verdict of a failure speaks for this attempt alone: the caller raises it when an earlier one may have run.
    /// Fills the explanation where one is passed, which makes the call linear in the number of backend servers.
    /// A request that is told to wait is remembered by the address of its RequestSpec until a later choice for it
    /// ends otherwise, abandoned() is called, or its deadline passes.
    RouteDecision choose(const RouteQuery &query, Instant now, RouteExplanation *explanation = nullptr);

    /// Books an attempt that is about to be sent to one backend server (once per member of a group).
    void attemptOpened(const StreamAddress &stream, const RequestSpec &request, const RouteMember &member, Instant now);

    /// Notes the first chunk of an attempt; repeated calls are ignored.
    void firstChunk(const StreamAddress &stream, const std::string &backend, Instant now);

    /// Notes another chunk of an attempt after its first one.
    void nextChunk(const StreamAddress &stream, const std::string &backend, Instant now);

    /// Closes an attempt's booking and learns from its outcome. Unknown attempts are ignored.
    void attemptClosed(const StreamAddress &stream,
                       const std::string &backend,
                       action::CloseAttempt::Outcome outcome,
                       Instant now);

    /// Takes one retry from the budget, if there is one left.
    bool permitRetry(Instant now);

    /// Returns the waiting request that should get freed capacity first, or null. The router sends CapacityFreed to
    /// its flow after an attempt closes.
    const RequestSpec *nextWaiting(Instant now);

    /// Forgets a waiting request, because its flow ended.
    void abandoned(const RequestSpec &request);

    /// Attempts booked and not closed.
    std::size_t attemptsInFlight() const;

    /// Backend servers that choices have examined since the start.
    std::uint64_t candidatesExamined() const;

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace pomeloport
