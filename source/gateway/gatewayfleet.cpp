#include "snipeferry/gateway/gateway.h"
#include "snipeferry/gateway/storeposition.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

// Messages between instances: pulses, tokens, records and forwarded requests.
namespace snipeferry::gateway {

namespace {

/** If the last confirmation of a topic is older than this, the instance requests newer records from another instance. */
constexpr absl::Duration STALE_CONFIRMATION_AGE = absl::Milliseconds(1800);
/** Time between two requests for a whole topic. */
constexpr absl::Duration RECORDS_REQUEST_INTERVAL = absl::Seconds(1);
/** The period of region pulses grows by this time for each instance of the region, so that the number of pulses that an instance receives stays limited. */
constexpr absl::Duration PULSE_PERIOD_PER_INSTANCE = absl::Milliseconds(12);
/** Limit of the instances that are asked at once for a customer's tokens. */
constexpr std::size_t MAX_TOKEN_REQUESTS = 16;
/** The sum of all requests for tokens, as a multiple of the shortage. */
constexpr double TOKEN_REQUEST_FACTOR = 2.0;
/** The period of allowance reports grows by this time for each instance of the fleet: 8 instances send them with each pulse, 72 every 1.4 s. */
constexpr absl::Duration ALLOWANCE_PERIOD_PER_INSTANCE = absl::Milliseconds(20);
/** Period of the reports to the relays of a large region, and of their summaries. */
constexpr absl::Duration RELAY_REPORT_PERIOD = absl::Milliseconds(400);

} // namespace

void Gateway::linkUp(const Member &peer)
{
    m_fleet.linkUp(peer);
    updateInstances();
    m_ports.journal.log(core::LogEvent{
        "peer_linked", {}}.with("instance", peer.id.value())
                            .with("incarnation", absl::StrCat(peer.incarnation))
                            .with("boot", absl::StrCat(absl::Hex(peer.bootId))));
    m_ports.links.send(peer.id, addressPulse(buildPulse(m_fleet.isInOwnRegion(peer.id)), peer.id));
    PromptEvidence evidence = m_quarantine.summary();
    const std::vector<CrashReport> ends = m_restarts.reports();
    evidence.crashes.insert(evidence.crashes.end(), ends.begin(), ends.end());
    if (!evidence.isEmpty()) {
        m_ports.links.send(peer.id, evidence);
    }
    const std::vector<ServerLimit> limits = m_backends.limits().all();
    if (!limits.empty() && m_fleet.isInOwnRegion(peer.id)) {
        m_ports.links.send(peer.id, ServerLimitsNotice{limits});
    }
    m_forwardReceiver.linkUp(peer.id);
    m_requestFlow.linkUp(peer.id);
}

void Gateway::linkDown(const core::InstanceId &peer)
{
    m_fleet.linkDown(peer);
    updateInstances();
    m_ports.journal.log(core::LogEvent{"peer_lost", {}}.with("instance", peer.value()));
    m_requestFlow.linkDown(peer);
    m_forwardReceiver.linkDown(peer);
}

Pulse Gateway::addressPulse(const Pulse &common, const core::InstanceId &peer) const
{
    Pulse pulse = common;
    const Pulse stamps = m_fleet.startPulse(peer);
    pulse.sentAt = stamps.sentAt;
    pulse.echo = stamps.echo;
    return pulse;
}

Pulse Gateway::buildPulse(bool isToOwnRegion)
{
    Pulse pulse;
    const absl::Time now = m_ports.timers.now();
    pulse.isReady = isReady();
    pulse.takesForwards = !pulse.isReady && takesForwards();
    for (int index = 0; index < TOPIC_COUNT; ++index) {
        const RecordMirror &mirror = m_mirrors[index];
        if (mirror.isLoaded()) {
            pulse.topics.push_back({static_cast<Topic>(index), mirror.changeRevision(), now - mirror.confirmedAt()});
        }
    }
    pulse.lostServices = m_paths.lostServices();
    if (isToOwnRegion) {
        pulse.work = m_backends.ownWork();
        pulse.storeAnsweredAgo = now - m_storeContact.lastOwnAnswerAt();
    } else {
        for (const core::ServiceId &service : m_backends.services()) {
            const std::vector<absl::Duration> waits = m_backends.leastWaits(service);
            if (!waits.empty() && !m_paths.isCutOff(service)) {
                pulse.rooms.push_back({service, waits, m_backends.readRates(service)});
            }
        }
    }
    if (isToOwnRegion || !m_fleet.usesRelays()) {
        // Instances of another region are not linked to all of this one, so each tells what all of it have seen.
        pulse.rollouts = isToOwnRegion ? m_rollouts.reports() : m_rollouts.regionReports();
    } else if (m_fleet.isRelay() && m_fleet.relays().front() == m_settings.self.id) {
        // The first relay alone tells other regions the evidence of its region, so that none is counted twice.
        pulse.rollouts = m_rollouts.regionReports();
    }
    return pulse;
}

void Gateway::sendRegionPulses()
{
    updateRelays();
    // With more instances, each sends fewer pulses, so that the number that each instance receives stays the same.
    const absl::Time now = m_ports.timers.now();
    const absl::Duration period
        = m_fleet.usesRelays() ? RELAY_REPORT_PERIOD : std::max(m_settings.regionPulsePeriod, PULSE_PERIOD_PER_INSTANCE * m_fleet.regionInstances().size());
    if (now - m_regionPulseSentAt < period - m_settings.regionPulsePeriod / 2) {
        return;
    }
    m_regionPulseSentAt = now;
    sendToRegion();
}

void Gateway::sendToRegion()
{
    if (m_fleet.usesRelays()) {
        sendRelayReports();
        answerRelayClients();
    } else {
        sendPulses(true);
    }
}

bool Gateway::shouldSendAllowances(bool isToOwnRegion)
{
    const absl::Time now = m_ports.timers.now();
    absl::Time &allowancesSentAt = isToOwnRegion ? m_allowancesSentToRegionAt : m_allowancesSentToOthersAt;
    // Each instance receives the reports of all others. In a larger fleet each sends them less often, so that the received amount stays the same.
    if (now - allowancesSentAt < ALLOWANCE_PERIOD_PER_INSTANCE * m_fleet.instanceCount()) {
        return false;
    }
    allowancesSentAt = now;
    return true;
}

void Gateway::sendPulses(bool isToOwnRegion)
{
    // In a large region only its relays tell other regions what concerns all of the region.
    const bool isReportedByRelays = m_fleet.usesRelays() && !m_fleet.isRelay();
    Pulse common = buildPulse(isToOwnRegion);
    common.readParts = m_backends.promptCache().takeUnreported(isToOwnRegion);
    if (isReportedByRelays) {
        common.readParts.clear();
    } else if (shouldSendAllowances(isToOwnRegion)) {
        common.allowances = m_allowances.reports();
    }
    if (m_fleet.isRelay()) {
        common.readParts = std::exchange(m_partsForOtherRegions, {});
    }
    for (const core::InstanceId &peer : m_fleet.linkedInstances()) {
        if (m_fleet.isInOwnRegion(peer) != isToOwnRegion) {
            continue;
        }
        Pulse pulse = addressPulse(common, peer);
        if (m_fleet.isRelay() && !m_fleet.receivesRegionReports(peer)) {
            pulse.readParts.clear();
            pulse.allowances.clear();
            pulse.rollouts.clear();
        }
        m_ports.links.send(peer, pulse);
    }
}

void Gateway::received(const core::InstanceId &from, const FleetMessage &message)
{
    std::visit([&](const auto &typed) { handle(from, typed); }, message);
}

void Gateway::handle(const core::InstanceId & /*from*/, const Greeting & /*message*/)
{
    // The transport processes the greeting of a new link; a later one contains nothing new.
}

void Gateway::handle(const core::InstanceId &from, const Pulse &message)
{
    // In a large region pulses contain no work: it is in the reports to the relays and in their summaries.
    if (m_fleet.isInOwnRegion(from) && !m_fleet.usesRelays()) {
        m_backends.setPeerWork(from, message.work);
    }
    receivePulse(from, message);
}

void Gateway::receivePulse(const core::InstanceId &from, const Pulse &message)
{
    const absl::Time sentNoEarlierThan = m_fleet.receive(from, message);
    m_backends.promptCache().notePeerReports(message.readParts);
    notePartsAsRelay(message.readParts, m_fleet.isInOwnRegion(from));
    // A confirmation that the peer got from the store is valid for a copy that is complete up to the newest change that the peer knows. Its time is computed
    // from the earliest time at which the peer can have sent the pulse.
    for (const TopicState &state : message.topics) {
        const std::size_t index = static_cast<std::size_t>(state.topic);
        if (index >= m_mirrors.size()) {
            continue;
        }
        const RecordMirror &own = m_mirrors[index];
        if (own.isLoaded() && state.revision <= own.revision()) {
            if (sentNoEarlierThan > absl::InfinitePast()) {
                confirm(state.topic, sentNoEarlierThan - state.confirmedAgo, {state.revision, from});
            }
        } else if (eraOf(state.revision) > eraOf(own.revision()) || m_ports.timers.now() - own.confirmedAt() > STALE_CONFIRMATION_AGE) {
            requestRecords(from, state.topic);
        }
    }
    if (m_fleet.isInOwnRegion(from)) {
        // Backend servers reach the store as the instances of their region do.
        contactChanged(m_storeContact.notePeerAnswer(sentNoEarlierThan - message.storeAnsweredAgo));
        m_rollouts.receive(from, message.rollouts);
    } else {
        m_rollouts.receiveRegion(m_fleet.regionOf(from), message.rollouts);
    }
    if (!message.allowances.empty()) {
        std::vector<overload::CustomerDemand> demands;
        demands.reserve(message.allowances.size());
        for (const AllowanceReport &report : message.allowances) {
            demands.push_back({report.customer, report.demand});
        }
        m_shares.noteReport(from, demands);
    }
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

void Gateway::requestTokens(const AllowanceShortage &shortage)
{
    // Select instances of the region at random: on average they have equally many tokens. In a large region the relays have collected them.
    std::vector<core::InstanceId> peers;
    const std::vector<core::InstanceId> &relays = m_fleet.relays();
    for (const core::InstanceId &peer : m_fleet.linkedInstances()) {
        const bool mayHaveTokens = !m_fleet.usesRelays() || std::find(relays.begin(), relays.end(), peer) != relays.end();
        if (m_fleet.isInOwnRegion(peer) && mayHaveTokens) {
            peers.push_back(peer);
        }
    }
    std::shuffle(peers.begin(), peers.end(), m_random);
    peers.resize(std::min(peers.size(), MAX_TOKEN_REQUESTS));
    // Ask each for more than an equal part of the shortage, because some have few tokens to spare.
    const double share = std::min(1.0, TOKEN_REQUEST_FACTOR / std::max<double>(1.0, static_cast<double>(peers.size())));
    for (const core::InstanceId &peer : peers) {
        m_ports.links.send(peer, AllowanceRequest{shortage.customer, shortage.tokens * share});
    }
}

void Gateway::requestRecords(const core::InstanceId &peer, Topic topic)
{
    // All peers report a newer revision at about the same time. One whole topic at a time is requested, so that the answers cannot fill this
    // instance's link; the next request goes to another peer, because the last one may have failed.
    const absl::Time now = m_ports.timers.now();
    RecordsQuery &last = m_recordsQueries[static_cast<std::size_t>(topic)];
    const absl::Duration interval = peer == last.peer ? 2 * RECORDS_REQUEST_INTERVAL : RECORDS_REQUEST_INTERVAL;
    if (now - last.sentAt < interval) {
        return;
    }
    last = RecordsQuery{peer, now};
    m_ports.journal.log(core::LogEvent{"topic_requested", {}}
                            .with("topic", absl::StrCat(static_cast<int>(topic)))
                            .with("from", peer.value())
                            .with("revision", absl::StrCat(mirror(topic).revision()))
                            .with("confirmed_ms", absl::StrCat(absl::ToInt64Milliseconds(now - mirror(topic).confirmedAt()))));
    m_ports.links.send(peer, RecordsRequest{topic, mirror(topic).revision()});
}

void Gateway::handle(const core::InstanceId &from, const RecordsRequest &message)
{
    const std::size_t index = static_cast<std::size_t>(message.topic);
    if (index >= m_mirrors.size() || !m_mirrors[index].isLoaded() || m_mirrors[index].changeRevision() <= message.after) {
        return;
    }
    m_ports.links.send(from, RecordsTransfer{message.topic, m_mirrors[index].revision(), m_mirrors[index].records(), lapsedRecords(message.topic)});
}

void Gateway::handle(const core::InstanceId &from, const RecordsTransfer &message)
{
    const std::size_t index = static_cast<std::size_t>(message.topic);
    if (index >= m_mirrors.size()) {
        return;
    }
    const std::size_t changes = replaceTopic(message.topic, message.records, message.revision, message.lapsed);
    m_ports.journal.log(core::LogEvent{"topic_from_peer", {}}
                            .with("topic", absl::StrCat(index))
                            .with("from", from.value())
                            .with("era", absl::StrCat(eraOf(message.revision)))
                            .with("revision", absl::StrCat(counterOf(message.revision)))
                            .with("changes", absl::StrCat(changes)));
}

void Gateway::handle(const core::InstanceId &from, const RecordsUpdate &message)
{
    const std::size_t index = static_cast<std::size_t>(message.topic);
    if (index >= m_mirrors.size()) {
        return;
    }
    RecordMirror &own = m_mirrors[index];
    if (!own.isLoaded() || own.revision() < message.after) {
        // Earlier changes are missing here, so request the whole topic.
        requestRecords(from, message.topic);
        return;
    }
    applyRecordChanges(message.topic, own.apply(message.changes, message.revision), RecordOrigin::Written, message.lapsed);
}

void Gateway::sendPromptNews()
{
    const PromptEvidence news = m_quarantine.takeNews();
    if (!news.isEmpty()) {
        m_ports.links.sendToAll(m_fleet.linkedInstances(), news);
    }
}

std::vector<core::InstanceId> Gateway::linkedRegionInstances(const core::InstanceId &excluded) const
{
    std::vector<core::InstanceId> peers = m_fleet.linkedInstances();
    const auto isLeftOut = [this, &excluded](const core::InstanceId &peer) {
        return peer == excluded || !m_fleet.isInOwnRegion(peer);
    };
    peers.erase(std::remove_if(peers.begin(), peers.end(), isLeftOut), peers.end());
    return peers;
}

void Gateway::handle(const core::InstanceId &from, const ForwardRequest &message)
{
    m_forwardReceiver.handle(from, message);
}

void Gateway::handle(const core::InstanceId &from, const ForwardHead &message)
{
    m_requestFlow.handle(from, message);
}

void Gateway::handle(const core::InstanceId &from, const ForwardData &message)
{
    m_requestFlow.handle(from, message);
}

void Gateway::handle(const core::InstanceId &from, const ForwardEnd &message)
{
    m_requestFlow.handle(from, message);
}

void Gateway::handle(const core::InstanceId &from, const ForwardFailed &message)
{
    m_requestFlow.handle(from, message);
}

void Gateway::handle(const core::InstanceId &from, const ForwardCancel &message)
{
    m_forwardReceiver.handle(from, message);
}

void Gateway::handle(const core::InstanceId &from, const ForwardFlow &message)
{
    m_forwardReceiver.handle(from, message);
}

void Gateway::handle(const core::InstanceId &from, const ForwardResume &message)
{
    m_forwardReceiver.handle(from, message);
}

} // namespace snipeferry::gateway
