#pragma once

#include "pomeloport/protocol/linkmessages.h"
#include "pomeloport/transport/framedlink.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace pomelocontroller
{

/// Accepts the connection of the instance's own router. A new connection replaces the previous one. Not thread safe:
/// all calls and handlers run on the context's single thread.
class RouterLink : public std::enable_shared_from_this<RouterLink>
{
public:
    struct Handlers
    {
        std::function<void()> connected;
        std::function<void(pomeloport::LinkMessage)> received;
        /// The current connection was closed; not called when a new connection replaces it.
        std::function<void()> lost;
    };

    /// Starts to listen. On failure, returns null and sets the last reason.
    static std::shared_ptr<RouterLink> listen(boost::asio::io_context &context,
                                              const std::string &address,
                                              const std::string &key,
                                              Handlers handlers);

    /// Sends a message. Returns false if no router is connected or the connection did not accept the message.
    bool send(const pomeloport::LinkMessage &message);

    bool connected() const
    {
        return m_connection != nullptr;
    }

private:
    void opened(const std::shared_ptr<pomeloport::FramedConnection> &connection);
    void closed(const std::shared_ptr<pomeloport::FramedConnection> &connection);
    void received(const std::shared_ptr<pomeloport::FramedConnection> &connection, const std::string &bytes);

    Handlers m_handlers;
    std::shared_ptr<pomeloport::FramedServer> m_server;
    std::shared_ptr<pomeloport::FramedConnection> m_connection;
};

} // namespace pomelocontroller
