#include "pomelorouter/router.h"

#include "callerapi.h"
#include "controllerlink.h"
#include "requestsession.h"
#include "routercore.h"

namespace pomelorouter
{

using namespace pomeloport;

Router::Router(std::shared_ptr<RouterCore> core)
    : m_core(std::move(core))
{
}

Router::~Router() = default;

std::shared_ptr<Router> Router::start(boost::asio::io_context &context,
                                      const RouterSettings &settings,
                                      std::uint64_t incarnation)
{
    auto core = std::make_shared<RouterCore>(context, settings, incarnation);
    if (!settings.controller.empty()) {
        core->link = std::make_shared<ControllerLink>(*core);
        if (!core->link->start()) {
            return nullptr;
        }
    }
    core->server = HttpServer::listen(context,
                                      settings.listen,
                                      settings.http,
                                      [weak = std::weak_ptr(core)](const std::shared_ptr<HttpExchange> &exchange) {
                                          if (const auto held = weak.lock()) {
                                              handleExchange(held, exchange);
                                          }
                                      });
    if (!core->server) {
        return nullptr;
    }
    return std::shared_ptr<Router>(new Router(std::move(core)));
}

std::string Router::address() const
{
    return m_core->server->address();
}

void Router::publish(std::shared_ptr<const Snapshot> snapshot)
{
    m_core->publish(std::move(snapshot), Instant::max());
}

void Router::drain()
{
    m_core->drain();
}

void Router::endDrain()
{
    m_core->endDrain();
}

void Router::onDrained(std::function<void()> handler)
{
    m_core->onDrained = std::move(handler);
}

bool Router::gaveUpRequests() const
{
    return m_core->gaveUpRequests;
}

std::uint64_t Router::openRequests() const
{
    return m_core->openRequests;
}

} // namespace pomelorouter
