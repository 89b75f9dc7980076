#include "heartbeatsender.h"

#include <algorithm>
#include <utility>

namespace snipeferry::membership {

namespace {

/** The interval of short heartbeats to other data centres is at least this duration times the number of links to other data centres. */
constexpr absl::Duration PULSE_INTERVAL_PER_REMOTE_LINK = absl::Milliseconds(30);
/** Load changes are sent to a member at an interval of this duration times the number of linked members that get loads. */
constexpr absl::Duration LOAD_CHANGE_INTERVAL_PER_RECEIVER = absl::Milliseconds(60);
/** The interval of full heartbeats to a member is at least this duration times the number of linked members. */
constexpr absl::Duration FULL_HEARTBEAT_INTERVAL_PER_LINK = absl::Milliseconds(500);
constexpr absl::Duration MIN_FULL_HEARTBEAT_INTERVAL = absl::Seconds(5);
/** Number of other members in a full heartbeat that is not the first to its receiver. */
constexpr std::size_t REFRESH_SAMPLE_SIZE = 4;
/** Number of other members in the first full heartbeat to a member. */
constexpr std::size_t INITIAL_SAMPLE_SIZE = 40;

} // namespace

HeartbeatSender::HeartbeatSender(
    const MembershipSettings &settings, const InstanceDescription &self, MemberTable &memberTable, core::TimerService &timers, messages::Outbox &outbox)
    : m_settings(settings),
      m_self(self),
      m_memberTable(memberTable),
      m_timers(timers),
      m_outbox(outbox)
{
}

void HeartbeatSender::setState(core::Revision revision, std::vector<ServiceLoad> loads)
{
    m_revision = revision;
    m_loads = std::move(loads);
}

void HeartbeatSender::setKeptLinks(const std::vector<InstanceDescription> &kept)
{
    m_keptLinks.clear();
    for (const InstanceDescription &description : kept) {
        m_keptLinks.push_back(description.id);
    }
}

void HeartbeatSender::sendDueHeartbeats()
{
    countLinks();
    for (std::pair<const core::InstanceId, Entry> &entry : m_memberTable.entries()) {
        if (entry.second.member.isLinked) {
            sendDueHeartbeat(entry.second);
        }
    }
}

void HeartbeatSender::sendInitialHeartbeat(Entry &entry)
{
    sendFullHeartbeat(entry, INITIAL_SAMPLE_SIZE);
}

void HeartbeatSender::sendToUnknown(const InstanceDescription &to)
{
    m_outbox.push(messages::SendToPeer{to.id, Heartbeat{m_self, ++m_sequence, m_revision, {}, {}, isKeptLink(to.id)}});
}

void HeartbeatSender::sendFullHeartbeatToAll()
{
    for (std::pair<const core::InstanceId, Entry> &entry : m_memberTable.entries()) {
        sendFullHeartbeat(entry.second, 0);
    }
}

absl::Duration HeartbeatSender::remotePulseInterval() const
{
    return std::max(m_settings.heartbeatInterval, m_remoteLinkCount * PULSE_INTERVAL_PER_REMOTE_LINK);
}

bool HeartbeatSender::isRemote(const Entry &entry) const
{
    return entry.member.description.dataCentre != m_self.dataCentre;
}

void HeartbeatSender::countLinks()
{
    m_remoteLinkCount = 0;
    m_loadReceiverCount = 0;
    m_linkCount = 0;
    for (const std::pair<const core::InstanceId, Entry> &entry : m_memberTable.entries()) {
        if (entry.second.member.isLinked) {
            ++m_linkCount;
            m_remoteLinkCount += isRemote(entry.second) ? 1 : 0;
            m_loadReceiverCount += receivesLoads(entry.second) ? 1 : 0;
        }
    }
}

void HeartbeatSender::sendDueHeartbeat(Entry &entry)
{
    const absl::Time now = m_timers.now();
    const core::InstanceId &to = entry.member.description.id;
    // Send a full heartbeat when one is due or when this instance starts or stops asking the member for loads.
    if (now >= entry.nextFullHeartbeat || isKeptLink(to) != entry.hasRequestedLoads) {
        sendFullHeartbeat(entry, REFRESH_SAMPLE_SIZE);
        return;
    }
    if (now < entry.nextPulse) {
        return;
    }
    // Otherwise send a short heartbeat, with the changed loads if it is time to send load changes.
    Pulse pulse{m_self.incarnation, m_revision, {}};
    if (receivesLoads(entry) && now >= entry.nextLoads) {
        pulse.loads = entry.loadChanges.takeChanges(m_loads);
        entry.nextLoads = now + m_loadReceiverCount * LOAD_CHANGE_INTERVAL_PER_RECEIVER;
    }
    entry.nextPulse = now + (isRemote(entry) ? remotePulseInterval() : absl::ZeroDuration());
    m_outbox.push(messages::SendToPeer{to, std::move(pulse)});
}

void HeartbeatSender::sendFullHeartbeat(Entry &entry, std::size_t sampleSize)
{
    const absl::Time now = m_timers.now();
    const InstanceDescription &to = entry.member.description;
    entry.hasRequestedLoads = isKeptLink(to.id);
    entry.nextFullHeartbeat = now + std::max(MIN_FULL_HEARTBEAT_INTERVAL, m_linkCount * FULL_HEARTBEAT_INTERVAL_PER_LINK);
    entry.nextPulse = now + (isRemote(entry) ? remotePulseInterval() : absl::ZeroDuration());
    std::vector<ServiceLoad> loads;
    if (receivesLoads(entry)) {
        loads = m_loads;
        entry.loadChanges.markAllSent(m_loads);
    }
    m_outbox.push(messages::SendToPeer{
        to.id, Heartbeat{m_self, ++m_sequence, m_revision, std::move(loads), sampleOtherMembers(to, sampleSize), entry.hasRequestedLoads}});
}

bool HeartbeatSender::isKeptLink(const core::InstanceId &id) const
{
    return std::find(m_keptLinks.begin(), m_keptLinks.end(), id) != m_keptLinks.end();
}

bool HeartbeatSender::receivesLoads(const Entry &entry) const
{
    return entry.wantsLoads || !isRemote(entry);
}

/**
 * Returns at most `count` usable members for a heartbeat to the receiver. Half of them, rounded up, may be from the receiver's data centre; the rest are
 * from other data centres. Each call starts at another member, so that all are sampled eventually.
 */
std::vector<InstanceDescription> HeartbeatSender::sampleOtherMembers(const InstanceDescription &receiver, std::size_t count)
{
    std::vector<InstanceDescription> sameDataCentre;
    std::vector<InstanceDescription> otherDataCentres;
    for (const std::pair<const core::InstanceId, Entry> &entry : m_memberTable.entries()) {
        const Member &member = entry.second.member;
        if (member.isUsable && member.description.id != receiver.id) {
            (member.description.dataCentre == receiver.dataCentre ? sameDataCentre : otherDataCentres).push_back(member.description);
        }
    }
    rotate(sameDataCentre);
    rotate(otherDataCentres);
    sameDataCentre.resize(std::min(sameDataCentre.size(), (count + 1) / 2));
    otherDataCentres.resize(std::min(otherDataCentres.size(), count - sameDataCentre.size()));
    sameDataCentre.insert(sameDataCentre.end(), otherDataCentres.begin(), otherDataCentres.end());
    return sameDataCentre;
}

/** Rotates the list. The offset grows with each call, so that every member is sampled eventually. */
void HeartbeatSender::rotate(std::vector<InstanceDescription> &descriptions)
{
    if (!descriptions.empty()) {
        std::rotate(descriptions.begin(), descriptions.begin() + static_cast<std::ptrdiff_t>(++m_rotation % descriptions.size()), descriptions.end());
    }
}

} // namespace snipeferry::membership
