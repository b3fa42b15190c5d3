#include "peerlinks.h"

#include "pomeloport/lastreason.h"
#include "pomeloport/logging.h"

namespace pomelocontroller
{

using namespace pomeloport;

namespace
{

/// Messages queued for a peer that is not connected yet; further ones are dropped.
constexpr std::size_t MaximumQueuedMessages = 256;

} // namespace

std::uint64_t queryNumber(const PeerMessage &message)
{
    return std::visit(
        [](const auto &value) -> std::uint64_t {
            if constexpr (requires { value.query; }) {
                return value.query;
            } else {
                return 0;
            }
        },
        message);
}

void setQueryNumber(PeerMessage &message, std::uint64_t query)
{
    std::visit(
        [query](auto &value) {
            if constexpr (requires { value.query; }) {
                value.query = query;
            }
        },
        message);
}

PeerLinks::PeerLinks(boost::asio::io_context &context, std::string key)
    : m_context(context)
    , m_key(std::move(key))
{
}

bool PeerLinks::listen(const std::string &address, QueryHandler handler)
{
    FramedHandlers framed;
    framed.opened = [](const auto &) {
    };
    framed.closed = [](const auto &) {
    };
    framed.received = [handler = std::move(handler)](const auto &connection, const std::string &bytes) {
        auto message = decodePeerMessage(bytes);
        if (!message) {
            logEvent(LogLevel::Warning, "peer_message_rejected", {{"reason", lastReason()}});
            return;
        }
        const auto number = queryNumber(*message);
        handler(std::move(*message), [connection, number](PeerMessage reply) {
            setQueryNumber(reply, number);
            connection->send(encode(reply));
        });
    };
    m_server = FramedServer::listen(m_context, address, m_key, {}, std::move(framed));
    return m_server != nullptr;
}

void PeerLinks::query(const std::string &address,
                      PeerMessage message,
                      std::chrono::milliseconds timeout,
                      ReplyCallback callback)
{
    const auto number = ++m_lastQuery;
    setQueryNumber(message, number);
    auto timer = std::make_shared<boost::asio::steady_timer>(m_context, timeout);
    timer->async_wait([weak = weak_from_this(), number](const boost::system::error_code &error) {
        const auto self = weak.lock();
        if (!error && self) {
            self->completeQuery(number, std::nullopt);
        }
    });
    m_pending[number] = {std::move(callback), address, std::move(timer)};
    send(address, encode(message));
}

void PeerLinks::notify(const std::string &address, const PeerMessage &message)
{
    send(address, encode(message));
}

void PeerLinks::send(const std::string &address, std::string bytes)
{
    auto &peer = m_peerLinks[address];
    if (!peer.client) {
        peer.client = connect(address);
    }
    if (peer.open) {
        peer.client->send(std::move(bytes));
    } else if (peer.client && peer.queuedMessages.size() < MaximumQueuedMessages) {
        peer.queuedMessages.push_back(std::move(bytes));
    }
}

std::shared_ptr<FramedClient> PeerLinks::connect(const std::string &address)
{
    const auto weak = weak_from_this();
    FramedHandlers framed;
    framed.opened = [weak, address](const auto &) {
        if (const auto self = weak.lock()) {
            self->opened(address);
        }
    };
    framed.received = [weak](const auto &, const std::string &bytes) {
        if (const auto self = weak.lock()) {
            self->received(bytes);
        }
    };
    framed.closed = [weak, address](const auto &) {
        if (const auto self = weak.lock()) {
            self->closed(address);
        }
    };
    return FramedClient::start(m_context, address, m_key, {}, std::move(framed));
}

void PeerLinks::opened(const std::string &address)
{
    const auto peer = m_peerLinks.find(address);
    if (peer == m_peerLinks.end()) {
        return;
    }
    peer->second.open = true;
    for (auto &bytes : std::exchange(peer->second.queuedMessages, {})) {
        peer->second.client->send(std::move(bytes));
    }
}

void PeerLinks::closed(const std::string &address)
{
    const auto peer = m_peerLinks.find(address);
    if (peer != m_peerLinks.end()) {
        peer->second.open = false;
    }
    failPending([&address](const std::string &peerAddress) { return peerAddress == address; });
}

void PeerLinks::failPending(const std::function<bool(const std::string &address)> &fails)
{
    std::vector<std::uint64_t> failed;
    for (const auto &[number, pending] : m_pending) {
        if (fails(pending.address)) {
            failed.push_back(number);
        }
    }
    for (const auto number : failed) {
        completeQuery(number, std::nullopt);
    }
}

void PeerLinks::received(const std::string &bytes)
{
    const auto message = decodePeerMessage(bytes);
    if (message) {
        completeQuery(queryNumber(*message), message);
    }
}

void PeerLinks::completeQuery(std::uint64_t query, const std::optional<PeerMessage> &reply)
{
    auto pending = m_pending.extract(query);
    if (pending) {
        pending.mapped().timer->cancel();
        pending.mapped().callback(reply);
    }
}

void PeerLinks::retainOnly(const std::set<std::string> &addresses)
{
    std::erase_if(m_peerLinks, [&](const auto &entry) { return !addresses.contains(entry.first); });
    failPending([&addresses](const std::string &peerAddress) { return !addresses.contains(peerAddress); });
}

} // namespace pomelocontroller
