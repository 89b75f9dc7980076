#include "snipeferry/gateway/gateway.h"

#include "snipeferry/gateway/rendezvous.h"
#include "snipeferry/gateway/storeposition.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace snipeferry::gateway {

namespace {

/** If nobody confirms a first reading of the backend servers in this time, the instance is alone and serves with what it knows. */
constexpr absl::Duration CONFIRMATION_TIMEOUT = absl::Seconds(2);
constexpr absl::Duration LAPSED_SERVER_CHECK_PERIOD = absl::Milliseconds(200);
/**
 * Largest age of the last confirmation of the operator's records. If it is older, the instance reads them itself.
 *
 * The watching instance gets a confirmation every second, and pulses pass it on within another second. A change has to take effect within three seconds.
 */
constexpr absl::Duration MAX_OPERATOR_CONFIRMATION_AGE = absl::Milliseconds(1900);
constexpr absl::Duration MAX_MEMBER_CONFIRMATION_AGE = absl::Milliseconds(6000);
/**
 * The same for the backend servers, as a fraction of the time in which a leaving one may get requests. The rest is for the reading, which may find a
 * connection that has gone silent, and for the requests that were sent before.
 */
constexpr double SERVER_CONFIRMATION_DRAIN_FRACTION = 0.6;
constexpr absl::Duration MIN_SERVER_CONFIRMATION_AGE = absl::Milliseconds(500);
/**
 * Fraction of the key withdrawal time. If the last confirmation of the deployment is older, the instance is not ready, so that callers move to
 * another instance before it has to refuse their keys.
 */
constexpr double READY_WITHDRAWAL_FRACTION = 0.85;
/** Shortest interval between two messages with news of crashes and prompt parts, or of limits. */
constexpr absl::Duration NEWS_PERIOD = absl::Milliseconds(100);
/** Interval at which records of quarantined parts that the store lacks are written again. News of a write take some seconds. */
constexpr absl::Duration QUARANTINE_STORE_PERIOD = absl::Seconds(8);
/** Interval at which the usage of this instance is told: an instance that dies takes at most the counts of one second with it, a fifth of a window. */
constexpr absl::Duration USAGE_PERIOD = absl::Seconds(1);
/** Missed reports after which the store drops the announcement of a backend server. */
constexpr int REPORTS_TO_LAPSE = 3;
/** Time after the store's return within which a living backend server that reaches it is announced again. */
constexpr absl::Duration REPORT_AFTER_RETURN = absl::Seconds(2);
/** Shorter troubles are single failed calls: the next call is answered in this time. */
constexpr absl::Duration MIN_OUTAGE = absl::Milliseconds(400);
/** Interval at which windows that are over are looked for. */
constexpr absl::Duration USAGE_CLOSE_PERIOD = absl::Milliseconds(250);

/** Shortest outage of the store in which an announcement may lapse: its last report is up to one period old before, the next one comes after the return. */
absl::Duration minOutage(absl::Duration reportPeriod)
{
    return std::max(MIN_OUTAGE, (REPORTS_TO_LAPSE - 1) * reportPeriod - REPORT_AFTER_RETURN);
}

} // namespace

