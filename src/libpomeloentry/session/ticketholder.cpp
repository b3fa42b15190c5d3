#include "session/ticketholder.h"

#include "session/noticelog.h"

#include "pomeloentry/wire.h"

#include "pomeloport/logging.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace pomeloentry
{

using namespace pomeloport;

namespace
{

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusMisdirected = 421;
/// Time-out of an order to an engine: a few round trips.
constexpr std::chrono::milliseconds AnswerTimeout{400};
/// Maximum size of the response to an order, such as a list of all reservations of an engine.
constexpr std::size_t MaximumAnswerBytes = 256 * 1024;
/// Hold time as a share of the configured reservation timeout. The memory that a dead process reserved is freed only
/// after the hold time, so that must lie below the timeout.
constexpr double HoldTimeShare = 0.75;
/// Renewals per hold time; two in a row may be lost.
constexpr int RenewalsPerHold = 3;
constexpr int ReleaseAttempts = 3;

/// Limits the time and the memory that the response to an order or a call for a report may take.
HttpCall limited(HttpCall call, const EntryCore &core)
{
    call.timeout = AnswerTimeout;
    call.maximumReplyBytes = MaximumAnswerBytes;
    call.replyMemory = core.answerMemory;
    return call;
}

/// Records what the answer to an order or a call for a report says of its engine. One that another server gave, which
/// has the address now, says nothing of the engine.
void recordAnswerNotice(EntryCore &core, const Ticket &ticket, const std::optional<HttpReply> &reply)
{
    const auto fleet = core.fleet.current();
    const auto found = fleet->backends.find(ticket.backend);
    if (reply && reply->status != StatusMisdirected && found != fleet->backends.end()
        && found->second.address == ticket.address) {
        const auto notice = wire::decodeNotice(reply->status, reply->fields);
        recordNotice(core, ticket.backend, backendKey(found->second), notice, ticket.name);
    }
}

std::vector<std::string> namesOf(const std::vector<Ticket> &tickets)
{
    std::vector<std::string> result;
    for (const auto &ticket : tickets) {
        result.push_back(ticket.name);
    }
    return result;
}

} // namespace

TicketHolder::TicketHolder(std::shared_ptr<EntryCore> core, Executor executor, std::vector<Ticket> tickets)
    : m_core(std::move(core))
    , m_executor(executor)
    , m_timer(executor)
    , m_tickets(std::move(tickets))
    , m_holdTime(
          static_cast<std::int64_t>(static_cast<double>(m_core->settings.reservationTimeout.count()) * HoldTimeShare))
    , m_use(namesOf(m_tickets), steadyNow(), m_core->settings.reservationIdleLimit)
{
}

void TicketHolder::onUnused(std::function<void(const std::string &backend)> callback)
{
    m_unusedCallback = std::move(callback);
}

void TicketHolder::answered()
{
    m_use.answered();
}

const std::vector<Ticket> &TicketHolder::tickets() const
{
    return m_tickets;
}

void TicketHolder::reserve(std::function<void(const std::string &)> callback)
{
    m_reserveCallback = std::move(callback);
    m_pendingAnswers = m_tickets.size();
    for (const auto &ticket : m_tickets) {
        auto call = limited(wire::encodeReservation({ticket.address, ticket.name, ticket.tokens, m_holdTime}), *m_core);
        m_core->client.send(std::move(call), [self = shared_from_this(), ticket](auto reply, bool) {
            recordAnswerNotice(*self->m_core, ticket, reply);
            const bool granted = reply && reply->status == StatusOk;
            const auto status = reply ? reply->status : 0;
            logEvent(LogLevel::Info,
                     "ticket",
                     {{"ticket", ticket.name},
                      {"backend", ticket.backend},
                      {"tokens", ticket.tokens},
                      {"granted", granted},
                      {"status", status}});
            boost::asio::post(self->m_executor, [self, ticket, granted] { self->onReserveAnswer(ticket, granted); });
        });
    }
    armRenewal();
}

void TicketHolder::onReserveAnswer(const Ticket &ticket, bool granted)
{
    if (!granted) {
        m_failedBackend = ticket.backend;
    }
    if (--m_pendingAnswers == 0 && m_reserveCallback && !m_released) {
        std::exchange(m_reserveCallback, nullptr)(m_failedBackend);
    }
}

void TicketHolder::armRenewal()
{
    m_timer.expires_after(m_holdTime / RenewalsPerHold);
    m_timer.async_wait([self = shared_from_this()](boost::system::error_code error) {
        if (!error && !self->m_released) {
            self->renew();
            self->checkUse();
        }
    });
}

void TicketHolder::renew()
{
    const auto now = steadyNow();
    for (const auto &ticket : m_tickets) {
        const auto hold =
            std::chrono::duration_cast<std::chrono::milliseconds>(m_use.holdTime(ticket.name, m_holdTime, now));
        if (hold <= std::chrono::milliseconds::zero()) {
            continue;
        }
        auto call = limited(wire::encodeReservation({ticket.address, ticket.name, ticket.tokens, hold}), *m_core);
        m_core->client.send(std::move(call), [core = m_core, ticket](auto reply, bool) {
            recordAnswerNotice(*core, ticket, reply);
            if (!reply || reply->status != StatusOk) {
                logEvent(LogLevel::Warning,
                         "ticket_not_renewed",
                         {{"ticket", ticket.name}, {"backend", ticket.backend}, {"status", reply ? reply->status : 0}});
            }
        });
    }
    armRenewal();
}

void TicketHolder::checkUse()
{
    const auto step = m_use.step(steadyNow());
    if (step == ReservationUse::Step::Keep) {
        return;
    }
    for (const auto &ticket : m_tickets) {
        if (std::ranges::find(m_use.unused(), ticket.name) == m_use.unused().end()) {
            continue;
        }
        if (step == ReservationUse::Step::Check) {
            requestReport(ticket);
        } else if (m_unusedCallback) {
            logEvent(LogLevel::Warning, "ticket_unused", {{"ticket", ticket.name}, {"backend", ticket.backend}});
            std::exchange(m_unusedCallback, nullptr)(ticket.backend);
            return;
        }
    }
}

void TicketHolder::requestReport(const Ticket &ticket)
{
    auto call = limited(wire::encodeReportCall(ticket.address), *m_core);
    m_core->client.send(std::move(call), [self = shared_from_this(), ticket](auto reply, bool) {
        recordAnswerNotice(*self->m_core, ticket, reply);
        const auto used = reply && reply->status == StatusOk ? wire::decodeUsedReservations(reply->body) : std::nullopt;
        logEvent(LogLevel::Info,
                 "ticket_report",
                 {{"ticket", ticket.name}, {"backend", ticket.backend}, {"readable", used.has_value()}});
        if (used) {
            boost::asio::post(self->m_executor, [self, used] { self->m_use.reported(*used); });
        }
    });
}

void TicketHolder::release()
{
    if (std::exchange(m_released, true)) {
        return;
    }
    m_timer.cancel();
    m_reserveCallback = nullptr;
    m_unusedCallback = nullptr;
    for (const auto &ticket : m_tickets) {
        ++m_core->openReleases;
        sendRelease(ticket, ReleaseAttempts);
    }
}

void TicketHolder::sendRelease(const Ticket &ticket, int triesLeft)
{
    auto call = limited(wire::encodeReservation({ticket.address, ticket.name, 0, {}}), *m_core);
    m_core->client.send(std::move(call), [self = shared_from_this(), ticket, triesLeft](auto reply, bool) {
        if (reply) {
            --self->m_core->openReleases;
            return;
        }
        logEvent(LogLevel::Warning,
                 "ticket_release_unanswered",
                 {{"ticket", ticket.name}, {"backend", ticket.backend}, {"tries_left", triesLeft - 1}});
        if (triesLeft > 1) {
            boost::asio::post(self->m_executor,
                              [self, ticket, triesLeft] { self->sendRelease(ticket, triesLeft - 1); });
        } else {
            --self->m_core->openReleases;
        }
    });
}

} // namespace pomeloentry
