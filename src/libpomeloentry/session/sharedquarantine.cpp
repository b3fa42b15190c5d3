#include "session/sharedquarantine.h"

#include "pomeloport/logging.h"

#include <algorithm>
#include <charconv>

namespace pomeloentry
{

using pomeloport::logEvent;
using pomeloport::LogLevel;

namespace
{

/// Who came to a conclusion: this instance or another one.
constexpr std::string_view OwnSource = "own";
constexpr std::string_view PeerSource = "peer";

} // namespace

std::string partText(PromptPart part)
{
    constexpr int Hexadecimal = 16;
    char text[sizeof(PromptPart) * 2];
    const auto result = std::to_chars(std::begin(text), std::end(text), part, Hexadecimal);
    return {std::begin(text), result.ptr};
}

SharedQuarantine::SharedQuarantine(const QuarantineLimits &limits)
    : m_quarantine(limits)
{
}

void SharedQuarantine::onChanged(ChangeCallback callback)
{
    m_changed = std::move(callback);
}

void SharedQuarantine::onQuarantined(QuarantineCallback callback)
{
    m_quarantined = std::move(callback);
}

void SharedQuarantine::crashed(std::uint32_t engine, const std::vector<PromptPart> &parts, Instant now)
{
    ++m_crashes;
    PromptQuarantine::Changes changes;
    {
        const std::lock_guard lock(m_mutex);
        changes = m_quarantine.crashed(engine, parts, now);
        logChanges(changes, {});
    }
    m_changed(Change::Evidence);
    announce(changes);
}

void SharedQuarantine::answered(std::uint32_t engine,
                                const std::vector<PromptPart> &parts,
                                Instant startedAt,
                                Instant now)
{
    PromptQuarantine::Changes changes;
    {
        const std::lock_guard lock(m_mutex);
        changes = m_quarantine.answered(engine, parts, startedAt, now);
        logChanges(changes, {});
    }
    announce(changes);
}

SharedQuarantine::Ruling SharedQuarantine::rule(const std::vector<PromptPart> &parts, Instant now) const
{
    const std::lock_guard lock(m_mutex);
    return m_quarantine.rule(parts, now);
}

SharedQuarantine::Ruling SharedQuarantine::beginAttempt(const std::vector<PromptPart> &parts, Instant now)
{
    Ruling ruling;
    {
        const std::lock_guard lock(m_mutex);
        ruling = m_quarantine.rule(parts, now);
        if (ruling.treatment == Treatment::Try) {
            m_quarantine.begunTrial(ruling.part, now);
        }
    }
    if (ruling.treatment == Treatment::Try) {
        m_changed(Change::Urgent);
    }
    return ruling;
}

bool SharedQuarantine::mayRepeat(const std::vector<PromptPart> &parts, Instant now) const
{
    const std::lock_guard lock(m_mutex);
    return m_quarantine.mayRepeat(parts, now);
}

std::vector<QuarantineReport> SharedQuarantine::takeChanges(Instant now)
{
    std::vector<QuarantineReport> reports;
    const std::lock_guard lock(m_mutex);
    for (auto report = m_quarantine.takeChanges(now); !report.empty(); report = m_quarantine.takeChanges(now)) {
        reports.push_back(std::move(report));
    }
    return reports;
}

QuarantineReport SharedQuarantine::fullReport(Instant now)
{
    const std::lock_guard lock(m_mutex);
    m_quarantine.expire(now);
    return m_quarantine.fullReport(now);
}

void SharedQuarantine::merge(const QuarantineReport &report, Instant now)
{
    if (report.empty()) {
        return;
    }
    PromptQuarantine::Changes changes;
    {
        const std::lock_guard lock(m_mutex);
        changes = m_quarantine.merge(report, now);
        logChanges(changes, report);
    }
    if (!report.crashes.empty()) {
        m_changed(Change::Learned);
    }
    announce(changes);
}

void SharedQuarantine::judge(Instant now)
{
    PromptQuarantine::Changes changes;
    {
        const std::lock_guard lock(m_mutex);
        changes = m_quarantine.merge({}, now);
        logChanges(changes, {});
    }
    announce(changes);
}

std::string SharedQuarantine::metricsText() const
{
    std::size_t quarantined = 0;
    {
        const std::lock_guard lock(m_mutex);
        quarantined = m_quarantine.quarantined();
    }
    std::string out;
    const auto append = [&out](const std::string &name, const char *help, const char *type, std::uint64_t value) {
        out += "# HELP " + name + " " + help + "\n# TYPE " + name + " " + type + "\n";
        out += name + " " + std::to_string(value) + "\n";
    };
    append("pomelo_suspected_engine_crashes_total",
           "Attempts of prompts whose connection to the engine was lost before the first event.",
           "counter",
           m_crashes);
    append("pomelo_quarantined_prompt_parts", "Parts of prompts in quarantine.", "gauge", quarantined);
    return out;
}

void SharedQuarantine::announce(const PromptQuarantine::Changes &changes) const
{
    if (!changes.quarantined.empty() || !changes.released.empty()) {
        m_changed(Change::Urgent);
    }
    if (!changes.quarantined.empty()) {
        m_quarantined(changes.quarantined);
    }
}

/// Logs changes, given the report of another instance that may have told them. Requires the mutex.
void SharedQuarantine::logChanges(const PromptQuarantine::Changes &changes, const QuarantineReport &told) const
{
    for (const auto part : changes.released) {
        const bool isTold = std::ranges::find(told.cleared, part, &ClearedMessage::part) != told.cleared.end();
        logEvent(
            LogLevel::Info, "prompt_released", {{"part", partText(part)}, {"source", isTold ? PeerSource : OwnSource}});
    }
    for (const auto part : changes.quarantined) {
        const bool isTold =
            std::ranges::find(told.quarantined, part, &QuarantineMessage::part) != told.quarantined.end();
        logEvent(LogLevel::Warning,
                 "prompt_quarantined",
                 {{"part", partText(part)},
                  {"crashes", m_quarantine.crashes(part)},
                  {"source", isTold ? PeerSource : OwnSource}});
    }
}

} // namespace pomeloentry
