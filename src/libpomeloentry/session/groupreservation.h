#pragma once

#include "program/entrycore.h"
#include "session/ticketholder.h"

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

/// A prompt that needs the memory of several engines.
struct GroupRequest
{
    CallWork work;
    /// Identity of the caller's attempt, the prefix of ticket names.
    std::string attemptId;
    /// Number of the attempt at backend servers that needs the memory.
    std::uint32_t attempt = 1;
    /// Backend servers that failed in earlier attempts.
    std::vector<std::string> avoid;
};

/// Reserves memory at several engines for one attempt at a prompt that exceeds the free memory of a single engine.
/// Plans a group of engines, requests the reservations, and replans without engines that refuse, until a share of the
/// caller's time has passed.
class GroupReservation : public std::enable_shared_from_this<GroupReservation>
{
public:
    using Executor = TicketHolder::Executor;
    /// Receives the route, or the failure when no reservation was possible. Called once, unless released earlier.
    using Completion = std::function<void(const std::variant<pomeloport::Route, pomeloport::Failure> &)>;

    /// Receives the id of an engine at which memory stays reserved without being used. Called once at most.
    using Unused = std::function<void(const std::string &backend)>;

    GroupReservation(std::shared_ptr<EntryCore> core,
                     Executor executor,
                     GroupRequest request,
                     Completion completion,
                     Unused unused);

    void start();

    /// Records that the instance stops: a plan that can't be complete by then, or that an engine refuses, is the last.
    void instanceStops(Instant end);

    /// Records that the first event of the answer has come.
    void answered();

    /// Frees the reserved memory and stops planning.
    void release();

    /// Tokens reserved at each helper of the route.
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
    Unused m_unused;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<TicketHolder> m_tickets;
    pomeloport::Route m_route;
    std::vector<std::uint64_t> m_ticketTokens;
    /// Number of plans so far, which makes the ticket names of each plan unique.
    std::uint32_t m_planCount = 0;
    bool m_released = false;
};

} // namespace pomeloentry
