#pragma once

#include "snipeferry/core/value.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/**
 * The gateway: routes, customers and backend servers of a deployment that is described by an outside operator.
 *
 * Everything in this area decides without sockets, threads or clocks. The transport is in snipeferry/net.
 */
namespace snipeferry::gateway {

/** Whether a request may be run again after a run whose outcome is unknown. */
enum class RepeatRule {
    /** Any number of runs has the effect of one. */
    Idempotent,
    /** At most one run for each request of a caller. */
    AtMostOnce,
};

NLOHMANN_JSON_SERIALIZE_ENUM(RepeatRule, {{RepeatRule::Idempotent, "idempotent"}, {RepeatRule::AtMostOnce, "at_most_once"}})

/** One service of a traffic split with its relative weight. */
struct WeightedService
{
    core::ServiceId service;
    int weight = 1;

    SNIPEFERRY_VALUE(WeightedService, service, weight)
};

/** Leads requests of one host below one path prefix to a service. */
struct Route
{
    std::string name;
    std::string host;
    /** Begins and ends with a slash. */
    std::string pathPrefix;
    RepeatRule repeatRule = RepeatRule::AtMostOnce;
    /** The answer is an event stream. */
    bool isStream = false;
    /** An interrupted stream may go on at another backend server after its last whole event. */
    bool isResumable = false;
    /** Needs no customer's key. */
    bool isOpen = false;
    /** Longest time that a request may stay unanswered. */
    absl::Duration timeout = absl::Seconds(30);
    /** Latency objective: whole answer, or first event of a stream. */
    absl::Duration latencyObjective = absl::Seconds(1);
    /** 0 is the most urgent. */
    int priority = 5;
    /** Backend servers to which one request may be sent. */
    int maxAttempts = 1;
    std::vector<WeightedService> services;
    /** Regions where the request may run; empty for all. */
    std::vector<core::RegionId> homeRegions;

    SNIPEFERRY_VALUE(
        Route, name, host, pathPrefix, repeatRule, isStream, isResumable, isOpen, timeout, latencyObjective, priority, maxAttempts, services, homeRegions)
};

struct Service
{
    core::ServiceId id;
    /** Path of the health check; empty for none. */
    std::string healthPath;
    /** Connections that one backend server accepts from all callers together. */
    int maxConnections = 100;
    /** Time for which a started backend server is cold. */
    absl::Duration coldTime;
    /** Requests a second that a cold backend server bears; 0 for no bound. */
    double coldRate = 0;
    /** Generates tokens; requests state their prompt. */
    bool isModelEngine = false;
    /** What an engine keeps of one token that it has read. */
    double memoryBytesPerToken = 0;
    /** Speed at which an engine takes over what another one keeps, in Mbit/s; 0 if it cannot. */
    double memoryLinkMbps = 0;

    SNIPEFERRY_VALUE(Service, id, healthPath, maxConnections, coldTime, coldRate, isModelEngine, memoryBytesPerToken, memoryLinkMbps)
};

/** A customer with its keys and its fleet-wide allowance. */
struct Customer
{
    core::CustomerId id;
    /** SHA-256 digests of the keys, in lower-case hexadecimal. */
    std::vector<std::string> keyDigests;
    /** Goes before the route's priority. */
    std::optional<int> priority;
    /** Tokens, or requests where countsTokens is false; 0 for no limit. */
    double ratePerSecond = 0;
    double burst = 0;
    bool countsTokens = false;
    /** What a request without token counts is charged where countsTokens is true. */
    double plainCost = 1;
    /** Regions where its requests may run; empty for all. */
    std::vector<core::RegionId> homeRegions;

    SNIPEFERRY_VALUE(Customer, id, keyDigests, priority, ratePerSecond, burst, countsTokens, plainCost, homeRegions)
};

/** What callers may send, and how long they may take. */
struct CallerLimits
{
    std::size_t maxHeaderBytes = 16384;
    std::size_t maxBodyBytes = 4U << 20U;
    absl::Duration headerTimeout = absl::Seconds(3);
    absl::Duration idleTimeout = absl::Seconds(15);

    SNIPEFERRY_VALUE(CallerLimits, maxHeaderBytes, maxBodyBytes, headerTimeout, idleTimeout)
};

/** One accepted version of what the operator wants. */
struct Deployment
{
    std::int64_t version = 0;
    std::vector<Route> routes;
    std::vector<Service> services;
    std::vector<Customer> customers;
    CallerLimits limits;

    SNIPEFERRY_VALUE(Deployment, version, routes, services, customers, limits)
};

/** A backend server as it announces itself. */
struct BackendServer
{
    core::BackendServerId id;
    core::ServiceId service;
    /** "a.b.c.d:port". */
    std::string address;
    core::DataCentreId dataCentre;
    core::VersionId version;
    int slots = 1;
    bool isDraining = false;
    /** How much longer it is cold, as of the announcement. */
    absl::Duration coldLeft;
    /** Time of its start in Unix milliseconds; 0 if it did not say. */
    std::int64_t startedAtMs = 0;

    SNIPEFERRY_VALUE(BackendServer, id, service, address, dataCentre, version, slots, isDraining, coldLeft, startedAtMs)
};

/** An operator's order to move a service to another version of its backend servers. */
struct RolloutOrder
{
    core::ServiceId service;
    core::VersionId target;
    absl::Duration timeLimit;

    SNIPEFERRY_VALUE(RolloutOrder, service, target, timeLimit)
};

/** Another instance of the fleet. */
struct Member
{
    core::InstanceId id;
    core::Incarnation incarnation = 0;
    core::DataCentreId dataCentre;
    core::RegionId region;
    /** Where callers connect, "a.b.c.d:port". */
    std::string callerAddress;
    /** Where instances connect, "a.b.c.d:port". */
    std::string peerAddress;

    SNIPEFERRY_VALUE(Member, id, incarnation, dataCentre, region, callerAddress, peerAddress)
};

} // namespace snipeferry::gateway
