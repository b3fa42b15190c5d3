#include "decisions/placementdetail.h"
#include "pomeloentry/decisions/entryplacement.h"

#include <set>

/// The part of EntryPlacement that shares the engines between organisations.
namespace pomeloentry
{

using pomeloport::Failure;
using pomeloport::ReasonCode;
using pomeloport::RouteDecision;
using pomeloport::Verdict;

namespace
{

/// Retry-After of a prompt that is refused first.
constexpr std::chrono::milliseconds RetryAfterOverShare{300};
/// Organisations listed in the metrics.
constexpr std::size_t MaximumListedOrganisations = 200;

WorkKind kindOf(const CallWork &work)
{
    return {serviceKey(work.service), work.priority, work.eventGap};
}

} // namespace

void EntryPlacement::traceShare(const CallWork &work, Instant now, PlacementTrace &trace) const
{
    if (m_policy.shares.enabled) {
        const auto kind = kindOf(work);
        trace.organisationUse = m_shares.useOf(kind, work.organisation, now);
        trace.standing = m_shares.standingOf(kind, work.organisation, now);
    }
}

WorkOrigin EntryPlacement::originOf(const CallWork &work) const
{
    return m_policy.shares.enabled ? WorkOrigin{work.organisation, work.priority, ServedOften::Alike} : WorkOrigin{};
}

ServedOften EntryPlacement::servedOften(const CallWork &work, Instant now) const
{
    return m_policy.shares.enabled
        ? m_served.compare({kindOf(work), work.organisation, work.promptTokens, work.isReturn}, now)
        : ServedOften::Alike;
}

/// Refuses a prompt that would wait for a slot although it can no longer meet its target, if its organisation uses far
/// more than its share. Until then it may take what others leave. Prompts of a kind ahead of a more urgent one do not
/// begin to wait: behind all others they would be late and still take a slot. Those that wait already may while they
/// are in time.
std::optional<Failure> EntryPlacement::refuseFirst(const CallWork &work, Instant now, PlacementTrace &trace) const
{
    const auto often = servedOften(work, now);
    const bool isLate = now >= work.arrival + work.target;
    const bool isFarOver = trace.standing == Standing::FarOver;
    if (often == ServedOften::AheadOfUrgent && !isFarOver) {
        const auto own = m_ledger.own().find(detail::itemKey(work, detail::WaitingAttempt));
        if (!isLate && own != m_ledger.own().end() && own->second.origin.served != ServedOften::AheadOfUrgent) {
            return std::nullopt;
        }
        trace.reason = "its kind is served more often than a more urgent one";
        return Failure{Verdict::NotRun, ReasonCode::Overloaded, trace.reason, RetryAfterOverShare};
    }
    if (!isFarOver || (often != ServedOften::AheadOfUrgent && (!isLate || often != ServedOften::Alike))) {
        return std::nullopt;
    }
    trace.reason = "its organisation uses far more than its share";
    return Failure{Verdict::NotRun, ReasonCode::Overloaded, trace.reason, RetryAfterOverShare};
}

void EntryPlacement::recordUse(const WorkItem &item, const std::string &service, Instant now)
{
    if (!m_policy.shares.enabled || item.origin.organisation == 0) {
        return;
    }
    double engineMs = 0;
    for (const auto &part : item.parts) {
        engineMs += part.prefillMs;
    }
    m_shares.record(
        {serviceKey(service), item.origin.priority, item.eventGap}, item.origin.organisation, engineMs, now);
}

void EntryPlacement::recordOutcome(const CallWork &work, const RouteDecision &decision, Instant now)
{
    const auto *failure = std::get_if<Failure>(&decision);
    const bool served =
        std::holds_alternative<pomeloport::Route>(decision) || std::holds_alternative<pomeloport::NeedsGroup>(decision);
    if (m_policy.shares.enabled && (served || (failure && failure->reason == ReasonCode::Overloaded))) {
        m_served.settled({kindOf(work), work.organisation, work.promptTokens, work.isReturn}, served, now);
    }
}

/// Corrects the record of a prompt whose caller leaves before its answer is complete: sending it did not serve it.
void EntryPlacement::recordLeft(const CallWork &work, std::uint64_t key, Instant now)
{
    const auto item = m_ledger.own().find(key);
    if (m_policy.shares.enabled && work.promptTokens > 0 && item != m_ledger.own().end()) {
        m_served.leftUnserved(
            {kindOf(work), work.organisation, work.promptTokens, work.isReturn}, item->second.startedAt, now);
    }
}

StandingOfItem EntryPlacement::standingsAt(Instant now) const
{
    if (!m_policy.shares.enabled) {
        return {};
    }
    return [this, now](const WorkItem &item) {
        return m_shares.standingOf(
            {item.queuedFor, item.origin.priority, item.eventGap}, item.origin.organisation, now);
    };
}

std::string EntryPlacement::sharesMetricsText(Instant now) const
{
    const std::lock_guard lock(m_mutex);
    if (!m_policy.shares.enabled || !m_state->routing) {
        return {};
    }
    std::set<std::string> names;
    for (const auto &[key, organisation] : m_state->routing->organisationsByKey) {
        names.insert(organisation.name);
    }
    std::string out = "# HELP pomelo_organisation_engine_share Part of the recent prefill time of all engines that an "
                      "organisation used.\n# TYPE pomelo_organisation_engine_share gauge\n";
    std::size_t listed = 0;
    for (const auto &name : names) {
        const double share = m_shares.engineShare(organisationKey(name), now);
        if (share > 0 && listed++ < MaximumListedOrganisations) {
            out += "pomelo_organisation_engine_share{organisation=\"" + name + "\"} " + std::to_string(share) + "\n";
        }
    }
    return out;
}

} // namespace pomeloentry
