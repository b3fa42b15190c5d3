#include "pomeloentry/decisions/regionfilter.h"

#include <algorithm>

namespace pomeloentry
{

namespace
{

bool allows(const AllowedRegions &allowed, const std::string &region)
{
    return !allowed || std::ranges::find(*allowed, region) != allowed->end();
}

} // namespace

RegionFilter::RegionFilter(const AllowedRegions &route,
                           const AllowedRegions &organisation,
                           const RegionOfDomain &regions)
{
    if (!route && !organisation) {
        return;
    }
    m_domains.emplace();
    for (const auto &[domain, region] : regions) {
        if (allows(route, region) && allows(organisation, region)) {
            m_domains->push_back(domain);
        }
    }
}

bool RegionFilter::restricts() const
{
    return m_domains.has_value();
}

bool RegionFilter::permits(const std::string &failureDomain) const
{
    return !m_domains || std::ranges::binary_search(*m_domains, failureDomain);
}

bool RegionFilter::permitsNone() const
{
    return m_domains && m_domains->empty();
}

std::string RegionFilter::queueName(const std::string &service) const
{
    std::string name = service;
    if (m_domains) {
        for (const auto &domain : *m_domains) {
            name += '\n' + domain;
        }
    }
    return name;
}

} // namespace pomeloentry
