#pragma once

#include "pomeloport/clock.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

/// Finds the shared parts of prompts that crash the engines which process them, and decides which prompts are refused
/// for it. Pure.
namespace pomeloentry
{

using pomeloport::Duration;
using pomeloport::Instant;

/// Identifies a part of a prompt that several prompts may share.
using PromptPart = std::uint64_t;

struct QuarantineLimits
{
    /// A part is quarantined after this many crashes of different engine incarnations since its last answer.
    std::size_t crashes = 3;
    /// A prompt is not sent again after an attempt that crashed an engine, once one of its parts has this many crashes.
    std::size_t crashesBeforeRepeat = 2;
    /// Crashes within this time of each other count as one, since a loss of power or a network cut ends many engines at
    /// the same time. Also the error assumed in times that other instances report: a crash so soon after an answer is
    /// taken to have come before it.
    Duration simultaneous = std::chrono::milliseconds(50);
    /// A crash is judged once it is this old, since the prompts that an engine had are reported one by one and
    /// by several instances. It is judged by the next call that records or merges anything.
    Duration settle = std::chrono::milliseconds(50);
    /// A crash counts as evidence for this long.
    Duration evidenceLifetime = std::chrono::seconds(60);
    /// Time until one prompt with a quarantined part is tried again, which doubles with each failed trial.
    Duration firstTrialAfter = std::chrono::seconds(30);
    Duration longestTrialAfter = std::chrono::minutes(10);
    /// Maximum number of parts with evidence, and of parts whose latest answer is remembered; the oldest are dropped
    /// beyond it.
    std::size_t maximumParts = 1024;
    /// Maximum number of engine incarnations whose latest answer is remembered.
    std::size_t maximumEngines = 8192;
    /// Maximum number of entries in one report, of 20 bytes at most.
    std::size_t maximumReported = 48;
};

/// Evidence of one crash for one part. Times in reports are ages, since the clocks of instances are not comparable.
struct CrashMessage
{
    PromptPart part = 0;
    /// Incarnation of the engine that crashed, see backendKey().
    std::uint32_t engine = 0;
    std::uint32_t ageMs = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(part, engine, ageMs);
    }
};

/// A part with which an answer began, which clears it of the crashes before.
struct ClearedMessage
{
    PromptPart part = 0;
    std::uint32_t ageMs = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(part, ageMs);
    }
};

/// An engine incarnation that sent the first event of an attempt, and therefore did not crash before the attempt began.
struct AliveMessage
{
    std::uint32_t engine = 0;
    /// Time since the attempt began.
    std::uint32_t ageMs = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(engine, ageMs);
    }
};

/// A quarantined part.
struct QuarantineMessage
{
    PromptPart part = 0;
    /// Time since the earliest crash that the quarantine rests on.
    std::uint32_t ageMs = 0;
    /// Time until the next trial, 0 if it is due.
    std::uint32_t trialInMs = 0;
    /// Trials begun; none of them was answered.
    std::uint32_t trials = 0;
    /// Parts that came along with this one in every crash, see PromptQuarantine.
    std::vector<PromptPart> companions;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(part, ageMs, trialInMs, trials, companions);
    }
};

/// What an instance tells others. Applying a report more than once, or in another order, changes nothing.
struct QuarantineReport
{
    std::vector<CrashMessage> crashes;
    std::vector<ClearedMessage> cleared;
    std::vector<AliveMessage> alive;
    std::vector<QuarantineMessage> quarantined;

    bool empty() const
    {
        return crashes.empty() && cleared.empty() && alive.empty() && quarantined.empty();
    }

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(crashes, cleared, alive, quarantined);
    }
};

namespace detail
{

/// The latest time recorded for each key, in bounded memory: once half of the maximum was recorded anew, what was not
/// recorded since the last such moment is dropped.
template<class Key>
class RecentTimes
{
public:
    explicit RecentTimes(std::size_t maximum)
        : m_half(std::max<std::size_t>(1, maximum / 2))
    {
    }

