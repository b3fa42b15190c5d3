#include "pomeloentry/program/entry.h"

#include "knowledge/fleetwatch.h"
#include "knowledge/peermesh.h"
#include "program/entrycore.h"
#include "program/entrydirectory.h"
#include "session/admission.h"
#include "session/dryrun.h"
#include "session/entrysession.h"
#include "session/startingcalls.h"

#include "pomeloentry/decisions/stopplan.h"
#include "pomeloentry/wire.h"

#include "pomeloport/lastreason.h"
#include "pomeloport/logging.h"
#include "pomeloport/transport/httpserver.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

namespace pomeloentry
{

using namespace pomeloport;

namespace
{

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusUnavailable = 503;

constexpr std::chrono::milliseconds ShutdownCheckInterval{50};
/// Connections stay open longer than the idle timeout that callers know, so that none is closed just as the next
/// request arrives on it.
constexpr double IdleTimeoutFactor = 1.25;

/// Retry-After of requests that are refused for want of memory.
constexpr std::chrono::milliseconds RetryAfterNoMemory{300};
/// Share of the common retry budget that is used; the rest covers retries of peers whose reports were not received.
constexpr double RetryBudgetShare = 0.7;

void sendRefusal(EntryCore &core, HttpExchange &exchange, const Refusal &refusal)
{
    logEvent(LogLevel::Info,
             "rejected",
             {{"id", refusal.attemptId},
              {"status", refusal.status},
              {"reason", nameOf(refusal.reason)},
              {"detail", refusal.detail},
              {"retry_after_ms", refusal.retryAfter ? refusal.retryAfter->count() : -1},
              {"cause", refusal.returnCause ? nameOf(*refusal.returnCause) : ""}});
    if (refusal.retryAfter && refusal.returnCause) {
        core.returnMetrics.record(*refusal.returnCause, *refusal.retryAfter);
    }
    auto body = std::string(R"({"verdict":"not_run","reason":")") + std::string(nameOf(refusal.reason)) + "\"}\n";
    exchange.reply(wire::encodeFailure(refusal.status, refusal.attemptId, refusal.retryAfter), std::move(body));
}

} // namespace

std::uint64_t EntryCore::firstSequence(const pomeloport::OwnerId &process)
{
    // Leaves room for a million calls to the next range, and for the attempt number in the keys of work items.
    constexpr unsigned CallBits = 20;
    constexpr std::uint64_t RangeMask = 0xFFFFFFFF;
    const auto name = process.instance + '/' + std::to_string(process.incarnation);
    return ((XXH64(name.data(), name.size(), 0) & RangeMask) << CallBits) + 1;
}

EntryPolicy EntryCore::policyOf(const EntrySettings &settings)
{
    EntryPolicy policy = settings.policy;
    policy.repeats.perRequest = settings.retryRatio * RetryBudgetShare;
    policy.repeats.slack = settings.retrySlack * RetryBudgetShare;
    policy.repeats.window = settings.retryWindow;
    policy.evacuationBound = settings.evacuationBound;
    policy.pace.coldRateFactor = settings.coldRateFactor;
    policy.pace.coldRateMargin = settings.coldRateMargin;
    return policy;
}

std::shared_ptr<MemoryBudget> EntryCore::budgetOf(const EntrySettings &settings,
                                                  double share,
                                                  std::optional<double> multipleOfFree)
{
    if (settings.memoryBytes == 0) {
        return std::make_shared<MemoryBudget>();
    }
    const auto bytes = static_cast<double>(settings.memoryBytes) * share;
    return std::make_shared<MemoryBudget>(static_cast<std::size_t>(bytes), multipleOfFree);
}

struct Entry::Implementation : std::enable_shared_from_this<Implementation>
{
    explicit Implementation(std::shared_ptr<EntryCore> entryCore)
        : core(std::move(entryCore))
        , strand(boost::asio::make_strand(core->context))
        , timer(strand)
    {
    }

