#include "session/groupreservation.h"

#include "pomeloport/logging.h"

#include <utility>

namespace pomeloentry
{

using namespace pomeloport;

namespace
{

/// Retry-after time of a prompt that was refused for lack of memory.
constexpr std::chrono::milliseconds RetryAfterNoMemory{500};
/// Delay before the next plan: the duration of several events, each of which may complete a request and free memory.
constexpr std::chrono::milliseconds PlanInterval{30};

} // namespace

GroupReservation::GroupReservation(std::shared_ptr<EntryCore> core,
                                   Executor executor,
                                   GroupRequest request,
                                   Completion completion,
                                   Unused unused)
    : m_core(std::move(core))
    , m_executor(executor)
    , m_request(std::move(request))
    , m_completion(std::move(completion))
    , m_unused(std::move(unused))
    , m_timer(executor)
{
}

void GroupReservation::start()
{
    plan();
}

const std::vector<std::uint64_t> &GroupReservation::ticketTokens() const
{
    return m_ticketTokens;
}

void GroupReservation::plan()
{
    auto plan = m_core->placement.planGroup(m_request.work, m_request.avoid, steadyNow());
    if (!plan) {
        replanOrRefuse();
        return;
    }
    const auto fleet = m_core->fleet.current();
    std::vector<Ticket> tickets;
    for (std::size_t i = 0; i < plan->tickets.size(); ++i) {
        auto &helper = plan->route.helpers[i];
        const auto known = fleet->backends.find(helper.backend);
        if (plan->tickets[i] == 0 || known == fleet->backends.end()) {
            continue;
        }
        helper.ticket = m_request.attemptId + "-" + std::to_string(m_request.attempt) + "-"
            + std::to_string(m_planCount) + "-" + std::to_string(i);
        tickets.push_back({helper.backend, known->second.address, helper.ticket, plan->tickets[i]});
    }
    plan->route.reservation = ++m_planCount;
    m_route = std::move(plan->route);
    m_ticketTokens = std::move(plan->tickets);
    if (tickets.empty()) {
        completeWithRoute();
        return;
    }
    m_tickets = std::make_shared<TicketHolder>(m_core, m_executor, std::move(tickets));
    m_tickets->onUnused([weak = weak_from_this()](const std::string &backend) {
        const auto self = weak.lock();
        if (self && !self->m_released) {
            self->m_unused(backend);
        }
    });
    m_tickets->reserve([weak = weak_from_this()](const std::string &failed) {
        const auto self = weak.lock();
        if (self && !self->m_released) {
            self->onTicketsAnswered(failed);
        }
    });
}

void GroupReservation::onTicketsAnswered(const std::string &failed)
{
    const bool mayBeSent = m_core->placement.mayBeSent(m_route, steadyNow());
    if (failed.empty() && mayBeSent) {
        completeWithRoute();
        return;
    }
    if (!mayBeSent) {
        logEvent(LogLevel::Info,
                 "reservation_given_up",
                 {{"id", m_request.attemptId},
                  {"detail", "an engine leaves, is evacuated or wants no requests for a time"}});
    }
    if (!failed.empty()) {
        m_request.avoid.push_back(failed);
    }
    std::exchange(m_tickets, nullptr)->release();
    replanOrRefuse();
}

void GroupReservation::completeWithRoute()
{
    logEvent(LogLevel::Info,
             "choice",
             {{"id", m_request.attemptId},
              {"attempt", m_request.attempt},
              {"backend", m_route.members.front().backend},
              {"helpers", m_route.helpers.size()},
              {"tickets", m_tickets ? m_tickets->tickets().size() : 0},
              {"plans", m_planCount},
              {"waited_ms", (steadyNow() - m_request.work.arrival).count() / 1000}});
    std::exchange(m_completion, nullptr)(m_route);
}

/// Schedules another plan, or fails when the permitted share of the caller's time is used up.
void GroupReservation::replanOrRefuse()
{
    const auto now = steadyNow();
    const auto &work = m_request.work;
    if (work.stopsAt) {
        const Failure failure{
            Verdict::NotRun, ReasonCode::Stopping, "this instance stops before memory is free", RetryElsewhereDelay};
        std::exchange(m_completion, nullptr)(failure);
        return;
    }
    if (m_core->placement.lacksServers(work, now)) {
        std::exchange(m_completion, nullptr)(m_core->placement.noServerRefusal(work, now));
        return;
    }
    if (auto failure = m_core->placement.regionFailure(work)) {
        std::exchange(m_completion, nullptr)(std::move(*failure));
        return;
    }
    if (now + PlanInterval > work.waitLimit(m_core->settings.policy.maximumWaitShare)) {
        const auto retryAfter = m_core->placement.retryAfter({ReturnCause::Memory, RetryAfterNoMemory}, work, now);
        const Failure failure{
            Verdict::NotRun, ReasonCode::Overloaded, "no group of engines has enough free memory", retryAfter};
        std::exchange(m_completion, nullptr)(failure);
        return;
    }
    m_timer.expires_after(PlanInterval);
    m_timer.async_wait([weak = weak_from_this()](boost::system::error_code error) {
        const auto self = weak.lock();
        if (!error && self && !self->m_released) {
            self->m_request.avoid.clear();
            self->plan();
        }
    });
}

void GroupReservation::instanceStops(Instant end)
{
    m_request.work.stopsAt = end;
}

void GroupReservation::answered()
{
    if (m_tickets) {
        m_tickets->answered();
    }
}

void GroupReservation::release()
{
    m_released = true;
    m_timer.cancel();
    if (m_tickets) {
        std::exchange(m_tickets, nullptr)->release();
    }
}

} // namespace pomeloentry
