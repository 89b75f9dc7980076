#include "snipeferry/gateway/fleetview.h"

#include "snipeferry/gateway/rendezvous.h"
#include "snipeferry/gateway/routetable.h"

#include <algorithm>

namespace snipeferry::gateway {

namespace {

/** Pulses come once a second or more often; after this silence an instance is not offered to callers or requests. */
constexpr absl::Duration SILENCE_LIMIT = absl::Milliseconds(2600);
/** An announced instance without a link yet counts as alive for this long. */
constexpr absl::Duration LINK_GRACE = absl::Seconds(3);
/** Way to another region and back, and the connection there. */
constexpr absl::Duration REGION_ROUND_TRIP = absl::Milliseconds(125);
/** Prompt tokens that one backend server reads in a millisecond, until measured; see ServiceState::tokensPerMs. */
constexpr double SERVER_TOKENS_PER_MS = 45.0;
/** The same for the several servers of a region, for work that it has not reported yet. */
constexpr double REGION_TOKENS_PER_MS = 120.0;
constexpr std::size_t MAX_DIRECTORY_ENTRIES = 64;
/** Links that an instance chooses to each data centre of another region; three outlast the loss of one and a restart beside it. */
constexpr int LINKS_TO_DATA_CENTRE = 3;

} // namespace

FleetView::FleetView(Member self, core::TimerService &timers)
    : m_self(std::move(self)),
      m_timers(timers)
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
        return;
    }
    if (!peer.isAnnounced || peer.member.incarnation != member.incarnation) {
        peer.announcedAt = m_timers.now();
    }
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
    // A linked instance lives, whatever the store says; its lease may have run out in an outage.
    if (!it->second.isLinked) {
        m_peers.erase(it);
    }
}

void FleetView::linkUp(const Member &member)
{
    Peer &peer = m_peers[member.id];
    peer.member = member;
    peer.isLinked = true;
    peer.heardAt = m_timers.now();
    peer.lastSentAt = 0;
}

void FleetView::linkDown(const core::InstanceId &id)
{
    const auto it = m_peers.find(id);
    if (it == m_peers.end()) {
        return;
    }
    it->second.isLinked = false;
    it->second.isReady = false;
    it->second.rooms.clear();
    if (!it->second.isAnnounced) {
        m_peers.erase(it);
    }
}

