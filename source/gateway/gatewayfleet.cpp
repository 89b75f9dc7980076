#include "snipeferry/gateway/gateway.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

// What instances tell each other: pulses, tokens, records, and requests of other regions.
namespace snipeferry::gateway {

namespace {

/** Age of an own confirmation from which records of other instances are of use. */
constexpr absl::Duration STALE_CONFIRMATION = absl::Milliseconds(1800);
/** Region pulses of all instances together stay at this distance for each receiver. */
constexpr absl::Duration PULSE_PERIOD_PER_INSTANCE = absl::Milliseconds(12);
/** Instances that are asked at once when a customer's tokens run short. */
constexpr std::size_t MAX_ASKED_FOR_TOKENS = 16;
/** All that are asked together are asked for this many times what is missing. */
constexpr double ASKED_OVERSIZE = 2.0;
/** Allowances are told this much more rarely for each instance of the fleet; 8 instances tell at each pulse, 72 every 1.4 s. */
constexpr absl::Duration ALLOWANCE_PERIOD_PER_INSTANCE = absl::Milliseconds(20);
constexpr absl::Duration LONGEST_REGION_PULSE = absl::Milliseconds(800);

} // namespace

void Gateway::linkUp(const Member &peer)
{
    m_fleet.linkUp(peer);
    updateInstances();
    m_ports.journal.log(core::LogEvent{"peer_linked", {}}.with("instance", peer.id.value()));
    const bool isToRegion = m_fleet.isInOwnRegion(peer.id);
    m_ports.links.send(peer.id, pulseFor(peer.id, isToRegion));
}

void Gateway::linkDown(const core::InstanceId &peer)
{
    m_fleet.linkDown(peer);
    updateInstances();
    m_ports.journal.log(core::LogEvent{"peer_lost", {}}.with("instance", peer.value()));
    m_flow.linkDown(peer);
    m_desk.linkDown(peer);
}

Pulse Gateway::pulseFor(const core::InstanceId &peer, bool isToRegion)
{
    Pulse pulse = m_fleet.startPulse(peer);
    const absl::Time now = m_ports.timers.now();
    pulse.isReady = isReady();
    for (int index = 0; index < TOPIC_COUNT; ++index) {
        const RecordMirror &mirror = m_mirrors[index];
        if (mirror.isLoaded()) {
            pulse.topics.push_back({static_cast<Topic>(index), mirror.changeRevision(), now - mirror.confirmedAt()});
        }
    }
    if (isToRegion) {
        pulse.work = m_backends.ownWork();
    } else {
        for (const core::ServiceId &service : m_backends.services()) {
            const std::vector<absl::Duration> waits = m_backends.leastWaits(service);
            if (!waits.empty()) {
                pulse.rooms.push_back({service, waits});
            }
        }
    }
    pulse.rollouts = m_rollouts.reports();
    return pulse;
}

void Gateway::pulseRegion()
{
    // In a large region pulses are rarer, so that their number for each instance stays the same.
    const absl::Time now = m_ports.timers.now();
    const absl::Duration period = std::clamp(PULSE_PERIOD_PER_INSTANCE * m_fleet.regionInstances().size(), m_settings.regionPulsePeriod, LONGEST_REGION_PULSE);
    if (now - m_regionPulsedAt < period - m_settings.regionPulsePeriod / 2) {
        return;
    }
    m_regionPulsedAt = now;
    sendPulses(true);
}

bool Gateway::isAllowanceTurn(bool isToRegion)
{
    const absl::Time now = m_ports.timers.now();
    absl::Time &told = isToRegion ? m_allowancesToldRegion : m_allowancesToldOthers;
    // Each instance hears of all others; so that what it hears in a second stays the same, each tells more rarely.
    if (now - told < ALLOWANCE_PERIOD_PER_INSTANCE * m_fleet.instanceCount()) {
        return false;
    }
    told = now;
    return true;
}

void Gateway::sendPulses(bool isToRegion)
{
    const std::vector<ReadPart> readParts = m_backends.promptCache().takeUnreported(isToRegion);
    const std::vector<AllowanceReport> allowances = isAllowanceTurn(isToRegion) ? m_allowances.reports() : std::vector<AllowanceReport>();
    for (const core::InstanceId &peer : m_fleet.linked()) {
        if (m_fleet.isInOwnRegion(peer) == isToRegion) {
            Pulse pulse = pulseFor(peer, isToRegion);
            pulse.readParts = readParts;
            pulse.allowances = allowances;
            m_ports.links.send(peer, pulse);
        }
    }
}

void Gateway::received(const core::InstanceId &from, const FleetMessage &message)
{
    std::visit([&](const auto &typed) { handle(from, typed); }, message);
}

void Gateway::handle(const core::InstanceId & /*from*/, const Greeting & /*message*/)
{
    // The transport takes greetings; a second one says nothing new.
}

void Gateway::handle(const core::InstanceId &from, const Pulse &message)
{
    const absl::Time sentAfter = m_fleet.receive(from, message);
    if (m_fleet.isInOwnRegion(from)) {
        m_backends.setPeerWork(from, message.work);
    }
    m_backends.promptCache().notePeerReports(message.readParts);
    // What a peer heard from the store counts here too, from the moment at which it surely held.
    for (const TopicState &state : message.topics) {
        const std::size_t index = static_cast<std::size_t>(state.topic);
        if (index >= m_mirrors.size()) {
            continue;
        }
        const RecordMirror &own = m_mirrors[index];
        if (own.isLoaded() && state.revision <= own.changeRevision()) {
            if (sentAfter > absl::InfinitePast()) {
                confirm(state.topic, sentAfter - state.confirmedAgo);
            }
        } else if (m_ports.timers.now() - own.confirmedAt() > STALE_CONFIRMATION) {
            m_ports.links.send(from, RecordsRequest{state.topic, own.changeRevision()});
        }
    }
    m_rollouts.receive(from, message.rollouts);
    if (message.isReady) {
        const std::vector<AllowanceGrant> grants = m_allowances.grantsFor(from, message.allowances);
        if (!grants.empty()) {
            m_ports.links.send(from, AllowanceTransfer{grants});
        }
    }
}

void Gateway::handle(const core::InstanceId & /*from*/, const AllowanceTransfer &message)
{
    m_allowances.receive(message.grants);
}

void Gateway::handle(const core::InstanceId &from, const AllowanceRequest &message)
{
    const double tokens = m_allowances.grantOnRequest(message.customer, message.tokens);
    if (tokens > 0) {
        m_ports.links.send(from, AllowanceTransfer{{{message.customer, tokens}}});
    }
}

void Gateway::askForTokens(const AllowanceShortage &shortage)
{
    // Any others of the region will do: what they hold is alike, but for chance.
    std::vector<core::InstanceId> peers;
    for (const core::InstanceId &peer : m_fleet.linked()) {
        if (m_fleet.isInOwnRegion(peer)) {
            peers.push_back(peer);
        }
    }
    std::shuffle(peers.begin(), peers.end(), m_random);
    peers.resize(std::min(peers.size(), MAX_ASKED_FOR_TOKENS));
    // Some have little, so each is asked for more than its part.
    const double share = std::min(1.0, ASKED_OVERSIZE / std::max<double>(1.0, static_cast<double>(peers.size())));
    for (const core::InstanceId &peer : peers) {
        m_ports.links.send(peer, AllowanceRequest{shortage.customer, shortage.tokens * share});
    }
}

void Gateway::handle(const core::InstanceId &from, const RecordsRequest &message)
{
    const std::size_t index = static_cast<std::size_t>(message.topic);
    if (index >= m_mirrors.size() || !m_mirrors[index].isLoaded() || m_mirrors[index].changeRevision() <= message.after) {
        return;
    }
    m_ports.links.send(from, RecordsTransfer{message.topic, m_mirrors[index].revision(), m_mirrors[index].records()});
}

void Gateway::handle(const core::InstanceId &from, const RecordsTransfer &message)
{
    const std::size_t index = static_cast<std::size_t>(message.topic);
    if (index >= m_mirrors.size()) {
        return;
    }
    const std::vector<RecordChange> changes = m_mirrors[index].replace(message.records, message.revision);
    m_ports.journal.log(core::LogEvent{"topic_from_peer", {}}
                            .with("topic", absl::StrCat(index))
                            .with("from", from.value())
                            .with("revision", absl::StrCat(message.revision))
                            .with("changes", absl::StrCat(changes.size())));
    take(message.topic, changes);
}

void Gateway::handle(const core::InstanceId &from, const RecordsUpdate &message)
{
    const std::size_t index = static_cast<std::size_t>(message.topic);
    if (index >= m_mirrors.size()) {
        return;
    }
    RecordMirror &own = m_mirrors[index];
    if (!own.isLoaded() || own.revision() < message.after) {
        // Something before these changes is missing here.
        m_ports.links.send(from, RecordsRequest{message.topic, own.changeRevision()});
        return;
    }
    take(message.topic, own.apply(message.changes, message.revision));
}

void Gateway::handle(const core::InstanceId &from, const ForwardRequest &message)
{
    m_desk.handle(from, message);
}

void Gateway::handle(const core::InstanceId &from, const ForwardHead &message)
{
    m_flow.handle(from, message);
}

void Gateway::handle(const core::InstanceId &from, const ForwardData &message)
{
    m_flow.handle(from, message);
}

void Gateway::handle(const core::InstanceId &from, const ForwardEnd &message)
{
    m_flow.handle(from, message);
}

void Gateway::handle(const core::InstanceId &from, const ForwardFailed &message)
{
    m_flow.handle(from, message);
}

void Gateway::handle(const core::InstanceId &from, const ForwardCancel &message)
{
    m_desk.handle(from, message);
}

} // namespace snipeferry::gateway
