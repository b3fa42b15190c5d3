#include "routerlink.h"

#include "pomeloport/lastreason.h"
#include "pomeloport/logging.h"

namespace pomelocontroller
{

using namespace pomeloport;

std::shared_ptr<RouterLink> RouterLink::listen(boost::asio::io_context &context,
                                               const std::string &address,
                                               const std::string &key,
                                               Handlers handlers)
{
    auto link = std::make_shared<RouterLink>();
    link->m_handlers = std::move(handlers);
    const std::weak_ptr<RouterLink> weak = link;
    FramedHandlers framed;
    framed.opened = [weak](const auto &connection) {
        if (const auto self = weak.lock()) {
            self->opened(connection);
        }
    };
    framed.received = [weak](const auto &connection, const std::string &bytes) {
        if (const auto self = weak.lock()) {
            self->received(connection, bytes);
        }
    };
    framed.closed = [weak](const auto &connection) {
        if (const auto self = weak.lock()) {
            self->closed(connection);
        }
    };
    link->m_server = FramedServer::listen(context, address, key, {}, std::move(framed));
    return link->m_server ? link : nullptr;
}

void RouterLink::opened(const std::shared_ptr<FramedConnection> &connection)
{
    const auto previous = std::exchange(m_connection, connection);
    if (previous) {
        previous->close();
    }
    m_handlers.connected();
}

void RouterLink::closed(const std::shared_ptr<FramedConnection> &connection)
{
    if (connection && connection == m_connection) {
        m_connection.reset();
        m_handlers.lost();
    }
}

void RouterLink::received(const std::shared_ptr<FramedConnection> &connection, const std::string &bytes)
{
    if (connection != m_connection) {
        return;
    }
    auto message = decodeLinkMessage(bytes);
    if (!message) {
        logEvent(LogLevel::Warning, "link_message_rejected", {{"reason", lastReason()}});
        return;
    }
    m_handlers.received(std::move(*message));
}

bool RouterLink::send(const LinkMessage &message)
{
    return m_connection && m_connection->send(encode(message));
}

} // namespace pomelocontroller