    bool listen()
    {
        const auto &settings = core->settings;
        mesh = PeerMesh::start(core);
        if (!mesh) {
            return false;
        }
        watch = std::make_shared<FleetWatch>(core, mesh);
        directory = std::make_shared<EntryDirectory>(core, mesh);
        startingCalls =
            std::make_unique<StartingCalls>(settings.policy.startGap,
                                            steadyNow(),
                                            [weak = weak_from_this()](const auto &exchange, auto arrival, auto waited) {
                                                if (const auto self = weak.lock()) {
                                                    self->serveArrived(exchange, arrival, waited);
                                                }
                                            });
        const auto open = [this](const std::string &address, void (Implementation::*handler)(const Exchange &)) {
            return HttpServer::listen(
                core->context, address, {}, [weak = weak_from_this(), handler](const Exchange &exchange) {
                    if (const auto self = weak.lock()) {
                        ((*self).*handler)(exchange);
                    }
                });
        };
        callers = open(settings.callerAddress, &Implementation::serveCaller);
        if (callers) {
            callers->limitMemory(core->bodyMemory, [weak = weak_from_this()](const Exchange &exchange) {
                if (const auto self = weak.lock()) {
                    self->refuseForMemory(*exchange);
                }
            });
            UnreadLimits limits;
            const double share = static_cast<double>(core->answerMemory->limit()) * EntryCore::UnreadShare;
            limits.bytes = std::min(limits.bytes, static_cast<std::size_t>(share));
            callers->limitUnread(
                core->answerMemory, limits, [entryCore = std::weak_ptr(core)](const SlowReader &reader) {
                    if (const auto locked = entryCore.lock()) {
                        recordSlowReader(*locked, reader);
                    }
                });
        }
        readiness = callers ? open(settings.readinessAddress, &Implementation::serveReadiness) : nullptr;
        discovery = readiness ? open(settings.discoveryAddress, &Implementation::serveDiscovery) : nullptr;
        peers = discovery ? open(settings.peerAddress, &Implementation::servePeer) : nullptr;
        metrics = peers ? open(settings.metricsAddress, &Implementation::servePeer) : nullptr;
        return metrics != nullptr;
    }

    void run()
    {
        core->quarantine.onQuarantined([weak = std::weak_ptr(core)](const std::vector<PromptPart> &parts) {
            if (const auto locked = weak.lock()) {
                for (auto &session : locked->sessions.all()) {
                    EntrySession::quarantineBegan(std::move(session), parts);
                }
            }
        });
        watch->onStoreRestored([weak = std::weak_ptr(directory)] {
            if (const auto locked = weak.lock()) {
                locked->storeRestored();
            }
        });
        watch->start([weak = weak_from_this()](const FleetState &state) {
            const auto self = weak.lock();
            if (self && state.routing) {
                self->adoptLimits(state.routing->limits);
                self->startingCalls->update(state);
            }
        });
        directory->start();
    }

    using Exchange = std::shared_ptr<HttpExchange>;

    void adoptLimits(const CallLimits &limits)
    {
        HttpLimits next;
        next.headerBytes = limits.headerBytes;
        next.bodyBytes = limits.bodyBytes;
        next.headerTimeout = limits.headerTimeout;
        longestIdleTimeout = std::max(longestIdleTimeout, limits.idleTimeout);
        next.idleTimeout = std::chrono::milliseconds(
            static_cast<std::int64_t>(static_cast<double>(longestIdleTimeout.count()) * IdleTimeoutFactor));
        callers->setLimits(next);
    }

    void serveCaller(const Exchange &exchange)
    {
        const auto now = steadyNow();
        if (core->fleet.current()->canServe() || !startingCalls->hold(exchange, now)) {
            serveArrived(exchange, now, {});
        }
    }

    /// Serves a call that arrived at this time, which may have waited for the state of the fleet since.
    void serveArrived(const Exchange &exchange, Instant arrival, Duration waited)
    {
        auto admitted = admit(*core, exchange->request(), arrival, waited);
        if (const auto *refusal = std::get_if<Refusal>(&admitted)) {
            sendRefusal(*core, *exchange, *refusal);
            return;
        }
        auto &call = std::get<AdmittedCall>(admitted);
        logEvent(LogLevel::Info,
                 "admitted",
                 {{"id", call.request.attemptId},
                  {"organisation", call.organisation},
                  {"route", call.route->name},
                  {"kind", nameOf(call.route->kind)},
                  {"service", call.work.service},
                  {"version", call.fleet->routing->version},
                  {"prompt", call.work.promptTokens},
                  {"time_ms", (call.work.deadline - call.work.arrival).count() / 1000},
                  {"start_wait_ms", waited.count() / 1000}});
        std::make_shared<EntrySession>(core, exchange, std::move(call))->start();
    }

    /// Refuses a request whose body found no place in memory. Its head may be unreadable, too.
    void refuseForMemory(HttpExchange &exchange)
    {
        const auto decoded = wire::decodeRequest(exchange.request());
        const auto now = steadyNow();
        const auto retryAfter =
            core->placement.retryAfter({ReturnCause::Memory, RetryAfterNoMemory},
                                       workWithoutRoute(decoded ? decoded->timeLimit : std::nullopt, now),
                                       now);
        sendRefusal(*core,
                    exchange,
                    {StatusUnavailable,
                     ReasonCode::Overloaded,
                     "no memory for the body of the request",
                     decoded ? decoded->attemptId : std::string(),
                     retryAfter,
                     ReturnCause::Memory});
    }

