#include "snipeferry/gateway/fleetview.h"

#include "snipeferry/gateway/relayranking.h"
#include "snipeferry/gateway/rendezvous.h"
#include "snipeferry/gateway/routetable.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace snipeferry::gateway {

namespace {

/** Instances send a pulse at least once a second. An instance without a pulse for this long gets no callers or requests. */
constexpr absl::Duration PULSE_TIMEOUT = absl::Milliseconds(2600);
/** An announced instance to which no link exists yet counts as alive for this long after its announcement. */
constexpr absl::Duration LINK_GRACE = absl::Seconds(3);
/** Time for which it is kept that an instance was cut off from backend servers. */
constexpr absl::Duration CUT_OFF_MEMORY = absl::Seconds(5);
/** Prompt tokens that one backend server reads in a millisecond, where the region does not state it. */
constexpr double SERVER_TOKENS_PER_MS = 45.0;
/** Prompt tokens that all backend servers of a region read in a millisecond, where the region does not state it. */
constexpr double REGION_TOKENS_PER_MS = 120.0;
/** Estimates that differ by less are equal: the pulses that they come from are up to a second old. */
constexpr absl::Duration EQUAL_ESTIMATE_MARGIN = absl::Milliseconds(5);
/** Period of the count of the region's instances, which costs a look at each member. */
constexpr absl::Duration SENDER_COUNT_PERIOD = absl::Milliseconds(100);
/** Bounds of a stated read rate; engines read 30 to 300 tokens in a millisecond, and a region has up to 2,000 of them. */
constexpr double MIN_TOKENS_PER_MS = 1.0;
constexpr double MAX_TOKENS_PER_MS = 1e6;
/** Limit of the addresses that callers receive. */
constexpr std::size_t MAX_CALLER_ADDRESSES = 64;

/** The read rate at an index of a room, or the given one if the room states none that can be used. */
double readRate(const ServiceRoom &room, std::size_t index, double missing)
{
    const double rate = index < room.readRates.size() ? room.readRates[index] : 0.0;
    return rate >= MIN_TOKENS_PER_MS && rate <= MAX_TOKENS_PER_MS ? rate : missing;
}

} // namespace

FleetView::FleetView(Member self, core::TimerService &timers)
    : m_self(std::move(self)),
      m_timers(timers),
      m_random(static_cast<std::uint64_t>(std::ldexp(rendezvousWeight("forwards", m_self.id.value()), 63)))
{
}

const Member &FleetView::self() const
{
    return m_self;
}

void FleetView::announceMember(const Member &member)
{
    if (member.id == m_self.id) {
        return;
    }
    Peer &peer = m_peers[member.id];
    if (peer.member.incarnation > member.incarnation) {
        // It is still announced for the process before the one that is linked. All instances take the announced members from the store alone.
        m_areLinkTargetsOutdated = m_areLinkTargetsOutdated || !peer.isAnnounced;
        peer.isAnnounced = true;
        return;
    }
    if (!peer.isAnnounced || peer.member.incarnation != member.incarnation) {
        peer.announcedAt = m_timers.now();
    }
    m_areLinkTargetsOutdated = m_areLinkTargetsOutdated || !peer.isAnnounced || peer.member != member;
    peer.member = member;
    peer.isAnnounced = true;
}

void FleetView::removeMember(const core::InstanceId &id)
{
    const auto it = m_peers.find(id);
    if (it == m_peers.end()) {
        return;
    }
    it->second.isAnnounced = false;
    m_areLinkTargetsOutdated = true;
    // A linked instance is running even if its announcement lapsed, for example in a store outage.
    if (!it->second.isLinked) {
        m_peers.erase(it);
    }
}

void FleetView::linkUp(const Member &member)
{
    Peer &peer = m_peers[member.id];
    peer.member = member;
    peer.isLinked = true;
    peer.linkedProcess = member.process();
    peer.lastHeardAt = m_timers.now();
    peer.lastSentAt = 0;
}

void FleetView::linkDown(const core::InstanceId &id)
{
    const auto it = m_peers.find(id);
    if (it == m_peers.end()) {
        return;
    }
    it->second.isLinked = false;
    it->second.linkedProcess = ProcessId();
    it->second.isReady = false;
    it->second.takesForwards = false;
    it->second.rooms.clear();
    it->second.lostServices.clear();
    if (!it->second.isAnnounced) {
        m_peers.erase(it);
    }
}

