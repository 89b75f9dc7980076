#pragma once

#include "snipeferry/membership/memberlist.h"
#include "snipeferry/routing/serverpool.h"

#include <absl/container/flat_hash_map.h>

#include <random>
#include <vector>

namespace snipeferry::routing {

/** Reported slots and load of one data centre for one service and version, and the requests sent there since that report. */
struct ReportedCapacity
{
    int slots = 0;
    int busy = 0;
    /** Requests forwarded by this instance that the reported load does not include yet. */
    int unreported = 0;
};

/** What this instance knows about another data centre. */
struct RemoteDataCentre
{
    core::DataCentreId dataCentre;
    core::RegionId region;
    /** Usable instances of the data centre that this instance is connected to. */
    std::vector<core::InstanceId> instances;
    /** When the data centre last became reachable after an outage; InfinitePast if there was no outage. */
    absl::Time returnedAt = absl::InfinitePast();
    /** Indexed by capacityIndex() of the service and version. */
    std::vector<ReportedCapacity> capacities;
};

/** Slots and requests of one data centre for one service and version. */
struct RemoteCapacity
{
    int slots = 0;
    int busy = 0;

    bool isFree() const
    {
        return busy < slots;
    }
};

/**
 * The other data centres with their instances and load.
 *
 * The load comes from the heartbeats of their instances and from the requests that this instance has forwarded.
 */
class RemoteDataCentres
{
public:
    /** @brief Sets the data centres; those that existed before keep their instances and load. */
    void configure(const configuration::Configuration &configuration, const core::DataCentreId &own);
    void setMembers(const std::vector<membership::Member> &members, absl::Time now);

    /** @brief Index of a service and version in RemoteDataCentre::capacities; -1 if no other data centre has reported this pair. */
    int capacityIndex(const PoolKey &key) const;

    /** @brief Positions in all() of the data centres of a region; nullptr if the region has no other data centre. */
    const std::vector<std::size_t> *indicesInRegion(const core::RegionId &region) const;

    const std::vector<RemoteDataCentre> &all() const;

    /** @brief Slots and load of a data centre; fewer slots while it warms up after an outage. */
    RemoteCapacity capacity(const RemoteDataCentre &remote, int capacityIndex, absl::Time now) const;

    /**
     * @brief Draws two random instances of a data centre and returns the one with fewer requests in flight from this instance.
     * @return the instance; empty if all are excluded
     */
    core::InstanceId pickInstance(const RemoteDataCentre &remote, const std::vector<core::InstanceId> &excluded, std::mt19937_64 &random) const;

    /** @brief Counts a request forwarded to an instance. */
    void start(const core::InstanceId &instance, const PoolKey &key);

    /** @brief Removes a finished request from the count. */
    void finish(const core::InstanceId &instance, const PoolKey &key);

private:
    static constexpr absl::Duration WARM_UP_TIME = absl::Seconds(20);

    ReportedCapacity &capacityAt(RemoteDataCentre &remote, const PoolKey &key);

    std::vector<RemoteDataCentre> m_dataCentres;
    absl::flat_hash_map<core::RegionId, std::vector<std::size_t>> m_byRegion;
    absl::flat_hash_map<core::DataCentreId, std::size_t> m_indexByDataCentre;
    absl::flat_hash_map<core::InstanceId, std::size_t> m_indexByInstance;
    absl::flat_hash_map<core::InstanceId, int> m_ownInFlight;
    absl::flat_hash_map<PoolKey, int> m_capacityIndices;
    absl::Time m_firstMembersAt = absl::InfiniteFuture();
};

} // namespace snipeferry::routing
