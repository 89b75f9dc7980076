#pragma once

#include "snipeferry/configuration/configuration.h"

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <string>
#include <vector>

namespace snipeferry::configuration {

/** Hash indexes of a configuration. The index is immutable and shares ownership of the configuration. */
class ConfigurationIndex
{
public:
    explicit ConfigurationIndex(std::shared_ptr<const Configuration> configuration);

    const std::shared_ptr<const Configuration> &configuration() const;

    /** @brief Finds a service by identifier, or nullptr. */
    const Service *service(const core::ServiceId &id) const;

    /** @brief Finds the model engine service that serves a model name, or nullptr. */
    const Service *model(const std::string &model) const;

    /** @brief Finds a customer by identifier, or nullptr. */
    const Customer *customer(const core::CustomerId &id) const;

    /** @brief Finds the customer with a key by the key's digest, or nullptr. */
    const Customer *customerByKey(const std::string &keyDigest) const;

    /** @brief Returns the region of a data centre, or an empty identifier if the data centre is unknown. */
    core::RegionId regionOf(const core::DataCentreId &dataCentre) const;

    /** @brief Returns the digests of all keys, in unspecified order. */
    std::vector<std::string> keyDigests() const;

private:
    std::shared_ptr<const Configuration> m_configuration;
    absl::flat_hash_map<core::ServiceId, const Service *> m_services;
    absl::flat_hash_map<std::string, const Service *> m_models;
    absl::flat_hash_map<core::CustomerId, const Customer *> m_customers;
    absl::flat_hash_map<std::string, const Customer *> m_keys;
    absl::flat_hash_map<core::DataCentreId, core::RegionId> m_regions;
};

} // namespace snipeferry::configuration
