#pragma once

#include "pomeloentry/engineplacement.h"
#include "pomeloentry/repeatbudget.h"
#include "pomeloentry/routing.h"
#include "pomeloentry/workledger.h"

#include "pomeloport/coordination/circuitbreaker.h"
#include "pomeloport/coordination/requestflow.h"
#include "pomeloport/coordination/route.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

/// Chooses backend servers for relayed calls, and keeps the books that the choice needs: work in flight on all
/// instances, what was learned of each backend server, and the retry budget.
namespace pomeloentry
{

/// What placement has to know of one call.
struct CallWork
{
    /// Unique among the calls of this process.
    std::uint64_t sequence = 0;
    std::string service;
    CallKind kind = CallKind::NonIdempotent;
    std::uint64_t promptTokens = 0;
    std::uint64_t answerTokens = 0;
    Duration eventGap{};
    Duration target{};
    Instant arrival{};
    Instant deadline{};
    /// When the caller leaves if no event has come.
    Instant abandonedAt{};
    /// Whether an attempt without an answer may be repeated.
    bool repeatable = false;
};

/// How a choice came about, for logs.
struct PlacementTrace
{
    std::size_t candidates = 0;
    std::size_t excluded = 0;
    Duration predictedFirst{};
    double loss = 0;
    double costToOthers = 0;
    double price = 0;
    /// Prompts that wait for a slot and come before this one.
    std::size_t queuePosition = 0;
    const char *reason = "";
};

/// Settings of placement.
struct EntryPolicy
{
    EnginePolicy engines;
    pomeloport::BreakerLimits breaker;
    RepeatLimits repeats;
    /// A call for which nothing is free is looked at again after this time.
    Duration waitStep = std::chrono::milliseconds(20);
    /// Share of the time until its deadline that a call waits for a place before it is refused.
    double maximumWaitShare = 0.35;
    /// A prompt that is held starts this much before the last moment, for what was not foreseen.
    Duration heldMargin = std::chrono::milliseconds(500);
    /// Share of long prompts that are served although that costs others more: the largest of a kind must be served at
    /// least half as often as the kind.
    double fairShare = 0.6;
    /// Share of the engines that are expected to read it then.
    double heldReaders = 0.3;
    /// Requests beyond its slots that a backend server of a plain service is given.
    std::uint32_t serviceQueue = 4;
    /// An attempt at a repeatable call without an answer is repeated after this multiple of the predicted time.
    double patienceFactor = 3;
    /// Least time until such an attempt is repeated, also as a share of the time that callers hope for; the latter by
    /// whether the call is a prompt, whose repetition costs its reading.
    Duration leastPatience = std::chrono::milliseconds(40);
    double plainPatience = 0.5;
    double promptPatience = 4;
    /// Prompt tokens whose answer has the worth 1, and the power by which worth grows with size.
    double unitTokens = 5000;
    double worthPower = 0.8;
};

/// Chooses places for calls. Safe from any thread.
class EntryPlacement
{
public:
    /// Instances with unlike seeds prefer unlike backend servers among equals, so that they do not crowd one while they
    /// have not heard of each other.
    explicit EntryPlacement(const EntryPolicy &policy = {}, std::uint64_t seed = 0);

    /// Adopts a new state of the fleet.
    void update(std::shared_ptr<const FleetState> state);

    /// Chooses a place for an attempt; the members and helpers of a route are ids of backend servers.
    pomeloport::RouteDecision choose(const CallWork &work,
                                     const pomeloport::RouteQuery &query,
                                     Instant now,
                                     PlacementTrace &note);

    /// Plans a place for a prompt that needs memory at several engines; nothing while there is none. The helpers of the
    /// route name no tickets yet; their tokens stand beside them.
    struct GroupPlan
    {
        pomeloport::Route route;
        std::vector<std::uint64_t> tickets;
    };
    std::optional<GroupPlan> planGroup(const CallWork &work, const std::vector<std::string> &avoid, Instant now);

    /// Books an attempt, notes its first answer, and closes it.
    void opened(const CallWork &work,
                std::uint32_t attempt,
                const pomeloport::Route &route,
                const std::vector<std::uint64_t> &tickets,
                Instant now);
    void answered(const CallWork &work, std::uint32_t attempt, const std::string &backend, Instant now);
    void closed(const CallWork &work,
                std::uint32_t attempt,
                const std::string &backend,
                pomeloport::action::CloseAttempt::Outcome outcome,
                Instant now);

