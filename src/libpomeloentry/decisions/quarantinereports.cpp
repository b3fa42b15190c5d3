#include "pomeloentry/decisions/promptquarantine.h"

#include <limits>

/// The part of PromptQuarantine that tells other instances of evidence and applies their reports.
namespace pomeloentry
{

using pomeloport::Duration;
using pomeloport::Instant;

namespace
{

/// Share of its lifetime for which a quarantine whose trial is due is told to others. It ends early, since an entry
/// that the last instance to hold it could still tell to one that has already dropped it would never vanish.
constexpr int ToldShare = 2;

std::uint32_t milliseconds(Duration duration)
{
    const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(count, 0, std::numeric_limits<std::uint32_t>::max()));
}

/// Takes entries off a set while there is room in a report; add returns whether it has added one.
template<class Set, class Add>
void drain(Set &pending, std::size_t &room, Add add)
{
    while (room > 0 && !pending.empty()) {
        room -= add(*pending.begin()) ? 1 : 0;
        pending.erase(pending.begin());
    }
}

} // namespace

QuarantineReport PromptQuarantine::takeChanges(Instant now)
{
    QuarantineReport report;
    auto room = m_limits.maximumReported;
    drain(m_newQuarantines, room, [&](PromptPart id) {
        const auto found = m_parts.find(id);
        if (found == m_parts.end() || !found->second.quarantine) {
            return false;
        }
        report.quarantined.push_back(messageOf(id, *found->second.quarantine, now));
        // Each companion counts as a further entry.
        room -= std::min(room - 1, found->second.quarantine->companions.size());
        return true;
    });
    drain(m_newCleared, room, [&](PromptPart id) {
        const auto found = m_parts.find(id);
        if (found == m_parts.end() || !found->second.clearedHere) {
            return false;
        }
        report.cleared.push_back({id, milliseconds(now - *found->second.clearedHere)});
        return true;
    });
    drain(m_newAlive, room, [&](std::uint32_t engine) {
        const auto startedAt = m_alive.latest(engine);
        if (startedAt) {
            report.alive.push_back({engine, milliseconds(now - *startedAt)});
        }
        return startedAt.has_value();
    });
    drain(m_newCrashes, room, [&](const std::pair<PromptPart, std::uint32_t> &crash) {
        const auto part = m_parts.find(crash.first);
        if (part == m_parts.end()) {
            return false;
        }
        const auto found = part->second.crashes.find(crash.second);
        if (found == part->second.crashes.end() || outdated(part->second, found->second.at)) {
            return false;
        }
        report.crashes.push_back({crash.first, crash.second, milliseconds(now - found->second.at)});
        return true;
    });
    return report;
}

QuarantineReport PromptQuarantine::fullReport(Instant now) const
{
    QuarantineReport report;
    auto room = m_limits.maximumReported;
    const auto take = [&room] {
        return room > 0 && room-- > 0;
    };
    for (const auto &[id, part] : m_parts) {
        if (part.quarantine && now - part.quarantine->trialAt < m_limits.longestTrialAfter / ToldShare && take()) {
            report.quarantined.push_back(messageOf(id, *part.quarantine, now));
            room -= std::min(room, part.quarantine->companions.size());
        }
    }
    report.crashes = ownCrashes(now);
    report.crashes.resize(std::min(report.crashes.size(), room));
    room -= report.crashes.size();
    for (const auto &[engine, startedAt] : m_withdrawn) {
        if (now - startedAt < m_limits.evidenceLifetime && take()) {
            report.alive.push_back({engine, milliseconds(now - startedAt)});
        }
    }
    for (const auto &[id, part] : m_parts) {
        if (part.clearedHere && now - *part.clearedHere < m_limits.evidenceLifetime && take()) {
            report.cleared.push_back({id, milliseconds(now - *part.clearedHere)});
        }
    }
    return report;
}

