#pragma once

#include "pomeloentry/decisions/answerhistory.h"
#include "pomeloentry/decisions/engineplacement.h"
#include "pomeloentry/decisions/evacuation.h"
#include "pomeloentry/decisions/gateways.h"
#include "pomeloentry/decisions/organisationshares.h"
#include "pomeloentry/decisions/promptquarantine.h"
#include "pomeloentry/decisions/regionfilter.h"
#include "pomeloentry/decisions/repeatbudget.h"
#include "pomeloentry/decisions/returnforecast.h"
#include "pomeloentry/decisions/servernotices.h"
#include "pomeloentry/decisions/serverpace.h"
#include "pomeloentry/decisions/slotqueue.h"
#include "pomeloentry/decisions/unreadrequests.h"
#include "pomeloentry/knowledge/routing.h"
#include "pomeloentry/knowledge/workledger.h"

#include "pomeloport/coordination/circuitbreaker.h"
#include "pomeloport/coordination/requestflow.h"
#include "pomeloport/coordination/route.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

/// Chooses backend servers for relayed calls and maintains the state behind the choice: work in flight on all
/// instances, health of each backend server, and the retry budget.
namespace pomeloentry
{

/// The properties of a call that placement depends on.
struct CallWork
{
    /// Unique among the calls of this process.
    std::uint64_t sequence = 0;
    std::string service;
    CallKind kind = CallKind::NonIdempotent;
    std::uint64_t promptTokens = 0;
    /// Expected tokens of the answer, and the limit on them.
    std::uint64_t answerTokens = 0;
    std::uint64_t maximumAnswerTokens = 0;
    Duration eventGap{};
    Duration target{};
    Instant arrival{};
    /// Time that the caller has spent on an attempt that was refused before; zero for a first attempt.
    Duration timeSpent{};
    Instant deadline{};
    /// When the caller gives up if no event has come.
    Instant abandonedAt{};
    /// See organisationKey(); zero without an organisation.
    std::uint16_t organisation = 0;
    /// Lower is more urgent.
    std::uint8_t priority = 0;
    /// Whether the caller was probably refused before, since it states less time than its route gives.
    bool isReturn = false;
    /// Whether an attempt that gets no answer may be retried.
    bool repeatable = false;
    /// When the instance gives up all calls because it stops; nothing unless it is stopping.
    std::optional<Instant> stopsAt;
    /// Whether it arrived at a stopping instance after StopPlan::callersLeftAt().
    bool arrivedLate = false;
    RegionFilter regions;
    /// How long the call waited at the start of the instance before it could be placed. All times but its wait for a
    /// place count from its arrival.
    Duration startWait{};