absl::Time FleetView::receive(const core::InstanceId &from, const Pulse &pulse)
{
    const auto it = m_peers.find(from);
    if (it == m_peers.end()) {
        return absl::InfinitePast();
    }
    Peer &peer = it->second;
    peer.heardAt = m_timers.now();
    peer.isReady = pulse.isReady;
    peer.rooms = pulse.rooms;
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

bool FleetView::isWanted(const Member &member) const
{
    if (member.region == m_self.region) {
        return true;
    }
    // Count the data centre's members that either end ranks before the other one.
    const auto isChosen = [this](const Member &chooser, const Member &chosen) {
        const double weight = rendezvousWeight(chooser.id.value(), chosen.id.value());
        int before = 0;
        const auto countIfBefore = [&](const Member &other) {
            const bool isRival = other.dataCentre == chosen.dataCentre && other.id != chosen.id;
            before += isRival && rendezvousWeight(chooser.id.value(), other.id.value()) > weight ? 1 : 0;
        };
        countIfBefore(m_self);
        for (const auto &entry : m_peers) {
            if (entry.second.isAnnounced) {
                countIfBefore(entry.second.member);
            }
        }
        return before < LINKS_TO_DATA_CENTRE;
    };
    return isChosen(m_self, member) || isChosen(member, m_self);
}

std::vector<Member> FleetView::wanted() const
{
    std::vector<Member> all;
    for (const auto &entry : m_peers) {
        if (entry.second.isAnnounced && isWanted(entry.second.member)) {
            all.push_back(entry.second.member);
        }
    }
    return all;
}

std::vector<core::InstanceId> FleetView::linked() const
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

bool FleetView::isHeard(const Peer &peer) const
{
    return peer.isLinked && m_timers.now() - peer.heardAt < SILENCE_LIMIT;
}

bool FleetView::mayBeAlive(const Peer &peer) const
{
    // Without a link of its own, an instance of another region is judged by its lease.
    const bool isYoung = m_timers.now() - peer.announcedAt < LINK_GRACE;
    return isHeard(peer) || (!peer.isLinked && peer.isAnnounced && (isYoung || !isWanted(peer.member)));
}

std::vector<core::InstanceId> FleetView::dataCentreInstances() const
{
    std::vector<core::InstanceId> all{m_self.id};
    for (const auto &entry : m_peers) {
        if (entry.second.member.dataCentre == m_self.dataCentre && isHeard(entry.second)) {
            all.push_back(entry.first);
        }
    }
    return all;
}

std::vector<core::InstanceId> FleetView::regionInstances() const
{
    std::vector<core::InstanceId> all{m_self.id};
    for (const auto &entry : m_peers) {
        if (entry.second.member.region == m_self.region && isHeard(entry.second)) {
            all.push_back(entry.first);
        }
    }
    return all;
}

bool FleetView::hasReadyInstance(const core::RegionId &region) const
{
    for (const auto &entry : m_peers) {
        if (entry.second.member.region == region && entry.second.isReady && isHeard(entry.second)) {
            return true;
        }
    }
    return false;
}

int FleetView::instanceCount() const
{
    // Announced instances count even when they are not heard: they may be cut off and still spend their part.
    return 1 + static_cast<int>(m_peers.size());
}

std::vector<std::string> FleetView::callerAddresses(const core::RegionId &region, const core::DataCentreId &dataCentre, bool isSelfReady) const
{
    std::vector<std::string> near;
    std::vector<std::string> sameRegion;
    std::vector<std::string> far;
    std::vector<std::string> leaving;
    const auto add = [&](const Member &member) {
        if (member.dataCentre == dataCentre) {
            near.push_back(member.callerAddress);
        } else if (member.region == region) {
            sameRegion.push_back(member.callerAddress);
        } else {
            far.push_back(member.callerAddress);
        }
    };
    if (isSelfReady) {
        add(m_self);
    } else if (m_self.region == region) {
        leaving.push_back(m_self.callerAddress);
    }
    for (const auto &entry : m_peers) {
        const bool isOffered = entry.second.isLinked ? entry.second.isReady && isHeard(entry.second) : mayBeAlive(entry.second);
        if (isOffered) {
            add(entry.second.member);
        } else if (isHeard(entry.second) && entry.second.member.region == region) {
            leaving.push_back(entry.second.member.callerAddress);
        }
    }
    std::vector<std::string> &best = !near.empty() ? near : !sameRegion.empty() ? sameRegion : !leaving.empty() ? leaving : far;
    if (best.size() > MAX_DIRECTORY_ENTRIES) {
        best.resize(MAX_DIRECTORY_ENTRIES);
    }
    return best;
}

core::Expected<RemoteChoice> FleetView::choose(const RemoteQuery &query) const
{
    RemoteChoice best;
    int bestForwarded = 0;
    const std::size_t level = static_cast<std::size_t>(urgencyOf(query.priority));
    for (const auto &entry : m_peers) {
        const Peer &peer = entry.second;
        if (peer.member.region == m_self.region || !peer.isReady || !isHeard(peer) || !isHomeRegion(query.homes, peer.member.region)) {
            continue;
        }
        if (std::find(query.excluded.begin(), query.excluded.end(), entry.first) != query.excluded.end()) {
            continue;
        }
        const auto room = std::find_if(peer.rooms.begin(), peer.rooms.end(),
            [&](const ServiceRoom &candidate) { return candidate.service == query.service && candidate.waits.size() > level; });
        if (room == peer.rooms.end()) {
            continue;
        }
        const auto tokens = peer.unreportedTokens.find(query.service);
        const double unreported = tokens == peer.unreportedTokens.end() ? 0.0 : static_cast<double>(tokens->second);
        const absl::Duration wait = room->waits[level] + REGION_ROUND_TRIP + absl::Milliseconds(unreported / REGION_TOKENS_PER_MS);
        const absl::Duration estimate = wait + absl::Milliseconds(static_cast<double>(query.promptTokens) / SERVER_TOKENS_PER_MS);
        const bool isBetter = best.instance.isEmpty() || estimate < best.estimate || (estimate == best.estimate && peer.forwarded < bestForwarded);
        if (isBetter) {
            best = RemoteChoice{entry.first, peer.member.region, estimate, wait};
            bestForwarded = peer.forwarded;
        }
    }
    if (best.instance.isEmpty()) {
        return tl::make_unexpected(core::makeError(core::ErrorKind::PeerUnavailable, "No instance of another permitted region has room.", absl::Seconds(1)));
    }
    return best;
}

void FleetView::forwardStarted(const core::InstanceId &id, const core::ServiceId &service, std::int64_t promptTokens)
{
    const auto it = m_peers.find(id);
    if (it != m_peers.end()) {
        ++it->second.forwarded;
        it->second.unreportedTokens[service] += promptTokens;
    }
}

void FleetView::forwardEnded(const core::InstanceId &id)
{
    const auto it = m_peers.find(id);
    if (it != m_peers.end()) {
        it->second.forwarded = std::max(0, it->second.forwarded - 1);
    }
}

} // namespace snipeferry::gateway
