#include "snipeferry/routing/remotedatacentres.h"

#include <algorithm>
#include <utility>

namespace snipeferry::routing {

void RemoteDataCentres::configure(const configuration::Configuration &configuration, const core::DataCentreId &own)
{
    // Keep the state of data centres that are in the old and the new configuration.
    std::vector<RemoteDataCentre> previous = std::exchange(m_dataCentres, {});
    m_byRegion.clear();
    m_indexByDataCentre.clear();
    m_indexByInstance.clear();
    for (const configuration::Region &region : configuration.regions) {
        for (const configuration::DataCentre &dataCentre : region.dataCentres) {
            if (dataCentre.id == own) {
                continue;
            }
            m_byRegion[region.id].push_back(m_dataCentres.size());
            m_indexByDataCentre[dataCentre.id] = m_dataCentres.size();
            const auto existing
                = std::find_if(previous.begin(), previous.end(), [&](const RemoteDataCentre &remote) { return remote.dataCentre == dataCentre.id; });
            m_dataCentres.push_back(
                existing == previous.end() ? RemoteDataCentre{dataCentre.id, region.id, {}, absl::InfinitePast(), {}} : std::move(*existing));
            m_dataCentres.back().region = region.id;
            for (const core::InstanceId &instance : m_dataCentres.back().instances) {
                m_indexByInstance[instance] = m_dataCentres.size() - 1;
            }
        }
    }
}

void RemoteDataCentres::setMembers(const std::vector<membership::Member> &members, absl::Time now)
{
    std::vector<bool> wasReachable(m_dataCentres.size());
    for (std::size_t i = 0; i < m_dataCentres.size(); ++i) {
        wasReachable[i] = !m_dataCentres[i].instances.empty();
        m_dataCentres[i].instances.clear();
        m_dataCentres[i].capacities.assign(m_capacityIndices.size(), {});
    }
    m_indexByInstance.clear();

    // All instances of a data centre report on the same backend servers: take the highest of their values, not the sum.
    for (const membership::Member &member : members) {
        const auto it = m_indexByDataCentre.find(member.description.dataCentre);
        if (it == m_indexByDataCentre.end() || !member.isUsable || !member.isLinked) {
            continue;
        }
        m_dataCentres[it->second].instances.push_back(member.description.id);
        m_indexByInstance[member.description.id] = it->second;
        for (const membership::ServiceLoad &load : member.loads) {
            ReportedCapacity &capacity = capacityAt(m_dataCentres[it->second], {load.service, load.version});
            capacity.slots = std::max(capacity.slots, load.slots);
            capacity.busy = std::max(capacity.busy, load.busy + load.waiting);
        }
    }

    // A data centre that returns after an outage has cold caches. One first seen while this instance starts has not been down.
    const bool hadNoMembersBefore = m_firstMembersAt == absl::InfiniteFuture();
    if (hadNoMembersBefore && !members.empty()) {
        m_firstMembersAt = now;
    }
    const bool isStarting = hadNoMembersBefore || now - m_firstMembersAt < WARM_UP_TIME;
    for (std::size_t i = 0; i < m_dataCentres.size(); ++i) {
        if (!wasReachable[i] && !m_dataCentres[i].instances.empty() && !isStarting) {
            m_dataCentres[i].returnedAt = now;
        }
    }
}

int RemoteDataCentres::capacityIndex(const PoolKey &key) const
{
    const auto it = m_capacityIndices.find(key);
    return it == m_capacityIndices.end() ? -1 : it->second;
}

const std::vector<std::size_t> *RemoteDataCentres::indicesInRegion(const core::RegionId &region) const
{
    const auto it = m_byRegion.find(region);
    return it == m_byRegion.end() ? nullptr : &it->second;
}

const std::vector<RemoteDataCentre> &RemoteDataCentres::all() const
{
    return m_dataCentres;
}

RemoteCapacity RemoteDataCentres::capacity(const RemoteDataCentre &remote, int capacityIndex, absl::Time now) const
{
    if (remote.instances.empty() || capacityIndex < 0 || static_cast<std::size_t>(capacityIndex) >= remote.capacities.size()) {
        return {};
    }
    const ReportedCapacity &capacity = remote.capacities[static_cast<std::size_t>(capacityIndex)];
    RemoteCapacity result{capacity.slots, capacity.busy + capacity.unreported};

    // After an outage, raise the usable slots from one half to all over the warm-up time.
    const absl::Duration age = now - remote.returnedAt;
    if (age < WARM_UP_TIME && result.slots > 0) {
        result.slots = std::max(1, static_cast<int>(result.slots * (1 + absl::FDivDuration(age, WARM_UP_TIME)) / 2));
    }
    return result;
}

ReportedCapacity &RemoteDataCentres::capacityAt(RemoteDataCentre &remote, const PoolKey &key)
{
    const auto inserted = m_capacityIndices.emplace(key, static_cast<int>(m_capacityIndices.size()));
    const std::size_t index = static_cast<std::size_t>(inserted.first->second);
    if (remote.capacities.size() <= index) {
        remote.capacities.resize(index + 1);
    }
    return remote.capacities[index];
}

core::InstanceId RemoteDataCentres::pickInstance(const RemoteDataCentre &remote, const std::vector<core::InstanceId> &excluded, std::mt19937_64 &random) const
{
    if (remote.instances.empty()) {
        return {};
    }
    core::InstanceId best;
    int bestInFlight = 0;
    for (int draw = 0; draw < 2; ++draw) {
        // Start at a random index and skip the excluded instances.
        const std::size_t count = remote.instances.size();
        const std::size_t first = random() % count;
        for (std::size_t offset = 0; offset < count && offset <= excluded.size(); ++offset) {
            const core::InstanceId &candidate = remote.instances[(first + offset) % count];
            if (std::find(excluded.begin(), excluded.end(), candidate) != excluded.end()) {
                continue;
            }
            const auto it = m_ownInFlight.find(candidate);
            const int inFlight = it == m_ownInFlight.end() ? 0 : it->second;
            if (best.isEmpty() || inFlight < bestInFlight) {
                best = candidate;
                bestInFlight = inFlight;
            }
            break;
        }
    }
    return best;
}

void RemoteDataCentres::start(const core::InstanceId &instance, const PoolKey &key)
{
    ++m_ownInFlight[instance];
    const auto it = m_indexByInstance.find(instance);
    if (it != m_indexByInstance.end()) {
        ++capacityAt(m_dataCentres[it->second], key).unreported;
    }
}

void RemoteDataCentres::finish(const core::InstanceId &instance, const PoolKey &key)
{
    const auto own = m_ownInFlight.find(instance);
    if (own != m_ownInFlight.end() && --own->second <= 0) {
        m_ownInFlight.erase(own);
    }
    const auto it = m_indexByInstance.find(instance);
    if (it != m_indexByInstance.end()) {
        ReportedCapacity &capacity = capacityAt(m_dataCentres[it->second], key);
        capacity.unreported = std::max(0, capacity.unreported - 1);
    }
}

} // namespace snipeferry::routing
