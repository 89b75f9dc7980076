#include "snipeferry/gateway/routetable.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>

#include <algorithm>

namespace snipeferry::gateway {

RouteTable::RouteTable(Deployment deployment)
    : m_deployment(std::move(deployment))
{
    for (const Route &route : m_deployment.routes) {
        m_routesByHost[absl::AsciiStrToLower(route.host)].push_back(&route);
        for (const WeightedService &weightedService : route.services) {
            const auto inserted = m_mostUrgentPriorities.emplace(weightedService.service, route.priority);
            inserted.first->second = std::min(inserted.first->second, route.priority);
        }
    }
    for (auto &entry : m_routesByHost) {
        std::stable_sort(
            entry.second.begin(), entry.second.end(), [](const Route *left, const Route *right) { return left->pathPrefix.size() > right->pathPrefix.size(); });
    }
    for (const Customer &customer : m_deployment.customers) {
        m_customers[customer.id] = &customer;
        for (const std::string &digest : customer.keyDigests) {
            m_customersByKey[digest] = &customer;
        }
    }
    for (const Service &service : m_deployment.services) {
        m_services[service.id] = &service;
    }
}

const Deployment &RouteTable::deployment() const
{
    return m_deployment;
}

const Route *RouteTable::findRoute(const std::string &host, const std::string &target) const
{
    const auto routes = m_routesByHost.find(absl::AsciiStrToLower(host));
    if (routes == m_routesByHost.end()) {
        return nullptr;
    }
    const std::string path = target.substr(0, target.find('?'));
    for (const Route *route : routes->second) {
        if (absl::StartsWith(path, route->pathPrefix)) {
            return route;
        }
    }
    return nullptr;
}

const Customer *RouteTable::findCustomerByKey(const std::string &keyDigest) const
{
    const auto it = m_customersByKey.find(keyDigest);
    return it == m_customersByKey.end() ? nullptr : it->second;
}

const Customer *RouteTable::findCustomer(const core::CustomerId &id) const
{
    const auto it = m_customers.find(id);
    return it == m_customers.end() ? nullptr : it->second;
}

const Service *RouteTable::findService(const core::ServiceId &id) const
{
    const auto it = m_services.find(id);
    return it == m_services.end() ? nullptr : it->second;
}

int RouteTable::mostUrgentPriority(const core::ServiceId &service) const
{
    const auto it = m_mostUrgentPriorities.find(service);
    return it == m_mostUrgentPriorities.end() ? 0 : it->second;
}

bool RouteTable::hasCustomers() const
{
    return !m_deployment.customers.empty();
}

bool isHomeRegion(const std::vector<core::RegionId> &homes, const core::RegionId &region)
{
    return homes.empty() || std::find(homes.begin(), homes.end(), region) != homes.end();
}

} // namespace snipeferry::gateway
