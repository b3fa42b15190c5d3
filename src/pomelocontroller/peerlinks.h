#pragma once

#include "pomeloport/protocol/peermessages.h"
#include "pomeloport/transport/framedlink.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace pomelocontroller
{

/// Sends and receives queries between controllers over framed TCP connections. Connections are opened on demand and
/// closed by retainOnly(). Not thread safe: all calls and callbacks run on the context's single thread.
class PeerLinks : public std::enable_shared_from_this<PeerLinks>
{
public:
    /// Receives the reply, or nothing if the query timed out or the connection to the peer was lost.
    using ReplyCallback = std::function<void(const std::optional<pomeloport::PeerMessage> &)>;
    /// Sends a reply to the peer that sent the query; sets the reply's query number.
    using Responder = std::function<void(const pomeloport::PeerMessage &)>;
    /// Handles a query or notification of a peer.
    using QueryHandler = std::function<void(pomeloport::PeerMessage, Responder)>;

    PeerLinks(boost::asio::io_context &context, std::string key);

    /// Accepts connections of peers. On failure, returns false and sets the last reason.
    bool listen(const std::string &address, QueryHandler handler);

    /// Sends a query and sets its query number. The callback is called exactly once.
    void query(const std::string &address,
               pomeloport::PeerMessage message,
               std::chrono::milliseconds timeout,
               ReplyCallback callback);

    /// Sends a message that expects no reply.
    void notify(const std::string &address, const pomeloport::PeerMessage &message);

    /// Closes the connections to all other addresses and fails the queries pending there.
    void retainOnly(const std::set<std::string> &addresses);

private:
    struct Peer
    {
        std::shared_ptr<pomeloport::FramedClient> client;
        bool open = false;
        /// Encoded messages to send once the connection is open.
        std::vector<std::string> queuedMessages;
    };
    struct PendingQuery
    {
        ReplyCallback callback;
        std::string address;
        std::shared_ptr<boost::asio::steady_timer> timer;
    };

    void send(const std::string &address, std::string bytes);
    std::shared_ptr<pomeloport::FramedClient> connect(const std::string &address);
    void opened(const std::string &address);
    void closed(const std::string &address);
    void failPending(const std::function<bool(const std::string &address)> &fails);
    void received(const std::string &bytes);
    void completeQuery(std::uint64_t query, const std::optional<pomeloport::PeerMessage> &reply);

    boost::asio::io_context &m_context;
    std::string m_key;
    std::shared_ptr<pomeloport::FramedServer> m_server;
    std::map<std::string, Peer> m_peerLinks;
    std::map<std::uint64_t, PendingQuery> m_pending;
    std::uint64_t m_lastQuery = 0;
};

/// Query number of a query or reply; 0 for a message that has none.
std::uint64_t queryNumber(const pomeloport::PeerMessage &message);

/// Sets the query number; has no effect on a message that has none.
void setQueryNumber(pomeloport::PeerMessage &message, std::uint64_t query);

} // namespace pomelocontroller
