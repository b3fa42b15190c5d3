#include "pomeloentry/decisions/organisationshares.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace pomeloentry
{

namespace
{

constexpr double EqualWeight = 1;
/// Usual use is averaged over this multiple of the time constant of recent use, so that a burst of some seconds raises
/// it by little.
constexpr int UsualTimeMultiple = 12;
/// An organisation that has sent nothing for this multiple of the time constant of usual use has no usual use.
constexpr int UsualIdleMultiple = 3;
/// Largest share of an organisation, as a multiple of an equal one. Without a limit, one that floods for minutes would
/// be entitled to it.
constexpr double LargestShare = 4;
/// Multiple of its share above which an organisation is over it. That of one that sends two prompts a second varies by
/// a third by chance.
constexpr double OverMargin = 1.5;
/// Fewer recent prompts say nothing about an organisation.
constexpr double FewPrompts = 3;
constexpr Duration ActivityCheckInterval = std::chrono::milliseconds(250);
constexpr Duration StandingValidity = std::chrono::milliseconds(50);
constexpr double MaximumPriceFactor = 4;
/// Least share of long prompts that are served whatever they cost. The largest prompts of a kind are served by this
/// guarantee only, and must be served half as often as their kind.
constexpr double LeastGuaranteedShare = 0.5;

/// Probability of leaving above which long prompts are not sent at others' cost. Without a limit, 32 of 119 answers
/// came after the deadline in a replay of four times the usual prefill.
constexpr double LikelyAbandoned = 0.5;

constexpr Duration RateTimeConstant = std::chrono::seconds(30);
/// A group with fewer settled prompts is not judged.
constexpr double MinimumSamples = 4;
constexpr double MinimumKindSamples = 20;
/// Limits below which prompts go first. The requirements are 0.05, a quarter and a half; the rest is margin for the
/// time until a change takes effect.
constexpr double UrgentMargin = 0.02;
constexpr double LeastOfAll = 0.3;
constexpr double LeastOfKind = 0.5;
constexpr double LargestTenth = 0.1;
/// Relative step of the estimate of the size that one prompt in ten exceeds.
constexpr double SizeStep = 0.05;

pomeloport::FairShareTimes recentTimes(const SharesPolicy &policy)
{
    return {policy.timeConstant, policy.timeConstant, ActivityCheckInterval};
}

pomeloport::FairShareTimes usualTimes(const SharesPolicy &policy)
{
    const Duration constant = policy.timeConstant * UsualTimeMultiple;
    return {constant, constant * UsualIdleMultiple, policy.timeConstant};
}

} // namespace

std::uint16_t organisationKey(const std::string &organisation)
{
    if (organisation.empty()) {
        return 0;
    }
    constexpr std::uint32_t Mask = 0xFFFF;
    const auto key = static_cast<std::uint16_t>(XXH32(organisation.data(), organisation.size(), 0) & Mask);
    return key == 0 ? 1 : key;
}

OrganisationShares::OrganisationShares(const SharesPolicy &policy)
    : m_policy(policy)
    , m_all(recentTimes(policy))
{
}

void OrganisationShares::record(const WorkKind &kind, std::uint16_t organisation, double engineMs, Instant now)
{
    if (organisation == 0) {
        return;
    }
    auto &use = m_kinds
                    .try_emplace(kind,
                                 KindUse{pomeloport::BasicFairShares<std::uint16_t>(recentTimes(m_policy)),
                                         pomeloport::BasicFairShares<std::uint16_t>(usualTimes(m_policy)),
                                         {}})
                    .first->second;
    use.recent.recordUsage(organisation, EqualWeight, engineMs, now);
    use.usual.recordUsage(organisation, EqualWeight, engineMs, now);
    m_all.recordUsage(organisation, EqualWeight, engineMs, now);
}

double OrganisationShares::useIn(const KindUse &use, std::uint16_t organisation, Instant now)
{
    const double equal = use.recent.fairFraction(EqualWeight);
    const double share = std::max(equal, std::min(use.usual.usedFraction(organisation, now), equal * LargestShare));
    return share <= 0 ? 0 : use.recent.usedFraction(organisation, now) / share;
}

double OrganisationShares::useOf(const WorkKind &kind, std::uint16_t organisation, Instant now) const
{
    const auto found = m_kinds.find(kind);
    return found == m_kinds.end() ? 0 : useIn(found->second, organisation, now);
}

Standing OrganisationShares::findStanding(const KindUse &use, std::uint16_t organisation, Instant now) const
{
    const double multiple = useIn(use, organisation, now);
    if (multiple <= OverMargin || use.recent.recentCount(organisation, now) < FewPrompts) {
        return Standing::Within;
    }
    return multiple <= m_policy.overFactor ? Standing::Over : Standing::FarOver;
}

Standing OrganisationShares::standingOf(const WorkKind &kind, std::uint16_t organisation, Instant now) const
{
    const auto found = m_kinds.find(kind);
    if (organisation == 0 || found == m_kinds.end()) {
        return Standing::Within;
    }
    auto [known, added] = found->second.standings.try_emplace(organisation);
    if (added || now >= known->second.foundAt + StandingValidity) {
        known->second = {findStanding(found->second, organisation, now), now};
    }
    return known->second.standing;
}

double OrganisationShares::engineShare(std::uint16_t organisation, Instant now) const
{
    return m_all.usedFraction(organisation, now);
}

ServedRates::Rate::Rate()
    : served(RateTimeConstant)
    , settled(RateTimeConstant)
{
}

void ServedRates::Rate::record(bool wasServed, bool isReturn, Instant now)
{
    served.add(wasServed ? 1 : 0, now);
    settled.add(isReturn ? 0 : 1, now);
}

/// Takes back what is left of a prompt that was recorded as served.
void ServedRates::Rate::withdraw(Instant sentAt, Instant now)
{
    served.add(-std::exp(-pomeloport::seconds(now - sentAt) / pomeloport::seconds(RateTimeConstant)), now);
}

double ServedRates::Rate::at(Instant now) const
{
    const double count = settled.at(now);
    return count <= 0 ? 1 : std::clamp(served.at(now) / count, 0.0, 1.0);
}

double ServedRates::Rate::error(Instant now) const
{
    const double count = settled.at(now) + 2;
    const double rate = std::clamp((served.at(now) + 1) / count, 0.0, 1.0);
    return std::sqrt(rate * (1 - rate) / count);
}

void ServedRates::settled(const Prompt &prompt, bool served, Instant now)
{
    const auto record = [&](Rate &rate) {
        rate.record(served, prompt.isReturn, now);
    };
    auto &rates = m_kinds[prompt.kind];
    record(m_all);
    record(m_organisations[prompt.organisation]);
    record(rates.all);
    const auto size = static_cast<double>(prompt.tokens);
    if (rates.largeTokens > 0 && size >= rates.largeTokens) {
        record(rates.largest);
        rates.largeTokens *= 1 + SizeStep * (1 - LargestTenth);
    } else {
        rates.largeTokens = rates.largeTokens > 0 ? rates.largeTokens * (1 - SizeStep * LargestTenth) : size;
    }
}

void ServedRates::leftUnserved(const Prompt &prompt, Instant sentAt, Instant now)
{
    auto &rates = m_kinds[prompt.kind];
    m_all.withdraw(sentAt, now);
    m_organisations[prompt.organisation].withdraw(sentAt, now);
    rates.all.withdraw(sentAt, now);
    if (rates.largeTokens > 0 && static_cast<double>(prompt.tokens) >= rates.largeTokens) {
        rates.largest.withdraw(sentAt, now);
    }
}

/// Whether a more urgent kind of the same service is served less often than another by more than a margin.
bool ServedRates::isServedLess(const WorkKind &urgent, const WorkKind &other, Instant now) const
{
    if (urgent.service != other.service || urgent.priority >= other.priority) {
        return false;
    }
    const auto &urgentRate = m_kinds.at(urgent).all;
    const auto &otherRate = m_kinds.at(other).all;
    return urgentRate.settled.at(now) >= MinimumKindSamples && otherRate.settled.at(now) >= MinimumSamples
        && urgentRate.at(now) < otherRate.at(now) - UrgentMargin;
}

ServedOften ServedRates::compare(const Prompt &prompt, Instant now) const
{
    const auto found = m_kinds.find(prompt.kind);
    if (found == m_kinds.end()) {
        return ServedOften::Alike;
    }
    const auto seldom = [now](const Rate &rate, double limit) {
        return rate.settled.at(now) >= MinimumSamples && rate.at(now) + rate.error(now) < limit;
    };
    const auto &rates = found->second;
    const double leastOfAll = m_all.at(now) * LeastOfAll;
    const auto own = m_organisations.find(prompt.organisation);
    const bool isLarge = static_cast<double>(prompt.tokens) >= rates.largeTokens;
    const bool kindIsSeldom = rates.all.settled.at(now) >= MinimumSamples && rates.all.at(now) < leastOfAll;
    if (kindIsSeldom || (own != m_organisations.end() && seldom(own->second, leastOfAll))
        || (isLarge && seldom(rates.largest, rates.all.at(now) * LeastOfKind))) {
        return ServedOften::TooSeldom;
    }
    if (std::ranges::any_of(m_kinds, [&](const auto &other) { return isServedLess(prompt.kind, other.first, now); })) {
        return ServedOften::BehindLessUrgent;
    }
    const bool isAhead =
        std::ranges::any_of(m_kinds, [&](const auto &other) { return isServedLess(other.first, prompt.kind, now); });
    return isAhead ? ServedOften::AheadOfUrgent : ServedOften::Alike;
}

double abandonLimitFor(ServedOften served)
{
    return served == ServedOften::TooSeldom ? 1 : LikelyAbandoned;
}

double priceFactor(double use, Standing standing)
{
    return standing == Standing::Within ? 1 : std::clamp(use, 1.0, MaximumPriceFactor);
}

double guaranteedShareFor(double guaranteedShare, double use, Standing standing, ServedOften served)
{
    if (served == ServedOften::TooSeldom) {
        return 1;
    }
    if (served == ServedOften::AheadOfUrgent) {
        return 0;
    }
    return standing == Standing::Within
        ? guaranteedShare
        : std::min(guaranteedShare, std::max(guaranteedShare / std::max(use, 1.0), LeastGuaranteedShare));
}

} // namespace pomeloentry
