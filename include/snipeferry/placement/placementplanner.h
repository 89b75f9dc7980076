#pragma once

#include "snipeferry/core/value.h"

#include <string>
#include <vector>

/**
 * Planning of which backend server loads which model, adapter and version.
 */
namespace snipeferry::placement {

/** Inference phases that a backend server runs. An engine can run prefill and decode on separate servers. */
enum class Role {
    Both,
    Prefill,
    Decode,
};

NLOHMANN_JSON_SERIALIZE_ENUM(Role, {{Role::Both, "both"}, {Role::Prefill, "prefill"}, {Role::Decode, "decode"}})

/** What a backend server serves: the weights of one version of a service, in one role. */
struct Assignment
{
    core::ServiceId service;
    core::VersionId version;
    Role role = Role::Both;

    SNIPEFERRY_VALUE(Assignment, service, version, role)
};

/** State of a backend server, from the platform's directory and from the server's own reports. */
struct Runner
{
    core::BackendServerId id;
    /** What the server serves now, or is loading. */
    Assignment assignment;
    bool isLoading = false;
    /** Number of requests in flight. The planner reassigns the least busy server first. */
    int busy = 0;

    SNIPEFERRY_VALUE(Runner, id, assignment, isLoading, busy)
};

/** Number of backend servers of a data centre that should serve an assignment. */
struct Demand
{
    Assignment assignment;
    int runners = 0;
    /** Size of the weights that a server loads for the assignment. */
    std::int64_t weightBytes = 0;

    SNIPEFERRY_VALUE(Demand, assignment, runners, weightBytes)
};

/**
 * An order to a backend server to serve another assignment.
 *
 * An order states the complete target rather than a change, so that it can be repeated. An engine that ignores the fencing number ends in the
 * state of the last order that it received, even if that order is outdated. The next plan corrects this.
 */
struct Order
{
    core::BackendServerId runner;
    Assignment target;
    /** Increases with each plan, so that engines can reject outdated orders. */
    std::int64_t fencingNumber = 0;
    /** Only the role changes, so no weights are loaded. */
    bool keepsWeights = false;

    SNIPEFERRY_VALUE(Order, runner, target, fencingNumber, keepsWeights)
};

struct PlacementBudget
{
    /** Bytes of weights that the weight store can deliver to this data centre until the next plan. */
    std::int64_t loadBytes = 0;
    /** Number of servers that may load weights at the same time. A server is out of service while it loads weights. */
    int maxLoading = 1;
};

/**
 * @brief Plans the orders that bring the backend servers closer to the demand.
 *
 * Role changes are planned first, since they load no weights. Within each kind of order, the demand with the smallest share of its servers
 * assigned comes first. A server is taken from an assignment only if the assignment has more servers than its demand. The result depends only on
 * the arguments, so that instances with the same data plan the same orders.
 * @param runners the backend servers of one data centre
 * @param demands the servers that each assignment needs; an assignment without an entry needs none
 * @param budget limits the bytes of weights to load and the number of servers that load at the same time
 * @param fencingNumber the number of this plan
 */
std::vector<Order> planPlacement(
    const std::vector<Runner> &runners, const std::vector<Demand> &demands, const PlacementBudget &budget, std::int64_t fencingNumber);

/** Parameters that decide whether KV cache is copied to another backend server or computed again there. */
struct CacheMove
{
    std::int64_t cacheBytes = 0;
    core::Tokens cachedTokens = 0;
    double linkBitsPerSecond = 0;
    absl::Duration linkLatency;
    double prefillTokensPerSecond = 0;

    SNIPEFERRY_VALUE(CacheMove, cacheBytes, cachedTokens, linkBitsPerSecond, linkLatency, prefillTokensPerSecond)
};

/** @brief Returns whether moving the KV cache takes less than half of the time that computing it again takes. */
bool paysToMoveCache(const CacheMove &move);

} // namespace snipeferry::placement
