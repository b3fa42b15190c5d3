#pragma once

#include "eventqueue.h"
#include "policy.h"
#include "workload.h"

#include "pomelofake/enginemodel.h"
#include "pomeloport/coordination/groupcoordinator.h"
#include "pomeloport/verdict.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

/// Drives the decision code against engine models and delay queues in virtual time.
namespace benchdecisions
{

/// What became of one request.
struct Outcome
{
    std::optional<pomeloport::Instant> firstChunkAt;
    std::optional<pomeloport::Instant> endedAt;
    /// Set for requests that were not answered.
    std::optional<pomeloport::Failure> failure;
    pomeloport::Instant closedAt{};
    /// Attempts sent to an engine, refused ones included.
    std::uint32_t attempts = 0;
    /// False for requests refused on arrival.
    bool admitted = false;
    /// Whether an engine produced anything for it.
    bool ran = false;
    /// Chunks counted between the first and the last one of the last attempt.
    pomeloport::Duration chunkInterval{};
};

/// Everything measured in one run.
struct RunResult
{
    std::vector<Outcome> outcomes;
    std::uint64_t leakedTokens = 0;
    std::size_t leakedBookings = 0;
    /// Attempts sent to the dead engine before it was back.
    std::size_t attemptsAtDeadEngine = 0;
    /// Of these, later than a second after its death.
    std::size_t lateAttemptsAtDeadEngine = 0;
    /// Largest part of all engines' KV memory in use at a report.
    double peakMemory = 0;
};

/// One run of one policy over one trace.
class Simulation
{
public:
    Simulation(const Deployment &deployment, const Scenario &scenario, PolicyKind policy, const Trace &trace);

    /// Runs until every request has ended.
    RunResult run();

private:
    struct Engine
    {
        pomelofake::EngineModel model;
        pomeloport::BackendServer server;
        pomeloport::Instant wakeAt = pomeloport::Instant::max();
        pomeloport::Duration busy{};
        pomeloport::Instant busySince{};
    };
    struct Blob
    {
        std::size_t engine = 0;
        std::string name;
    };
    struct RequestState
    {
        std::uint32_t attempt = 0;
        std::vector<std::string> avoid;
        /// The attempt's route; empty between attempts.
        std::optional<pomeloport::Route> route;
        std::size_t member = 0;
        std::vector<Blob> blobs;
        std::vector<pomeloport::KvReference> imports;
        std::uint64_t wakeNumber = 0;
        std::uint32_t refusals = 0;
        bool waiting = false;
        bool groupAsked = false;
        bool closed = false;
        /// Whether an engine accepted an attempt that was not confirmed as never started.
        bool mayHaveRun = false;
        /// Whether the exact ledger counts the member's prompt tokens.
        bool inLedger = false;
        pomeloport::Instant attemptOpenedAt{};
    };

    void startEngines();
    void scheduleFaults();
    void scheduleReports();
    void publish();
    std::shared_ptr<pomeloport::Snapshot> observe();
    void refreshOracle();

    void decide(std::size_t request);
    void follow(std::size_t request, const pomeloport::RouteDecision &decision);
    void openMember(std::size_t request);
    void submit(std::size_t request, std::uint32_t attempt);
    void refused(std::size_t request, std::uint32_t attempt);
    void broken(std::size_t request, std::uint32_t attempt, const std::string &engine);
    void retry(std::size_t request);
    void wakeEngine(std::size_t engine);
    void scheduleWake(std::size_t engine);
    void output(std::size_t engine, const pomelofake::ChunkOut &chunk);
    void output(std::size_t engine, const pomelofake::EndOut &end);
    void firstChunk(std::size_t request, std::uint32_t attempt);
    void memberEnded(std::size_t request, std::uint32_t attempt, const std::string &blob);
    void deadline(std::size_t request);
    void cancelMember(std::size_t request);
    void leaveLedger(std::size_t request);
    void closeMember(std::size_t request, pomeloport::action::CloseAttempt::Outcome outcome);
    void endAttempt(std::size_t request, pomeloport::action::CloseAttempt::Outcome outcome);
    void finish(std::size_t request);
    void fail(std::size_t request, pomeloport::Failure failure);
    void wakeWaiting(std::size_t router);
    void coordinate(const pomeloport::GroupEvent &event);
    void killEngine(std::size_t engine);

    pomeloport::StreamAddress addressOf(std::size_t request) const;
    std::size_t routerOf(std::size_t request) const;
    std::size_t engineIndex(const std::string &name) const;
    pomeloport::Duration delay() const;

    const Deployment &m_deployment;
    const Scenario &m_scenario;
    PolicyKind m_policy;
    const Trace &m_trace;
    EventQueue m_queue;
    std::vector<Engine> m_engines;
    std::map<std::string, std::size_t> m_engineIndex;
    std::vector<pomeloport::BackendState> m_listed;
    std::vector<EngineLedger> m_ledgers;
    std::vector<RouterPolicy> m_routers;
    std::vector<RequestState> m_states;
    std::map<const pomeloport::RequestSpec *, std::size_t> m_bySpec;
    std::shared_ptr<const pomeloport::Snapshot> m_snapshot;
    pomeloport::Instant m_oracleSeen = pomeloport::Instant::min();
    pomeloport::GroupCoordinator m_coordinator;
    std::size_t m_open = 0;
    std::mt19937_64 m_random;
    RunResult m_result;
};

} // namespace benchdecisions
