#include "pomeloport/coordination/eligibility.h"

#include <algorithm>
#include <string_view>

namespace pomeloport
{

namespace
{

// Returns the model name of an entry of the form "model", "model+adapter" or "model@version".
std::string_view modelOf(std::string_view entry)
{
    return entry.substr(0, entry.find_first_of("+@"));
}

bool holdsEntry(const std::vector<std::string> &loaded,
                const std::string &model,
                char separator,
                const std::string &part)
{
    if (part.empty()) {
        return true;
    }
    const auto wanted = model + separator + part;
    return std::ranges::find(loaded, wanted) != loaded.end();
}

bool isEligible(const PoolKey &key, const BackendView &backend)
{
    if (backend.server.kind != key.kind || backend.state != BackendState::Live || backend.report.leaving) {
        return false;
    }
    if (!matches(Selector{key.engines}, backend.server.labels)) {
        return false;
    }
    return key.kind == BackendKind::Service || holdsModel(backend, key.model, key.adapter, key.version);
}

} // namespace

bool holdsModel(const BackendView &backend,
                const std::string &model,
                const std::string &adapter,
                const std::string &version)
{
    const auto &loaded = backend.report.sequence == 0 ? backend.server.load : backend.report.loaded;
    const bool hasModel = std::ranges::any_of(loaded, [&model](const auto &entry) { return modelOf(entry) == model; });
    return hasModel && holdsEntry(loaded, model, '+', adapter) && holdsEntry(loaded, model, '@', version);
}

PoolKey poolKey(const RequestSpec &request)
{
    return {request.backendKind, request.model, request.adapter, request.version, request.engines.matchLabels};
}

std::vector<std::uint32_t> poolMembers(const PoolKey &key, const Snapshot &snapshot)
{
    std::vector<std::uint32_t> members;
    for (std::uint32_t index = 0; index < snapshot.backends.size(); ++index) {
        if (isEligible(key, snapshot.backends[index])) {
            members.push_back(index);
        }
    }
    return members;
}

} // namespace pomeloport
