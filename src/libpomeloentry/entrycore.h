#pragma once

#include "pomeloentry/entryplacement.h"
#include "pomeloentry/entrysettings.h"
#include "pomeloentry/routing.h"

#include "pomeloport/protocol/identity.h"
#include "pomeloport/state/published.h"
#include "pomeloport/transport/httpclient.h"
#include "pomelorouter/requestmetrics.h"

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

/// What the parts of one entry process share. Members are safe from any thread.
namespace pomeloentry
{

/// Reads the monotonic clock.
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
        , placement(policyOf(settings), std::hash<std::string>{}(settings.instance))
        , client(ioContext)
        , metrics(MaximumOrganisations)
    {
    }

    /// Placement's policy with the limits that the operators set.
    static EntryPolicy policyOf(const EntrySettings &settings);

    static constexpr std::size_t MaximumOrganisations = 200;

    boost::asio::io_context &context;
    const EntrySettings settings;
    const pomeloport::OwnerId self;
    pomeloport::Published<FleetState> fleet;
    EntryPlacement placement;
    pomeloport::HttpClient client;
    pomelorouter::RequestMetrics metrics;
    std::atomic<std::uint64_t> nextSequence{1};
    std::atomic<std::uint64_t> openCalls{0};
    /// Whether a stop has begun: no new callers are invited.
    std::atomic<bool> leaving{false};
    /// Whether new calls are turned away, because the process is about to end.
    std::atomic<bool> rejectingCalls{false};
};

} // namespace pomeloentry
