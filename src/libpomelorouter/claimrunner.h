#pragma once

#include "pomeloport/coordination/claims.h"
#include "pomeloport/coordination/route.h"
#include "pomeloport/protocol/identity.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>

namespace pomelorouter
{

struct RouterCore;

/// Carries out the actions of one request's ClaimKeeper: calls to the platform's store, questions to other holders and
/// retries. Used on one executor; callbacks keep the object alive.
class ClaimRunner : public std::enable_shared_from_this<ClaimRunner>
{
public:
    /// Receives the events for the request's flow, on the executor.
    using Tell = std::function<void(pomeloport::FlowEvent event)>;

    /// Makes the runner of a non-idempotent request; null when the router has no platform.
    static std::shared_ptr<ClaimRunner> make(std::shared_ptr<RouterCore> core,
                                             const boost::asio::any_io_executor &executor,
                                             const pomeloport::StreamAddress &self,
                                             const pomeloport::RequestSpec &specification,
                                             Tell tell);

    ClaimRunner(std::shared_ptr<RouterCore> core,
                const boost::asio::any_io_executor &executor,
                const pomeloport::StreamAddress &self,
                const pomeloport::RequestSpec &specification,
                Tell tell);

    void acquire();
    void release();
    void record(std::string answer);

    /// What to tell a peer that asks about the claim.
    pomeloport::link::ClaimHolderState holderState() const;

    /// Whether a release or a record is under way.
    bool settling() const;

private:
    void feed(const pomeloport::ClaimEvent &event);
    void execute(pomeloport::claimaction::CallStore &action);
    void execute(pomeloport::claimaction::AskHolder &action);
    void execute(pomeloport::claimaction::Tell &action);
    void execute(pomeloport::claimaction::ArmRetry &action);
    void answerHolder(pomeloport::link::ClaimHolderState state);

    std::shared_ptr<RouterCore> m_core;
    boost::asio::any_io_executor m_executor;
    boost::asio::steady_timer m_timer;
    pomeloport::ClaimKey m_key;
    pomeloport::ClaimStateMachine m_keeper;
    Tell m_tell;
    bool m_settlingStarted = false;
};

} // namespace pomelorouter
