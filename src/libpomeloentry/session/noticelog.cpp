#include "session/noticelog.h"

#include "pomeloport/logging.h"

namespace pomeloentry
{

using pomeloport::logEvent;
using pomeloport::LogLevel;
using pomeloport::nameOf;

namespace
{

/// Logs a change. The teller is the call or the instance from which it is known.
void logChange(const std::string &backend,
               const EntryPlacement::NoticeOutcome &outcome,
               NoticeSource source,
               std::string_view teller,
               Instant now)
{
    switch (outcome.change) {
    case ServerNotices::Change::None:
        return;
    case ServerNotices::Change::Leaves:
        logEvent(LogLevel::Info, "server_leaving", {{"backend", backend}, {"source", nameOf(source)}, {"by", teller}});
        return;
    case ServerNotices::Change::Pauses:
        logEvent(LogLevel::Info,
                 "server_paused",
                 {{"backend", backend},
                  {"source", nameOf(source)},
                  {"by", teller},
                  {"own_pause_ms", outcome.pausedUntil ? (*outcome.pausedUntil - now).count() / 1000 : 0}});
        return;
    }
}

} // namespace

void recordNotice(EntryCore &core,
                  const std::string &backend,
                  std::uint32_t backendKey,
                  const wire::BackendNotice &notice,
                  std::string_view call)
{
    const auto now = steadyNow();
    if (!notice.wrongField.empty() && core.placement.reportsWrongNotice(backendKey, now)) {
        logEvent(LogLevel::Warning,
                 "server_notice_ignored",
                 {{"backend", backend}, {"by", call}, {"field", notice.wrongField}});
    }
    if (notice.notice.empty() && notice.notice.cold == Duration::zero()) {
        return;
    }
    const auto outcome = core.placement.noticed(backendKey, notice.notice, NoticeSource::Answer, now);
    logChange(backend, outcome, NoticeSource::Answer, call, now);
}

void recordPeerNotices(EntryCore &core, const std::string &peer, const std::vector<NoticeMessage> &notices)
{
    const auto now = steadyNow();
    for (const auto &message : notices) {
        ServerNotice notice{message.leaving, std::nullopt};
        if (message.pauseMs > 0) {
            notice.pause = std::chrono::milliseconds(message.pauseMs);
        }
        const auto outcome = core.placement.noticed(message.server, notice, NoticeSource::Peer, now);
        logChange(core.placement.nameOf(message.server), outcome, NoticeSource::Peer, peer, now);
    }
}

void logServerPace(EntryCore &core)
{
    for (const auto &[backend, event] : core.placement.takePaceChanges(steadyNow())) {
        logEvent(LogLevel::Info,
                 "server_pace",
                 {{"backend", backend}, {"step", nameOf(event.step)}, {"requests", event.size}});
    }
}

void logServerReturned(const std::string &backend, std::string_view call)
{
    logEvent(LogLevel::Info, "server_returned", {{"backend", backend}, {"by", call}});
}

} // namespace pomeloentry
