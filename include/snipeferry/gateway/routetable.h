#pragma once

#include "snipeferry/gateway/model.h"

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <string>
#include <vector>

namespace snipeferry::gateway {

/** Immutable lookup tables for one deployment version. */
class RouteTable
{
public:
    explicit RouteTable(Deployment deployment);

    const Deployment &deployment() const;

    /** @brief Finds the route of a host with the longest prefix that matches the path; nullptr if there is none. */
    const Route *findRoute(const std::string &host, const std::string &target) const;

    /** @brief Finds the customer to which a key belongs; nullptr if there is none. */
    const Customer *findCustomerByKey(const std::string &keyDigest) const;
    const Customer *findCustomer(const core::CustomerId &id) const;
    const Service *findService(const core::ServiceId &id) const;

    /** @brief The smallest priority of the routes that lead to a service, which is the most urgent one; 0 for an unknown service. */
    int mostUrgentPriority(const core::ServiceId &service) const;

    /** @brief Whether the deployment has customers. If not, no request needs a key. */
    bool hasCustomers() const;

private:
    Deployment m_deployment;
    /** Routes of each host by lower-case name, longest prefix first. */
    absl::flat_hash_map<std::string, std::vector<const Route *>> m_routesByHost;
    absl::flat_hash_map<std::string, const Customer *> m_customersByKey;
    absl::flat_hash_map<core::CustomerId, const Customer *> m_customers;
    absl::flat_hash_map<core::ServiceId, const Service *> m_services;
    absl::flat_hash_map<core::ServiceId, int> m_mostUrgentPriorities;
};

/** @brief Whether a list of permitted regions contains a region. An empty list permits all. */
bool isHomeRegion(const std::vector<core::RegionId> &homes, const core::RegionId &region);

} // namespace snipeferry::gateway
