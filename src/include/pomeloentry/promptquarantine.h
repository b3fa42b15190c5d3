#pragma once

#include "pomeloport/clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
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
    /// the same time.
    Duration simultaneous = std::chrono::milliseconds(100);
    /// A crash counts as evidence for this long.
    Duration evidenceLifetime = std::chrono::seconds(60);
    /// Time until one prompt with a quarantined part is tried again, which doubles with each failed trial.
    Duration firstTrialAfter = std::chrono::seconds(30);
    Duration longestTrialAfter = std::chrono::minutes(10);
    /// Maximum number of parts with evidence; the oldest are dropped beyond it.
    std::size_t maximumParts = 1024;
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

/// A quarantined part.
struct QuarantineMessage
{
    PromptPart part = 0;
    /// Time since the quarantine began, or since its latest trial, and until the next trial.
    std::uint32_t ageMs = 0;
    std::uint32_t trialInMs = 0;
    std::uint32_t failedTrials = 0;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(part, ageMs, trialInMs, failedTrials);
    }
};

/// What an instance tells others. Applying a report more than once, or in another order, changes nothing.
struct QuarantineReport
{
    std::vector<CrashMessage> crashes;
    std::vector<ClearedMessage> cleared;
    std::vector<QuarantineMessage> quarantined;

    bool empty() const
    {
        return crashes.empty() && cleared.empty() && quarantined.empty();
    }

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(crashes, cleared, quarantined);
    }
};

/// Collects crashes of engines by prompt part, of this instance and of others. A part is quarantined when engines keep
/// crashing before the first event of an answer and no prompt with the part is answered in between. Parts that sound
/// prompts share are cleared by the answers to those. Not thread safe.
class PromptQuarantine
{
public:
    explicit PromptQuarantine(const QuarantineLimits &limits = {});

    /// Records that an engine's connection broke before the first event of a prompt with these parts, and that the
    /// engine may therefore have crashed. Returns the parts that are quarantined by it.
    std::vector<PromptPart> crashed(std::uint32_t engine, const std::vector<PromptPart> &parts, Instant now);

    /// Records that an engine sent the first event of a prompt with these parts, in an attempt that began at a time:
    /// the parts are sound, and crashes of that engine incarnation recorded before did not happen. Returns the parts
    /// that are released from quarantine by it.
    std::vector<PromptPart> answered(std::uint32_t engine,
                                     const std::vector<PromptPart> &parts,
                                     Instant startedAt,
                                     Instant now);

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

    /// Records that a prompt is sent although the part is quarantined. Others are refused until the next trial.
    void begunTrial(PromptPart part, Instant now);

    /// Whether a prompt whose attempt crashed an engine may be sent to another one.
    bool mayRepeat(const std::vector<PromptPart> &parts, Instant now) const;

    /// Changes that other instances have not been told of; empty when there are none.
    QuarantineReport takeChanges(Instant now);

    /// All evidence and quarantined parts, as many as fit a datagram; repeated with heartbeats, since datagrams may be
    /// lost and instances may restart.
    QuarantineReport fullReport(Instant now) const;

    /// Applies a report of another instance. Returns the parts whose quarantine begins or ends by it.
    struct Changes
    {
        std::vector<PromptPart> quarantined;
        std::vector<PromptPart> released;
    };
    Changes merge(const QuarantineReport &report, Instant now);

    /// Drops evidence that is too old.
    void expire(Instant now);
};

} // namespace pomeloentry
