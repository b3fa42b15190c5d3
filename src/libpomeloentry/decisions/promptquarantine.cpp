#include "pomeloentry/decisions/promptquarantine.h"

#include <functional>
#include <iterator>

namespace pomeloentry
{

using pomeloport::Duration;
using pomeloport::Instant;

namespace
{

using namespace std::chrono_literals;

/// Crashes kept for each part; the latest are kept.
constexpr std::size_t MaximumCrashes = 32;
/// Companions kept for each part in quarantine; more than this are not distinguished from it.
constexpr std::size_t MaximumCompanions = 2;
/// Times of answers kept, so that settings cannot make them many.
constexpr std::size_t MaximumLifeSigns = 1024;

} // namespace

PromptQuarantine::PromptQuarantine(const QuarantineLimits &limits)
    : m_limits(limits)
    , m_answers(limits.maximumParts)
    , m_alive(limits.maximumEngines)
{
}

PromptQuarantine::Changes PromptQuarantine::crashed(std::uint32_t engine,
                                                    const std::vector<PromptPart> &parts,
                                                    Instant now)
{
    const auto before = quarantinedParts();
    for (const auto part : parts) {
        if (record(part, engine, now, now)) {
            m_newCrashes.emplace(part, engine);
            detail::limitSize(m_newCrashes, m_limits.maximumParts);
        }
        if (const auto found = m_parts.find(part); found != m_parts.end() && found->second.crashes.contains(engine)) {
            found->second.crashes.at(engine).seenHere = true;
        }
    }
    judge(now);
    return changesSince(before);
}

PromptQuarantine::Changes PromptQuarantine::answered(std::uint32_t engine,
                                                     const std::vector<PromptPart> &parts,
                                                     Instant startedAt,
                                                     Instant now)
{
    const auto before = quarantinedParts();
    recordLifeSign(now);
    m_alive.record(engine, startedAt);
    if (withdraw(engine, startedAt)) {
        tellAlive(engine, startedAt);
    }
    for (const auto id : parts) {
        m_answers.record(id, now);
        const auto found = m_parts.find(id);
        if (found == m_parts.end()) {
            continue;
        }
        if (found->second.quarantine || !evidence(found->second).empty()) {
            clearHere(id, found->second, now);
        } else {
            clear(found->second, now);
        }
    }
    judge(now);
    return changesSince(before);
}

PromptQuarantine::Ruling PromptQuarantine::rule(const std::vector<PromptPart> &parts, Instant now) const
{
    Ruling ruling;
    for (const auto id : parts) {
        const auto *quarantine = quarantineOf(id, parts);
        if (!quarantine) {
            continue;
        }
        const auto wait = std::max(Duration{}, quarantine->trialAt - now);
        if (ruling.treatment == Treatment::Serve || wait > ruling.trialIn) {
            ruling = {wait > Duration{} ? Treatment::Refuse : Treatment::Try, id, wait};
        }
    }
    return ruling;
}

/// The quarantine of a part that applies to a prompt with these parts, or null.
const PromptQuarantine::Quarantine *PromptQuarantine::quarantineOf(PromptPart id,
                                                                   const std::vector<PromptPart> &parts) const
{
    const auto found = m_parts.find(id);
    if (found == m_parts.end() || !found->second.quarantine) {
        return nullptr;
    }
    const auto &quarantine = *found->second.quarantine;
    const bool applies = std::ranges::all_of(quarantine.companions, [&](PromptPart companion) {
        const auto other = m_parts.find(companion);
        const bool undecided = other != m_parts.end() && other->second.quarantine;
        return !undecided || std::ranges::find(parts, companion) != parts.end();
    });
    return applies ? &quarantine : nullptr;
}

void PromptQuarantine::begunTrial(PromptPart part, Instant now)
{
    const auto found = m_parts.find(part);
    if (found == m_parts.end() || !found->second.quarantine) {
        return;
    }
    auto &quarantine = *found->second.quarantine;
    ++quarantine.trials;
    quarantine.trialAt = now + trialInterval(quarantine.trials);
    m_newQuarantines.insert(part);
    detail::limitSize(m_newQuarantines, m_limits.maximumParts);
}

bool PromptQuarantine::mayRepeat(const std::vector<PromptPart> &parts, Instant) const
{
    return std::ranges::none_of(parts, [this, &parts](PromptPart id) {
        const auto found = m_parts.find(id);
        if (found == m_parts.end()) {
            return false;
        }
        const auto &part = found->second;
        return quarantineOf(id, parts)
            || independent(evidence(part, explained(id, part))) >= m_limits.crashesBeforeRepeat;
    });
}

std::size_t PromptQuarantine::crashes(PromptPart part) const
{
    const auto found = m_parts.find(part);
    return found == m_parts.end() ? 0 : evidence(found->second).size();
}

std::size_t PromptQuarantine::quarantined() const
{
    return quarantinedParts().size();
}

void PromptQuarantine::expire(Instant now)
{
    const auto old = [&](Instant at, Duration lifetime) {
        return now - at >= lifetime;
    };
    for (auto &[id, part] : m_parts) {
        if (part.quarantine && old(part.quarantine->trialAt, m_limits.longestTrialAfter)) {
            part.quarantine.reset();
        }
        if (!part.quarantine) {
            std::erase_if(part.crashes,
                          [&](const auto &crash) { return old(crash.second.at, m_limits.evidenceLifetime); });
        }
    }
    // An answer is remembered longer, since an instance that was cut off may still report a quarantine that it ended.
    std::erase_if(m_parts, [&](const auto &entry) {
        const auto &part = entry.second;
        return !part.quarantine && part.crashes.empty()
            && (!part.clearedAt || old(*part.clearedAt, m_limits.longestTrialAfter));
    });
    std::erase_if(m_withdrawn, [&](const auto &entry) { return old(entry.second, m_limits.evidenceLifetime); });
}

std::size_t PromptQuarantine::size() const
{
    auto count = m_parts.size() + m_answers.size() + m_alive.size() + m_withdrawn.size() + m_lifeSigns.size()
        + m_newCrashes.size() + m_newCleared.size() + m_newAlive.size() + m_newQuarantines.size();
    for (const auto &entry : m_parts) {
        count += entry.second.crashes.size();
    }
    return count;
}

PromptQuarantine::Part &PromptQuarantine::touch(PromptPart id, Instant now)
{
    if (!m_parts.contains(id)) {
        if (m_parts.size() >= m_limits.maximumParts) {
            dropOldestPart();
        }
        m_parts[id].clearedAt = m_answers.latest(id);
    }
    auto &part = m_parts[id];
    part.touchedAt = std::max(part.touchedAt, now);
    return part;
}

void PromptQuarantine::dropOldestPart()
{
    const auto oldest = std::ranges::min_element(m_parts, {}, [](const auto &entry) {
        return std::pair(entry.second.quarantine.has_value(), entry.second.touchedAt);
    });
    if (oldest != m_parts.end()) {
        m_parts.erase(oldest);
    }
}

std::set<PromptPart> PromptQuarantine::quarantinedParts() const
{
    std::set<PromptPart> parts;
    for (const auto &[id, part] : m_parts) {
        if (part.quarantine) {
            parts.insert(id);
        }
    }
    return parts;
}

PromptQuarantine::Changes PromptQuarantine::changesSince(const std::set<PromptPart> &before) const
{
    Changes changes;
    const auto after = quarantinedParts();
    std::ranges::set_difference(after, before, std::back_inserter(changes.quarantined));
    std::ranges::set_difference(before, after, std::back_inserter(changes.released));
    return changes;
}

bool PromptQuarantine::outdated(const Part &part, Instant at) const
{
    return part.clearedAt && at <= *part.clearedAt + m_limits.simultaneous;
}

/// Returns whether this was new. Of several reports of the same crash the earliest time holds, since reports can only
/// be late.
bool PromptQuarantine::record(PromptPart id, std::uint32_t engine, Instant at, Instant now)
{
    if (const auto startedAt = m_alive.latest(engine); startedAt && *startedAt > at) {
        return false;
    }
    auto &crashes = touch(id, now).crashes;
    const auto [crash, added] = crashes.try_emplace(engine, Seen{at});
    crash->second.at = std::min(crash->second.at, at);
    m_unjudged = m_unjudged || added;
    m_latestCrash = std::max(m_latestCrash, at);
    if (crashes.size() > MaximumCrashes) {
        crashes.erase(std::ranges::min_element(
            crashes, {}, [](const auto &entry) { return std::pair(entry.second.at, entry.first); }));
    }
    return added;
}

void PromptQuarantine::clear(Part &part, Instant at)
{
    part.clearedAt = part.clearedAt ? std::max(*part.clearedAt, at) : at;
    if (!part.quarantine || !outdated(part, part.quarantine->since)) {
        return;
    }
    const auto remaining = evidence(part);
    if (independent(remaining) >= m_limits.crashes) {
        part.quarantine->since = remaining.front().at;
    } else {
        part.quarantine.reset();
        // What it explained may now be due to others.
        m_unjudged = true;
    }
}

void PromptQuarantine::clearHere(PromptPart id, Part &part, Instant at)
{
    part.clearedHere = part.clearedHere ? std::max(*part.clearedHere, at) : at;
    m_newCleared.insert(id);
    detail::limitSize(m_newCleared, m_limits.maximumParts);
    clear(part, at);
}

/// Drops crashes of an engine before an attempt that it answered. Returns whether there were any.
bool PromptQuarantine::withdraw(std::uint32_t engine, Instant startedAt)
{
    bool any = false;
    for (auto &[id, part] : m_parts) {
        const auto crash = part.crashes.find(engine);
        if (crash == part.crashes.end() || crash->second.at >= startedAt) {
            continue;
        }
        any = true;
        const bool enough = independent(evidence(part)) >= m_limits.crashes;
        part.crashes.erase(crash);
        // A quarantine is ended only by an instance that knew all its evidence.
        if (part.quarantine && part.quarantine->trials == 0 && enough
            && independent(evidence(part)) < m_limits.crashes) {
            clearHere(id, part, part.quarantine->since);
        }
    }
    return any;
}

void PromptQuarantine::tellAlive(std::uint32_t engine, Instant startedAt)
{
    m_withdrawn[engine] = startedAt;
    m_newAlive.insert(engine);
    detail::limitSize(m_withdrawn, m_limits.maximumParts);
    detail::limitSize(m_newAlive, m_limits.maximumParts);
}

void PromptQuarantine::recordLifeSign(Instant now)
{
    const auto count = m_lifeSigns.size();
    if (count >= 2 && now - m_lifeSigns[count - 2] < m_limits.simultaneous) {
        m_lifeSigns.back() = now;
        return;
    }
    m_lifeSigns.push_back(now);
    while (now - m_lifeSigns.front() > m_limits.evidenceLifetime || m_lifeSigns.size() > MaximumLifeSigns) {
        m_lifeSigns.pop_front();
    }
}

bool PromptQuarantine::anyAnswerWithin(const Evidence &evidence) const
{
    const auto after = std::ranges::upper_bound(m_lifeSigns, evidence.front().at);
    return after != m_lifeSigns.end() && *after < evidence.back().at;
}

/// The crashes that count against a part, by time.
PromptQuarantine::Evidence PromptQuarantine::evidence(const Part &part, const Engines &except) const
{
    Evidence result;
    for (const auto &[engine, crash] : part.crashes) {
        if (!outdated(part, crash.at) && !except.contains(engine)) {
            result.push_back({crash.at, engine});
        }
    }
    std::ranges::sort(result);
    return result;
}

/// The same without those that are too recent to be judged.
PromptQuarantine::Evidence PromptQuarantine::judged(const Part &part, const Engines &except) const
{
    auto result = evidence(part, except);
    std::erase_if(result, [this](const Crash &crash) { return m_unsettled.contains(crash.engine); });
    return result;
}

std::size_t PromptQuarantine::independent(const Evidence &evidence) const
{
    std::size_t count = 0;
    Instant last{};
    for (const auto &crash : evidence) {
        if (count == 0 || crash.at - last > m_limits.simultaneous) {
            ++count;
            last = crash.at;
        }
    }
    return count;
}

/// Engines whose crash a quarantined part explains, so that another part is not charged with it. A part with more
/// crashes than a quarantined one is not explained by it, unless a trial has confirmed that one or this instance knows
/// too little of its evidence to compare.
PromptQuarantine::Engines PromptQuarantine::explained(PromptPart id, const Part &part) const
{
    Engines engines;
    const auto crashes = independent(judged(part));
    for (const auto &[otherId, other] : m_parts) {
        if (otherId == id || !other.quarantine) {
            continue;
        }
        const auto others = evidence(other);
        const auto count = independent(judged(other));
        if (other.quarantine->trials > 0 || count < m_limits.crashes || count >= crashes) {
            for (const auto &crash : others) {
                engines.insert(crash.engine);
            }
        }
    }
    return engines;
}

/// Parts with enough crashes for a quarantine, the strongest suspicion first.
std::vector<PromptQuarantine::Suspect> PromptQuarantine::suspects() const
{
    std::vector<Suspect> result;
    for (const auto &[id, part] : m_parts) {
        if (part.quarantine || part.crashes.size() < m_limits.crashes || independent(judged(part)) < m_limits.crashes) {
            continue;
        }
        auto unexplained = judged(part, explained(id, part));
        const auto crashes = independent(unexplained);
        if (crashes >= m_limits.crashes && anyAnswerWithin(unexplained)) {
            result.push_back({id, crashes, !part.clearedAt, std::move(unexplained)});
        }
    }
    std::ranges::stable_sort(result, std::greater{}, [](const Suspect &suspect) {
        return std::pair(suspect.crashes, suspect.neverAnswered);
    });
    return result;
}

/// The part to quarantine next, or several that nothing distinguishes. Those wait for one more crash, which is likely
/// to distinguish them.
std::vector<PromptQuarantine::Suspect> PromptQuarantine::strongest() const
{
    auto left = suspects();
    while (!left.empty()) {
        const auto &first = left.front();
        const auto rivals = [&](const Suspect &other) {
            return other.crashes == first.crashes && other.neverAnswered == first.neverAnswered
                && std::ranges::any_of(other.evidence, [&](const Crash &crash) {
                       return std::ranges::find(first.evidence, crash.engine, &Crash::engine) != first.evidence.end();
                   });
        };
        std::vector<Suspect> tied;
        std::ranges::copy_if(left, std::back_inserter(tied), rivals);
        if (tied.size() == 1 || first.crashes > m_limits.crashes) {
            return tied;
        }
        std::erase_if(left, [&](const Suspect &other) {
            return std::ranges::find(tied, other.part, &Suspect::part) != tied.end();
        });
    }
    return {};
}

/// Quarantines a part, given the parts that nothing distinguishes from it, itself included.
void PromptQuarantine::convict(const Suspect &suspect, const std::vector<Suspect> &tied)
{
    auto &part = m_parts.at(suspect.part);
    part.quarantine = {suspect.evidence.front().at, suspect.evidence.back().at + m_limits.firstTrialAfter, 0, {}};
    for (const auto &other : tied) {
        if (other.part != suspect.part && part.quarantine->companions.size() < MaximumCompanions) {
            part.quarantine->companions.insert(other.part);
        }
    }
    m_newQuarantines.insert(suspect.part);
    detail::limitSize(m_newQuarantines, m_limits.maximumParts);
}

/// Whether another quarantined part has more crashes and they include those of this one. A single other crash does not
/// matter, since engines are lost for other reasons too.
bool PromptQuarantine::explainedByStronger(PromptPart id, const Part &part) const
{
    const auto crashes = independent(judged(part));
    for (const auto &[otherId, other] : m_parts) {
        if (otherId == id || !other.quarantine || independent(judged(other)) <= crashes) {
            continue;
        }
        Engines engines;
        for (const auto &crash : other.crashes) {
            engines.insert(crash.first);
        }
        if (independent(judged(part, engines)) <= 1) {
            return true;
        }
    }
    return false;
}

/// Releases parts whose crashes another quarantined part explains better. Returns whether there were any. Parts of
/// whose evidence this instance knows too little are left to others.
bool PromptQuarantine::releaseExplained()
{
    bool any = false;
    for (auto &[id, part] : m_parts) {
        if (!part.quarantine || part.quarantine->trials > 0 || independent(judged(part)) < m_limits.crashes
            || !explainedByStronger(id, part)) {
            continue;
        }
        clearHere(id, part, evidence(part).back().at);
        any = true;
    }
    return any;
}

/// Quarantines and releases parts by the evidence that is complete.
void PromptQuarantine::judge(Instant now)
{
    if (!m_unjudged) {
        return;
    }
    m_judgedUntil = now - m_limits.settle;
    m_unjudged = m_latestCrash > m_judgedUntil;
    // The reports of one crash differ by some milliseconds. They count together or not yet, for all parts.
    m_unsettled.clear();
    for (const auto &[id, part] : m_parts) {
        for (const auto &[engine, seen] : part.crashes) {
            if (seen.at > m_judgedUntil) {
                m_unsettled.insert(engine);
            }
        }
    }
    do {
        for (auto tied = strongest(); !tied.empty(); tied = strongest()) {
            for (const auto &suspect : tied) {
                convict(suspect, tied);
            }
        }
    } while (releaseExplained());
}

Duration PromptQuarantine::trialInterval(std::uint32_t trials) const
{
    auto interval = m_limits.firstTrialAfter;
    for (std::uint32_t doubled = 0; doubled < trials && interval < m_limits.longestTrialAfter; ++doubled) {
        interval *= 2;
    }
    return std::min(interval, m_limits.longestTrialAfter);
}

} // namespace pomeloentry
