#pragma once

#include "snipeferry/gateway/model.h"

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <string>
#include <vector>

namespace snipeferry::gateway {

/** One deployment version with the indices that requests need. Immutable. */
class RouteTable
{
public:
    explicit RouteTable(Deployment deployment);

    const Deployment &deployment() const;

    /** @brief The route of the host with the longest prefix of the path, or nullptr. */
    const Route *findRoute(const std::string &host, const std::string &target) const;

    /** @brief The customer that holds a key, or nullptr. */
    const Customer *findCustomerByKey(const std::string &keyDigest) const;
    const Customer *findCustomer(const core::CustomerId &id) const;
    const Service *findService(const core::ServiceId &id) const;

    /** @brief Whether requests need a key at all. */
    bool hasCustomers() const;

private:
    Deployment m_deployment;
    /** Routes of each host, longest prefix first. */
    absl::flat_hash_map<std::string, std::vector<const Route *>> m_routesByHost;
    absl::flat_hash_map<std::string, const Customer *> m_customersByKey;
    absl::flat_hash_map<core::CustomerId, const Customer *> m_customers;
    absl::flat_hash_map<core::ServiceId, const Service *> m_services;
};

/** @brief Whether a region may serve what is bound to some regions; an empty list binds nothing. */
bool isHomeRegion(const std::vector<core::RegionId> &homes, const core::RegionId &region);

} // namespace snipeferry::gateway