    static void recordSlowReader(EntryCore &core, const SlowReader &reader)
    {
        ++core.slowReaders.at(static_cast<std::size_t>(reader.cause));
        logEvent(LogLevel::Warning,
                 "slow_reader",
                 {{"id", reader.exchange},
                  {"cause", nameOf(reader.cause)},
                  {"caller", reader.remoteAddress},
                  {"unread_bytes", reader.unreadBytes}});
    }

    void serveReadiness(const Exchange &exchange)
    {
        const bool ready = wire::isReadiness(exchange->request()) && mesh->state() == EntryState::Ready;
        exchange->reply(ready ? StatusOk : StatusUnavailable, "text/plain", std::string(nameOf(mesh->state())));
    }

    void serveDiscovery(const Exchange &exchange)
    {
        if (!wire::isDiscovery(exchange->request())) {
            exchange->reply(StatusNotFound, "text/plain", "not found\n");
            return;
        }
        const auto addresses = mesh->callerAddresses(wire::callerLocation(exchange->request()));
        if (addresses.empty()) {
            exchange->reply(StatusUnavailable, "text/plain", "no instance is ready\n");
            return;
        }
        exchange->reply(StatusOk, "application/json", wire::encodeAddresses(addresses, core->settings.addressLifetime));
    }

    /// Sends a peer the documents that changed after the store versions named in its query.
    void serveState(const Exchange &exchange)
    {
        const auto &query = exchange->request().query;
        const auto text = [&query](const std::string &name) {
            const auto found = query.find(name);
            return found == query.end() ? std::string_view() : std::string_view(found->second);
        };
        const auto version = [&text](const std::string &name) {
            return decodeStoreVersion(text(name)).value_or(StoreVersion{});
        };
        KnownChanges known{version("routing"), version("backends"), version("evacuations")};
        const auto retained = text("retained");
        std::from_chars(retained.data(), retained.data() + retained.size(), known.retained);
        if (!core->placement.knowsEvacuations(steadyNow())) {
            exchange->reply(StatusUnavailable, "text/plain", "this instance was stopped\n");
            return;
        }
        exchange->reply(
            StatusOk, "application/octet-stream", watch->encodedChangesSince(known, query.contains("evacuations")));
    }

    void servePeer(const Exchange &exchange)
    {
        if (exchange->request().path == "/state") {
            serveState(exchange);
            return;
        }
        if (exchange->request().path == "/explain") {
            auto reply = dryRun(*core, exchange->request().query, steadyNow());
            exchange->reply(reply.status, "application/json", std::move(reply.body));
            return;
        }
        if (exchange->request().path == "/metrics") {
            exchange->reply(StatusOk,
                            "text/plain; version=0.0.4",
                            core->metrics.text() + core->quarantine.metricsText() + memoryMetricsText()
                                + core->placement.noticeMetricsText(steadyNow()) + evacuationMetricsText()
                                + core->placement.paceMetricsText(steadyNow()) + core->returnMetrics.text()
                                + core->placement.sharesMetricsText(steadyNow()) + core->placement.unreadMetricsText()
                                + watch->metricsText());
            return;
        }
        exchange->reply(StatusNotFound, "text/plain", "not found\n");
    }

    /// Number of evacuations in force in the Prometheus text format; empty where the platform has none.
    std::string evacuationMetricsText() const
    {
        if (!core->settings.evacuationBound) {
            return {};
        }
        return "# HELP pomelo_evacuated_domains Failure domains whose backend servers get nothing more.\n"
               "# TYPE pomelo_evacuated_domains gauge\npomelo_evacuated_domains "
            + std::to_string(core->fleet.current()->evacuatedDomains.size()) + "\n";
    }

    /// Use of the memory budgets in the Prometheus text format.
    std::string memoryMetricsText() const
    {
        const std::pair<const char *, const MemoryBudget *> budgets[] = {{"bodies", core->bodyMemory.get()},
                                                                         {"answers", core->answerMemory.get()},
                                                                         {"unsent_bodies", core->unsentBodies.get()}};
        std::string used = "# HELP pomelo_memory_bytes Memory taken for bodies of requests and for answers.\n"
                           "# TYPE pomelo_memory_bytes gauge\n";
        std::string refusals = "# HELP pomelo_memory_refusals_total Times at which that memory was refused.\n"
                               "# TYPE pomelo_memory_refusals_total counter\n";
        for (const auto &[name, budget] : budgets) {
            const auto label = std::string("{kind=\"") + name + "\"} ";
            used += "pomelo_memory_bytes" + label + std::to_string(budget->used()) + "\n";
            refusals += "pomelo_memory_refusals_total" + label + std::to_string(budget->refusals()) + "\n";
        }
        std::string slow = "# HELP pomelo_slow_readers_total Callers that were disconnected since they did not read.\n"
                           "# TYPE pomelo_slow_readers_total counter\n";
        const auto count = [&slow](std::string_view cause, std::uint64_t number) {
            slow += "pomelo_slow_readers_total{cause=\"" + std::string(cause) + "\"} " + std::to_string(number) + "\n";
        };
        for (const auto &[cause, name] : nameTable(SlowReaderCause{})) {
            count(name, core->slowReaders.at(static_cast<std::size_t>(cause)));
        }
        count("paused", core->pausedReaders);
        return used + refusals + slow;
    }

