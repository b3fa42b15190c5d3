#pragma once

#include "session/returnmetrics.h"
#include "session/sessionregistry.h"
#include "session/sharedquarantine.h"

#include "pomeloentry/decisions/entryplacement.h"
#include "pomeloentry/decisions/stopplan.h"
#include "pomeloentry/knowledge/routing.h"
#include "pomeloentry/program/entrysettings.h"

#include "pomeloport/memorybudget.h"
#include "pomeloport/protocol/identity.h"
#include "pomeloport/state/published.h"
#include "pomeloport/transport/httpclient.h"
#include "pomeloport/transport/httpserver.h"
#include "pomelorouter/requestmetrics.h"

#include <boost/asio/io_context.hpp>

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

/// State shared by the parts of an entry process. Thread safe.
namespace pomeloentry
{

inline Instant steadyNow()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

struct EntryCore
{
    EntryCore(boost::asio::io_context &ioContext, EntrySettings entrySettings, std::uint64_t incarnation)
        : context(ioContext)
        , settings(std::move(entrySettings))
        , self{settings.instance, incarnation}
        , fleet(std::make_shared<const FleetState>())
        , placement(policyOf(settings), std::hash<std::string>{}(settings.instance), settings.failureDomain)
        , quarantine(settings.policy.quarantine)
        , bodyMemory(budgetOf(settings, BodyMemoryShare))
        , answerMemory(budgetOf(settings, AnswerMemoryShare, AnswerMultipleOfFree))
        , unsentBodies(std::make_shared<pomeloport::MemoryBudget>())
        , client(ioContext)
        , metrics(MaximumOrganisations)
        , nextSequence(firstSequence(self))
    {
    }

    /// Number of the first call of a process. The ranges of different processes are far apart, since instances order
    /// the waiting prompts of all of them by these numbers.
    static std::uint64_t firstSequence(const pomeloport::OwnerId &process);

    /// Returns the placement policy with the retry budget from the settings.
    static EntryPolicy policyOf(const EntrySettings &settings);

    /// Returns a budget of a share of the memory that the process may use.
    static std::shared_ptr<pomeloport::MemoryBudget> budgetOf(const EntrySettings &settings,
                                                              double share,
                                                              std::optional<double> multipleOfFree = std::nullopt);

    static constexpr std::size_t MaximumOrganisations = 200;
    /// Shares of the process's memory for bodies of requests, and for answers and events that are not complete or wait
    /// to be written to their callers. The rest is for everything else, and for what the allocator holds back.
    static constexpr double BodyMemoryShare = 0.3;
    static constexpr double AnswerMemoryShare = 0.2;
    /// One answer may take as many bytes as half of those that stay free.
    static constexpr double AnswerMultipleOfFree = 0.5;
    /// One caller may leave this share of the memory for answers unread, and no more than the built-in limit.
    static constexpr double UnreadShare = 0.25;

    boost::asio::io_context &context;
    const EntrySettings settings;
    const pomeloport::OwnerId self;
    pomeloport::Published<FleetState> fleet;
    EntryPlacement placement;
    SharedQuarantine quarantine;
    const std::shared_ptr<pomeloport::MemoryBudget> bodyMemory;
    const std::shared_ptr<pomeloport::MemoryBudget> answerMemory;
    /// The part of the bodies that waits to be written to backend servers, for the metrics only.
    const std::shared_ptr<pomeloport::MemoryBudget> unsentBodies;
    pomeloport::HttpClient client;
    pomelorouter::RequestMetrics metrics;
    ReturnMetrics returnMetrics;
    std::atomic<std::uint64_t> nextSequence;
    std::atomic<std::uint64_t> openCalls{0};
    /// Orders to free reserved memory that no engine has answered yet.
    std::atomic<std::uint64_t> openReleases{0};
    /// Callers that were disconnected because they do not read: by the server for callers, by cause, and because
    /// reading from a backend server had paused for too long.
    std::array<std::atomic<std::uint64_t>, pomeloport::nameTable(pomeloport::SlowReaderCause{}).size()> slowReaders{};
    std::atomic<std::uint64_t> pausedReaders{0};
    /// Set once the shutdown has begun; discovery then no longer names this instance.
    std::atomic<bool> leaving{false};
    SessionRegistry sessions;

    /// When open calls are given up because the instance stops; nothing unless it is stopping.
    std::optional<Instant> stopsAt() const
    {
        const auto count = m_stopsAt.load();
        return count == 0 ? std::nullopt : std::optional(Instant(Duration(count)));
    }

    /// Tells a call what it has to know of the stop of this instance, if any.
    void applyStop(CallWork &work) const
    {
        work.stopsAt = stopsAt();
        work.arrivedLate = work.stopsAt && work.arrival >= Instant(Duration(m_callersLeftAt.load()));
    }

    /// Begins the shutdown, or changes its end.
    void leave(const StopPlan &plan)
    {
        m_callersLeftAt = plan.callersLeftAt().time_since_epoch().count();
        stopAt(plan.end());
        leaving = true;
    }

    /// Gives up open calls at this time.
    void stopAt(Instant end)
    {
        m_stopsAt = end.time_since_epoch().count();
    }

private:
    std::atomic<Duration::rep> m_stopsAt{0};
    std::atomic<Duration::rep> m_callersLeftAt{0};
};

} // namespace pomeloentry