    void record(Key key, Instant at)
    {
        const auto known = latest(key);
        m_recent[key] = known ? std::max(*known, at) : at;
        if (m_recent.size() >= m_half) {
            m_older = std::exchange(m_recent, {});
        }
    }

    std::optional<Instant> latest(Key key) const
    {
        if (const auto found = m_recent.find(key); found != m_recent.end()) {
            return found->second;
        }
        const auto found = m_older.find(key);
        return found == m_older.end() ? std::nullopt : std::optional(found->second);
    }

    std::size_t size() const
    {
        return m_recent.size() + m_older.size();
    }

private:
    std::size_t m_half;
    std::unordered_map<Key, Instant> m_recent;
    std::unordered_map<Key, Instant> m_older;
};

} // namespace detail

namespace detail
{

/// Drops entries beyond a maximum.
template<class Container>
void limitSize(Container &container, std::size_t maximum)
{
    while (container.size() > maximum) {
        container.erase(container.begin());
    }
}

} // namespace detail

/// Collects crashes of engines by prompt part, of this instance and of others. A part is quarantined when engines keep
/// crashing before the first event of an answer and no prompt with the part is answered in between. Parts that sound
/// prompts share are cleared by the answers to those. Of several parts that the same crashes may be due to, the one
/// with the most crashes is quarantined, and the others are not charged with them. Nothing is quarantined by crashes
/// between which no engine answered any prompt, since then more than single engines is lost. Not thread safe.
class PromptQuarantine
{
public:
    explicit PromptQuarantine(const QuarantineLimits &limits = {});

    /// Parts whose quarantine began or ended by what was recorded.
    struct Changes
    {
        std::vector<PromptPart> quarantined;
        std::vector<PromptPart> released;
    };

    /// Records that an engine's connection broke before the first event of a prompt with these parts, and that the
    /// engine may therefore have crashed.
    Changes crashed(std::uint32_t engine, const std::vector<PromptPart> &parts, Instant now);

    /// Records that an engine sent the first event of a prompt with these parts, in an attempt that began at a time:
    /// the parts are sound, and crashes of that engine incarnation recorded before it began did not happen.
    Changes answered(std::uint32_t engine, const std::vector<PromptPart> &parts, Instant startedAt, Instant now);

    /// How a prompt is to be treated.
    enum class Treatment {
        Serve,
        /// Serve it as the only one with its quarantined part, see begunTrial().
        Try,
        Refuse,
    };
    struct Ruling
    {
        Treatment treatment = Treatment::Serve;
        /// The quarantined part, and the time until one prompt with it is tried again.
        PromptPart part = 0;
        Duration trialIn{};
    };
    Ruling rule(const std::vector<PromptPart> &parts, Instant now) const;

    /// Records that a prompt is sent although the part is quarantined, and doubles the time until the next trial.
    /// Others are refused until then, whether or not the outcome of this one becomes known.
    void begunTrial(PromptPart part, Instant now);

    /// Whether a prompt whose attempt crashed an engine may be sent to another one.
    bool mayRepeat(const std::vector<PromptPart> &parts, Instant now) const;

    /// Changes that other instances have not been told of, as many as fit a datagram; empty when there are none.
    QuarantineReport takeChanges(Instant now);

    /// Quarantined parts and the evidence that this instance saw itself, as much as fits a datagram; repeated with
    /// heartbeats, since datagrams may be lost and instances may restart. A trial is told best with some full reports
    /// in quick succession, since an instance that does not hear of it sends one of its own.
    QuarantineReport fullReport(Instant now) const;

    /// Applies a report of another instance.
    Changes merge(const QuarantineReport &report, Instant now);

    /// Drops evidence that is too old; to be called every few seconds.
    void expire(Instant now);

    /// Number of engine incarnations whose crash counts against a part.
    std::size_t crashes(PromptPart part) const;

    /// Number of quarantined parts.
    std::size_t quarantined() const;

