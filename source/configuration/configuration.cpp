#include "snipeferry/configuration/configuration.h"

#include <algorithm>

namespace snipeferry::configuration {

const Service *findService(const Configuration &configuration, const core::ServiceId &id)
{
    const auto it = std::find_if(configuration.services.begin(), configuration.services.end(), [&](const Service &service) { return service.id == id; });
    return it == configuration.services.end() ? nullptr : &*it;
}

const Service *findModel(const Configuration &configuration, const std::string &model)
{
    const auto it = std::find_if(configuration.services.begin(), configuration.services.end(),
        [&](const Service &service) { return service.type == ServiceType::ModelEngine && service.model == model; });
    return it == configuration.services.end() ? nullptr : &*it;
}

const Customer *findCustomer(const Configuration &configuration, const core::CustomerId &id)
{
    const auto it = std::find_if(configuration.customers.begin(), configuration.customers.end(), [&](const Customer &customer) { return customer.id == id; });
    return it == configuration.customers.end() ? nullptr : &*it;
}

namespace {

/** Whether a path begins with a prefix that ends at a segment boundary: "/open" covers "/open/a" and "/open?x", but not "/openly". */
bool coversPath(const std::string &prefix, const std::string &path)
{
    if (path.compare(0, prefix.size(), prefix) != 0) {
        return false;
    }
    const bool isWhole = path.size() == prefix.size() || (!prefix.empty() && prefix.back() == '/');
    return isWhole || path[prefix.size()] == '/' || path[prefix.size()] == '?';
}

} // namespace

const Route *findRoute(const Service &service, const std::string &path)
{
    const Route *best = nullptr;
    for (const Route &route : service.routes) {
        const bool matches = coversPath(route.pathPrefix, path);
        if (matches && (best == nullptr || route.pathPrefix.size() > best->pathPrefix.size())) {
            best = &route;
        }
    }
    return best;
}

bool isRegionAllowed(const Customer &customer, const core::RegionId &region)
{
    return std::find(customer.allowedRegions.begin(), customer.allowedRegions.end(), region) != customer.allowedRegions.end();
}

core::RegionId regionOf(const Configuration &configuration, const core::DataCentreId &dataCentre)
{
    for (const Region &region : configuration.regions) {
        for (const DataCentre &candidate : region.dataCentres) {
            if (candidate.id == dataCentre) {
                return region.id;
            }
        }
    }
    return {};
}

} // namespace snipeferry::configuration
