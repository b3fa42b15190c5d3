#pragma once

#include "pomeloport/coordination/route.h"
#include "pomeloport/state/snapshot.h"

#include <cstdint>
#include <string>
#include <vector>

/// Selects the backend servers that are able to serve a request, by kind, labels, model, adapter, version and state.
namespace pomeloport
{

/// Returns whether the backend server has loaded the model with the requested adapter and version. Servers without a
/// report are judged by the models that they are declared to load.
bool holdsModel(const BackendView &backend,
                const std::string &model,
                const std::string &adapter,
                const std::string &version);

/// Requirements of a request on a backend server, apart from capacity. Requests with equal requirements share one pool.
struct PoolKey
{
    BackendKind kind = BackendKind::Engine;
    std::string model;
    std::string adapter;
    std::string version;
    /// Labels that the server must have.
    Labels engines;

    auto operator<=>(const PoolKey &) const = default;
};

PoolKey poolKey(const RequestSpec &request);

/// Returns the indices into the snapshot's backends of all live servers that meet the requirements of the key.
std::vector<std::uint32_t> poolMembers(const PoolKey &key, const Snapshot &snapshot);

} // namespace pomeloport
