#pragma once

#include "routercore.h"

#include "pomeloport/transport/httpserver.h"

#include <memory>
#include <string>

/// The callers' HTTP interface.
namespace pomelorouter
{

/// Answers one request of any kind; dispatches by method and path. Runs on the connection's executor.
void handleExchange(const std::shared_ptr<RouterCore> &core, const std::shared_ptr<pomeloport::HttpExchange> &exchange);

/// Requests /v1/requests: admits a request and starts its session.
void submitRequest(const std::shared_ptr<RouterCore> &core, const std::shared_ptr<pomeloport::HttpExchange> &exchange);

/// DELETE /v1/requests/ID: cancels a request of the caller's organisation.
void cancelRequest(const std::shared_ptr<RouterCore> &core,
                   const std::shared_ptr<pomeloport::HttpExchange> &exchange,
                   const std::string &id);

/// GET /v1/actions/KEY: the state of a non-idempotent action, from its claim in the platform's store.
void reportAction(const std::shared_ptr<RouterCore> &core,
                  const std::shared_ptr<pomeloport::HttpExchange> &exchange,
                  const std::string &key);

/// GET /v1/endpoints: addresses to connect to.
void reportEndpoints(const RouterCore &core, pomeloport::HttpExchange &exchange);

/// Requests under /v1/operator/.
void handleOperator(const std::shared_ptr<RouterCore> &core,
                    const std::shared_ptr<pomeloport::HttpExchange> &exchange,
                    const std::string &resource);

} // namespace pomelorouter
