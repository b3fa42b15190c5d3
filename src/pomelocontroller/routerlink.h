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

/// Accepts the link of the instance's own router. The latest connection counts. Runs on the context's only thread.
class RouterLink : public std::enable_shared_from_this<RouterLink>
{
public:
    /// Called for connection, messages and loss of the router.
    struct Handlers
    {
        std::function<void()> connected;
        std::function<void(pomeloport::LinkMessage)> received;
        std::function<void()> lost;
    };

    /// Listens. Returns null, with a last reason, on failure.
    static std::shared_ptr<RouterLink> listen(boost::asio::io_context &context,
                                              const std::string &address,
                                              const std::string &key,
                                              Handlers handlers);

    /// Sends a message; returns whether a router is connected.
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