    /// Until when the call may wait for a place, which takes at most this share of the time that it had left when it
    /// could first be placed.
    Instant waitLimit(double maximumWaitShare) const
    {
        const auto from = arrival + startWait;
        return from + pomeloport::fromSeconds(pomeloport::seconds(deadline - from) * maximumWaitShare);
    }
};

/// Retry-After of calls that a stopping instance refuses: short, since another instance can take them.
constexpr std::chrono::milliseconds RetryElsewhereDelay{100};

/// Inputs and results of one placement decision, for the log.
struct PlacementTrace
{
    std::size_t candidates = 0;
    std::size_t excluded = 0;
    Duration predictedFirst{};
    /// Score of the server that is chosen for a call without a prompt, in milliseconds, and the next lowest score with
    /// its server; empty if there is no other candidate. The lowest score wins.
    double score = 0;
    double nextScore = 0;
    std::string nextBackend;
    double loss = 0;
    double costToOthers = 0;
    double price = 0;
    /// Number of prompts ahead of this one in the queue for slots.
    std::size_t queuePosition = 0;
    /// Time until which a call that waits may go on waiting.
    Instant waitLimit{};
    const char *reason = "";
    /// What a call that is refused lacks.
    std::optional<ReturnCause> returnCause;
    /// The organisation's use as a multiple of its share, and its standing.
    double organisationUse = 0;
    Standing standing = Standing::Within;
};

/// A change of own work that other instances need to know of.
enum class WorkChange : std::uint8_t {
    /// Work progressed or ended.
    Progress,
    /// An attempt of a call without a prompt was opened.
    Call,
    /// An attempt of a prompt was opened or began to wait for a slot.
    Prompt,
    /// A backend server said that it leaves or wants no requests for a time.
    Notice,
};

/// What ended an attempt that did not complete.
enum class AttemptEnd : std::uint8_t {
    /// The server or its connection.
    Server,
    /// This instance had no memory for a response that the server was sending.
    OwnMemory,
    /// No connection was established in time.
    ConnectTimeout,
};

struct EntryPolicy
{
    EnginePolicy engines;
    GatewayPolicy gateways;
    pomeloport::BreakerLimits breaker;
    RepeatLimits repeats;
    QuarantineLimits quarantine;
    PacePolicy pace;
    ReturnPolicy returns;
    SharesPolicy shares;
    /// Interval at which a call without a free backend server is tried again.
    Duration recheckInterval = std::chrono::milliseconds(20);
    /// The same for a deferred prompt, which waits for seconds and whose choice is the most expensive one to compute.
    Duration deferralRecheckInterval = std::chrono::milliseconds(100);
    /// Share of the time from arrival to deadline that a call may wait for a place before it is refused.
    double maximumWaitShare = 0.35;
    /// How long calls of a service wait for a server after its last one has gone. Covers the replacement of all servers
    /// of a service; afterwards its calls are refused at once.
    Duration longestServerGap = std::chrono::milliseconds(2000);
    /// How long calls wait for the configuration and the list of backend servers on an instance that has just started;
    /// zero if they are refused at once. Callers of latency-sensitive streams give up after two seconds without an
    /// event.
    Duration startGap{};
    /// Whether short prompts whose late answer would cost others more than it is worth wait for room as long as other
    /// calls do, instead of being refused at once. After an outage, only a part of the servers is known for a second.
    bool latePromptsWait = false;
    /// Whether a prompt that waits for a slot is refused when its first event can no longer come before its caller
    /// gives up. A caller that gives up gets nothing; one that is refused can return when there is room.
    bool refuseBeforeAbandonment = false;
    /// Safety margin by which a deferred prompt starts ahead of its latest start time, for delays that the model does
    /// not predict.
    Duration deferralMargin = std::chrono::milliseconds(500);
    /// Share of long prompts that are served even though that costs others more: the largest prompts of a kind must be
    /// served at least half as often as the kind as a whole.
    double guaranteedShare = 0.6;
    /// Share of the engines assumed to prefill a deferred prompt once it starts.
    double deferredPrefillShare = 0.3;
    /// Requests that a backend server of a service without an engine model may queue beyond its slots.
    std::uint32_t queueBeyondSlots = 4;
    /// A repeatable attempt that gets no answer is retried after this multiple of its predicted time.
    double patienceFactor = 3;
    /// Minimum time before such a retry: absolute for plain calls, and as a multiple of the target time of the call.
    /// The multiple is larger for prompts, since a retry repeats the prefill.
    Duration minimumPatience = std::chrono::milliseconds(40);
    double plainPatienceRatio = 0.5;
    double promptPatienceRatio = 4;
    /// Prompt size whose answer has the worth 1, in tokens, and the exponent by which worth grows with prompt size.
    double unitWorthTokens = 5000;
    double worthExponent = 0.8;
    /// Bound on evacuations, from the platform's settings; nothing where the platform has none.
    std::optional<Duration> evacuationBound;
    /// Bytes of requests that may wait because a backend server does not read them before it gets no new ones; zero for
    /// no limit.
    std::size_t serverUnreadBytes = 0;
};

struct ExplainedServer;
struct PlacementExplanation;

/// Places calls on backend servers. Thread safe.
class EntryPlacement
{
public:
    /// Instances with different seeds prefer different backend servers among equals, so that they do not overload one
    /// before they learn of each other's choices. Servers in the instance's own failure domain are near.
    explicit EntryPlacement(const EntryPolicy &policy = {}, std::uint64_t seed = 0, std::string failureDomain = {});

