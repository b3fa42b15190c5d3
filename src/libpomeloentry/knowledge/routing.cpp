#include "pomeloentry/knowledge/routing.h"

#include <xxhash.h>

#include <algorithm>

namespace pomeloentry
{

const CallRoute *RoutingTable::match(std::string_view host, std::string_view path) const
{
    const auto found = routes.find(std::string(host));
    if (found == routes.end()) {
        return nullptr;
    }
    for (const auto &route : found->second) {
        if (path.starts_with(route.prefix)) {
            return &route;
        }
    }
    return nullptr;
}

const CallOrganisation *RoutingTable::organisationOf(const std::string &key) const
{
    const auto found = organisationsByKey.find(key);
    return found == organisationsByKey.end() ? nullptr : &found->second;
}

void RoutingTable::add(CallRoute route)
{
    auto &list = routes[route.host];
    const auto longer = [](const CallRoute &left, const CallRoute &right) {
        return left.prefix.size() > right.prefix.size();
    };
    list.insert(std::upper_bound(list.begin(), list.end(), route, longer), std::move(route));
}

std::string drawService(const CallRoute &route, double draw)
{
    double total = 0;
    for (const auto &share : route.services) {
        total += share.weight;
    }
    double rest = draw * total;
    for (const auto &share : route.services) {
        rest -= share.weight;
        if (rest < 0) {
            return share.service;
        }
    }
    return route.services.empty() ? std::string() : route.services.back().service;
}

std::uint32_t backendKey(const BackendEntry &backend)
{
    return static_cast<std::uint32_t>(XXH64(backend.id.data(), backend.id.size(), backend.startedAt));
}

} // namespace pomeloentry
