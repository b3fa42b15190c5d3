#pragma once

#include "pomeloentry/decisions/promptquarantine.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace pomeloentry
{

/// The prompt quarantine of an instance, shared by its calls and the exchange with other instances. Logs what begins
/// and ends a quarantine. Thread safe.
class SharedQuarantine
{
public:
    using Ruling = PromptQuarantine::Ruling;
    using Treatment = PromptQuarantine::Treatment;

    enum class Change : std::uint8_t {
        /// Evidence of a crash, which other instances need to be told of. It is to be judged.
        Evidence,
        /// Evidence of other instances, which is to be judged.
        Learned,
        /// A quarantine began or ended, or a prompt with a quarantined part is tried: the next decisions of others
        /// depend on it.
        Urgent,
    };
    using ChangeCallback = std::function<void(Change change)>;
    using QuarantineCallback = std::function<void(const std::vector<PromptPart> &parts)>;

    explicit SharedQuarantine(const QuarantineLimits &limits);

    /// Set callbacks, which run without the lock on the thread that made a change: one for all changes, and one for
    /// parts whose quarantine begins. Call them before the first change.
    void onChanged(ChangeCallback callback);
    void onQuarantined(QuarantineCallback callback);

    /// See PromptQuarantine::crashed() and answered().
    void crashed(std::uint32_t engine, const std::vector<PromptPart> &parts, Instant now);
    void answered(std::uint32_t engine, const std::vector<PromptPart> &parts, Instant startedAt, Instant now);

    /// Judges evidence that arrived QuarantineLimits::settle ago or earlier.
    void judge(Instant now);

    /// How a prompt is to be treated while it has no attempt.
    Ruling rule(const std::vector<PromptPart> &parts, Instant now) const;

    /// The same when an attempt is to be sent. If it is a trial, it begins, so that no other prompt is tried.
    Ruling beginAttempt(const std::vector<PromptPart> &parts, Instant now);

    bool mayRepeat(const std::vector<PromptPart> &parts, Instant now) const;

    /// Reports for other instances, which each fit a datagram with an instance's state: changes that have not been
    /// taken yet, and one report of all evidence, which is empty when there is none.
    std::vector<QuarantineReport> takeChanges(Instant now);
    QuarantineReport fullReport(Instant now);

    /// Applies a report of another instance.
    void merge(const QuarantineReport &report, Instant now);

    /// Counters in the Prometheus text format.
    std::string metricsText() const;

private:
    void announce(const PromptQuarantine::Changes &changes) const;
    void logChanges(const PromptQuarantine::Changes &changes, const QuarantineReport &told) const;

    mutable std::mutex m_mutex;
    PromptQuarantine m_quarantine;
    ChangeCallback m_changed = [](Change /*change*/) {
    };
    QuarantineCallback m_quarantined = [](const std::vector<PromptPart> & /*parts*/) {
    };
    std::atomic<std::uint64_t> m_crashes{0};
};

/// Text form of a part in logs and details of failures.
std::string partText(PromptPart part);

} // namespace pomeloentry
