#pragma once

#include "snipeferry/core/value.h"

#include <string>
#include <vector>

/**
 * The configuration that operators accept. Every instance holds it in memory and does not modify it.
 */
namespace snipeferry::configuration {

/** A data centre and its share of the fleet-wide limits. */
struct DataCentre
{
    core::DataCentreId id;
    /** Weight of this data centre when the fleet-wide limits are divided among data centres. */
    int limitWeight = 1;

    SNIPEFERRY_VALUE(DataCentre, id, limitWeight)
};

struct Region
{
    core::RegionId id;
    std::vector<DataCentre> dataCentres;

    SNIPEFERRY_VALUE(Region, id, dataCentres)
};

/** Wide-area link between two regions. All traffic between them shares its capacity, which is available in each direction. */
struct RegionLink
{
    core::RegionId first;
    core::RegionId second;
    std::int64_t bitsPerSecond = 0;
    /** Latency in one direction. */
    absl::Duration latency;

    SNIPEFERRY_VALUE(RegionLink, first, second, bitsPerSecond, latency)
};

/** Kind of backend server that a service runs on. */
enum class ServiceType {
    ModelEngine,
    PlainService,
};

NLOHMANN_JSON_SERIALIZE_ENUM(ServiceType, {{ServiceType::ModelEngine, "model_engine"}, {ServiceType::PlainService, "plain_service"}})

/** Rules for a path prefix of a plain service or of a model engine's API. The route with the longest matching prefix applies. */
struct Route
{
    /** Path prefix within the service; begins with '/'. */
    std::string pathPrefix;
    /** Repeating a call has no further effect. */
    bool isIdempotent = false;
    /** Calls need no customer's key and run for the anonymous customer. */
    bool isOpen = false;
    /** Tokens charged for a call of a plain service. */
    core::Tokens callCost = 1;

    SNIPEFERRY_VALUE(Route, pathPrefix, isIdempotent, isOpen, callCost)
};

struct Service
{
    core::ServiceId id;
    ServiceType type = ServiceType::PlainService;
    /** Name by which callers select the model; empty for plain services. */
    std::string model;
    std::vector<Route> routes;
    /** Time within which the first byte of an answer must arrive. */
    absl::Duration deadline = absl::Seconds(30);
    /** How long a request may be delayed to keep the token use of the busiest minute low. */
    absl::Duration holdLimit = absl::ZeroDuration();
    /** Version that receives the requests while no rollout is running. */
    core::VersionId version;
    /** Limit on generated tokens for requests that set none. */
    core::Tokens defaultMaxTokens = 1024;

    SNIPEFERRY_VALUE(Service, id, type, model, routes, deadline, holdLimit, version, defaultMaxTokens)
};

struct Customer
{
    core::CustomerId id;
    /** SHA-256 digests of the customer's keys, in lower-case hexadecimal. */
    std::vector<std::string> keyDigests;
    core::Tokens ratePerSecond = 0;
    core::Tokens burst = 0;
    /** Weight of the customer's requests in fair queueing. */
    int weight = 1;
    /** Regions in which the customer's requests may run; contains at least one. */
    std::vector<core::RegionId> allowedRegions;
    /** Services that the customer may call; all if empty. */
    std::vector<core::ServiceId> services;
    /** Priority sent to model engines; requests with a higher one run earlier. */
    int priority = 0;

    SNIPEFERRY_VALUE(Customer, id, keyDigests, ratePerSecond, burst, weight, allowedRegions, services, priority)
};

struct Rollout
{
    core::RolloutId id;
    core::ServiceId service;
    core::VersionId fromVersion;
    core::VersionId toVersion;
    /** Wall-clock time by which the rollout must be complete; otherwise it is rolled back. */
    absl::Time deadline;
    /** Maximum share of the traffic that the new version gets during its trial, in thousandths. */
    int trialSharePermille = 50;

    SNIPEFERRY_VALUE(Rollout, id, service, fromVersion, toVersion, deadline, trialSharePermille)
};

/** Weights of the policy criteria of a deployment. */
struct PolicyWeights
{
    /** Weight of first-token latency in routing, in thousandths. */
    int latencyPermille = 1000;
    /** Weight of tokens that exceed the month's busiest minute so far, in thousandths. */
    int peakCostPermille = 1000;
    /** Weight of sending a request out of the region of the instance that received it, in thousandths. */
    int sentAwayPermille = 1000;

    SNIPEFERRY_VALUE(PolicyWeights, latencyPermille, peakCostPermille, sentAwayPermille)
};

struct Configuration
{
    core::Revision revision = 0;
    std::vector<Region> regions;
    std::vector<RegionLink> links;
    std::vector<Service> services;
    std::vector<Customer> customers;
    std::vector<Rollout> rollouts;
    PolicyWeights weights;
    /** Number of limit slots in each data centre; see docs/DESIGN.md. */
    int slotsPerDataCentre = 4;
    /** Revision that last moved shares of customer limits between slots; set when a plan is made. */
    core::Revision layoutRevision = 0;

    SNIPEFERRY_VALUE(Configuration, revision, regions, links, services, customers, rollouts, weights, slotsPerDataCentre, layoutRevision)
};

/** @brief Finds a service by identifier, or nullptr. */
const Service *findService(const Configuration &configuration, const core::ServiceId &id);

/** @brief Finds the model engine service that serves a model name, or nullptr. */
const Service *findModel(const Configuration &configuration, const std::string &model);

/** @brief Finds a customer by identifier, or nullptr. */
const Customer *findCustomer(const Configuration &configuration, const core::CustomerId &id);

/** @brief Finds the route with the longest prefix of the path, or nullptr. */
const Route *findRoute(const Service &service, const std::string &path);

/** @brief Whether a customer's requests may run in a region. */
bool isRegionAllowed(const Customer &customer, const core::RegionId &region);

/** @brief Returns the region that a data centre belongs to, or an empty identifier if the data centre is unknown. */
core::RegionId regionOf(const Configuration &configuration, const core::DataCentreId &dataCentre);

} // namespace snipeferry::configuration
