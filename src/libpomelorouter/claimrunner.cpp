#include "claimrunner.h"

#include "controllerlink.h"
#include "requestsession.h"
#include "routercore.h"

#include <boost/asio/post.hpp>

#include <utility>

namespace pomelorouter
{

using namespace pomeloport;

namespace
{

ClaimLimits limitsOf(const RouterCore &core)
{
    ClaimLimits limits;
    const auto current = core.snapshot.current();
    limits.retention = std::chrono::milliseconds(current->declarations.limits.keyRetentionMs);
    limits.clockSkew = core.settings.request.clockTolerance;
    return limits;
}

} // namespace

std::shared_ptr<ClaimRunner> ClaimRunner::make(std::shared_ptr<RouterCore> core,
                                               const boost::asio::any_io_executor &executor,
                                               const StreamAddress &self,
                                               const RequestSpec &specification,
                                               FlowEventHandler flowEventHandler)
{
    if (!core->platform) {
        return nullptr;
    }
    return std::make_shared<ClaimRunner>(std::move(core), executor, self, specification, std::move(flowEventHandler));
}

ClaimRunner::ClaimRunner(std::shared_ptr<RouterCore> core,
                         const boost::asio::any_io_executor &executor,
                         const StreamAddress &self,
                         const RequestSpec &specification,
                         FlowEventHandler flowEventHandler)
    : m_core(std::move(core))
    , m_executor(executor)
    , m_timer(executor)
    , m_key{specification.organisation, specification.idempotencyKey, specification.issuedAt}
    , m_keeper(m_key, self, specification.bodyDigest, limitsOf(*m_core), self.owner.incarnation ^ self.sequence)
    , m_flowEventHandler(std::move(flowEventHandler))
{
}

void ClaimRunner::acquire()
{
    feed(claimevent::Acquire{m_core->storeHealthy});
}

void ClaimRunner::release()
{
    m_settlementStarted = true;
    feed(claimevent::Release{});
}

void ClaimRunner::record(std::string answer)
{
    m_settlementStarted = true;
    feed(claimevent::Record{std::move(answer)});
}

link::ClaimHolderState ClaimRunner::holderState() const
{
    return m_keeper.holderState();
}

bool ClaimRunner::settlementPending() const
{
    return m_settlementStarted && !m_keeper.done();
}

void ClaimRunner::feed(const ClaimEvent &event)
{
    const auto self = shared_from_this();
    for (auto &action : m_keeper.handle(event, monotonicNow(), wallNow())) {
        std::visit([this](auto &value) { execute(value); }, action);
    }
}

void ClaimRunner::execute(claimaction::CallStore &action)
{
    m_core->platform->call(action.call, [self = shared_from_this()](StoreReply reply) {
        boost::asio::post(self->m_executor, [self, reply = std::move(reply)]() mutable {
            self->m_core->storeHealthy = reply.status != StoreStatus::Unavailable;
            self->feed(claimevent::StoreAnswered{std::move(reply)});
        });
    });
}

void ClaimRunner::execute(claimaction::AskHolder &action)
{
    auto answer = [self = shared_from_this()](link::ClaimHolderState state) {
        boost::asio::post(self->m_executor, [self, state] { self->handleHolderReply(state); });
    };
    if (action.holder.owner == m_core->owner) {
        const auto session = m_core->registry.find(action.holder.sequence);
        session ? session->queryClaimState(std::move(answer)) : answer(link::ClaimHolderState::Uncertain);
        return;
    }
    if (!m_core->link) {
        answer(link::ClaimHolderState::Unreachable);
        return;
    }
    link::ClaimHolderQuery query;
    query.holder = action.holder.owner;
    query.organisation = m_key.organisation;
    query.key = m_key.key;
    query.token = toString(action.holder);
    m_core->link->askHolder(std::move(query), std::move(answer));
}

void ClaimRunner::handleHolderReply(link::ClaimHolderState state)
{
    feed(claimevent::HolderAnswered{state});
}

void ClaimRunner::execute(claimaction::Tell &action)
{
    m_flowEventHandler(std::move(action.event));
}

void ClaimRunner::execute(claimaction::ArmRetry &action)
{
    m_timer.expires_at(action.at);
    m_timer.async_wait([self = shared_from_this()](boost::system::error_code error) {
        if (!error) {
            self->feed(claimevent::RetryDue{});
        }
    });
}

} // namespace pomelorouter