Gateway::Gateway(GatewaySettings settings, GatewayPorts ports)
    : m_settings(std::move(settings)),
      m_ports(ports),
      m_mirrors(TOPIC_COUNT, RecordMirror(ports.timers)),
      m_backends(m_settings.self.id, ports.timers),
      m_fleet(m_settings.self, ports.timers),
      m_allowances(m_settings.allowances, ports.timers),
      m_shares(ports.timers, m_settings.flow.seed + 4),
      m_repeats(m_settings.repeats, ports.timers),
      m_rollouts(m_settings.self.id, m_settings.flow.seed + 1, m_settings.rollouts, ports.timers),
      m_quarantine(m_settings.serverReportPeriod, ports.timers, ports.journal),
      m_random(m_settings.flow.seed + 2),
      m_runNumbers(m_settings.firstRunNumber),
      m_paths(
          m_settings.flow.seed + 3, ports.timers, m_runNumbers, ports.runs, ports.journal,
          [this](const core::ServiceId &service) { return m_backends.acceptingServers(service); },
          [this](const core::ServiceId &service) { pathsChanged(service); }),
      m_restarts(ports.timers, m_backends, m_paths, m_quarantine, ports.headers, m_runNumbers, ports.runs, ports.journal,
          [this](const core::BackendServerId &server, bool isAfterCut) {
              return rendezvousRank(server.value(), m_settings.self.id, isAfterCut ? m_fleet.instancesLatelyCutOff() : m_fleet.regionInstances());
          }),
      m_usage(m_settings.duties.duties.empty() ? nullptr : std::make_unique<duties::UsageCounter>(ports.timers, m_settings.duties.windowLength)),
      m_usageAggregator(m_settings.duties.duties.empty() ? nullptr : std::make_unique<duties::UsageAggregator>(ports.timers, m_settings.duties.windowLength)),
      m_requestFlow(m_settings.flow,
          FlowDependencies{ports.timers, m_backends, m_paths, m_restarts, m_fleet, m_allowances, m_shares, m_repeats, m_rollouts, m_quarantine, ports.headers,
              m_runNumbers, ports.runs, ports.links, ports.journal, m_usage.get()}),
      m_forwardReceiver(ports.timers, m_backends, m_paths, m_restarts, m_fleet, m_rollouts, m_quarantine, ports.headers, m_runNumbers, ports.runs, ports.links,
          ports.journal),
      m_storeContact(ports.timers, minOutage(m_settings.serverReportPeriod)),
      m_regionPulseTimer(ports.timers.every(m_settings.regionPulsePeriod, [this] { sendRegionPulses(); })),
      m_otherRegionsPulseTimer(ports.timers.every(m_settings.otherRegionsPulsePeriod, [this] { sendPulses(false); })),
      m_lapsedServerTimer(ports.timers.every(LAPSED_SERVER_CHECK_PERIOD, [this] { removeLapsedServers(); })),
      m_newsTimer(ports.timers.every(NEWS_PERIOD,
          [this] {
              sendPromptNews();
              sendLimitNews();
          })),
      m_quarantineStoreTimer(ports.timers.every(QUARANTINE_STORE_PERIOD, [this] { storeMissingQuarantines(); }))
{
    m_rollouts.changed().subscribe([this](const RolloutChange &change) { announceRolloutChange(change); });
    m_quarantine.changed().subscribe([this](const QuarantineRecord &quarantine) { storeQuarantine(quarantine); });
    m_allowances.shortages().subscribe([this](const AllowanceShortage &shortage) { requestTokens(shortage); });
    m_backends.limits().setAnnouncementLifetime(m_settings.announcementLifetime);
    m_backends.coldPacing().setAnnouncementLifetime(m_settings.announcementLifetime);
    m_backends.coldPacing().setBounds(m_settings.cold);
    m_backends.setMemoryAware(m_settings.isPromptCacheMemoryAware);
    if (m_usage != nullptr) {
        m_forwardReceiver.setUsageCounter(m_usage.get());
        m_usageTimer = ports.timers.every(USAGE_PERIOD, [this] { sendUsage(); });
        m_usageCloseTimer = ports.timers.every(USAGE_CLOSE_PERIOD, [this] { closeUsageWindows(); });
    }
    updateInstances();
}

Gateway::~Gateway() = default;

RecordMirror &Gateway::mirror(Topic topic)
{
    return m_mirrors[static_cast<std::size_t>(topic)];
}

const RecordMirror &Gateway::mirror(Topic topic) const
{
    return m_mirrors[static_cast<std::size_t>(topic)];
}

core::Revision Gateway::revision(Topic topic) const
{
    return mirror(topic).isLoaded() ? mirror(topic).revision() : 0;
}

