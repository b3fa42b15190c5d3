#pragma once

#include "routercore.h"

#include "pomeloport/transport/httpserver.h"

#include <memory>
#include <string>

/// HTTP interface of the router: handlers of the callers' resources and dispatch to the operators' ones.
namespace pomelorouter
{

/// Dispatches an HTTP request by method and path. Runs on the connection's executor.
void handleExchange(const std::shared_ptr<RouterCore> &core, const std::shared_ptr<pomeloport::HttpExchange> &exchange);

/// POST /v1/requests: admits a request and starts its session.
void submitRequest(const std::shared_ptr<RouterCore> &core, const std::shared_ptr<pomeloport::HttpExchange> &exchange);

/// DELETE /v1/requests/ID: cancels an open request of the caller's organisation.
void cancelRequest(const std::shared_ptr<RouterCore> &core,
                   const std::shared_ptr<pomeloport::HttpExchange> &exchange,
                   const std::string &id);

/// GET /v1/actions/KEY: reports the state of a non-idempotent action, read from its claim in the platform's store.
void reportAction(const std::shared_ptr<RouterCore> &core,
                  const std::shared_ptr<pomeloport::HttpExchange> &exchange,
                  const std::string &key);

/// GET /v1/endpoints: reports the addresses that callers may connect to.
void reportEndpoints(const RouterCore &core, pomeloport::HttpExchange &exchange);

/// Any method on /v1/operator/RESOURCE: checks the operator's token and serves the resource.
void handleOperator(const std::shared_ptr<RouterCore> &core,
                    const std::shared_ptr<pomeloport::HttpExchange> &exchange,
                    const std::string &resource);

} // namespace pomelorouter