    /// Takes a call out of the queue for slots, because it is placed or has ended.
    void removeFromQueue(const CallWork &work);

    /// Notes that a backend server failed in another way, such as a helper that another one named.
    void failed(const std::string &backend, Instant now);

    /// Whether the call may be sent once more within the budget that all instances share.
    bool permitRetry(const CallWork &work, Instant now);

    /// Takes what another instance told of its work.
    void applyPeerReport(const pomeloport::OwnerId &sender, const WorkReport &report, Instant now);

    /// Sets what is called when there is new work to tell other instances, on the thread that opened it. Call once.
    void onOpened(std::function<void()> callback);

    /// Changes of own work for other instances; nothing when there are none.
    std::optional<WorkReport> takeChanges(Instant now);
    std::vector<WorkReport> fullReports(Instant now);

    /// Whether the named backend server may get new work: known, not leaving.
    bool usable(const std::string &backend) const;

    /// Own attempts in flight.
    std::size_t inFlight() const;

private:
    /// What was learned of one incarnation of a backend server.
    struct Health
    {
        pomeloport::CircuitBreaker breaker;
        /// Decaying share of attempts that failed.
        double risk = 0;
        /// Moving average of the time to the first byte, in milliseconds; zero before the first.
        double answerMs = 0;
    };

    struct ServiceView
    {
        std::vector<const BackendEntry *> backends;
        std::vector<std::uint32_t> keys;
    };

    pomeloport::RouteDecision choosePrompt(const CallWork &work,
                                           const EngineCost &cost,
                                           const pomeloport::RouteQuery &query,
                                           Instant now,
                                           PlacementTrace &note);
    pomeloport::RouteDecision choosePlain(const CallWork &work,
                                          const pomeloport::RouteQuery &query,
                                          Instant now,
                                          PlacementTrace &note);
    std::vector<EngineCandidate> candidates(const CallWork &work,
                                            const std::vector<std::string> &avoid,
                                            Instant now,
                                            PlacementTrace &note);
    bool queueForSlot(const CallWork &work,
                      const EngineCost &cost,
                      std::vector<EngineCandidate> &engines,
                      Instant now,
                      PlacementTrace &note);
    std::optional<EngineChoice> bestEngines(const CallWork &work,
                                            const EngineCost &cost,
                                            const std::vector<EngineCandidate> &engines,
                                            Instant now,
                                            PlacementTrace &note);
    std::optional<pomeloport::RouteDecision> holdOrRefuse(const CallWork &work,
                                                          const EngineCost &cost,
                                                          const EngineChoice &choice,
                                                          Instant now,
                                                          PlacementTrace &note) const;
    Instant lastStart(const CallWork &work, const EngineCost &cost) const;
    bool mayHold(const CallWork &work, const EngineCost &cost, Instant now) const;
    EngineDemand demand(Instant now) const;
    PromptWork promptOf(const CallWork &work, const EngineCost &cost) const;
    pomeloport::Route routeOf(const CallWork &work, const EngineChoice &choice) const;
    pomeloport::RouteDecision waitOrRefuse(const CallWork &work, Instant now, PlacementTrace &note) const;
    void book(const CallWork &work,
              std::uint32_t attempt,
              const pomeloport::Route &route,
              const std::vector<std::uint64_t> &tickets,
              Instant now);
    void noteAttempt(const WorkItem &item, Instant now);
    Health &health(std::uint32_t key);
    std::uint32_t keyOf(const std::string &backend) const;
    void noteFailure(std::uint32_t key, Instant now);
    const EngineCost *engineOf(const std::string &service) const;
    double worthOf(const CallWork &work) const;

    const EntryPolicy m_policy;
    const std::uint64_t m_seed;
    mutable std::mutex m_mutex;
    std::shared_ptr<const FleetState> m_state;
    std::unordered_map<std::string, ServiceView> m_services;
    std::unordered_map<std::uint32_t, std::string> m_serviceByKey;
    std::unordered_map<std::uint32_t, Health> m_health;
    WorkLedger m_ledger;
    RepeatBudget m_repeats;
    std::function<void()> m_opened;
    std::uint64_t m_turn = 0;
};

/// When the first event must come for the whole answer to be in time, if it is written beside as many others as the
/// engine takes.
Instant lastFirstEvent(const CallWork &work, const EngineCost &cost);

/// Tokens of memory that a call holds at the engine that answers it.
std::uint64_t memoryTokens(const CallWork &work);

} // namespace pomeloentry
