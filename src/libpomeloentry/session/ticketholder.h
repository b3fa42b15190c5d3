#pragma once

#include "program/entrycore.h"

#include "pomeloentry/decisions/reservationuse.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace pomeloentry
{

/// A memory reservation at one engine.
struct Ticket
{
    /// Id and address of the engine.
    std::string backend;
    std::string address;
    /// Unique in the whole system.
    std::string name;
    std::uint64_t tokens = 0;
};

/// Reserves memory at several engines for one attempt, renews the reservations while the attempt runs, and frees them.
/// Reports reservations that the attempt does not use in time. All work runs on the given executor; the owner keeps the
/// object until release().
class TicketHolder : public std::enable_shared_from_this<TicketHolder>
{
public:
    using Executor = boost::asio::strand<boost::asio::io_context::executor_type>;

    TicketHolder(std::shared_ptr<EntryCore> core, Executor executor, std::vector<Ticket> tickets);

    /// Requests all reservations. Calls back with the id of an engine that failed, or an empty string when all granted.
    void reserve(std::function<void(const std::string &failed)> callback);

    /// Sets the callback that runs once with the id of an engine at which the reservation stays unused for too long.
    /// The owner then ends the attempt and frees the reservations.
    void onUnused(std::function<void(const std::string &backend)> callback);

    /// Records that the first event of the answer has come.
    void answered();

    /// Frees all reservations, including those whose answer is still pending. Unanswered orders are repeated; if all
    /// are lost, the reservation expires with its lease.
    void release();

    const std::vector<Ticket> &tickets() const;

private:
    void onReserveAnswer(const Ticket &ticket, bool granted);
    void armRenewal();
    void renew();
    void checkUse();
    void requestReport(const Ticket &ticket);
    void sendRelease(const Ticket &ticket, int triesLeft);

    std::shared_ptr<EntryCore> m_core;
    Executor m_executor;
    boost::asio::steady_timer m_timer;
    std::vector<Ticket> m_tickets;
    std::function<void(const std::string &)> m_reserveCallback;
    std::function<void(const std::string &)> m_unusedCallback;
    std::chrono::milliseconds m_holdTime;
    ReservationUse m_use;
    std::size_t m_pendingAnswers = 0;
    std::string m_failedBackend;
    bool m_released = false;
};

} // namespace pomeloentry
