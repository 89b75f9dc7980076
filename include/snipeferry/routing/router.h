#pragma once

#include "snipeferry/configuration/configuration.h"
#include "snipeferry/core/error.h"
#include "snipeferry/core/timerservice.h"
#include "snipeferry/membership/memberlist.h"
#include "snipeferry/messages/event.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

/**
 * Chooses the backend server or data centre that runs a request.
 */
namespace snipeferry::routing {

/** The properties of a request that routing depends on. */
struct RouteQuery
{
    core::RequestId request;
    core::ServiceId service;
    /** Backend server version that the request must run on. */
    core::VersionId version;
    /** Regions in which the request may run. */
    std::vector<core::RegionId> allowedRegions;
    core::Tokens tokenBound = 0;
    core::Tokens promptTokens = 0;
    std::vector<std::uint64_t> prefixHashes;
    std::size_t bodyBytes = 0;
    absl::Duration timeLeft;
    /** The request was forwarded by another instance, so it can run only on backend servers of this data centre. */
    bool isForwarded = false;
    /** Backend servers that have failed this request. */
    std::vector<core::BackendServerId> excluded;
    /** Instances that have refused or failed this request. */
    std::vector<core::InstanceId> excludedInstances;
    /** Regions that the peak ledger prefers, best first; empty for no preference. */
    std::vector<core::RegionId> preferredRegions;
};

/** The destination of a request: a backend server of this data centre or an instance of another one. */
struct RouteChoice
{
    /** Set if the request runs in this data centre. */
    core::BackendServerId backendServer;
    /** Set if the request is forwarded to another data centre. */
    core::InstanceId instance;
    core::RegionId region;
    /** Reason for the log: prefix, least_loaded, remote_region or remote_data_centre. */
    std::string reason;
    /** The destination has a free slot according to the latest known load. */
    bool hasFreeSlot = true;

    bool isLocal() const
    {
        return !backendServer.isEmpty();
    }
};

/**
 * Chooses destinations by prefix caches, load and the bandwidth of links between regions.
 *
 * The load is calculated from this instance's requests in flight and from the load reports of backend servers and instances.
 * These reports lag behind. A choice takes a few index look-ups, even with several hundred backend servers, and never scans all.
 */
class Router
{
public:
    Router(core::DataCentreId dataCentre, std::uint64_t seed, core::TimerService &timers);
    ~Router();

    void configure(const configuration::Configuration &configuration);
    void setDirectory(const std::vector<platform::BackendServer> &backendServers);
    void setMembers(const std::vector<membership::Member> &members);
    void handle(const messages::LoadReported &event);
    void handle(const messages::CacheReported &event);

    /**
     * @brief Chooses the destination of a request.
     * @return the destination; or RegionNotAllowed, NoBackendServer, or Overloaded if no allowed destination has a free slot
     */
    core::Expected<RouteChoice> choose(const RouteQuery &query);

    /** @brief Counts a started request: it takes a slot, and bandwidth of the link if it runs in another region. */
    void started(const RouteQuery &query, const RouteChoice &choice);

    /** @brief Releases the slot of a finished request. */
    void finished(const core::RequestId &request, bool hasFailed);

    /** @brief Free slots of a service's version in this data centre according to the latest known load. */
    int freeSlots(const core::ServiceId &service, const core::VersionId &version) const;

    /** @brief Load of this data centre by service and version, to be sent in heartbeats. */
    std::vector<membership::ServiceLoad> loads() const;

    /** @brief Looks up a backend server of this data centre; nullptr if unknown. Valid until the next setDirectory(). */
    const platform::BackendServer *find(const core::BackendServerId &id) const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace snipeferry::routing
