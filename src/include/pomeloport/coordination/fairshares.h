#pragma once

#include "pomeloport/clock.h"
#include "pomeloport/coordination/decayingsum.h"

#include <map>
#include <string>

/// Fair shares of organisations: who used more than its part lately.
namespace pomeloport
{

/// Meters the cost of admitted work per organisation. Not thread safe.
class FairShares
{
public:
    /// Notes that work of a cost (in any unit) was admitted for an organisation with a share weight.
    void used(const std::string &organisation, double weight, double cost, Instant now);

    /// Returns the organisation's fair part over the part it used lately, at most 1. Organisations that stay within
    /// their part, and those that are alone, have 1.
    double standing(const std::string &organisation, double weight, Instant now);

private:
    struct Usage
    {
        DecayingSum cost;
        double weight = 1;
    };
    void forgetIdle(Instant now);

    std::map<std::string, Usage> m_usage;
    DecayingSum m_total{std::chrono::seconds(30)};
    double m_activeWeight = 0;
    Instant m_checkedAt{};
};

} // namespace pomeloport