ProcessId FleetView::linkedProcess(const core::InstanceId &id) const
{
    const auto it = m_peers.find(id);
    return it == m_peers.end() ? ProcessId() : it->second.linkedProcess;
}

absl::Time FleetView::receive(const core::InstanceId &from, const Pulse &pulse)
{
    const auto it = m_peers.find(from);
    if (it == m_peers.end()) {
        return absl::InfinitePast();
    }
    Peer &peer = it->second;
    peer.lastHeardAt = m_timers.now();
    peer.isReady = pulse.isReady;
    peer.takesForwards = pulse.isReady || pulse.takesForwards;
    peer.rooms = pulse.rooms;
    setLostServices(peer, pulse.lostServices);
    peer.unreportedTokens.clear();
    peer.lastSentAt = pulse.sentAt;
    if (pulse.echo == 0) {
        return absl::InfinitePast();
    }
    return std::min(m_timers.now(), absl::FromUnixNanos(pulse.echo));
}

Pulse FleetView::startPulse(const core::InstanceId &to) const
{
    Pulse pulse;
    pulse.sentAt = absl::ToUnixNanos(m_timers.now());
    const auto it = m_peers.find(to);
    pulse.echo = it == m_peers.end() ? 0 : it->second.lastSentAt;
    return pulse;
}

std::vector<Member> FleetView::membersToLink() const
{
    std::vector<Member> all;
    for (const auto &entry : m_peers) {
        if (entry.second.isAnnounced && shouldLink(entry.second.member)) {
            all.push_back(entry.second.member);
        }
    }
    return all;
}

std::vector<core::InstanceId> FleetView::linkedInstances() const
{
    std::vector<core::InstanceId> all;
    for (const auto &entry : m_peers) {
        if (entry.second.isLinked) {
            all.push_back(entry.first);
        }
    }
    return all;
}

bool FleetView::isInOwnRegion(const core::InstanceId &id) const
{
    const auto it = m_peers.find(id);
    return it != m_peers.end() && it->second.member.region == m_self.region;
}

core::RegionId FleetView::regionOf(const core::InstanceId &id) const
{
    const auto it = m_peers.find(id);
    return it == m_peers.end() ? core::RegionId() : it->second.member.region;
}

bool FleetView::hasRecentPulse(const Peer &peer) const
{
    return peer.isLinked && m_timers.now() - peer.lastHeardAt < PULSE_TIMEOUT;
}

bool FleetView::isAlive(const Peer &peer) const
{
    return hasRecentPulse(peer) || m_timers.now() - peer.reportedAliveAt < PULSE_TIMEOUT;
}

bool FleetView::acceptsCallers(const Peer &peer) const
{
    return hasRecentPulse(peer) ? peer.isReady : isAlive(peer) && peer.isReportedReady;
}

bool FleetView::mayBeAlive(const Peer &peer) const
{
    if (isAlive(peer)) {
        return true;
    }
    if (peer.isLinked || !peer.isAnnounced) {
        return false;
    }
    if (m_timers.now() - peer.announcedAt < LINK_GRACE) {
        return true;
    }
    // This instance hears of its own region's members directly or through a relay. Other members to which it keeps no link count as alive while their
    // announcement exists.
    const bool isHeardOf = peer.member.region == m_self.region && m_timers.now() - m_summaryReceivedAt < PULSE_TIMEOUT;
    return !isHeardOf && !shouldLink(peer.member);
}

std::vector<core::InstanceId> FleetView::dataCentreInstances() const
{
    std::vector<core::InstanceId> all{m_self.id};
    for (const auto &entry : m_peers) {
        if (entry.second.member.dataCentre == m_self.dataCentre && isAlive(entry.second)) {
            all.push_back(entry.first);
        }
    }
    return all;
}

std::vector<core::InstanceId> FleetView::regionInstances() const
{
    std::vector<core::InstanceId> all{m_self.id};
    for (const auto &entry : m_peers) {
        if (entry.second.member.region == m_self.region && isAlive(entry.second)) {
            all.push_back(entry.first);
        }
    }
    return all;
}

std::vector<core::InstanceId> FleetView::possiblyLiveInstances() const
{
    std::vector<core::InstanceId> all{m_self.id};
    for (const auto &entry : m_peers) {
        if (mayBeAlive(entry.second)) {
            all.push_back(entry.first);
        }
    }
    return all;
}

