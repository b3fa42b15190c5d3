#pragma once

#include "entrycore.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace pomeloentry
{

/// Memory to set aside at one engine.
struct Ticket
{
    /// Id and address of the engine.
    std::string backend;
    std::string address;
    /// Unique among all tickets of the system.
    std::string name;
    std::uint64_t tokens = 0;
};

/// Sets memory aside at several engines for one attempt, keeps it while the attempt runs, and frees it. All work runs
/// on the executor given; the caller keeps the object until release().
class TicketHolder : public std::enable_shared_from_this<TicketHolder>
{
public:
    using Executor = boost::asio::strand<boost::asio::io_context::executor_type>;

    TicketHolder(std::shared_ptr<EntryCore> core, Executor executor, std::vector<Ticket> tickets);

    /// Asks all engines; calls back with the id of the engine that failed, or an empty text when all agreed.
    void reserve(std::function<void(const std::string &failed)> callback);

    /// Frees everything, also what may still be granted. Repeats what is not answered; the lease covers a loss.
    void release();

    const std::vector<Ticket> &tickets() const;

private:
    void onReserveAnswer(const Ticket &ticket, bool granted);
    void armRenewal();
    void renew();
    void sendRelease(const Ticket &ticket, int triesLeft);

    std::shared_ptr<EntryCore> m_core;
    Executor m_executor;
    boost::asio::steady_timer m_timer;
    std::vector<Ticket> m_tickets;
    std::function<void(const std::string &)> m_reserveCallback;
    std::chrono::milliseconds m_holdTime;
    std::size_t m_pendingAnswers = 0;
    std::string m_failedBackend;
    bool m_released = false;
};

} // namespace pomeloentry
