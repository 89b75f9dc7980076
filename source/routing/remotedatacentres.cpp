#include "snipeferry/routing/remotedatacentres.h"

#include <algorithm>
#include <utility>

namespace snipeferry::routing {

void RemotePlaces::configure(const configuration::Configuration &configuration, const core::DataCentreId &own)
{
    // What is known of data centres that stay is kept.
    std::vector<RemotePlace> before = std::exchange(m_places, {});
    m_byRegion.clear();
    m_byDataCentre.clear();
    m_placeOf.clear();
    for (const configuration::Region &region : configuration.regions) {
        for (const configuration::DataCentre &dataCentre : region.dataCentres) {
            if (dataCentre.id == own) {
                continue;
            }
            m_byRegion[region.id].push_back(m_places.size());
            m_byDataCentre[dataCentre.id] = m_places.size();
            const auto known = std::find_if(before.begin(), before.end(), [&](const RemotePlace &place) { return place.dataCentre == dataCentre.id; });
            m_places.push_back(known == before.end() ? RemotePlace{dataCentre.id, region.id, {}, absl::InfinitePast(), {}} : std::move(*known));
            m_places.back().region = region.id;
            for (const core::InstanceId &instance : m_places.back().instances) {
                m_placeOf[instance] = m_places.size() - 1;
            }
        }
    }
}

void RemotePlaces::setMembers(const std::vector<membership::Member> &members, absl::Time now)
{
    std::vector<bool> wasReachable(m_places.size());
    for (std::size_t i = 0; i < m_places.size(); ++i) {
        wasReachable[i] = !m_places[i].instances.empty();
        m_places[i].instances.clear();
        m_places[i].rooms.assign(m_poolNumbers.size(), {});
    }
    m_placeOf.clear();

    // Instances of one data centre see the same backend servers: the fullest view holds.
    for (const membership::Member &member : members) {
        const auto it = m_byDataCentre.find(member.description.dataCentre);
        if (it == m_byDataCentre.end() || !member.isUsable || !member.isLinked) {
            continue;
        }
        m_places[it->second].instances.push_back(member.description.id);
        m_placeOf[member.description.id] = it->second;
        for (const membership::ServiceLoad &load : member.loads) {
            ReportedRoom &room = roomAt(m_places[it->second], {load.service, load.version});
            room.slots = std::max(room.slots, load.slots);
            room.busy = std::max(room.busy, load.busy + load.waiting);
        }
    }

    // A data centre that comes back has cold caches; none is cold when this instance starts.
    const bool isFirst = m_firstMembersAt == absl::InfiniteFuture();
    if (isFirst && !members.empty()) {
        m_firstMembersAt = now;
    }
    const bool isStarting = isFirst || now - m_firstMembersAt < WARM_UP_TIME;
    for (std::size_t i = 0; i < m_places.size(); ++i) {
        if (!wasReachable[i] && !m_places[i].instances.empty() && !isStarting) {
            m_places[i].returnedAt = now;
        }
    }
}

int RemotePlaces::poolNumber(const PoolKey &key) const
{
    const auto it = m_poolNumbers.find(key);
    return it == m_poolNumbers.end() ? -1 : it->second;
}

const std::vector<std::size_t> *RemotePlaces::inRegion(const core::RegionId &region) const
{
    const auto it = m_byRegion.find(region);
    return it == m_byRegion.end() ? nullptr : &it->second;
}

const std::vector<RemotePlace> &RemotePlaces::all() const
{
    return m_places;
}

RemoteRoom RemotePlaces::room(const RemotePlace &place, int poolNumber, absl::Time now) const
{
    if (place.instances.empty() || poolNumber < 0 || static_cast<std::size_t>(poolNumber) >= place.rooms.size()) {
        return {};
    }
    const ReportedRoom &room = place.rooms[static_cast<std::size_t>(poolNumber)];
    RemoteRoom result{room.slots, room.busy + room.unreported};

    // Lets the share of a returned data centre rise over the warm-up time.
    const absl::Duration age = now - place.returnedAt;
    if (age < WARM_UP_TIME && result.slots > 0) {
        result.slots = std::max(1, static_cast<int>(result.slots * (1 + absl::FDivDuration(age, WARM_UP_TIME)) / 2));
    }
    return result;
}

ReportedRoom &RemotePlaces::roomAt(RemotePlace &place, const PoolKey &key)
{
    const auto inserted = m_poolNumbers.emplace(key, static_cast<int>(m_poolNumbers.size()));
    const std::size_t number = static_cast<std::size_t>(inserted.first->second);
    if (place.rooms.size() <= number) {
        place.rooms.resize(number + 1);
    }
    return place.rooms[number];
}

core::InstanceId RemotePlaces::pickInstance(const RemotePlace &place, const std::vector<core::InstanceId> &excluded, std::mt19937_64 &random) const
{
    if (place.instances.empty()) {
        return {};
    }
    core::InstanceId best;
    int bestInFlight = 0;
    for (int choice = 0; choice < 2; ++choice) {
        // Walks on from a random place past the few excluded ones.
        const std::size_t count = place.instances.size();
        const std::size_t first = random() % count;
        for (std::size_t step = 0; step < count && step <= excluded.size(); ++step) {
            const core::InstanceId &candidate = place.instances[(first + step) % count];
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

void RemotePlaces::start(const core::InstanceId &instance, const PoolKey &key)
{
    ++m_ownInFlight[instance];
    const auto it = m_placeOf.find(instance);
    if (it != m_placeOf.end()) {
        ++roomAt(m_places[it->second], key).unreported;
    }
}

void RemotePlaces::finish(const core::InstanceId &instance, const PoolKey &key)
{
    const auto own = m_ownInFlight.find(instance);
    if (own != m_ownInFlight.end() && --own->second <= 0) {
        m_ownInFlight.erase(own);
    }
    const auto it = m_placeOf.find(instance);
    if (it != m_placeOf.end()) {
        ReportedRoom &room = roomAt(m_places[it->second], key);
        room.unreported = std::max(0, room.unreported - 1);
    }
}

} // namespace snipeferry::routing
