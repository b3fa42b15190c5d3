#pragma once

#include "pomeloentry/knowledge/workledger.h"

#include "pomeloport/clock.h"
#include "pomeloport/coordination/decayingsum.h"
#include "pomeloport/coordination/fairshares.h"
#include "pomeloport/nametable.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

/// Decides how organisations share the engines while capacity is short: which organisations use more than their share,
/// and which calls have been served so seldom that they go first. Pure.
namespace pomeloentry
{

using pomeloport::Duration;
using pomeloport::Instant;

struct SharesPolicy
{
    bool enabled = false;
    /// Time constant of recent use; an organisation that has sent nothing for this long is not active.
    Duration timeConstant = std::chrono::seconds(5);
    /// Multiple of its share above which an organisation is refused first.
    double overFactor = 2;
};

/// Identifies an organisation in messages between instances; never zero for one with a name. Two organisations may have
/// the same key, which then share one share: 24 organisations have a common key in 1 of 240 deployments.
std::uint16_t organisationKey(const std::string &organisation);

/// Prompts for one service with the same priority and limit on the gap between events. Use is compared within a kind:
/// one long prompt takes as much engine time as hundreds of short ones and would hide a flood of those.
struct WorkKind
{
    /// See serviceKey().
    std::uint32_t service = 0;
    /// Lower is more urgent.
    std::uint8_t priority = 0;
    Duration eventGap{};

    auto operator<=>(const WorkKind &) const = default;
};

/// How an organisation's use of a kind compares with its share.
enum class Standing : std::uint8_t {
    Within,
    /// Above its share.
    Over,
    /// Above its share by more than SharesPolicy::overFactor.
    FarOver,
};

constexpr pomeloport::NameTable<Standing, 3> nameTable(Standing /*unused*/)
{
    return {{{Standing::Within, "within"}, {Standing::Over, "over"}, {Standing::FarOver, "far_over"}}};
}

/// Recent use of engine time by organisation, over all instances. The share of an organisation is an equal part among
/// the active ones, or what it usually uses if that is more, up to a multiple of an equal part: a large customer at its
/// usual load does not make capacity short. Not thread safe.
class OrganisationShares
{
public:
    explicit OrganisationShares(const SharesPolicy &policy = {});

    /// Records a prompt that some instance sent to an engine.
    void record(const WorkKind &kind, std::uint16_t organisation, double engineMs, Instant now);

    /// Use as a multiple of the share; 0 for an organisation without recent use.
    double useOf(const WorkKind &kind, std::uint16_t organisation, Instant now) const;

    /// The same as a standing. Organisations with only a few recent prompts are within their share, since the size of a
    /// single prompt says little. Takes constant time: the result is kept for some milliseconds.
    Standing standingOf(const WorkKind &kind, std::uint16_t organisation, Instant now) const;

    /// An organisation's part of the recent engine time of all kinds, 0 to 1.
    double engineShare(std::uint16_t organisation, Instant now) const;

private:
    struct KnownStanding
    {
        Standing standing = Standing::Within;
        Instant foundAt{};
    };
    struct KindUse
    {
        pomeloport::BasicFairShares<std::uint16_t> recent;
        pomeloport::BasicFairShares<std::uint16_t> usual;
        mutable std::unordered_map<std::uint16_t, KnownStanding> standings;
    };

    Standing findStanding(const KindUse &use, std::uint16_t organisation, Instant now) const;
    static double useIn(const KindUse &use, std::uint16_t organisation, Instant now);

    SharesPolicy m_policy;
    std::map<WorkKind, KindUse> m_kinds;
    pomeloport::BasicFairShares<std::uint16_t> m_all;
};

/// Counts how often prompts are served, to keep any group of them from starving. Counts the calls of this instance
/// only: callers choose instances at random, so each sees a sample of all. Not thread safe.
class ServedRates
{
public:
    struct Prompt
    {
        WorkKind kind;
        std::uint16_t organisation = 0;
        std::uint64_t tokens = 0;
        /// Whether it was refused before. It then counts only if it is served: callers that retry often would make
        /// their kind appear to be served seldom.
        bool isReturn = false;
    };

    /// Records that a prompt was sent to an engine, or refused because capacity is short.
    void settled(const Prompt &prompt, bool served, Instant now);

    /// Corrects the record of a prompt that was sent to an engine at sentAt: its caller left before the answer was
    /// complete.
    void leftUnserved(const Prompt &prompt, Instant sentAt, Instant now);

    /// How often prompts like this one are served.
    ServedOften compare(const Prompt &prompt, Instant now) const;

private:
    struct Rate
    {
        pomeloport::DecayingSum served;
        pomeloport::DecayingSum settled;

        Rate();
        void record(bool wasServed, bool isReturn, Instant now);
        void withdraw(Instant sentAt, Instant now);
        double at(Instant now) const;
        /// Standard error of the rate; that of a small sample would have prompts refused by chance.
        double error(Instant now) const;
    };
    struct KindRates
    {
        Rate all;
        Rate largest;
        /// Estimated size above which one prompt in ten lies, in tokens.
        double largeTokens = 0;
    };

    bool isServedLess(const WorkKind &urgent, const WorkKind &other, Instant now) const;

    std::map<WorkKind, KindRates> m_kinds;
    std::map<std::uint16_t, Rate> m_organisations;
    Rate m_all;
};

/// Factor by which the price of prefill is multiplied for an organisation with this use and standing.
double priceFactor(double use, Standing standing);

/// Share of long prompts that are served whatever they cost others, for an organisation with this use and standing and
/// prompts served so often.
double guaranteedShareFor(double guaranteedShare, double use, Standing standing, ServedOften served);

/// Probability that the caller leaves unserved from which on a long prompt is not sent at others' cost, for prompts
/// served so often.
double abandonLimitFor(ServedOften served);

} // namespace pomeloentry
