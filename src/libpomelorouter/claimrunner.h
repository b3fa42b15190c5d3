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

/// Carries out the actions of one request's ClaimStateMachine: calls to the platform's store, queries to the holders of
/// other claims, and retries. Not thread-safe: use it only on its executor. Pending callbacks keep the object alive.
class ClaimRunner : public std::enable_shared_from_this<ClaimRunner>
{
public:
    /// Receives events for the request's flow, on the executor.
    using FlowEventHandler = std::function<void(pomeloport::FlowEvent event)>;

    /// Creates the runner of a non-idempotent request. Returns null if the router has no platform.
    static std::shared_ptr<ClaimRunner> make(std::shared_ptr<RouterCore> core,
                                             const boost::asio::any_io_executor &executor,
                                             const pomeloport::StreamAddress &self,
                                             const pomeloport::RequestSpec &specification,
                                             FlowEventHandler flowEventHandler);

    ClaimRunner(std::shared_ptr<RouterCore> core,
                const boost::asio::any_io_executor &executor,
                const pomeloport::StreamAddress &self,
                const pomeloport::RequestSpec &specification,
                FlowEventHandler flowEventHandler);

    /// Starts to acquire the claim.
    void acquire();

    /// Starts to release the claim of an action that was not sent.
    void release();

    /// Starts to record the answer of the action in the claim.
    void record(std::string answer);

    /// The state of the claim as reported to a peer that asks for it.
    pomeloport::link::ClaimHolderState holderState() const;

    /// Whether a release or record has started and not completed.
    bool settlementPending() const;

private:
    void feed(const pomeloport::ClaimEvent &event);
    void execute(pomeloport::claimaction::CallStore &action);
    void execute(pomeloport::claimaction::AskHolder &action);
    void execute(pomeloport::claimaction::Tell &action);
    void execute(pomeloport::claimaction::ArmRetry &action);
    void handleHolderReply(pomeloport::link::ClaimHolderState state);

    std::shared_ptr<RouterCore> m_core;
    boost::asio::any_io_executor m_executor;
    boost::asio::steady_timer m_timer;
    pomeloport::ClaimKey m_key;
    pomeloport::ClaimStateMachine m_keeper;
    FlowEventHandler m_flowEventHandler;
    bool m_settlementStarted = false;
};

} // namespace pomelorouter
