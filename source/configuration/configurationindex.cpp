#include "snipeferry/configuration/configurationindex.h"

#include <utility>

namespace snipeferry::configuration {

namespace {

template<typename Map, typename Key>
typename Map::mapped_type find(const Map &map, const Key &key)
{
    const auto it = map.find(key);
    return it == map.end() ? typename Map::mapped_type() : it->second;
}

} // namespace

ConfigurationIndex::ConfigurationIndex(std::shared_ptr<const Configuration> configuration)
    : m_configuration(std::move(configuration))
{
    for (const Service &service : m_configuration->services) {
        m_services.emplace(service.id, &service);
        if (service.type == ServiceType::ModelEngine) {
            m_models.emplace(service.model, &service);
        }
    }
    for (const Customer &customer : m_configuration->customers) {
        m_customers.emplace(customer.id, &customer);
        for (const std::string &digest : customer.keyDigests) {
            m_keys.emplace(digest, &customer);
        }
    }
    for (const Region &region : m_configuration->regions) {
        for (const DataCentre &dataCentre : region.dataCentres) {
            m_regions.emplace(dataCentre.id, region.id);
        }
    }
}

const std::shared_ptr<const Configuration> &ConfigurationIndex::configuration() const
{
    return m_configuration;
}

const Service *ConfigurationIndex::service(const core::ServiceId &id) const
{
    return find(m_services, id);
}

const Service *ConfigurationIndex::model(const std::string &model) const
{
    return find(m_models, model);
}

const Customer *ConfigurationIndex::customer(const core::CustomerId &id) const
{
    return find(m_customers, id);
}

const Customer *ConfigurationIndex::customerByKey(const std::string &keyDigest) const
{
    return find(m_keys, keyDigest);
}

core::RegionId ConfigurationIndex::regionOf(const core::DataCentreId &dataCentre) const
{
    return find(m_regions, dataCentre);
}

std::vector<std::string> ConfigurationIndex::keyDigests() const
{
    std::vector<std::string> digests;
    digests.reserve(m_keys.size());
    for (const auto &[digest, customer] : m_keys) {
        digests.push_back(digest);
    }
    return digests;
}

} // namespace snipeferry::configuration
