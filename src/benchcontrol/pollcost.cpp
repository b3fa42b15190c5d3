#include "pollcost.h"

#include "pomeloport/coordination/pollplan.h"
#include "pomeloport/protocol/enginemessages.h"

namespace benchcontrol
{

using namespace pomeloport;

namespace
{

/// HTTP request and response heads, and TCP and IP headers of the segments and acknowledgements of one call.
constexpr double CallOverheadBytes = 130 + 110 + 4 * 52;
constexpr std::size_t StreamsPerEngine = 40;
constexpr std::size_t EventsPerReading = 10;

LoadReport sampleReport()
{
    LoadReport report;
    report.engine = "engine-1234";
    report.sequence = 123'456;
    report.epoch = 1'700'000'000'000;
    report.kvTokensTotal = 600'000;
    report.kvTokensUsed = 412'345;
    report.queuedPrefillTokens = 123'456;
    report.queuedBulkTokens = 100'000;
    report.runningStreams = StreamsPerEngine;
    report.queuedStreams = 3;
    report.prefillTokensPerSecond = 8123.5;
    report.decodeStepSeconds = 0.0321;
    report.loaded = {"yard@1", "ledger@1"};
    return report;
}

EngineHoldings sampleHoldings()
{
    EngineHoldings holdings;
    holdings.engine = "engine-1234";
    for (std::size_t i = 0; i < StreamsPerEngine; ++i) {
        holdings.holdings.push_back({{{"entry-123", 1'700'000'000'000}, 1'234'567 + i, 1}, "", 10'000 + i});
    }
    return holdings;
}

CacheEvents sampleEvents()
{
    CacheEvents events;
    events.engine = "engine-1234";
    events.epoch = 1'700'000'000'000;
    for (std::size_t i = 0; i < EventsPerReading; ++i) {
        events.events.push_back({123'456 + i, 0x1234567890abcdef + i, true});
    }
    return events;
}

double perSecond(Duration interval, std::size_t bodyBytes)
{
    return (CallOverheadBytes + static_cast<double>(bodyBytes)) / seconds(interval);
}

} // namespace

double pollBytesPerSecond(std::size_t engines, std::size_t regionServers)
{
    const auto plan = pollPlan({}, engines);
    const double one = perSecond(plan.load, encode(sampleReport()).size())
        + perSecond(plan.events, encode(sampleEvents()).size())
        + perSecond(plan.holdings, encode(sampleHoldings()).size());
    const bool shared = regionServers <= MaximumSharedEventServers;
    const auto others = static_cast<double>(shared ? regionServers - engines : 0);
    return one * static_cast<double>(engines)
        + others * perSecond(plan.events * NonHomeEventIntervalFactor, encode(sampleEvents()).size());
}

} // namespace benchcontrol