    /// Replaces the configuration and the set of backend servers. Keeps the health of those that remain. Servers whose
    /// entries tell that they leave count as leaving from now on, whatever later entries of theirs say.
    void update(std::shared_ptr<const FleetState> state, Instant now = {});

    /// What a notice changed in the standing of a backend server, for the log.
    struct NoticeOutcome
    {
        ServerNotices::Change change = ServerNotices::Change::None;
        /// Time until which the server gets no requests; nothing if it is not paused.
        std::optional<Instant> pausedUntil;
    };

    /// Records what an incarnation of a backend server, identified by backendKey(), says of itself.
    NoticeOutcome noticed(std::uint32_t server, const ServerNotice &notice, NoticeSource source, Instant now);

    /// Whether a wrong value in an answer of a server is to be logged, which happens now and then only.
    bool reportsWrongNotice(std::uint32_t server, Instant now);

    /// Own notices for other instances, as many as fit a datagram with an instance's state.
    std::vector<NoticeMessage> noticeMessages(Instant now);

    /// Name of the backend server with a key; empty if it is not listed.
    std::string nameOf(std::uint32_t server) const;

    /// Record that this process runs, and that a peer has answered with the evacuations, see EvacuationFreshness. The
    /// first returns whether a peer is to be asked.
    bool running(Instant now);
    void evacuationsAnswered(Instant askedAt);

    /// Whether what this instance knows of evacuations may be used, by itself and by peers.
    bool knowsEvacuations(Instant now) const;

    /// Whether a request that was placed at these servers may still be sent: none of them leaves, is paused or
    /// evacuated.
    bool mayBeSent(const pomeloport::Route &route, Instant now) const;

    /// Standing of the backend servers in the Prometheus text format.
    std::string noticeMetricsText(Instant now) const;

    /// Use of the engines by organisation in the Prometheus text format; empty if they are not shared by organisation.
    std::string sharesMetricsText(Instant now) const;

    /// Chooses a place for an attempt. The members and helpers of the route are ids of backend servers.
    pomeloport::RouteDecision choose(const CallWork &work,
                                     const pomeloport::RouteQuery &query,
                                     Instant now,
                                     PlacementTrace &trace);

    /// Plans a route for a prompt that needs memory at several engines; nothing while no such route is free. The
    /// helpers of the route carry no tickets yet; the tokens to reserve at each are listed beside them.
    struct GroupPlan
    {
        pomeloport::Route route;
        std::vector<std::uint64_t> tickets;
    };
    std::optional<GroupPlan> planGroup(const CallWork &work, const std::vector<std::string> &avoid, Instant now);

    /// Tells where a call would go now, and why. See PlacementExplanation.
    PlacementExplanation explain(const CallWork &work, Instant now) const;

    /// Record the start of an attempt, its first answer and its end. The start returns whether the attempt may be sent:
    /// another call may have used up the limit of a cold server since the choice. An answer may complete the return of
    /// its server from a pause, which answered() tells.
    bool opened(const CallWork &work,
                std::uint32_t attempt,
                const pomeloport::Route &route,
                const std::vector<std::uint64_t> &tickets,
                Instant now);
    bool answered(const CallWork &work, std::uint32_t attempt, const std::string &backend, Instant now);
    void closed(const CallWork &work,
                std::uint32_t attempt,
                const std::string &backend,
                pomeloport::action::CloseAttempt::Outcome outcome,
                Instant now,
                AttemptEnd end = AttemptEnd::Server);

    /// Records that the head of a response has arrived from a backend server, whatever its status.
    void responded(const std::string &backend, Instant now);

    /// Whether a call that has not been offered to a backend server yet can be complete before its instance stops, if
    /// it finds the best place at once. Placement decides by the place that it finds.
    bool canFinish(const CallWork &work, Instant now) const;

    /// Whether the call's service has had no server that takes new work for longer than a replacement lasts.
    bool lacksServers(const CallWork &work, Instant now);

    /// Failure of a call whose service has had no server for longer than a replacement lasts.
    pomeloport::Failure noServerRefusal(const CallWork &work, Instant now);

