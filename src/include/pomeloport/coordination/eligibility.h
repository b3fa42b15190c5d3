#pragma once

#include "pomeloport/coordination/route.h"
#include "pomeloport/state/snapshot.h"

#include <cstdint>
#include <string>
#include <vector>

/// Which backend servers can serve a request at all, by kind, labels, model, adapter, version and state.
namespace pomeloport
{

/// Returns whether the backend server holds the model with the adapter and the version asked for. Servers that have
/// not reported yet count with what they are declared to load.
bool holdsModel(const BackendView &backend,
                const std::string &model,
                const std::string &adapter,
                const std::string &version);

/// What a request asks of a backend server, apart from capacity. Requests with equal needs share one pool.
struct PoolKey
{
    BackendKind kind = BackendKind::Engine;
    std::string model;
    std::string adapter;
    std::string version;
    Labels engines;

    auto operator<=>(const PoolKey &) const = default;
};

/// Returns the key of the pool that serves the request.
PoolKey poolKey(const RequestSpec &request);

/// Returns the indices into the snapshot's backends of all live servers that fit the key.
std::vector<std::uint32_t> poolMembers(const PoolKey &key, const Snapshot &snapshot);

} // namespace pomeloport
