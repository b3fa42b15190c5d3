#include "groupreservation.h"

#include "pomeloport/logging.h"

#include <utility>

namespace pomeloentry
{

using namespace pomeloport;

namespace
{

/// When a caller may ask again whose prompt found no memory.
constexpr std::chrono::milliseconds RetryAfterNoMemory{500};
/// Engines are asked again after this time: several events, each of which may end a request that holds memory.
constexpr std::chrono::milliseconds PlanInterval{30};

} // namespace

GroupReservation::GroupReservation(std::shared_ptr<EntryCore> core,
                                   Executor executor,
                                   GroupRequest request,
                                   Settled settled)
    : m_core(std::move(core))
    , m_executor(executor)
    , m_request(std::move(request))
    , m_settled(std::move(settled))
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
        planAgain();
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
        helper.ticket = m_request.attemptId + "-" + std::to_string(m_request.attempt) + "-" + std::to_string(m_plans)
            + "-" + std::to_string(i);
        tickets.push_back({helper.backend, known->second.address, helper.ticket, plan->tickets[i]});
    }
    plan->route.reservation = ++m_plans;
    m_route = std::move(plan->route);
    m_ticketTokens = std::move(plan->tickets);
    if (tickets.empty()) {
        grant();
        return;
    }
    m_tickets = std::make_shared<TicketHolder>(m_core, m_executor, std::move(tickets));
    m_tickets->reserve([weak = weak_from_this()](const std::string &failed) {
        const auto self = weak.lock();
        if (self && !self->m_released) {
            self->answered(failed);
        }
    });
}

void GroupReservation::answered(const std::string &failed)
{
    if (failed.empty()) {
        grant();
        return;
    }
    m_request.avoid.push_back(failed);
    std::exchange(m_tickets, nullptr)->release();
    planAgain();
}

void GroupReservation::grant()
{
    logEvent(LogLevel::Info,
             "choice",
             {{"id", m_request.attemptId},
              {"attempt", m_request.attempt},
              {"backend", m_route.members.front().backend},
              {"helpers", m_route.helpers.size()},
              {"tickets", m_tickets ? m_tickets->tickets().size() : 0},
              {"plans", m_plans},
              {"waited_ms", (steadyNow() - m_request.work.arrival).count() / 1000}});
    std::exchange(m_settled, nullptr)(m_route);
}

/// Plans again shortly, or refuses when that took too large a part of the caller's time.
void GroupReservation::planAgain()
{
    const auto now = steadyNow();
    const auto &work = m_request.work;
    const auto longest = seconds(work.deadline - work.arrival) * m_core->settings.policy.maximumWaitShare;
    if (now + PlanInterval > work.arrival + fromSeconds(longest)) {
        const Failure failure{
            Verdict::NotRun, ReasonCode::Overloaded, "no engines have the memory", RetryAfterNoMemory};
        std::exchange(m_settled, nullptr)(failure);
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

void GroupReservation::release()
{
    m_released = true;
    m_timer.cancel();
    if (m_tickets) {
        std::exchange(m_tickets, nullptr)->release();
    }
}

} // namespace pomeloentry