    /// Retry-After of a call that is refused outside placement.
    std::chrono::milliseconds retryAfter(const Shortage &shortage, const CallWork &work, Instant now);

    /// Record what tells a starting instance when it will have a configuration, see ReturnForecast.
    void instanceStarted(Instant now);
    void readyPeerHeard(Instant now);
    void storeAnswered(Instant now);
    void storeFailed(Instant now);

    /// Why a call may be sent to none of the servers of its service, if that is for their regions; nothing otherwise.
    std::optional<pomeloport::Failure> regionFailure(const CallWork &work) const;

    /// Removes a call from the queue for slots because it has been placed or has ended.
    void removeFromQueue(const CallWork &work);

    /// Sets the place of this instance among those that may send.
    void setSenders(const SenderStanding &standing, Instant now);

    /// A change of the pace of a backend server, for the log.
    struct PaceChange
    {
        std::string backend;
        ServerPace::Event event;
    };
    std::vector<PaceChange> takePaceChanges(Instant now);

    /// Numbers of cold and paced backend servers in the Prometheus text format.
    std::string paceMetricsText(Instant now) const;

    /// Records a failure of a backend server outside its own attempts, such as one of a helper that another backend
    /// server reported.
    void failed(const std::string &backend, Instant now);

    /// Whether the retry budget that all instances share allows another attempt.
    bool permitRetry(const CallWork &work, Instant now);

    /// Applies a report of another instance's work.
    void applyPeerReport(const pomeloport::OwnerId &sender, const WorkReport &report, Instant now);

    /// Drops what is known of an instance that no longer reports its work because it has none.
    void forgetPeer(const pomeloport::OwnerId &sender);

    /// Sets the callback that runs when there are changes to report to other instances, on the thread that made them.
    /// Call once.
    using ChangeCallback = std::function<void(WorkChange change)>;
    void onWorkChanged(ChangeCallback callback);

    /// Changes to own work for other instances, as many as fit a datagram; nothing when there are none. See WorkLedger
    /// for the full reports and snapshots.
    std::optional<WorkReport> takeChanges(Instant now);
    std::vector<WorkReport> fullReports(Instant now);
    std::vector<WorkReport> snapshots(Instant now);

    /// Whether the named backend server may get new work: it is known, not leaving and not evacuated.
    bool usable(const std::string &backend) const;

    /// Own attempts in flight.
    std::size_t inFlight() const;

    /// Whether prompts of this instance are in flight or wait for a slot.
    bool hasPrompts() const;

    /// Sets the bytes of an attempt's request that wait because an incarnation of a backend server, identified by
    /// backendKey(), does not read them. Returns whether the server begins or ceases to get no new requests.
    std::optional<UnreadRequests::Change> requestWaits(const CallWork &work,
                                                       std::uint32_t attempt,
                                                       std::uint32_t server,
                                                       std::size_t bytes,
                                                       Instant now);

    /// The bytes that wait, by backend server, in the Prometheus text format.
    std::string unreadMetricsText() const;

private:
    /// Observed health of one incarnation of a backend server.
    struct Health
    {
        pomeloport::CircuitBreaker breaker;
        /// Decaying share of attempts that failed, 0 to 1, and when one failed last.
        double failureRate = 0;
        Instant failedAt{};
        /// Times to the first byte, in milliseconds.
        AnswerHistory answerMs;
        /// Moving average of the time to the first event as a multiple of the predicted one, and when it was updated.
        double slowdown = 1;
        Instant slowdownAt{};
        /// The same where averages become stale.
        AnswerHistory slowdowns;
        /// When the latest response began, see responded().
        Instant respondedAt{};
    };

    /// What was predicted for an attempt, and the slowdown that the prediction considered.
    struct Prediction
    {
        Duration first{};
        double slowdown = 1;
    };

    struct ServiceView
    {
        std::vector<const BackendEntry *> backends;
        std::vector<std::uint32_t> keys;
        /// Number of further backend servers, which are in evacuated failure domains.
        std::size_t evacuated = 0;
    };

