#include "snipeferry/gateway/gateway.h"

#include "snipeferry/gateway/rendezvous.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace snipeferry::gateway {

namespace {

/**
 * How long a backend server whose announcement lapsed in a store outage stays in use after the store's return. Its new announcement arrives within
 * about two seconds.
 */
constexpr absl::Duration REANNOUNCE_TIMEOUT = absl::Milliseconds(2600);
/** An announcement that is removed within this time after a failure of the store may have lapsed because of that failure. */
constexpr absl::Duration OUTAGE_LAPSE_WINDOW = absl::Seconds(3);
constexpr absl::Duration LAPSED_SERVER_CHECK_PERIOD = absl::Milliseconds(200);
/**
 * Largest age of a topic's last confirmation, by topic. If it is older, the instance reads the topic itself.
 *
 * For the operator's topic, the watching instance gets a confirmation every second, and a pulse passes it on within another second. A change has to
 * take effect within three seconds.
 */
constexpr std::array<absl::Duration, TOPIC_COUNT> MAX_CONFIRMATION_AGES = {absl::Milliseconds(1900), absl::Milliseconds(3000), absl::Milliseconds(6000)};
/**
 * Fraction of the key withdrawal time. If the last confirmation of the deployment is older, the instance is not ready, so that callers move to
 * another instance before it has to refuse their keys.
 */
constexpr double READY_WITHDRAWAL_FRACTION = 0.85;

} // namespace