    void shutDown(std::function<void()> callback)
    {
        boost::asio::dispatch(strand, [self = shared_from_this(), callback = std::move(callback)]() mutable {
            self->beginShutdown(std::move(callback));
        });
    }

    void endShutDown()
    {
        boost::asio::dispatch(strand, [self = shared_from_this()] {
            if (self->stop) {
                self->stop->endNow(steadyNow());
                self->core->leave(*self->stop);
                self->checkShutdown();
            }
        });
    }

    void beginShutdown(std::function<void()> callback)
    {
        onShutDown = std::move(callback);
        const auto &settings = core->settings;
        stop.emplace(steadyNow(), settings.stopGracePeriod, settings.addressLifetime);
        core->leave(*stop);
        startingCalls->release();
        mesh->announce();
        callers->closeAfterReply();
        for (auto &session : core->sessions.all()) {
            EntrySession::instanceStops(std::move(session), stop->end());
        }
        checkShutdown();
    }

    void checkShutdown()
    {
        if (!onShutDown) {
            return;
        }
        const auto open = core->openCalls + callers->busyConnections() + core->openReleases;
        const auto step = stop->step(steadyNow(), open);
        const bool closed = step != StopStep::Serve && std::exchange(closing, true);
        if (step != StopStep::Serve && !closed) {
            // What arrived before this is still answered; nothing can run that the exit would cut off.
            callers->stopAccepting();
            core->stopAt(std::min(steadyNow(), stop->end()));
        }
        if (step == StopStep::GiveUp) {
            auto sessions = core->sessions.all();
            if (!sessions.empty() && !std::exchange(givingUp, true)) {
                logEvent(LogLevel::Warning, "giving_up", {{"open_calls", sessions.size()}});
            }
            for (auto &session : sessions) {
                EntrySession::giveUp(std::move(session));
            }
        }
        if (step == StopStep::Exit && closed) {
            logEvent(LogLevel::Info, "left", {{"open_calls", core->openCalls.load()}});
            watch->stop();
            directory->stop();
            mesh->stop();
            std::exchange(onShutDown, nullptr)();
            return;
        }
        timer.expires_after(ShutdownCheckInterval);
        timer.async_wait([self = shared_from_this()](boost::system::error_code error) {
            if (!error) {
                self->checkShutdown();
            }
        });
    }

    std::shared_ptr<EntryCore> core;
    /// Executor of the shutdown.
    boost::asio::strand<boost::asio::io_context::executor_type> strand;
    boost::asio::steady_timer timer;
    std::unique_ptr<StartingCalls> startingCalls;
    std::shared_ptr<PeerMesh> mesh;
    std::shared_ptr<FleetWatch> watch;
    std::shared_ptr<EntryDirectory> directory;
    std::shared_ptr<HttpServer> callers;
    std::shared_ptr<HttpServer> readiness;
    std::shared_ptr<HttpServer> discovery;
    std::shared_ptr<HttpServer> peers;
    std::shared_ptr<HttpServer> metrics;
    std::chrono::milliseconds longestIdleTimeout{0};
    std::optional<StopPlan> stop;
    /// Whether the last part of the stop has begun, in which no call is admitted.
    bool closing = false;
    /// Whether open calls have been given up, which is logged once.
    bool givingUp = false;
    std::function<void()> onShutDown;
};

Entry::Entry(std::shared_ptr<Implementation> implementation)
    : m_implementation(std::move(implementation))
{
}

Entry::~Entry() = default;

std::unique_ptr<Entry> Entry::start(boost::asio::io_context &context,
                                    const EntrySettings &settings,
                                    std::uint64_t incarnation)
{
    auto implementation = std::make_shared<Implementation>(std::make_shared<EntryCore>(context, settings, incarnation));
    if (!implementation->listen()) {
        return nullptr;
    }
    implementation->run();
    return std::unique_ptr<Entry>(new Entry(std::move(implementation)));
}

void Entry::shutDown(std::function<void()> onShutDown)
{
    m_implementation->shutDown(std::move(onShutDown));
}

void Entry::endShutDown()
{
    m_implementation->endShutDown();
}

std::uint64_t Entry::openCalls() const
{
    return m_implementation->core->openCalls;
}

} // namespace pomeloentry