absl::Duration Gateway::maxConfirmationAge(Topic topic) const
{
    switch (topic) {
    case Topic::Operator:
        return MAX_OPERATOR_CONFIRMATION_AGE;
    case Topic::BackendServers:
        return std::max(MIN_SERVER_CONFIRMATION_AGE, m_settings.serverDrainTime * SERVER_CONFIRMATION_DRAIN_FRACTION);
    case Topic::Members:
        return MAX_MEMBER_CONFIRMATION_AGE;
    }
    return MAX_OPERATOR_CONFIRMATION_AGE;
}

bool Gateway::shouldWatch(Topic topic) const
{
    const RecordMirror &own = mirror(topic);
    if (!own.isLoaded() || m_ports.timers.now() - own.confirmedAt() > maxConfirmationAge(topic)) {
        return true;
    }
    // Each topic has its own watching instance, to spread the load. In a large region a relay watches, from which the others get their pulses.
    const std::string key = absl::StrCat("topic-", static_cast<int>(topic));
    std::vector<core::InstanceId> watchers = m_fleet.dataCentreInstances();
    if (!m_fleet.relays().empty()) {
        const auto isNoRelay = [this](const core::InstanceId &id) {
            return std::find(m_fleet.relays().begin(), m_fleet.relays().end(), id) == m_fleet.relays().end();
        };
        watchers.erase(std::remove_if(watchers.begin(), watchers.end(), isNoRelay), watchers.end());
    }
    return rendezvousFirst(key, watchers) == m_settings.self.id;
}

void Gateway::sendChangesToRegion(Topic topic, core::Revision after, core::Revision revision, const std::vector<RecordChange> &changes)
{
    if (changes.empty()) {
        return;
    }
    m_ports.links.sendToAll(linkedRegionInstances(), RecordsUpdate{topic, after, revision, changes, lapsedRecords(topic)});
}

bool Gateway::hasRecord(Topic topic, const std::string &key) const
{
    return mirror(topic).find(key) != nullptr;
}

int Gateway::instanceCount() const
{
    return m_fleet.instanceCount();
}

std::size_t Gateway::replaceTopic(Topic topic, const std::vector<Record> &records, core::Revision revision, const std::vector<LapsedRecord> &lapsed)
{
    RecordMirror &own = mirror(topic);
    const bool isReturned = own.isLoaded() && eraOf(revision) > eraOf(own.revision());
    const std::vector<RecordChange> changes = own.replace(records, revision);
    if (!isReturned) {
        applyRecordChanges(topic, changes, RecordOrigin::Written, lapsed);
        if (topic == Topic::Members) {
            m_rollouts.decisionsRead();
        }
        return changes.size();
    }
    applyReturnedRecords(topic, changes);
    // The instances of the region learn of the era by this, and ask for the topic.
    sendToRegion();
    return changes.size();
}

void Gateway::topicRead(Topic topic, const std::vector<Record> &records, core::Revision revision, absl::Time confirmedAt)
{
    storeAnswered();
    const std::size_t changes = replaceTopic(topic, records, revision);
    m_ports.journal.log(core::LogEvent{
        "topic_read", {}}.with("topic", absl::StrCat(static_cast<int>(topic)))
                            .with("era", absl::StrCat(eraOf(revision)))
                            .with("revision", absl::StrCat(counterOf(revision)))
                            .with("changes", absl::StrCat(changes)));
    if (topic == Topic::BackendServers && confirmedAt == absl::InfinitePast()) {
        m_backends.setUnconfirmedUntil(m_ports.timers.now() + CONFIRMATION_TIMEOUT);
    }
    confirm(topic, confirmedAt, {revision, {}});
}

