#include "decisions/placementdetail.h"

#include <algorithm>

namespace pomeloentry::detail
{

namespace
{

/// Failure rate assumed of a server that has asked another instance for a pause.
constexpr double DiscouragedFailureRate = 0.5;
/// Limit of attempt numbers of one call in the keys of work items.
constexpr std::uint64_t AttemptsPerCall = 256;

} // namespace

std::uint64_t itemKey(const CallWork &work, std::uint32_t attempt)
{
    return work.sequence * AttemptsPerCall + attempt % AttemptsPerCall;
}

double unitFraction(std::uint64_t number)
{
    constexpr double Range = 18446744073709551616.0;
    return static_cast<double>(number) / Range;
}

double guaranteeDraw(const CallWork &work)
{
    return unitFraction(work.sequence * OrderFactor);
}

bool takesRequests(ServerNotices::Standing standing)
{
    return standing == ServerNotices::Standing::Open || standing == ServerNotices::Standing::Discouraged;
}

double failureRateOf(double failureRate, ServerNotices::Standing standing)
{
    return standing == ServerNotices::Standing::Discouraged ? std::max(failureRate, DiscouragedFailureRate)
                                                            : failureRate;
}

pomeloport::Failure stopRefusal(const char *reason)
{
    return {pomeloport::Verdict::NotRun, pomeloport::ReasonCode::Stopping, reason, RetryElsewhereDelay};
}

bool contains(const std::vector<std::string> &list, const std::string &text)
{
    return std::ranges::find(list, text) != list.end();
}

double decodeTimeMs(const EngineCost &cost, std::uint64_t answerTokens)
{
    const double events = static_cast<double>(answerTokens) / std::max(cost.stepsPerPass, 1.0);
    return events * passMs(cost, static_cast<double>(cost.slots), 0);
}

} // namespace pomeloentry::detail