/// Crashes that count and that this instance saw itself, the latest first.
std::vector<CrashMessage> PromptQuarantine::ownCrashes(Instant now) const
{
    std::vector<CrashMessage> crashes;
    for (const auto &[id, part] : m_parts) {
        for (const auto &[engine, crash] : part.crashes) {
            if (crash.seenHere && !outdated(part, crash.at) && now - crash.at < m_limits.evidenceLifetime) {
                crashes.push_back({id, engine, milliseconds(now - crash.at)});
            }
        }
    }
    std::ranges::stable_sort(crashes, {}, &CrashMessage::ageMs);
    return crashes;
}

PromptQuarantine::Changes PromptQuarantine::merge(const QuarantineReport &report, Instant now)
{
    const auto before = quarantinedParts();
    for (const auto &message : report.alive) {
        mergeAlive(message, now);
    }
    for (const auto &message : report.cleared) {
        mergeCleared(message, now);
    }
    for (const auto &message : report.quarantined) {
        mergeQuarantine(message, now);
    }
    for (const auto &message : report.crashes) {
        mergeCrash(message, now);
    }
    judge(now);
    return changesSince(before);
}

void PromptQuarantine::mergeCrash(const CrashMessage &message, Instant now)
{
    const auto age = std::chrono::milliseconds(message.ageMs);
    if (age >= m_limits.evidenceLifetime) {
        return;
    }
    const auto at = now - age;
    if (const auto startedAt = m_alive.latest(message.engine); startedAt && *startedAt > at) {
        tellAlive(message.engine, *startedAt);
        return;
    }
    record(message.part, message.engine, at, now);
    auto &part = m_parts.at(message.part);
    const auto answered = m_answers.latest(message.part);
    if (outdated(part, at) && answered && (!part.clearedHere || *part.clearedHere < *answered)) {
        clearHere(message.part, part, *answered);
    }
}

void PromptQuarantine::mergeCleared(const ClearedMessage &message, Instant now)
{
    const auto age = std::chrono::milliseconds(message.ageMs);
    if (age < m_limits.evidenceLifetime || m_parts.contains(message.part)) {
        clear(touch(message.part, now), now - age);
    }
}

void PromptQuarantine::mergeAlive(const AliveMessage &message, Instant now)
{
    const auto startedAt = now - std::chrono::milliseconds(message.ageMs);
    m_alive.record(message.engine, startedAt);
    withdraw(message.engine, startedAt);
}

void PromptQuarantine::mergeQuarantine(const QuarantineMessage &message, Instant now)
{
    const auto since = now - std::chrono::milliseconds(message.ageMs);
    const auto trialAt = now + std::chrono::milliseconds(message.trialInMs);
    auto &part = touch(message.part, now);
    if (outdated(part, since)) {
        if (part.clearedHere) {
            m_newCleared.insert(message.part);
            detail::limitSize(m_newCleared, m_limits.maximumParts);
        }
        return;
    }
    if (!part.quarantine) {
        part.quarantine = {since, trialAt, message.trials, {message.companions.begin(), message.companions.end()}};
        return;
    }
    auto &own = *part.quarantine;
    own.since = std::min(own.since, since);
    // The same trial may be reported late, but not early.
    own.trialAt = message.trials > own.trials ? trialAt
        : message.trials < own.trials         ? own.trialAt
                                              : std::min(own.trialAt, trialAt);
    own.trials = std::max(own.trials, message.trials);
    // An instance that can distinguish the parts knows more.
    std::erase_if(own.companions, [&](PromptPart companion) {
        return std::ranges::find(message.companions, companion) == message.companions.end();
    });
}

QuarantineMessage PromptQuarantine::messageOf(PromptPart id, const Quarantine &quarantine, Instant now) const
{
    return {id,
            milliseconds(now - quarantine.since),
            milliseconds(quarantine.trialAt - now),
            quarantine.trials,
            {quarantine.companions.begin(), quarantine.companions.end()}};
}

} // namespace pomeloentry