void Gateway::topicChanged(Topic topic, const std::vector<RecordChange> &changes, core::Revision revision, absl::Time confirmedAt)
{
    storeAnswered();
    // The copy's own revision also rises with each confirmation, of which the others are told no revision. They have the same changes.
    const core::Revision after = mirror(topic).changeRevision();
    const std::vector<RecordChange> newChanges = mirror(topic).apply(changes, revision);
    applyRecordChanges(topic, newChanges);
    confirm(topic, confirmedAt, {revision, {}});
    sendChangesToRegion(topic, after, revision, newChanges);
}

bool Gateway::isUnconfirmed(Topic topic) const
{
    return mirror(topic).isLoaded() && mirror(topic).confirmedAt() == absl::InfinitePast();
}

void Gateway::confirm(Topic topic, absl::Time at, const ConfirmationSource &source)
{
    const bool wasUnconfirmed = isUnconfirmed(topic);
    mirror(topic).confirm(at);
    if (wasUnconfirmed && !isUnconfirmed(topic)) {
        m_ports.journal.log(core::LogEvent{"topic_confirmed", {}}
                                .with("topic", absl::StrCat(static_cast<int>(topic)))
                                .with("from", source.instance.value())
                                .with("told_revision", absl::StrCat(counterOf(source.revision)))
                                .with("revision", absl::StrCat(counterOf(mirror(topic).revision())))
                                .with("change_revision", absl::StrCat(counterOf(mirror(topic).changeRevision())))
                                .with("age_ms", absl::StrCat(absl::ToInt64Milliseconds(m_ports.timers.now() - at))));
    }
    if (topic == Topic::BackendServers && !isUnconfirmed(topic)) {
        m_backends.setUnconfirmedUntil(absl::InfinitePast());
    }
    if (topic == Topic::Members) {
        m_backends.limits().confirmMembers(mirror(topic).confirmedAt());
        m_backends.coldPacing().confirmMembers(mirror(topic).confirmedAt());
    }
    if (topic == Topic::Operator) {
        m_requestFlow.confirmDeployment(mirror(topic).confirmedAt());
    }
}

void Gateway::storeFailed()
{
    contactChanged(m_storeContact.noteFailure());
}

void Gateway::storeAnswered()
{
    contactChanged(m_storeContact.noteAnswer());
}

void Gateway::contactChanged(StoreContact::Change change)
{
    switch (change) {
    case StoreContact::Change::None:
        return;
    case StoreContact::Change::Lost:
        m_ports.journal.log(core::LogEvent{"store_lost", {}});
        return;
    case StoreContact::Change::Regained:
        m_ports.journal.log(core::LogEvent{"store_regained", {}}.with("is_outage", "false"));
        return;
    case StoreContact::Change::RegainedAfterOutage:
        m_ports.journal.log(core::LogEvent{"store_regained", {}}.with("is_outage", "true"));
        for (auto &entry : m_lapsedServers) {
            entry.second.goneAt = std::min(entry.second.limit, lapsedUntil());
        }
        return;
    }
}

void Gateway::updateInstances()
{
    const int count = m_fleet.instanceCount();
    m_allowances.setInstanceCount(count);
    m_repeats.setInstanceCount(count);
    std::vector<core::InstanceId> members = m_fleet.announcedRegionMembers();
    // Without its announcement the others do not count this instance, and another one may do its part.
    const bool isAnnounced = hasRecord(Topic::Members, m_ports.records.memberKey(m_settings.self.id));
    if (m_isDraining || !isAnnounced) {
        members.erase(std::remove(members.begin(), members.end(), m_settings.self.id), members.end());
    }
    m_backends.coldPacing().setMembers(members);
    m_backends.limits().setMembers(std::move(members));
    m_allowances.setUsesRelays(m_fleet.usesRelays());
    std::vector<core::InstanceId> live = m_fleet.linkedInstances();
    live.push_back(m_settings.self.id);
    if (!m_fleet.usesRelays()) {
        m_rollouts.setInstances(std::move(live));
        return;
    }
    const auto isNoRelay = [this](const core::InstanceId &id) {
        const std::vector<core::InstanceId> &relays = m_fleet.relays();
        return !m_fleet.isRelayOfOtherRegion(id) && std::find(relays.begin(), relays.end(), id) == relays.end();
    };
    live.erase(std::remove_if(live.begin(), live.end(), isNoRelay), live.end());
    m_rollouts.setInstances(std::move(live), m_fleet.isRelay() ? RolloutRole::Relay : RolloutRole::Reporting);
}