    /// Number of servers that do not leave.
    std::size_t usableServers(const ServiceView &service, Instant now) const;

    /// Whether the named backend server is listed and its failure domain evacuated.
    bool isEvacuatedServer(const std::string &backend) const;

    /// When the first server that a call may be sent to takes requests again, if all that do not leave are paused.
    std::optional<Instant> commonPauseEnd(const CallWork &work, Instant now) const;

    /// The same as regionFailure() with the mutex held.
    std::optional<pomeloport::Failure> lockedRegionFailure(const CallWork &work) const;

    pomeloport::RouteDecision choosePrompt(const CallWork &work,
                                           const EngineCost &cost,
                                           const pomeloport::RouteQuery &query,
                                           Instant now,
                                           PlacementTrace &trace);
    pomeloport::RouteDecision choosePlain(const CallWork &work,
                                          const pomeloport::RouteQuery &query,
                                          Instant now,
                                          PlacementTrace &trace);
    std::vector<EngineCandidate> candidates(const CallWork &work,
                                            const std::vector<std::string> &avoid,
                                            Instant now,
                                            PlacementTrace &trace);
    bool queueForSlot(const CallWork &work,
                      const EngineCost &cost,
                      std::vector<EngineCandidate> &engines,
                      bool mayWait,
                      Instant now,
                      PlacementTrace &trace);
    WorkItem queueItem(const CallWork &work, const EngineCost &cost, Instant now);
    std::optional<EngineChoice> bestEngines(const CallWork &work,
                                            const EngineCost &cost,
                                            const std::vector<EngineCandidate> &engines,
                                            Instant now,
                                            PlacementTrace &trace);
    std::optional<pomeloport::RouteDecision> deferOrRefuse(const CallWork &work,
                                                           const EngineCost &cost,
                                                           const EngineChoice &choice,
                                                           Instant now,
                                                           PlacementTrace &trace);
    std::optional<Instant> serverGapEnd(const std::string &service, Instant now);
    Instant latestStart(const CallWork &work, const EngineCost &cost) const;
    bool mayDefer(const CallWork &work, const EngineCost &cost, double guaranteedShare, Instant now) const;
    /// The following do nothing unless the policy shares the engines by organisation.
    void traceShare(const CallWork &work, Instant now, PlacementTrace &trace) const;
    WorkOrigin originOf(const CallWork &work) const;
    ServedOften servedOften(const CallWork &work, Instant now) const;
    std::optional<pomeloport::Failure> refuseFirst(const CallWork &work, Instant now, PlacementTrace &trace) const;
    void recordUse(const WorkItem &item, const std::string &service, Instant now);
    void recordLeft(const CallWork &work, std::uint64_t key, Instant now);
    void recordOutcome(const CallWork &work, const pomeloport::RouteDecision &decision, Instant now);
    StandingOfItem standingsAt(Instant now) const;
    bool canFinishAtBest(const CallWork &work, Instant now) const;
    bool endsBeforeStop(const CallWork &work, Duration predictedFirst, Instant now) const;
    EngineDemand demand(Instant now) const;
    bool isRemote(const BackendEntry &backend) const;
    bool isLatencySensitive(const CallWork &work) const;
    PromptWork promptOf(const CallWork &work, const EngineCost &cost) const;
    pomeloport::Route routeOf(const CallWork &work, const EngineChoice &choice) const;
    Instant latestWait(const CallWork &work, bool answerBegun) const;
    pomeloport::RouteDecision waitOrRefuse(const CallWork &work, bool answerBegun, Instant now, PlacementTrace &trace);
    pomeloport::Failure serverRefusal(const CallWork &work, Instant now);
    pomeloport::Failure overloadRefusal(Shortage shortage, const CallWork &work, Instant now, PlacementTrace &trace);
    Shortage prefillShortage(const CallWork &work, const EngineChoice &choice, bool isLong, Instant now) const;
    Shortage slotShortage(const CallWork &work) const;
    pomeloport::RouteDecision waitForPauseEnd(const CallWork &work,
                                              Instant end,
                                              Instant latest,
                                              Instant now,
                                              PlacementTrace &trace) const;
    void reportChange(WorkChange change) const;
    void listPace(Instant now);
    bool windowsApply(const ServiceView &service, Instant now) const;
    double assumedAnswerMs(const ServiceView &service) const;
    AnswerAverages averagesOf(const ServiceView &service, AnswerHistory Health::*history) const;
    bool isOfPresent(std::uint32_t key, const AnswerHistory &history, Instant now) const;
    void recordAnswer(const WorkItem &item,
                      const std::string &backend,
                      AnswerHistory Health::*history,
                      double value,
                      double margin,
                      Instant now);
    bool pacePermits(std::uint32_t key, bool windows, Instant now) const;
    bool paceSent(const WorkItem &item, std::uint64_t sequence, Instant now);
    double slowdownOf(std::uint32_t key, const Health &backendHealth, AnswerAverages &averages, Instant now) const;
    double decayedSlowdown(const Health &backendHealth, Instant now) const;
    void keepPrediction(const CallWork &work, const pomeloport::Route &route, Duration first, Instant now);
    void observeAnswer(const WorkItem &item, const std::string &backend, Instant now);
    bool recordAttempt(const CallWork &work,
                       std::uint32_t attempt,
                       const pomeloport::Route &route,
                       const std::vector<std::uint64_t> &tickets,
                       Instant now);
    void countAttempt(const WorkItem &item, bool isOwn, Instant now);
    Health &health(std::uint32_t key);
    std::uint32_t keyOf(const std::string &backend) const;
    void recordFailure(std::uint32_t key, Instant now, bool opensCircuit = true);
    double currentFailureRate(const Health &backendHealth, Instant now) const;
    const EngineCost *engineOf(const std::string &service) const;
    double worthOf(const CallWork &work) const;