Gateway::Gateway(GatewaySettings settings, GatewayPorts ports)
    : m_settings(std::move(settings)),
      m_ports(ports),
      m_mirrors(TOPIC_COUNT, RecordMirror(ports.timers)),
      m_backends(m_settings.self.id, ports.timers),
      m_fleet(m_settings.self, ports.timers),
      m_allowances(m_settings.allowances, ports.timers),
      m_repeats(m_settings.repeats, ports.timers),
      m_rollouts(m_settings.self.id, m_settings.flow.seed + 1, ports.timers),
      m_random(m_settings.flow.seed + 2),
      m_requestFlow(m_settings.flow,
          FlowDependencies{ports.timers, m_backends, m_fleet, m_allowances, m_repeats, m_rollouts, ports.headers, ports.runs, ports.links, ports.journal}),
      m_forwardReceiver(ports.timers, m_backends, m_fleet, m_rollouts, ports.headers, ports.runs, ports.links, ports.journal),
      m_regionPulseTimer(ports.timers.every(m_settings.regionPulsePeriod, [this] { sendRegionPulses(); })),
      m_otherRegionsPulseTimer(ports.timers.every(m_settings.otherRegionsPulsePeriod, [this] { sendPulses(false); })),
      m_lapsedServerTimer(ports.timers.every(LAPSED_SERVER_CHECK_PERIOD, [this] { removeLapsedServers(); }))
{
    m_allowances.shortages().subscribe([this](const AllowanceShortage &shortage) { requestTokens(shortage); });
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

bool Gateway::shouldWatch(Topic topic) const
{
    const RecordMirror &own = mirror(topic);
    if (!own.isLoaded() || m_ports.timers.now() - own.confirmedAt() > MAX_CONFIRMATION_AGES[static_cast<std::size_t>(topic)]) {
        return true;
    }
    // Each topic has its own watching instance, to spread the load.
    const std::string key = absl::StrCat("topic-", static_cast<int>(topic));
    return rendezvousFirst(key, m_fleet.dataCentreInstances()) == m_settings.self.id;
}

void Gateway::sendChangesToRegion(Topic topic, core::Revision after, core::Revision revision, const std::vector<RecordChange> &changes)
{
    if (changes.empty()) {
        return;
    }
    for (const core::InstanceId &peer : m_fleet.linkedInstances()) {
        if (m_fleet.isInOwnRegion(peer)) {
            m_ports.links.send(peer, RecordsUpdate{topic, after, revision, changes});
        }
    }
}

bool Gateway::hasRecord(Topic topic, const std::string &key) const
{
    return mirror(topic).find(key) != nullptr;
}

void Gateway::topicRead(Topic topic, const std::vector<Record> &records, core::Revision revision, absl::Time confirmedAt)
{
    const std::vector<RecordChange> changes = mirror(topic).replace(records, revision);
    m_ports.journal.log(core::LogEvent{
        "topic_read", {}}.with("topic", absl::StrCat(static_cast<int>(topic)))
                            .with("revision", absl::StrCat(revision))
                            .with("changes", absl::StrCat(changes.size())));
    applyRecordChanges(topic, changes);
    confirm(topic, confirmedAt);
}

void Gateway::topicChanged(Topic topic, const std::vector<RecordChange> &changes, core::Revision revision, absl::Time confirmedAt)
{
    const core::Revision after = mirror(topic).revision();
    const std::vector<RecordChange> newChanges = mirror(topic).apply(changes, revision);
    applyRecordChanges(topic, newChanges);
    confirm(topic, confirmedAt);
    sendChangesToRegion(topic, after, revision, newChanges);
}

void Gateway::confirm(Topic topic, absl::Time at)
{
    mirror(topic).confirm(at);
    if (m_isStoreLost && at > m_storeFailedAt) {
        m_isStoreLost = false;
        m_ports.journal.log(core::LogEvent{"store_regained", {}}.with("topic", absl::StrCat(static_cast<int>(topic))));
    }
    if (topic == Topic::Operator) {
        m_requestFlow.confirmDeployment(mirror(topic).confirmedAt());
    }
}

void Gateway::storeFailed()
{
    m_storeFailedAt = m_ports.timers.now();
    if (!m_isStoreLost) {
        m_isStoreLost = true;
        m_ports.journal.log(core::LogEvent{"store_lost", {}});
    }
}

void Gateway::applyRecordChanges(Topic topic, const std::vector<RecordChange> &changes)
{
    for (const RecordChange &change : changes) {
        switch (topic) {
        case Topic::Operator:
            applyOperatorRecord(change);
            break;
        case Topic::BackendServers:
            applyBackendServerRecord(change);
            break;
        case Topic::Members:
            applyMemberRecord(change);
            break;
        }
    }
    if (topic == Topic::Members && !changes.empty()) {
        updateInstances();
        m_membersChanged.emit(MembersChanged{m_fleet.membersToLink()});
    }
}

void Gateway::applyOperatorRecord(const RecordChange &change)
{
    const core::Expected<OperatorRecord> record = m_ports.records.decodeOperator(change);
    if (!record) {
        m_ports.journal.log(core::LogEvent{"operator_record_unreadable", {}}.with("key", change.key).with("error", record.error().message));
        return;
    }
    switch (record->kind) {
    case OperatorRecord::Kind::Deployment: {
        // Ignore the removal of the deployment, and an older version.
        const bool isNewer = record->deployment.has_value() && (m_routes == nullptr || record->deployment->version > m_routes->deployment().version);
        if (!isNewer) {
            return;
        }
        m_routes = std::make_shared<const RouteTable>(*record->deployment);
        m_backends.configure(m_routes->deployment().services);
        m_allowances.configure(m_routes->deployment().customers);
        m_requestFlow.configure(m_routes);
        m_limitsChanged.emit(LimitsChanged{m_routes->deployment().limits});
        m_ports.journal.log(core::LogEvent{"deployment_in_force", {}}
                                .with("version", absl::StrCat(record->deployment->version))
                                .with("revision", absl::StrCat(change.revision)));
        return;
    }
    case OperatorRecord::Kind::Evacuation:
        m_backends.setEvacuated(record->dataCentre, change.value.has_value());
        m_ports.journal.log(core::LogEvent{
            "evacuation", {}}.with("data_centre", record->dataCentre.value())
                                .with("is_evacuated", change.value.has_value() ? "true" : "false")
                                .with("revision", absl::StrCat(change.revision)));
        return;
    case OperatorRecord::Kind::Rollout:
        if (record->rollout.has_value()) {
            m_rollouts.order(*record->rollout, change.revision);
        } else {
            m_rollouts.withdraw(record->service);
        }
        m_ports.journal.log(core::LogEvent{"rollout_ordered", {}}
                                .with("service", record->service.value())
                                .with("is_withdrawn", record->rollout.has_value() ? "false" : "true")
                                .with("revision", absl::StrCat(change.revision)));
        return;
    case OperatorRecord::Kind::Other:
        m_ports.journal.log(core::LogEvent{"operator_record_ignored", {}}.with("key", change.key));
        return;
    }
}

void Gateway::applyBackendServerRecord(const RecordChange &change)
{
    const core::BackendServerId id = m_ports.records.backendServerOf(change.key);
    if (!change.value.has_value()) {
        const absl::Time now = m_ports.timers.now();
        const bool mayHaveLapsed = m_isStoreLost || now - m_storeFailedAt < OUTAGE_LAPSE_WINDOW;
        if (mayHaveLapsed) {
            m_lapsedServers[id] = now + REANNOUNCE_TIMEOUT;
        } else {
            m_backends.remove(id);
        }
        m_ports.journal.log(core::LogEvent{"server_gone", {}}.with("server", id.value()).with("is_held", mayHaveLapsed ? "true" : "false"));
        return;
    }
    const core::Expected<BackendServer> server = m_ports.records.decodeBackendServer(change.key, *change.value);
    m_lapsedServers.erase(id);
    if (!server) {
        // An unreadable announcement removes the backend server.
        m_backends.remove(id);
        m_ports.journal.log(core::LogEvent{"server_unreadable", {}}.with("server", id.value()).with("error", server.error().message));
        return;
    }
    // Requests are sent only to backend servers of the own region. Those of other regions only serve as sources of cached prompt state.
    const auto serverRegion = m_settings.regions.find(server->dataCentre);
    if (serverRegion == m_settings.regions.end() || serverRegion->second != m_settings.self.region) {
        m_backends.announceRemote(*server);
        return;
    }
    m_backends.announce(*server);
    m_ports.journal.log(core::LogEvent{"server_announced", {}}
                            .with("server", id.value())
                            .with("service", server->service.value())
                            .with("version", server->version.value())
                            .with("is_draining", server->isDraining ? "true" : "false")
                            .with("cold_ms", absl::StrCat(absl::ToInt64Milliseconds(server->coldLeft)))
                            .with("revision", absl::StrCat(change.revision)));
}

void Gateway::removeLapsedServers()
{
    const absl::Time now = m_ports.timers.now();
    for (auto it = m_lapsedServers.begin(); it != m_lapsedServers.end();) {
        // Start the timeout at the store's return: before that, no backend server can renew its announcement.
        if (m_isStoreLost) {
            it->second = now + REANNOUNCE_TIMEOUT;
        }
        if (it->second <= now) {
            m_backends.remove(it->first);
            m_ports.journal.log(core::LogEvent{"server_gone", {}}.with("server", it->first.value()).with("is_held", "false"));
            it = m_lapsedServers.erase(it);
        } else {
            ++it;
        }
    }
    updateInstances();
}

void Gateway::applyMemberRecord(const RecordChange &change)
{
    if (!change.value.has_value()) {
        const auto known = m_memberKeys.find(change.key);
        if (known != m_memberKeys.end()) {
            m_fleet.removeMember(known->second);
            m_ports.journal.log(core::LogEvent{"member_gone", {}}.with("instance", known->second.value()));
        }
        return;
    }
    const core::Expected<Member> member = m_ports.records.decodeMember(*change.value);
    if (!member) {
        m_ports.journal.log(core::LogEvent{"member_unreadable", {}}.with("key", change.key).with("error", member.error().message));
        return;
    }
    m_memberKeys[change.key] = member->id;
    m_fleet.announceMember(*member);
    m_ports.journal.log(core::LogEvent{"member_announced", {}}.with("instance", member->id.value()).with("peer_address", member->peerAddress));
}

void Gateway::updateInstances()
{
    const int count = m_fleet.instanceCount();
    m_allowances.setInstanceCount(count);
    m_repeats.setInstanceCount(count);
    m_backends.setRegionInstances(m_fleet.regionInstances());
    std::vector<core::InstanceId> live = m_fleet.linkedInstances();
    live.push_back(m_settings.self.id);
    m_rollouts.setInstances(std::move(live));
}

RequestFlow &Gateway::requests()
{
    return m_requestFlow;
}

std::vector<std::string> Gateway::callerAddresses(const core::RegionId &region, const core::DataCentreId &dataCentre) const
{
    return m_fleet.callerAddresses(region, dataCentre, isReady());
}

bool Gateway::isReady() const
{
    const RecordMirror &operatorCopy = mirror(Topic::Operator);
    const bool isConfirmed = m_ports.timers.now() - operatorCopy.confirmedAt() < m_settings.flow.keyWithdrawalTime * READY_WITHDRAWAL_FRACTION;
    return m_routes != nullptr && mirror(Topic::BackendServers).isLoaded() && isConfirmed && !m_isDraining;
}

void Gateway::drain(absl::Duration timeLeft)
{
    m_isDraining = true;
    m_requestFlow.beginDrain(m_ports.timers.now() + timeLeft);
    sendPulses(true);
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

void Gateway::rolloutStored(const core::ServiceId &service, core::Revision order, RolloutState state)
{
    m_rollouts.decisionStored(service, order, state);
}

core::Signal<RolloutDecision> &Gateway::rolloutDecided()
{
    return m_rollouts.decided();
}

core::Signal<MembersChanged> &Gateway::membersChanged()
{
    return m_membersChanged;
}

core::Signal<LimitsChanged> &Gateway::limitsChanged()
{
    return m_limitsChanged;
}

RunEvents &Gateway::ownerOf(Number run)
{
    if (m_requestFlow.ownsRun(run)) {
        return m_requestFlow;
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

void Gateway::runEnd(Number run)
{
    ownerOf(run).runEnd(run);
}

void Gateway::runFailed(Number run, bool mayHaveRun, const std::string &reason)
{
    ownerOf(run).runFailed(run, mayHaveRun, reason);
}

} // namespace snipeferry::gateway
