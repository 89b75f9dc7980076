#include "snipeferry/configuration/validation.h"

#include <algorithm>
#include <set>

namespace snipeferry::configuration {

namespace {

constexpr std::size_t DIGEST_LENGTH = 64;

/** Collects the faults of one configuration. */
class FaultFinder
{
public:
    explicit FaultFinder(const Configuration &configuration)
        : m_configuration(configuration)
    {
    }

    std::vector<std::string> find()
    {
        checkRegions();
        checkLinks();
        checkServices();
        checkCustomers();
        checkRollouts();
        return std::move(m_faults);
    }

private:
    void addFault(const std::string &subject, const std::string &fault)
    {
        m_faults.push_back(subject + ": " + fault);
    }

    void check(bool isValid, const std::string &subject, const std::string &fault)
    {
        if (!isValid) {
            addFault(subject, fault);
        }
    }

    void checkRegions()
    {
        std::set<core::DataCentreId> dataCentres;
        for (const Region &region : m_configuration.regions) {
            const std::string subject = "region " + region.id.value();
            check(!region.id.isEmpty() && m_regions.insert(region.id).second, subject, "is named twice or not at all");
            check(!region.dataCentres.empty(), subject, "has no data centre");
            for (const DataCentre &dataCentre : region.dataCentres) {
                check(dataCentres.insert(dataCentre.id).second, subject, "data centre " + dataCentre.id.value() + " is named twice");
                check(dataCentre.limitWeight >= 0, subject, "data centre " + dataCentre.id.value() + " has a negative limit weight");
            }
        }
        check(m_configuration.slotsPerDataCentre > 0, "slots_per_data_centre", "must be at least 1");
    }

    void checkLinks()
    {
        std::set<std::pair<core::RegionId, core::RegionId>> pairs;
        for (const RegionLink &link : m_configuration.links) {
            const std::string subject = "link " + link.first.value() + " - " + link.second.value();
            check(m_regions.count(link.first) > 0 && m_regions.count(link.second) > 0, subject, "names a region that is not defined");
            check(link.first != link.second, subject, "connects a region with itself");
            check(pairs.insert(std::minmax(link.first, link.second)).second, subject, "is defined twice");
            check(link.bitsPerSecond > 0, subject, "has no capacity");
        }
    }

    void checkServices()
    {
        std::set<std::string> models;
        for (const Service &service : m_configuration.services) {
            const std::string subject = "service " + service.id.value();
            check(!service.id.isEmpty() && m_services.insert(service.id).second, subject, "is named twice or not at all");
            check(!service.version.isEmpty(), subject, "has no version");
            check(service.deadline > absl::ZeroDuration(), subject, "has no deadline");
            check(service.holdLimit >= absl::ZeroDuration() && service.holdLimit < service.deadline, subject,
                "its hold limit is negative or not less than its deadline");
            if (service.type == ServiceType::ModelEngine) {
                check(!service.model.empty() && models.insert(service.model).second, subject, "its model is empty or also served by another service");
            }
            checkRoutes(service, subject);
        }
    }

    void checkRoutes(const Service &service, const std::string &subject)
    {
        std::set<std::string> prefixes;
        check(service.type == ServiceType::ModelEngine || !service.routes.empty(), subject, "has no routes");
        for (const Route &route : service.routes) {
            check(!route.pathPrefix.empty() && route.pathPrefix.front() == '/', subject, "route \"" + route.pathPrefix + "\" does not begin with /");
            check(prefixes.insert(route.pathPrefix).second, subject, "route " + route.pathPrefix + " is named twice");
            check(route.callCost >= 0, subject, "route " + route.pathPrefix + " has a negative cost");
        }
    }

    void checkCustomers()
    {
        std::set<core::CustomerId> customers;
        std::set<std::string> digests;
        for (const Customer &customer : m_configuration.customers) {
            const std::string subject = "customer " + customer.id.value();
            check(!customer.id.isEmpty() && customers.insert(customer.id).second, subject, "is named twice or not at all");
            check(customer.ratePerSecond >= 0 && customer.burst >= 0, subject, "has a negative rate or burst");
            check(customer.weight > 0, subject, "has no weight");
            check(!customer.allowedRegions.empty(), subject, "has no allowed region");
            for (const core::RegionId &region : customer.allowedRegions) {
                check(m_regions.count(region) > 0, subject, "allowed region " + region.value() + " is not defined");
            }
            for (const core::ServiceId &service : customer.services) {
                check(m_services.count(service) > 0, subject, "service " + service.value() + " is not defined");
            }
            for (const std::string &digest : customer.keyDigests) {
                check(isKeyDigest(digest), subject, "a key digest is not a SHA-256 digest in lower-case hexadecimal");
                check(digests.insert(digest).second, subject, "a key is given twice or also belongs to another customer");
            }
        }
    }

    void checkRollouts()
    {
        std::set<core::RolloutId> rollouts;
        std::set<core::ServiceId> servicesWithRollout;
        for (const Rollout &rollout : m_configuration.rollouts) {
            const std::string subject = "rollout " + rollout.id.value();
            check(!rollout.id.isEmpty() && rollouts.insert(rollout.id).second, subject, "is named twice or not at all");
            check(m_services.count(rollout.service) > 0, subject, "service " + rollout.service.value() + " is not defined");
            check(servicesWithRollout.insert(rollout.service).second, subject, "service " + rollout.service.value() + " has another rollout");
            check(!rollout.toVersion.isEmpty() && rollout.fromVersion != rollout.toVersion, subject, "does not change the version");
            check(rollout.trialSharePermille > 0 && rollout.trialSharePermille <= 1000, subject, "trial share is not between 1 and 1000 thousandths");
        }
    }

    const Configuration &m_configuration;
    std::set<core::RegionId> m_regions;
    std::set<core::ServiceId> m_services;
    std::vector<std::string> m_faults;
};

} // namespace

bool isKeyDigest(const std::string &text)
{
    const auto isHex = [](char c) {
        return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
    };
    return text.size() == DIGEST_LENGTH && std::all_of(text.begin(), text.end(), isHex);
}

std::vector<std::string> findFaults(const Configuration &configuration)
{
    return FaultFinder(configuration).find();
}

} // namespace snipeferry::configuration
