#pragma once

#include "pomeloport/coordination/requestflow.h"
#include "pomeloport/protocol/linkmessages.h"
#include "pomeloport/protocol/snapshotassembler.h"
#include "pomeloport/transport/framedlink.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

namespace pomelorouter
{

struct RouterCore;

/// The router's link to the controller of its instance. Thread-safe. While the controller is not connected, the router
/// keeps its last snapshot, and queries fail at once.
class ControllerLink : public std::enable_shared_from_this<ControllerLink>
{
public:
    /// Receives GroupGranted or GroupRefused.
    using GroupCallback = std::function<void(pomeloport::FlowEvent event)>;
    /// Receives the state reported by the holder of a claim, or Unreachable.
    using HolderCallback = std::function<void(pomeloport::link::ClaimHolderState state)>;

    /// The core must outlive the link.
    explicit ControllerLink(RouterCore &core);

    /// Starts connecting. Returns false and sets the last reason if the address is malformed.
    bool start();

    /// Requests a reservation of a group of engines. Assigns the query number of the message.
    void reserveGroup(pomeloport::link::GroupReserve message, GroupCallback callback);

    /// Gives a reservation back.
    void releaseGroup(pomeloport::link::GroupRelease message);

    /// Asks the holder of a claim for its state. Assigns the query number of the message.
    void askHolder(pomeloport::link::ClaimHolderQuery message, HolderCallback callback);

    /// Sends the router's status to the controller at once, besides the periodic reports.
    void sendStatus();

private:
    using QueryId = std::uint64_t;

    void send(const pomeloport::LinkMessage &message);
    void armStatusTimer();
    void opened();
    void closed();
    void received(const std::string &bytes);
    void completeGroupQuery(QueryId query, pomeloport::FlowEvent event);
    void completeHolderQuery(QueryId query, pomeloport::link::ClaimHolderState state);

    void handle(pomeloport::link::SnapshotUpdate &message);
    void handle(const pomeloport::link::CacheUpdate &message);
    void handle(const pomeloport::link::GroupGranted &message);
    void handle(const pomeloport::link::GroupRefused &message);
    void handle(const pomeloport::link::LiveStreamsQuery &message);
    void handle(const pomeloport::link::ClaimHolderQuery &message);
    void handle(const pomeloport::link::ClaimHolderReply &message);
    void handle(const pomeloport::link::Drain &message);

    RouterCore &m_core;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<pomeloport::FramedClient> m_client;
    pomeloport::SnapshotAssembler m_assembler;
    std::mutex m_mutex;
    QueryId m_lastQueryId = 0;
    std::unordered_map<QueryId, GroupCallback> m_groupCallbacks;
    std::unordered_map<QueryId, HolderCallback> m_holderCallbacks;
};

} // namespace pomelorouter