std::vector<core::RegionId> FleetView::liveRegions() const
{
    std::vector<core::RegionId> regions{m_self.region};
    for (const auto &entry : m_peers) {
        if (mayBeAlive(entry.second)) {
            regions.push_back(entry.second.member.region);
        }
    }
    std::sort(regions.begin(), regions.end());
    regions.erase(std::unique(regions.begin(), regions.end()), regions.end());
    return regions;
}

std::vector<core::InstanceId> FleetView::instancesLatelyCutOff() const
{
    std::vector<core::InstanceId> all{m_self.id};
    for (const auto &entry : m_peers) {
        if (entry.second.member.region == m_self.region && m_timers.now() - entry.second.cutOffAt < CUT_OFF_MEMORY) {
            all.push_back(entry.first);
        }
    }
    return all;
}

void FleetView::setLostServices(Peer &peer, const std::vector<core::ServiceId> &services)
{
    peer.lostServices = services;
    if (!services.empty()) {
        peer.cutOffAt = m_timers.now();
    }
}

std::vector<core::InstanceId> FleetView::announcedRegionMembers() const
{
    std::vector<core::InstanceId> all{m_self.id};
    for (const auto &entry : m_peers) {
        if (entry.second.member.region == m_self.region && entry.second.isAnnounced) {
            all.push_back(entry.first);
        }
    }
    return all;
}

bool FleetView::hasReadyInstance(const core::RegionId &region) const
{
    for (const auto &entry : m_peers) {
        if (entry.second.member.region == region && acceptsCallers(entry.second)) {
            return true;
        }
    }
    return false;
}

int FleetView::instanceCount() const
{
    // Count announced instances even without recent pulses: they may be disconnected and still spend their part of the allowances.
    return 1 + static_cast<int>(m_peers.size());
}

std::vector<std::string> FleetView::callerAddresses(
    const core::RegionId &region, const core::DataCentreId &dataCentre, bool isSelfReady, bool isSelfCutOff) const
{
    std::vector<std::string> sameDataCentre;
    std::vector<std::string> cutOffInDataCentre;
    std::vector<std::string> sameRegion;
    std::vector<std::string> otherRegions;
    std::vector<std::string> draining;
    const auto add = [&](const Member &member, bool isCutOff) {
        if (member.dataCentre == dataCentre) {
            (isCutOff ? cutOffInDataCentre : sameDataCentre).push_back(member.callerAddress);
        } else if (member.region == region) {
            sameRegion.push_back(member.callerAddress);
        } else {
            otherRegions.push_back(member.callerAddress);
        }
    };
    if (isSelfReady) {
        add(m_self, isSelfCutOff);
    } else if (m_self.region == region) {
        draining.push_back(m_self.callerAddress);
    }
    for (const auto &entry : m_peers) {
        const bool isOffered = isAlive(entry.second) ? acceptsCallers(entry.second) : mayBeAlive(entry.second);
        if (isOffered) {
            add(entry.second.member, !entry.second.lostServices.empty());
        } else if (isAlive(entry.second) && entry.second.member.region == region) {
            draining.push_back(entry.second.member.callerAddress);
        }
    }
    // An instance that is cut off from backend servers hands its requests on, so it is named only if its data centre has no other.
    std::vector<std::string> &nearest = !sameDataCentre.empty() ? sameDataCentre : cutOffInDataCentre;
    std::vector<std::string> &best = !nearest.empty() ? nearest : !sameRegion.empty() ? sameRegion : !draining.empty() ? draining : otherRegions;
    if (best.size() > MAX_CALLER_ADDRESSES) {
        best.resize(MAX_CALLER_ADDRESSES);
    }
    return best;
}

int FleetView::countSenders() const
{
    const absl::Time now = m_timers.now();
    if (now - m_sendersCountedAt >= SENDER_COUNT_PERIOD) {
        m_sendersCountedAt = now;
        m_senders = 1;
        for (const auto &entry : m_peers) {
            m_senders += entry.second.member.region == m_self.region && isAlive(entry.second) ? 1 : 0;
        }
    }
    return m_senders;
}