    /// For explanations. Must copy each member that a decision depends on.
    EntryPlacement(const EntryPlacement &other);
    std::vector<ExplainedServer> explainServers(const CallWork &work, Instant now);
    ExplainedServer explainExclusion(const CallWork &work, const BackendEntry &backend, Instant now);
    ExplainedServer explainCandidate(const CallWork &work, const EngineCandidate &candidate, Instant now);
    std::size_t requestsAt(std::uint32_t key) const;
    bool noServerReads(const CallWork &work) const;

    const EntryPolicy m_policy;
    const std::uint64_t m_seed;
    const std::string m_failureDomain;
    mutable std::mutex m_mutex;
    std::shared_ptr<const FleetState> m_state;
    std::unordered_map<std::string, ServiceView> m_services;
    std::unordered_map<std::uint32_t, std::string> m_serviceByKey;
    /// When a call first found its service without a server, by service.
    std::unordered_map<std::string, Instant> m_withoutServerSince;
    std::unordered_map<std::uint32_t, Health> m_health;
    ServerNotices m_notices;
    EvacuationFreshness m_freshness;
    ServerPace m_pace;
    /// Predictions for the latest choices by sequence of the call, and for attempts in flight by key of the work item.
    std::unordered_map<std::uint64_t, Prediction> m_predictions;
    std::unordered_map<std::uint64_t, Prediction> m_attemptPredictions;
    /// Attempts that must not be sent because of a cold server's limit, by key of the work item.
    std::unordered_set<std::uint64_t> m_unsent;
    WorkLedger m_ledger;
    RepeatBudget m_repeats;
    /// By service.
    std::unordered_map<std::string, SlotStartEstimate> m_slotStarts;
    ReturnForecast m_returns;
    OrganisationShares m_shares;
    ServedRates m_served;
    ChangeCallback m_workChanged;
    std::uint64_t m_rotation = 0;
    UnreadRequests m_unread;
};

/// Latest time of the first event at which the whole answer can still be in time, if the engine decodes it together
/// with as many other streams as it has slots.
Instant lastFirstEvent(const CallWork &work, const EngineCost &cost);

/// KV-cache memory that a call occupies at the engine that answers it, in tokens.
std::uint64_t memoryTokens(const CallWork &work);

} // namespace pomeloentry
