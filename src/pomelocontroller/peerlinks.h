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

/// Queries between controllers over framed TCP. Connections to peers are opened on demand and closed when the peer is
/// no longer among the instances. Runs on the context's only thread.
class PeerLinks : public std::enable_shared_from_this<PeerLinks>
{
public:
    /// Receives the reply, or nothing when the peer did not answer in time.
    using ReplyCallback = std::function<void(const std::optional<pomeloport::PeerMessage> &)>;
    /// Sends a reply to the asking peer.
    using Responder = std::function<void(const pomeloport::PeerMessage &)>;
    /// Handles a query of a peer.
    using QueryHandler = std::function<void(pomeloport::PeerMessage, Responder)>;

    PeerLinks(boost::asio::io_context &context, std::string key);

    /// Accepts peers. Returns false, with a last reason, on failure.
    bool listen(const std::string &address, QueryHandler handler);

    /// Sends a query; its number is set here. The callback is called once.
    void query(const std::string &address,
               pomeloport::PeerMessage message,
               std::chrono::milliseconds timeout,
               ReplyCallback callback);

    /// Sends a message that is not answered.
    void tell(const std::string &address, const pomeloport::PeerMessage &message);

    /// Closes connections to all other addresses and fails the queries under way there.
    void keep(const std::set<std::string> &addresses);

private:
    struct Peer
    {
        std::shared_ptr<pomeloport::FramedClient> client;
        bool open = false;
        /// Messages that wait for the connection.
        std::vector<std::string> waiting;
    };
    struct Pending
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
    void settle(std::uint64_t query, const std::optional<pomeloport::PeerMessage> &reply);

    boost::asio::io_context &m_context;
    std::string m_key;
    std::shared_ptr<pomeloport::FramedServer> m_server;
    std::map<std::string, Peer> m_peers;
    std::map<std::uint64_t, Pending> m_pending;
    std::uint64_t m_lastQuery = 0;
};

/// The number of a query or reply; 0 for a message that has none.
std::uint64_t queryOf(const pomeloport::PeerMessage &message);

/// Sets the number of a query or reply.
void setQuery(pomeloport::PeerMessage &message, std::uint64_t query);

} // namespace pomelocontroller