std::vector<Member> Gateway::membersToLink() const
{
    return m_fleet.membersToLink();
}

RequestFlow &Gateway::requests()
{
    return m_requestFlow;
}

std::vector<std::string> Gateway::callerAddresses(const core::RegionId &region, const core::DataCentreId &dataCentre) const
{
    return m_fleet.callerAddresses(region, dataCentre, isReady(), !m_paths.lostServices().empty());
}

bool Gateway::isReady() const
{
    const RecordMirror &operatorCopy = mirror(Topic::Operator);
    const bool isConfirmed = m_ports.timers.now() - operatorCopy.confirmedAt() < m_settings.flow.keyWithdrawalTime * READY_WITHDRAWAL_FRACTION;
    const bool knowsServers = mirror(Topic::BackendServers).isLoaded() && !isUnconfirmed(Topic::BackendServers);
    return m_routes != nullptr && knowsServers && isConfirmed && !m_isDraining;
}

bool Gateway::takesForwards() const
{
    const bool knowsServers = mirror(Topic::BackendServers).isLoaded() && !isUnconfirmed(Topic::BackendServers);
    return m_routes != nullptr && knowsServers && !m_isDraining;
}

void Gateway::drain(absl::Duration timeLeft)
{
    m_isDraining = true;
    updateInstances();
    m_requestFlow.beginDrain(m_ports.timers.now() + timeLeft);
    m_forwardReceiver.beginDrain(m_ports.timers.now() + timeLeft);
    sendToRegion();
    sendPulses(false);
}

bool Gateway::isDraining() const
{
    return m_isDraining;
}

std::size_t Gateway::openCount() const
{
    return m_requestFlow.openCount() + m_forwardReceiver.openCount();
}

void Gateway::rolloutStored(const RolloutNotice &notice)
{
    m_rollouts.decisionStored(notice);
}

core::Signal<RolloutDecision> &Gateway::rolloutDecided()
{
    return m_rollouts.decided();
}

core::Signal<RecordToStore> &Gateway::recordToStore()
{
    return m_recordToStore;
}

core::Signal<MembersChanged> &Gateway::membersChanged()
{
    return m_membersChanged;
}

core::Signal<LimitsChanged> &Gateway::limitsChanged()
{
    return m_limitsChanged;
}

void Gateway::pathsChanged(const core::ServiceId &service)
{
    if (m_paths.isCutOff(service)) {
        m_backends.forgetFailures(service);
    } else {
        m_restarts.notePathsRegained(service);
    }
    // The others forward to this instance, or it to them, by what the pulses say.
    sendToRegion();
    sendPulses(false);
}

RunEvents &Gateway::ownerOf(Number run)
{
    if (m_requestFlow.ownsRun(run)) {
        return m_requestFlow;
    }
    if (m_paths.ownsRun(run)) {
        return m_paths;
    }
    if (m_restarts.ownsRun(run)) {
        return m_restarts;
    }
    return m_forwardReceiver;
}

void Gateway::runHead(Number run, const HttpHead &head)
{
    ownerOf(run).runHead(run, head);
}

void Gateway::runData(Number run, const std::string &data)
{
    ownerOf(run).runData(run, data);
}

void Gateway::runEnd(Number run, AnswerEnd end)
{
    ownerOf(run).runEnd(run, end);
}

void Gateway::runFailed(Number run, bool mayHaveRun, const std::string &reason)
{
    ownerOf(run).runFailed(run, mayHaveRun, reason);
}

} // namespace snipeferry::gateway
