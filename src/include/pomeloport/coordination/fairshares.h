#pragma once

#include "pomeloport/clock.h"
#include "pomeloport/coordination/decayingsum.h"

#include <map>
#include <string>

/// Fair sharing of capacity between organisations, by their recent use.
namespace pomeloport
{

/// Measures the recent cost of admitted work per organisation. Not thread safe.
class FairShares
{
public:
    /// Records the cost, in any one unit, of work admitted for an organisation with the given share weight.
    void recordUsage(const std::string &organisation, double weight, double cost, Instant now);

    /// Returns the organisation's fair share divided by its share of recent use, at most 1. The result is 1 for
    /// organisations within their fair share and for one that is the only user.
    double shareFactor(const std::string &organisation, double weight, Instant now);

private:
    struct Usage
    {
        DecayingSum cost;
        double weight = 1;
    };
    void removeIdle(Instant now);

    std::map<std::string, Usage> m_usage;
    DecayingSum m_total{std::chrono::seconds(30)};
    double m_activeWeight = 0;
    Instant m_checkedAt{};
};

} // namespace pomeloport
