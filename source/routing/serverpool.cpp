#include "snipeferry/routing/serverpool.h"

#include <absl/container/flat_hash_set.h>

#include <algorithm>

namespace snipeferry::routing {

std::vector<ServerIndex> ServerPool::setServers(const std::vector<platform::BackendServer> &servers, absl::Time now)
{
    // Remove the backend servers that are no longer listed.
    absl::flat_hash_set<core::BackendServerId> listed;
    for (const platform::BackendServer &server : servers) {
        listed.insert(server.id);
    }
    std::vector<ServerIndex> removed;
    for (const auto &previous : m_indices) {
        if (!listed.contains(previous.first)) {
            removed.push_back(previous.second);
        }
    }
    std::sort(removed.begin(), removed.end());
    for (const ServerIndex index : removed) {
        remove(index);
    }

    // Add or update the listed backend servers; those in the first non-empty list have no warm-up.
    for (const platform::BackendServer &server : servers) {
        ServerIndex index = indexOf(server.id);
        if (index < 0) {
            index = m_unusedIndices.empty() ? static_cast<ServerIndex>(m_entries.size()) : m_unusedIndices.back();
            if (m_unusedIndices.empty()) {
                m_entries.emplace_back();
            } else {
                m_unusedIndices.pop_back();
            }
            m_entries[index] = Entry();
            m_entries[index].load.addedAt = m_hasDirectory ? now : absl::InfinitePast();
            m_indices[server.id] = index;
        }
        Entry &entry = m_entries[index];
        const int pool = poolIndex({server.service, server.version});
        if (entry.pool != pool) {
            // A change of service or version moves the server to another pool.
            if (entry.pool >= 0) {
                entry.usableSlots = 0;
                updatePool(index);
                --m_pools[entry.pool].serverCount;
                m_pools[entry.pool].busy -= entry.busyInPoolTotal;
                entry.busyInPoolTotal = 0;
            }
            entry.pool = pool;
            ++m_pools[pool].serverCount;
        }
        entry.load.server = server;
        entry.usableSlots = usableSlotsOf(entry.load, now);
        updatePool(index);
    }
    m_hasDirectory = m_hasDirectory || !servers.empty();
    return removed;
}

void ServerPool::applyReport(ServerIndex server, int running, int waiting, absl::Time now)
{
    ServerLoad &load = m_entries[server].load;
    load.othersInFlight = std::max(0, running + waiting - load.ownInFlight);
    load.reportedAt = now;
    updatePool(server);
}

void ServerPool::start(ServerIndex server)
{
    ++m_entries[server].load.ownInFlight;
    updatePool(server);
}

void ServerPool::finish(ServerIndex server, bool hasFailed, absl::Time now)
{
    Entry &entry = m_entries[server];
    entry.load.ownInFlight = std::max(0, entry.load.ownInFlight - 1);
    entry.load.consecutiveFailures = hasFailed ? entry.load.consecutiveFailures + 1 : 0;
    if (entry.load.consecutiveFailures >= FAILURES_TO_EJECT) {
        entry.load.ejectedUntil = now + EJECTION_TIME;
        entry.load.consecutiveFailures = 0;
    }
    entry.usableSlots = usableSlotsOf(entry.load, now);
    updatePool(server);
}

void ServerPool::refresh(absl::Time now)
{
    // Iterate in the order of the table: a hash table has no fixed order, and the same events must lead to the same choices.
    for (std::size_t index = 0; index < m_entries.size(); ++index) {
        Entry &entry = m_entries[index];
        if (entry.pool < 0) {
            continue;
        }
        if (entry.load.reportedAt + REPORT_LIFETIME < now) {
            entry.load.othersInFlight = 0;
        }
        entry.usableSlots = usableSlotsOf(entry.load, now);
        updatePool(static_cast<ServerIndex>(index));
    }
}

ServerIndex ServerPool::pick(const PoolKey &key, const std::vector<core::BackendServerId> &excluded, std::mt19937_64 &random) const
{
    const Pool *pool = findPool(key);
    if (pool == nullptr || pool->free.empty()) {
        return -1;
    }

    // Start at a random index and skip the excluded servers.
    const std::size_t count = pool->free.size();
    const std::size_t first = random() % count;
    for (std::size_t offset = 0; offset < count && offset <= excluded.size(); ++offset) {
        const ServerIndex candidate = pool->free[(first + offset) % count];
        const core::BackendServerId &id = m_entries[candidate].load.server.id;
        if (std::find(excluded.begin(), excluded.end(), id) == excluded.end()) {
            return candidate;
        }
    }
    return -1;
}

std::size_t ServerPool::freeServers(const PoolKey &key) const
{
    const Pool *pool = findPool(key);
    return pool == nullptr ? 0 : pool->free.size();
}

bool ServerPool::hasFreeSlot(ServerIndex server) const
{
    return m_entries[server].freePosition >= 0;
}

bool ServerPool::hasServers(const PoolKey &key) const
{
    return slots(key) > 0;
}

int ServerPool::slots(const PoolKey &key) const
{
    const Pool *pool = findPool(key);
    return pool == nullptr ? 0 : pool->slots;
}

int ServerPool::busy(const PoolKey &key) const
{
    const Pool *pool = findPool(key);
    return pool == nullptr ? 0 : pool->busy;
}

std::vector<PoolKey> ServerPool::keys() const
{
    std::vector<PoolKey> keys;
    for (const Pool &pool : m_pools) {
        if (pool.serverCount > 0) {
            keys.push_back(pool.key);
        }
    }
    return keys;
}

ServerIndex ServerPool::indexOf(const core::BackendServerId &id) const
{
    const auto it = m_indices.find(id);
    return it == m_indices.end() ? -1 : it->second;
}

const ServerLoad &ServerPool::at(ServerIndex server) const
{
    return m_entries[server].load;
}

const ServerPool::Pool *ServerPool::findPool(const PoolKey &key) const
{
    const auto it = m_poolIndices.find(key);
    return it == m_poolIndices.end() ? nullptr : &m_pools[it->second];
}

int ServerPool::poolIndex(const PoolKey &key)
{
    const auto inserted = m_poolIndices.emplace(key, static_cast<int>(m_pools.size()));
    if (inserted.second) {
        m_pools.push_back({key, {}, 0, 0, 0});
    }
    return inserted.first->second;
}

int ServerPool::usableSlotsOf(const ServerLoad &load, absl::Time now) const
{
    if (load.server.isLeaving || load.ejectedUntil > now) {
        return 0;
    }
    const absl::Duration age = now - load.addedAt;
    if (age >= WARM_UP_TIME) {
        return load.server.slots;
    }
    // Start at half of the slots, because some requests are not allowed to run anywhere else.
    const double share = (1 + absl::FDivDuration(age, WARM_UP_TIME)) / 2;
    return std::max(1, static_cast<int>(load.server.slots * share));
}

void ServerPool::updatePool(ServerIndex server)
{
    Entry &entry = m_entries[server];
    Pool &pool = m_pools[entry.pool];

    // Update the totals of the pool.
    const int busy = std::min(entry.load.busy(), std::max(entry.usableSlots, entry.load.ownInFlight));
    pool.busy += busy - entry.busyInPoolTotal;
    entry.busyInPoolTotal = busy;
    pool.slots += entry.usableSlots - entry.slotsInPoolTotal;
    entry.slotsInPoolTotal = entry.usableSlots;

    // Add the server to the list of servers with a free slot, or remove it.
    const bool isFree = entry.load.busy() < entry.usableSlots;
    if (isFree && entry.freePosition < 0) {
        entry.freePosition = static_cast<int>(pool.free.size());
        pool.free.push_back(server);
    }
    if (!isFree && entry.freePosition >= 0) {
        const ServerIndex last = pool.free.back();
        pool.free[entry.freePosition] = last;
        m_entries[last].freePosition = entry.freePosition;
        pool.free.pop_back();
        entry.freePosition = -1;
    }
}

void ServerPool::remove(ServerIndex server)
{
    Entry &entry = m_entries[server];
    entry.usableSlots = 0;
    entry.load.ownInFlight = 0;
    entry.load.othersInFlight = 0;
    updatePool(server);
    --m_pools[entry.pool].serverCount;
    m_indices.erase(entry.load.server.id);
    entry.pool = -1;
    m_unusedIndices.push_back(server);
}

} // namespace snipeferry::routing
