#pragma once

#include "pomeloport/clock.h"
#include "pomeloport/coordination/decayingsum.h"

#include <map>
#include <optional>
#include <string>

/// Fair sharing of capacity between organisations, by their recent use.
namespace pomeloport
{

/// Which use counts as recent.
struct FairShareTimes
{
    Duration timeConstant = std::chrono::seconds(30);
    /// An organisation that has used nothing for this long is idle; without a value, one whose use has decayed to a
    /// negligible part of the total.
    std::optional<Duration> idleAfter;
    Duration idleCheckInterval = std::chrono::seconds(5);
};

/// Measures the recent cost of admitted work per organisation, identified by a key. Not thread safe.
template<typename Key>
class BasicFairShares
{
public:
    explicit BasicFairShares(const FairShareTimes &times = {});

    /// Records the cost, in any one unit, of work admitted for an organisation with the given share weight.
    void recordUsage(const Key &organisation, double weight, double cost, Instant now);

    /// Returns the organisation's fair share divided by its share of recent use, at most 1. The result is 1 for
    /// organisations within their fair share and for one that is the only user.
    double shareFactor(const Key &organisation, double weight, Instant now) const;

    /// The organisation's part of all recent use, 0 to 1.
    double usedFraction(const Key &organisation, Instant now) const;

    /// The part that an organisation of this weight is entitled to: an equal part of all that are active, by weight.
    double fairFraction(double weight) const;

    /// Decaying number of records of an organisation.
    double recentCount(const Key &organisation, Instant now) const;

private:
    struct Usage
    {
        DecayingSum cost;
        DecayingSum count;
        double weight = 1;
        Instant usedAt{};
    };
    void removeIdle(Instant now);

    FairShareTimes m_times;
    std::map<Key, Usage> m_usage;
    DecayingSum m_total;
    double m_activeWeight = 0;
    Instant m_checkedAt{};
};

using FairShares = BasicFairShares<std::string>;

} // namespace pomeloport
