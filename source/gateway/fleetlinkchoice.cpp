#include "snipeferry/gateway/fleetview.h"
#include "snipeferry/gateway/relayranking.h"
#include "snipeferry/gateway/rendezvous.h"

#include <algorithm>

// Chooses the relays of a large region, and the members to which an instance keeps links.
namespace snipeferry::gateway {

namespace {

/** Number of links that an instance selects to each data centre of another region. With three, one is left if one instance fails while another restarts. */
constexpr std::size_t LINKS_PER_DATA_CENTRE = 3;
/** The same in a fleet of more than MAX_FULLY_LINKED_INSTANCES, where the pulses on these links are most of the bytes between regions. */
constexpr std::size_t LINKS_PER_DATA_CENTRE_OF_LARGE_FLEET = 2;
/** A relay that has sent no pulse for this long is replaced. It includes the time to open a link to it. */
constexpr absl::Duration RELAY_ANSWER_TIMEOUT = absl::Seconds(3);
/** Time for which an instance that did not answer as a relay is not tried again. */
constexpr absl::Duration RELAY_AVOIDANCE_TIME = absl::Seconds(10);

/** One member with its rendezvous weight for another one. */
using RankedMember = std::pair<double, const Member *>;

} // namespace

bool FleetView::usesRelays() const
{
    refreshLinkTargets();
    return m_ownRegionSize > MAX_FULLY_LINKED_INSTANCES;
}

const std::vector<core::InstanceId> &FleetView::relays() const
{
    return m_relays;
}

bool FleetView::isRelay() const
{
    return std::find(m_relays.begin(), m_relays.end(), m_self.id) != m_relays.end();
}

core::InstanceId FleetView::nearestRelay() const
{
    const Peer *nearest = nullptr;
    for (const core::InstanceId &id : m_relays) {
        if (id == m_self.id) {
            return core::InstanceId();
        }
        const auto it = m_peers.find(id);
        if (it == m_peers.end() || !hasRecentPulse(it->second)) {
            continue;
        }
        const bool isNearer = nearest != nullptr && nearest->member.dataCentre != m_self.dataCentre && it->second.member.dataCentre == m_self.dataCentre;
        if (nearest == nullptr || isNearer) {
            nearest = &it->second;
        }
    }
    return nearest == nullptr ? core::InstanceId() : nearest->member.id;
}

bool FleetView::isRelayOfOtherRegion(const core::InstanceId &id) const
{
    refreshLinkTargets();
    return m_otherRegionsRelays.contains(id);
}

bool FleetView::receivesRegionReports(const core::InstanceId &id) const
{
    const auto it = m_peers.find(id);
    return isRelayOfOtherRegion(id) || (it != m_peers.end() && !m_otherLargeRegions.contains(it->second.member.region));
}

bool FleetView::isUsableAsRelay(Peer &peer, absl::Time now) const
{
    if (!peer.isAnnounced || now < peer.relayAvoidedUntil) {
        return false;
    }
    if (hasRecentPulse(peer)) {
        peer.relayExpectedSince = absl::InfiniteFuture();
        return true;
    }
    if (std::find(m_relays.begin(), m_relays.end(), peer.member.id) == m_relays.end()) {
        return mayBeAlive(peer);
    }
    // It has gone silent, or has not answered since it was chosen.
    const bool isStillTried = peer.relayExpectedSince != absl::InfiniteFuture() && now - peer.relayExpectedSince < RELAY_ANSWER_TIMEOUT;
    if (!isStillTried) {
        peer.relayExpectedSince = absl::InfiniteFuture();
        peer.relayAvoidedUntil = now + RELAY_AVOIDANCE_TIME;
    }
    return isStillTried;
}

bool FleetView::updateRelays()
{
    std::vector<core::InstanceId> relays;
    if (usesRelays()) {
        const absl::Time now = m_timers.now();
        std::vector<const Member *> usable{&m_self};
        for (auto &entry : m_peers) {
            if (entry.second.member.region == m_self.region && isUsableAsRelay(entry.second, now)) {
                usable.push_back(&entry.second.member);
            }
        }
        relays = chooseRelays(usable);
        for (auto &entry : m_peers) {
            const bool isChosen = std::find(relays.begin(), relays.end(), entry.first) != relays.end();
            if (!isChosen) {
                entry.second.relayExpectedSince = absl::InfiniteFuture();
            } else if (!hasRecentPulse(entry.second)) {
                entry.second.relayExpectedSince = std::min(entry.second.relayExpectedSince, now);
            }
        }
    }
    if (relays == m_relays) {
        return false;
    }
    m_relays = std::move(relays);
    m_areLinkTargetsOutdated = true;
    return true;
}

void FleetView::receiveStates(const std::vector<InstanceState> &states)
{
    const absl::Time now = m_timers.now();
    m_summaryReceivedAt = now;
    for (const InstanceState &state : states) {
        const auto it = m_peers.find(state.instance);
        if (it != m_peers.end() && now - state.heardAgo >= it->second.reportedAliveAt) {
            it->second.reportedAliveAt = now - state.heardAgo;
            it->second.isReportedReady = state.isReady;
            if (!hasRecentPulse(it->second)) {
                setLostServices(it->second, state.lostServices);
            }
        }
    }
}

std::vector<InstanceState> FleetView::regionStates(bool isSelfReady, const std::vector<core::ServiceId> &ownLostServices) const
{
    const absl::Time now = m_timers.now();
    std::vector<InstanceState> states{{m_self.id, absl::ZeroDuration(), isSelfReady, ownLostServices}};
    for (const auto &entry : m_peers) {
        const Peer &peer = entry.second;
        if (peer.member.region == m_self.region && hasRecentPulse(peer)) {
            states.push_back({entry.first, now - peer.lastHeardAt, peer.isReady, peer.lostServices});
        }
    }
    return states;
}

bool FleetView::shouldLink(const Member &member) const
{
    refreshLinkTargets();
    return m_linkTargets.contains(member.id);
}

bool FleetView::linksInOwnRegion(const Member &member) const
{
    // A member without a capacity runs an earlier build, which expects a link to each instance of its region.
    const bool isRelayOfRegion = std::find(m_relays.begin(), m_relays.end(), member.id) != m_relays.end();
    return m_ownRegionSize <= MAX_FULLY_LINKED_INSTANCES || member.capacity <= 0 || isRelayOfRegion || isRelay();
}

void FleetView::refreshLinkTargets() const
{
    if (!m_areLinkTargetsOutdated) {
        return;
    }
    m_areLinkTargetsOutdated = false;
    m_linkTargets.clear();
    m_otherRegionsRelays.clear();
    m_otherLargeRegions.clear();
    std::map<core::RegionId, std::vector<const Member *>> regions;
    regions[m_self.region].push_back(&m_self);
    for (const auto &entry : m_peers) {
        if (entry.second.isAnnounced) {
            regions[entry.second.member.region].push_back(&entry.second.member);
        }
    }
    m_ownRegionSize = regions[m_self.region].size();
    for (const Member *member : regions[m_self.region]) {
        if (member != &m_self && linksInOwnRegion(*member)) {
            m_linkTargets.insert(member->id);
        }
    }
    for (const auto &region : regions) {
        if (region.first == m_self.region || region.second.size() <= MAX_FULLY_LINKED_INSTANCES) {
            continue;
        }
        m_otherLargeRegions.insert(region.first);
        const std::vector<core::InstanceId> relays = chooseRelays(region.second);
        m_otherRegionsRelays.insert(relays.begin(), relays.end());
        if (isRelay()) {
            m_linkTargets.insert(relays.begin(), relays.end());
        }
    }
    selectLinksToOtherRegions();
}

void FleetView::selectLinksToOtherRegions() const
{
    const std::size_t fleetSize
        = static_cast<std::size_t>(1 + std::count_if(m_peers.begin(), m_peers.end(), [](const auto &entry) { return entry.second.isAnnounced; }));
    const std::size_t linkCount = fleetSize > MAX_FULLY_LINKED_INSTANCES ? LINKS_PER_DATA_CENTRE_OF_LARGE_FLEET : LINKS_PER_DATA_CENTRE;
    // Each instance ranks the members of a data centre and selects the first ones. A link exists if either end selects the other.
    std::map<core::DataCentreId, std::vector<RankedMember>> rankedMembers;
    std::vector<const Member *> ownDataCentre{&m_self};
    for (const auto &entry : m_peers) {
        const Member &member = entry.second.member;
        if (!entry.second.isAnnounced) {
            continue;
        }
        if (member.region != m_self.region) {
            rankedMembers[member.dataCentre].emplace_back(rendezvousWeight(m_self.id.value(), member.id.value()), &member);
        } else if (member.dataCentre == m_self.dataCentre) {
            ownDataCentre.push_back(&member);
        }
    }
    for (auto &dataCentre : rankedMembers) {
        std::vector<RankedMember> &ranked = dataCentre.second;
        std::sort(ranked.begin(), ranked.end(), [](const RankedMember &left, const RankedMember &right) { return left.first > right.first; });
        for (std::size_t rank = 0; rank < ranked.size(); ++rank) {
            const Member &member = *ranked[rank].second;
            const double ownWeight = rendezvousWeight(member.id.value(), m_self.id.value());
            const auto isRankedHigher = [&member, ownWeight](const Member *other) {
                return rendezvousWeight(member.id.value(), other->id.value()) > ownWeight;
            };
            const bool isSelected
                = rank < linkCount || static_cast<std::size_t>(std::count_if(ownDataCentre.begin(), ownDataCentre.end(), isRankedHigher)) < linkCount;
            if (isSelected) {
                m_linkTargets.insert(member.id);
            }
        }
    }
}

} // namespace snipeferry::gateway
