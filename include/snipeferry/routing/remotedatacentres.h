#pragma once

#include "snipeferry/membership/memberlist.h"
#include "snipeferry/routing/serverpool.h"

#include <absl/container/flat_hash_map.h>

#include <random>
#include <vector>

namespace snipeferry::routing {

/** Room of one data centre for one service and version, as reported and as used since. */
struct ReportedRoom
{
    int slots = 0;
    int busy = 0;
    /** Own requests that the reported load does not count yet. */
    int unreported = 0;
};

/** One other data centre as this instance sees it. */
struct RemotePlace
{
    core::DataCentreId dataCentre;
    core::RegionId region;
    /** Usable, linked instances there. */
    std::vector<core::InstanceId> instances;
    /** When it became reachable, after it had been out of reach; InfinitePast before that. */
    absl::Time returnedAt = absl::InfinitePast();
    /** By the number of the service and version. */
    std::vector<ReportedRoom> rooms;
};

/** Room of one data centre for one service and version. */
struct RemoteRoom
{
    int slots = 0;
    int busy = 0;

    bool isFree() const
    {
        return busy < slots;
    }
};

/**
 * Other data centres with their instances and loads, from heartbeats and from own work in flight.
 */
class RemotePlaces
{
public:
    void configure(const configuration::Configuration &configuration, const core::DataCentreId &own);
    void setMembers(const std::vector<membership::Member> &members, absl::Time now);

    /** @brief Number of a service and version for room(), or -1 if no other data centre has it. */
    int poolNumber(const PoolKey &key) const;

    /** @brief Places in all() of a region's data centres, or nullptr. */
    const std::vector<std::size_t> *inRegion(const core::RegionId &region) const;

    const std::vector<RemotePlace> &all() const;

    RemoteRoom room(const RemotePlace &place, int poolNumber, absl::Time now) const;

    /**
     * @brief One of the data centre's instances, of two random ones that with less own work.
     * @return empty if all are excluded
     */
    core::InstanceId pickInstance(const RemotePlace &place, const std::vector<core::InstanceId> &excluded, std::mt19937_64 &random) const;

    void start(const core::InstanceId &instance, const PoolKey &key);
    void finish(const core::InstanceId &instance, const PoolKey &key);

private:
    static constexpr absl::Duration WARM_UP_TIME = absl::Seconds(20);

    ReportedRoom &roomAt(RemotePlace &place, const PoolKey &key);

    std::vector<RemotePlace> m_places;
    absl::flat_hash_map<core::RegionId, std::vector<std::size_t>> m_byRegion;
    absl::flat_hash_map<core::DataCentreId, std::size_t> m_byDataCentre;
    absl::flat_hash_map<core::InstanceId, std::size_t> m_placeOf;
    absl::flat_hash_map<core::InstanceId, int> m_ownInFlight;
    absl::flat_hash_map<PoolKey, int> m_poolNumbers;
    absl::Time m_firstMembersAt = absl::InfiniteFuture();
};

} // namespace snipeferry::routing
