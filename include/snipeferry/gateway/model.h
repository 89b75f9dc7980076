#pragma once

#include "snipeferry/core/value.h"

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

/**
 * Decision logic of the gateway, for the routes, customers and backend servers of a deployment that an external operator describes.
 *
 * The code in this namespace uses no sockets, threads or system clocks. The transport is in snipeferry/net.
 */
namespace snipeferry::gateway {

/** Whether a request may be sent again after a run whose outcome is unknown. */
enum class RepeatRule {
    /** Any number of runs has the same effect as one. */
    Idempotent,
    /** Each request may run at most once. */
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

/** Sends the requests for one host and path prefix to one or more services. */
struct Route
{
    std::string name;
    std::string host;
    /** Begins and ends with a slash. */
    std::string pathPrefix;
    RepeatRule repeatRule = RepeatRule::AtMostOnce;
    /** The answer is an event stream. */
    bool isStream = false;
    /** An interrupted stream may continue at another backend server after its last complete event. */
    bool isResumable = false;
    /** Requests need no customer's key. */
    bool isOpen = false;
    /** Longest time until a request has to be answered. */
    absl::Duration timeout = absl::Seconds(30);
    /** Objective for the time to the whole answer, or to the first event of a stream. */
    absl::Duration latencyObjective = absl::Seconds(1);
    /** Objective for the longest pause between two events of a stream; zero if there is none. */
    absl::Duration pauseObjective;
    /** 0 is the most urgent. */
    int priority = 5;
    /** Highest number of backend servers that may run one request. */
    int maxAttempts = 1;
    std::vector<WeightedService> services;
    /** Regions where the request may run; empty for all. */
    std::vector<core::RegionId> homeRegions;

    SNIPEFERRY_VALUE(Route, name, host, pathPrefix, repeatRule, isStream, isResumable, isOpen, timeout, latencyObjective, pauseObjective, priority, maxAttempts,
        services, homeRegions)
};

/** How many backend servers of a service may be ordered from the platform for each data centre where it runs. */
struct ServerScaling
{
    int min = 0;
    int max = 0;
    /** Time from an order until an ordered backend server takes requests. */
    absl::Duration startTime;

    SNIPEFERRY_VALUE(ServerScaling, min, max, startTime)
};

struct Service
{
    core::ServiceId id;
    /** Path of the health check; empty for none. */
    std::string healthPath;
    /** Connections that one backend server accepts in total. */
    int maxConnections = 100;
    /** Time after its start for which a backend server is cold. */
    absl::Duration coldTime;
    /** Requests per second that a cold backend server can handle; 0 for no limit. */
    double coldRate = 0;
    /** The backend servers are engines that generate tokens with a language model. Their requests state the parts of the prompt. */
    bool isModelEngine = false;
    /** Size of an engine's KV cache for one prompt token. */
    double memoryBytesPerToken = 0;
    /** Data rate at which an engine copies another one's KV cache, in Mbit/s; 0 if it cannot. */
    double memoryLinkMbps = 0;
    /** Tokens that fit into an engine's KV cache, for running requests and cached prompt parts together; 0 if it is not stated. */
    std::int64_t memoryTokens = 0;
    /** Empty if the number of backend servers cannot be ordered. */
    std::optional<ServerScaling> scaling;

    SNIPEFERRY_VALUE(Service, id, healthPath, maxConnections, coldTime, coldRate, isModelEngine, memoryBytesPerToken, memoryLinkMbps, memoryTokens, scaling)
};

/** A customer with its keys and its fleet-wide rate limit. */
struct Customer
{
    core::CustomerId id;
    /** SHA-256 digests of the keys, in lower-case hexadecimal. */
    std::vector<std::string> keyDigests;
    /** Goes before the route's priority, which orders the requests of customers with the same one. */
    std::optional<int> priority;
    /** Tokens, or requests if countsTokens is false; 0 for no limit. */
    double ratePerSecond = 0;
    double burst = 0;
    bool countsTokens = false;
    /** Tokens that a request without token counts costs if countsTokens is true. */
    double plainCost = 1;
    /** Regions where its requests may run; empty for all. */
    std::vector<core::RegionId> homeRegions;

    SNIPEFERRY_VALUE(Customer, id, keyDigests, priority, ratePerSecond, burst, countsTokens, plainCost, homeRegions)
};

/** Limits on the size of callers' requests and on the time that callers may take to send them. */
struct CallerLimits
{
    std::size_t maxHeaderBytes = 16384;
    std::size_t maxBodyBytes = 4U << 20U;
    absl::Duration headerTimeout = absl::Seconds(3);
    absl::Duration idleTimeout = absl::Seconds(15);

    SNIPEFERRY_VALUE(CallerLimits, maxHeaderBytes, maxBodyBytes, headerTimeout, idleTimeout)
};

/** One accepted version of the configuration that the operator has published. */
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
    /** Requests that it processes at the same time. */
    int slots = 1;
    bool isDraining = false;
    /** How long it remains cold, counted from the announcement. */
    absl::Duration coldLeft;
    /** Time of its start in Unix milliseconds; 0 if the announcement does not state it. */
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

/** Tells the processes of one instance apart. Not ordered: the clock of a later process may be behind. */
struct ProcessId
{
    core::Incarnation incarnation = 0;
    /** Random number of the process; 0 from earlier builds, which state none. */
    std::uint64_t bootId = 0;

    SNIPEFERRY_VALUE(ProcessId, incarnation, bootId)
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
    /** Share of a processor core that the instance has. 0 if it does not state it: it runs an earlier build, which knows no relays. */
    double capacity = 0;
    /** Random number of the process; 0 from earlier builds. */
    std::uint64_t bootId = 0;

    /** @brief The instance's process that the record describes. */
    ProcessId process() const
    {
        return {incarnation, bootId};
    }

    auto tied() const
    {
        return std::tie(id, incarnation, dataCentre, region, callerAddress, peerAddress, capacity, bootId);
    }
    friend bool operator==(const Member &left, const Member &right)
    {
        return left.tied() == right.tied();
    }
    friend bool operator!=(const Member &left, const Member &right)
    {
        return !(left == right);
    }
    template<typename BasicJson>
    friend void to_json(BasicJson &json, const Member &member)
    {
        json = BasicJson{{"id", member.id}, {"incarnation", member.incarnation}, {"dataCentre", member.dataCentre}, {"region", member.region},
            {"callerAddress", member.callerAddress}, {"peerAddress", member.peerAddress}};
        // An earlier build's record is written again as it was.
        if (member.capacity > 0) {
            json["capacity"] = member.capacity;
        }
        if (member.bootId > 0) {
            json["bootId"] = member.bootId;
        }
    }
    template<typename BasicJson>
    friend void from_json(const BasicJson &json, Member &member)
    {
        json.at("id").get_to(member.id);
        json.at("incarnation").get_to(member.incarnation);
        json.at("dataCentre").get_to(member.dataCentre);
        json.at("region").get_to(member.region);
        json.at("callerAddress").get_to(member.callerAddress);
        json.at("peerAddress").get_to(member.peerAddress);
        member.capacity = json.value("capacity", 0.0);
        member.bootId = json.value("bootId", std::uint64_t{0});
    }
};

} // namespace snipeferry::gateway
