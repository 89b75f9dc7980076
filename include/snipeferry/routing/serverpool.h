#pragma once

#include "snipeferry/platform/directory.h"
#include "snipeferry/routing/prefixindex.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <random>
#include <utility>
#include <vector>

namespace snipeferry::routing {

/** A service and its version. Backend servers of the same service and version are interchangeable. */
using PoolKey = std::pair<core::ServiceId, core::VersionId>;

/** What this instance knows about the load of one backend server of its data centre. */
struct ServerLoad
{
    platform::BackendServer server;
    /** Requests of this instance that run on the backend server. */
    int ownInFlight = 0;
    /** Requests of other instances, calculated from the last load report. */
    int othersInFlight = 0;
    absl::Time reportedAt = absl::InfinitePast();
    /** When the backend server was added. Its usable slots then increase over the warm-up time; InfinitePast means no warm-up. */
    absl::Time addedAt = absl::InfinitePast();
    int consecutiveFailures = 0;
    absl::Time ejectedUntil = absl::InfinitePast();

    /** Requests that run or wait on the backend server. */
    int busy() const
    {
        return ownInFlight + othersInFlight;
    }
};

/**
 * The backend servers of this data centre, with a list of those that have a free slot for each service and version.
 *
 * All operations but setServers() and refresh() take constant time.
 */
class ServerPool
{
public:
    /**
     * @brief Replaces the list of backend servers; those that were in the old list keep their load.
     * @return table indices of the removed backend servers; the indices can be reused
     */
    std::vector<ServerIndex> setServers(const std::vector<platform::BackendServer> &servers, absl::Time now);

    /** @brief Applies a load report. */
    void applyReport(ServerIndex server, int running, int waiting, absl::Time now);

    /** @brief Counts a request that was sent to a backend server. */
    void start(ServerIndex server);

    /** @brief Removes a finished request from the count; several failures in a row eject the server for a while. */
    void finish(ServerIndex server, bool hasFailed, absl::Time now);

    /** @brief Removes expired load reports and updates the slots of servers in warm-up or ejection. */
    void refresh(absl::Time now);

    /** @brief Chooses a random backend server with a free slot that is not excluded; -1 if there is none. */
    ServerIndex pick(const PoolKey &key, const std::vector<core::BackendServerId> &excluded, std::mt19937_64 &random) const;

    /** @brief Number of backend servers with a free slot. */
    std::size_t freeServers(const PoolKey &key) const;

    bool hasFreeSlot(ServerIndex server) const;

    /** @brief Whether any backend server of the service and version accepts requests. */
    bool hasServers(const PoolKey &key) const;

    /** @brief Total number of usable slots. */
    int slots(const PoolKey &key) const;

    /** @brief Number of slots in use. */
    int busy(const PoolKey &key) const;

    /** @brief Services and versions that have backend servers. */
    std::vector<PoolKey> keys() const;

    /** @brief Table index of a backend server, or -1. */
    ServerIndex indexOf(const core::BackendServerId &id) const;

    const ServerLoad &at(ServerIndex server) const;

private:
    static constexpr absl::Duration REPORT_LIFETIME = absl::Seconds(10);
    static constexpr absl::Duration WARM_UP_TIME = absl::Seconds(20);
    static constexpr int FAILURES_TO_EJECT = 3;
    static constexpr absl::Duration EJECTION_TIME = absl::Seconds(5);

    struct Entry
    {
        ServerLoad load;
        /** Usable slots; fewer than the server has during warm-up, and none while it is ejected or leaving. */
        int usableSlots = 0;
        /** Index in m_pools; -1 for an unused entry. */
        int pool = -1;
        /** Index in the pool's list of servers with a free slot, or -1. */
        int freePosition = -1;
        /** This server's contribution to the totals of its pool. */
        int busyInPoolTotal = 0;
        int slotsInPoolTotal = 0;
    };

    /** The backend servers of one service and version. */
    struct Pool
    {
        PoolKey key;
        /** Servers with a free slot. */
        std::vector<ServerIndex> free;
        int serverCount = 0;
        int slots = 0;
        int busy = 0;
    };

    const Pool *findPool(const PoolKey &key) const;
    int poolIndex(const PoolKey &key);
    int usableSlotsOf(const ServerLoad &load, absl::Time now) const;
    /** Updates the pool's totals and its list of free servers after a change of a server's load. */
    void updatePool(ServerIndex server);
    void remove(ServerIndex server);

    std::vector<Entry> m_entries;
    /** Unused indices of m_entries. */
    std::vector<ServerIndex> m_unusedIndices;
    absl::flat_hash_map<core::BackendServerId, ServerIndex> m_indices;
    std::vector<Pool> m_pools;
    absl::flat_hash_map<PoolKey, int> m_poolIndices;
    /** Whether a non-empty list was set before; servers added later have a warm-up. */
    bool m_hasDirectory = false;
};

} // namespace snipeferry::routing
