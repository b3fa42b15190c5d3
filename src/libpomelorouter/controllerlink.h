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

/// The router's link to the controller of its instance. Safe from any thread. Without a controller the router goes on
/// with its last snapshot, and queries are answered as failed.
class ControllerLink : public std::enable_shared_from_this<ControllerLink>
{
public:
    /// Receives GroupGranted or GroupRefused.
    using GroupCallback = std::function<void(pomeloport::FlowEvent event)>;
    /// Receives what the holder of a claim says.
    using HolderCallback = std::function<void(pomeloport::link::ClaimHolderState state)>;

    /// The core must outlive the link.
    explicit ControllerLink(RouterCore &core);

    /// Starts connecting. Returns false, with a last reason, for a malformed address.
    bool start();

    /// Asks for a group of engines; the query number is chosen here.
    void reserveGroup(pomeloport::link::GroupReserve message, GroupCallback callback);

    /// Returns a reservation.
    void releaseGroup(pomeloport::link::GroupRelease message);

    /// Asks the holder of a claim; the query number is chosen here.
    void askHolder(pomeloport::link::ClaimHolderQuery message, HolderCallback callback);

    /// Reports the router's status now.
    void sendStatus();

private:
    using Query = std::uint64_t;

    void send(const pomeloport::LinkMessage &message);
    void armStatusTimer();
    void opened();
    void closed();
    void received(const std::string &bytes);
    void groupSettled(Query query, pomeloport::FlowEvent event);
    void holderSettled(Query query, pomeloport::link::ClaimHolderState state);

    void take(pomeloport::link::SnapshotUpdate &message);
    void take(const pomeloport::link::CacheUpdate &message);
    void take(const pomeloport::link::GroupGranted &message);
    void take(const pomeloport::link::GroupRefused &message);
    void take(const pomeloport::link::LiveStreamsQuery &message);
    void take(const pomeloport::link::ClaimHolderQuery &message);
    void take(const pomeloport::link::ClaimHolderReply &message);
    void take(const pomeloport::link::Drain &message);

    RouterCore &m_core;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<pomeloport::FramedClient> m_client;
    pomeloport::SnapshotAssembler m_assembler;
    std::mutex m_mutex;
    Query m_lastQuery = 0;
    std::unordered_map<Query, GroupCallback> m_groups;
    std::unordered_map<Query, HolderCallback> m_holders;
};

} // namespace pomelorouter