core::Expected<RemoteChoice> FleetView::choose(const RemoteQuery &query) const
{
    struct Candidate
    {
        const Peer *peer = nullptr;
        absl::Duration estimate;
        absl::Duration wait;
    };
    const std::size_t level = static_cast<std::size_t>(urgencyOf(query.priority));
    const int senders = countSenders();
    std::vector<Candidate> candidates;
    absl::Duration least = absl::InfiniteDuration();
    for (const auto &entry : m_peers) {
        const Peer &peer = entry.second;
        if (peer.member.region == m_self.region || !peer.takesForwards || !hasRecentPulse(peer) || !isHomeRegion(query.permittedRegions, peer.member.region)) {
            continue;
        }
        if (std::find(query.excluded.begin(), query.excluded.end(), entry.first) != query.excluded.end()) {
            continue;
        }
        const auto roomOfService = std::find_if(peer.rooms.begin(), peer.rooms.end(),
            [&](const ServiceRoom &candidate) { return candidate.service == query.service && candidate.waits.size() > level; });
        if (roomOfService == peer.rooms.end()) {
            continue;
        }
        const auto tokens = peer.unreportedTokens.find(query.service);
        const double unreported = tokens == peer.unreportedTokens.end() ? 0.0 : static_cast<double>(tokens->second) * senders;
        const absl::Duration wait
            = roomOfService->waits[level] + REGION_ROUND_TRIP + absl::Milliseconds(unreported / readRate(*roomOfService, 1, REGION_TOKENS_PER_MS));
        const absl::Duration estimate = wait + absl::Milliseconds(static_cast<double>(query.promptTokens) / readRate(*roomOfService, 0, SERVER_TOKENS_PER_MS));
        least = std::min(least, estimate);
        candidates.push_back({&peer, estimate, wait});
    }
    const Candidate *best = nullptr;
    int equals = 0;
    for (const Candidate &candidate : candidates) {
        const int openForwards = candidate.peer->openForwards;
        if (candidate.estimate > least + EQUAL_ESTIMATE_MARGIN || (best != nullptr && openForwards > best->peer->openForwards)) {
            continue;
        }
        equals = best != nullptr && openForwards == best->peer->openForwards ? equals + 1 : 1;
        if (std::uniform_int_distribution<int>(1, equals)(m_random) == 1) {
            best = &candidate;
        }
    }
    if (best == nullptr) {
        return tl::make_unexpected(
            core::makeError(core::ErrorKind::PeerUnavailable, "No instance of another permitted region can take the request.", absl::Seconds(1)));
    }
    return RemoteChoice{best->peer->member.id, best->peer->member.region, best->estimate, best->wait};
}

core::Expected<RemoteChoice> FleetView::chooseNeighbour(const core::ServiceId &service, const std::vector<core::InstanceId> &excluded) const
{
    const Peer *best = nullptr;
    const auto isBetter = [&](const Peer &peer) {
        const bool isNear = peer.member.dataCentre == m_self.dataCentre;
        const bool isBestNear = best->member.dataCentre == m_self.dataCentre;
        return isNear != isBestNear ? isNear : std::pair(peer.openForwards, peer.forwards) < std::pair(best->openForwards, best->forwards);
    };
    for (const auto &entry : m_peers) {
        const Peer &peer = entry.second;
        const bool isUsable = peer.member.region == m_self.region && peer.takesForwards && hasRecentPulse(peer);
        const bool isExcluded = std::find(excluded.begin(), excluded.end(), entry.first) != excluded.end();
        const bool reachesServers = std::find(peer.lostServices.begin(), peer.lostServices.end(), service) == peer.lostServices.end();
        if (isUsable && !isExcluded && reachesServers && (best == nullptr || isBetter(peer))) {
            best = &peer;
        }
    }
    if (best == nullptr) {
        return tl::make_unexpected(core::makeError(core::ErrorKind::PeerUnavailable, "No other instance of the region reaches the backend servers."));
    }
    return RemoteChoice{best->member.id, best->member.region};
}

void FleetView::forwardStarted(const core::InstanceId &id, const core::ServiceId &service, std::int64_t promptTokens)
{
    const auto it = m_peers.find(id);
    if (it != m_peers.end()) {
        ++it->second.openForwards;
        ++it->second.forwards;
        noteForwardedTokens(it->second.member.region, service, promptTokens);
    }
}

void FleetView::noteForwardedTokens(const core::RegionId &region, const core::ServiceId &service, std::int64_t promptTokens)
{
    if (region == m_self.region) {
        return;
    }
    // The instances of a region state the waits at the same backend servers.
    for (auto &entry : m_peers) {
        if (entry.second.member.region == region && entry.second.isLinked) {
            entry.second.unreportedTokens[service] += promptTokens;
        }
    }
}

void FleetView::forwardEnded(const core::InstanceId &id)
{
    const auto it = m_peers.find(id);
    if (it != m_peers.end()) {
        it->second.openForwards = std::max(0, it->second.openForwards - 1);
    }
}

} // namespace snipeferry::gateway
