#pragma once

#include "entrycore.h"
#include "ticketholder.h"

#include "pomeloport/coordination/route.h"
#include "pomeloport/verdict.h"

#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace pomeloentry
{

/// A prompt that needs memory at several engines.
struct GroupRequest
{
    CallWork work;
    /// Identity of the caller's attempt, of which names of tickets are made.
    std::string attemptId;
    /// The attempt at backend servers that the memory is for.
    std::uint32_t attempt = 1;
    /// Backend servers that were at fault before.
    std::vector<std::string> avoid;
};

/// Sets memory aside for one attempt at a prompt that is larger than the free memory of one engine. Plans engines, asks
/// them, and plans again without those that have no memory, for a part of the caller's time.
class GroupReservation : public std::enable_shared_from_this<GroupReservation>
{
public:
    using Executor = TicketHolder::Executor;
    /// Receives the route, or why there is none. Called once, unless it is released before.
    using Completion = std::function<void(const std::variant<pomeloport::Route, pomeloport::Failure> &)>;

    GroupReservation(std::shared_ptr<EntryCore> core, Executor executor, GroupRequest request, Completion completion);

    void start();

    /// Frees the memory.
    void release();

    /// Tokens set aside at each helper of the route.
    const std::vector<std::uint64_t> &ticketTokens() const;

private:
    void plan();
    void onTicketsAnswered(const std::string &failed);
    void completeWithRoute();
    void replanOrRefuse();

    std::shared_ptr<EntryCore> m_core;
    Executor m_executor;
    GroupRequest m_request;
    Completion m_completion;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<TicketHolder> m_tickets;
    pomeloport::Route m_route;
    std::vector<std::uint64_t> m_ticketTokens;
    /// Plans made so far; numbers the tickets of each.
    std::uint32_t m_plans = 0;
    bool m_released = false;
};

} // namespace pomeloentry