    /// Number of entries in memory, over all tables.
    std::size_t size() const;

private:
    struct Quarantine
    {
        /// Earliest crash that the quarantine rests on.
        Instant since{};
        Instant trialAt{};
        std::uint32_t trials = 0;
        /// Parts that nothing distinguishes from this one. While they are quarantined as well, only prompts with all of
        /// them are refused, so that an answer or a crash can tell which part is the cause.
        std::set<PromptPart> companions;
    };

    struct Seen
    {
        Instant at{};
        /// Whether an attempt of this instance was broken by it. Only these are told to others, so that each instance
        /// hears of a crash from few.
        bool seenHere = false;
    };

    struct Part
    {
        /// Crashes by engine incarnation.
        std::map<std::uint32_t, Seen> crashes;
        /// Latest time at which the part was known to be sound.
        std::optional<Instant> clearedAt;
        /// The same as found by this instance, where it contradicted evidence; told to others.
        std::optional<Instant> clearedHere;
        std::optional<Quarantine> quarantine;
        Instant touchedAt{};
    };

    struct Crash
    {
        Instant at{};
        std::uint32_t engine = 0;

        auto operator<=>(const Crash &) const = default;
    };
    using Evidence = std::vector<Crash>;
    using Engines = std::set<std::uint32_t>;

    struct Suspect
    {
        PromptPart part = 0;
        std::size_t crashes = 0;
        bool neverAnswered = false;
        Evidence evidence;
    };

    Part &touch(PromptPart id, Instant now);
    void dropOldestPart();
    std::set<PromptPart> quarantinedParts() const;
    Changes changesSince(const std::set<PromptPart> &before) const;

    bool outdated(const Part &part, Instant at) const;
    bool record(PromptPart id, std::uint32_t engine, Instant at, Instant now);
    void clear(Part &part, Instant at);
    void clearHere(PromptPart id, Part &part, Instant at);
    bool withdraw(std::uint32_t engine, Instant startedAt);
    void tellAlive(std::uint32_t engine, Instant startedAt);
    void recordLifeSign(Instant now);
    bool anyAnswerWithin(const Evidence &evidence) const;

    Evidence evidence(const Part &part, const Engines &except = {}) const;
    Evidence judged(const Part &part, const Engines &except = {}) const;
    std::size_t independent(const Evidence &evidence) const;
    Engines explained(PromptPart id, const Part &part) const;
    std::vector<Suspect> suspects() const;
    std::vector<Suspect> strongest() const;
    void convict(const Suspect &suspect, const std::vector<Suspect> &tied);
    const Quarantine *quarantineOf(PromptPart id, const std::vector<PromptPart> &parts) const;
    bool explainedByStronger(PromptPart id, const Part &part) const;
    bool releaseExplained();
    void judge(Instant now);

    void mergeCrash(const CrashMessage &message, Instant now);
    void mergeCleared(const ClearedMessage &message, Instant now);
    void mergeAlive(const AliveMessage &message, Instant now);
    void mergeQuarantine(const QuarantineMessage &message, Instant now);
    Duration trialInterval(std::uint32_t trials) const;
    std::vector<CrashMessage> ownCrashes(Instant now) const;
    QuarantineMessage messageOf(PromptPart id, const Quarantine &quarantine, Instant now) const;

    QuarantineLimits m_limits;
    std::map<PromptPart, Part> m_parts;
    detail::RecentTimes<PromptPart> m_answers;
    detail::RecentTimes<std::uint32_t> m_alive;
    /// Whether there is evidence that was not judged, the time of the latest crash, and until when crashes are judged.
    bool m_unjudged = false;
    Instant m_latestCrash{};
    Instant m_judgedUntil{};
    /// Engines with reports of a crash later than that.
    Engines m_unsettled;
    /// Engines whose crash this instance found not to have happened, with the time of its proof.
    std::map<std::uint32_t, Instant> m_withdrawn;
    /// Times of answers by any engine, not closer to each other than simultaneous crashes.
    std::deque<Instant> m_lifeSigns;
    std::set<std::pair<PromptPart, std::uint32_t>> m_newCrashes;
    std::set<PromptPart> m_newCleared;
    Engines m_newAlive;
    std::set<PromptPart> m_newQuarantines;
};

} // namespace pomeloentry
