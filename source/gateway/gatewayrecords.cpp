#include "snipeferry/gateway/gateway.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

// What the records of the store say, and what follows from it.
namespace snipeferry::gateway {

namespace {

/**
 * How long after the store's return a backend server whose announcement lapsed stays in use. Its new announcement arrives within about two seconds of
 * the return.
 */
constexpr absl::Duration REANNOUNCE_TIMEOUT = absl::Milliseconds(2600);
/** The same as a limit by the time in which a leaving backend server may get requests: it may also have left just after the store's return. */
constexpr double REANNOUNCE_DRAIN_FRACTION = 0.85;
/** Time in which the operator writes again what a returned store has lost. */
constexpr absl::Duration REWRITE_TIME = absl::Seconds(10);
/** How long a backend server that left is remembered, in case a returned store announces it once more. */
constexpr absl::Duration LEFT_SERVER_TIME = absl::Minutes(2);
/** Reports that a backend server misses before the store drops its announcement, and one more. */
constexpr int MISSED_REPORTS = 4;

} // namespace

void Gateway::applyRecordChanges(Topic topic, const std::vector<RecordChange> &changes, RecordOrigin origin, const std::vector<LapsedRecord> &lapsed)
{
    for (const RecordChange &change : changes) {
        switch (topic) {
        case Topic::Operator:
            applyOperatorRecord(change);
            break;
        case Topic::BackendServers:
            change.value.has_value() ? applyBackendServerRecord(change, origin) : applyMissingServer(change, lapsed);
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
    case OperatorRecord::Kind::Deployment:
        // The removal of the deployment is ignored.
        if (record->deployment.has_value()) {
            applyDeployment(*record->deployment, change.revision);
        }
        return;
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

void Gateway::applyDeployment(const Deployment &deployment, core::Revision revision)
{
    // A store that has come back may hold an older version. The operator confirmed the newer one and writes it again.
    const bool isOlder = m_routes != nullptr && deployment.version < m_routes->deployment().version;
    const bool isKnown = m_routes != nullptr && deployment == m_routes->deployment();
    if (isOlder || isKnown) {
        m_ports.journal.log(core::LogEvent{"deployment_kept", {}}
                                .with("version", absl::StrCat(m_routes->deployment().version))
                                .with("read_version", absl::StrCat(deployment.version))
                                .with("revision", absl::StrCat(revision)));
        return;
    }
    m_routes = std::make_shared<const RouteTable>(deployment);
    m_backends.configure(m_routes->deployment().services);
    m_allowances.configure(m_routes->deployment().customers);
    std::vector<overload::CustomerLimit> limits;
    for (const Customer &customer : m_routes->deployment().customers) {
        limits.push_back({customer.id, customer.ratePerSecond, customer.countsTokens});
    }
    m_shares.setLimits(limits);
    m_requestFlow.configure(m_routes);
    m_limitsChanged.emit(LimitsChanged{m_routes->deployment().limits});
    m_ports.journal.log(core::LogEvent{"deployment_in_force", {}}.with("version", absl::StrCat(deployment.version)).with("revision", absl::StrCat(revision)));
}

void Gateway::applyReturnedRecords(Topic topic, const std::vector<RecordChange> &changes)
{
    const absl::Time now = m_ports.timers.now();
    m_storeContact.noteReturn();
    m_rollouts.storeReturned();
    std::vector<RecordChange> present;
    for (const RecordChange &change : changes) {
        if (change.value.has_value()) {
            present.push_back(change);
            continue;
        }
        // Announcements of backend servers are held as after any outage of the store.
        if (topic == Topic::BackendServers) {
            present.push_back(change);
            continue;
        }
        m_heldRecords[{topic, change.key}] = now + (topic == Topic::Members ? m_settings.announcementLifetime : REWRITE_TIME);
    }
    m_ports.journal.log(core::LogEvent{"store_returned", {}}
                            .with("topic", absl::StrCat(static_cast<int>(topic)))
                            .with("changed", absl::StrCat(present.size()))
                            .with("missing", absl::StrCat(changes.size() - present.size())));
    applyRecordChanges(topic, present, RecordOrigin::ReturnedStore);
    if (topic == Topic::Operator) {
        readOrdersAgain();
    }
    if (topic == Topic::Members) {
        storeMissingQuarantines();
        m_rollouts.tellAgain();
    }
}

void Gateway::readOrdersAgain()
{
    // An order that has not changed is no change of the topic, but instances that start later know it by its new position only.
    for (const Record &record : mirror(Topic::Operator).records()) {
        const core::Expected<OperatorRecord> decoded = m_ports.records.decodeOperator({record.key, record.value, record.revision});
        if (decoded && decoded->rollout.has_value()) {
            m_rollouts.order(*decoded->rollout, record.revision);
        }
    }
}

void Gateway::removeHeldRecords()
{
    const absl::Time now = m_ports.timers.now();
    for (auto it = m_heldRecords.begin(); it != m_heldRecords.end();) {
        const Topic topic = it->first.first;
        const std::string key = it->first.second;
        const Record *record = mirror(topic).find(key);
        const bool isWrittenAgain = record != nullptr && topic != Topic::BackendServers;
        if (!isWrittenAgain && now < it->second) {
            ++it;
            continue;
        }
        it = m_heldRecords.erase(it);
        if (isWrittenAgain) {
            continue;
        }
        m_ports.journal.log(core::LogEvent{"held_record_dropped", {}}.with("topic", absl::StrCat(static_cast<int>(topic))).with("key", key));
        if (topic == Topic::BackendServers) {
            m_leftServers.erase(m_ports.records.backendServerOf(key));
        }
        const std::optional<std::string> value = record == nullptr ? std::nullopt : std::optional<std::string>(record->value);
        applyRecordChanges(topic, {{key, value, mirror(topic).revision()}});
    }
}

bool Gateway::isKnownToLeave(const BackendServer &server) const
{
    const auto left = m_leftServers.find(server.id);
    return left != m_leftServers.end() && left->second.startedAtMs == server.startedAtMs && m_ports.timers.now() - left->second.seenAt < LEFT_SERVER_TIME;
}

void Gateway::announceRolloutChange(const RolloutChange &change)
{
    m_ports.journal.log(core::LogEvent{
        "rollout_state", {}}.with("service", change.order.service.value())
                            .with("target", change.order.target.value())
                            .with("revision", absl::StrCat(change.revision))
                            .with("state", nlohmann::json(change.state).get<std::string>())
                            .with("reason", change.reason)
                            .with("age_ms", absl::StrCat(absl::ToInt64Milliseconds(change.age)))
                            .with("answers", absl::StrCat(change.targetAnswers))
                            .with("failures", absl::StrCat(change.targetFailures))
                            .with("old_answers", absl::StrCat(change.baselineAnswers))
                            .with("old_failures", absl::StrCat(change.baselineFailures))
                            .with("instances", absl::StrCat(change.instances)));
    // Requests follow the state at once; a pulse would come up to a second later. Who has heard it from another region tells its own.
    sendToRegion();
    if (change.isOwnDecision) {
        sendPulses(false);
    }
}

void Gateway::applyMissingServer(const RecordChange &change, const std::vector<LapsedRecord> &lapsed)
{
    const core::BackendServerId id = m_ports.records.backendServerOf(change.key);
    const BackendServer *gone = m_backends.find(id);
    if (gone != nullptr) {
        m_leftServers[id] = {gone->startedAtMs, m_ports.timers.now()};
    }
    const absl::Duration workingTime = m_storeContact.workingTime();
    absl::Duration goneAt = lapsedUntil();
    for (const LapsedRecord &told : lapsed) {
        if (told.key == change.key) {
            goneAt = std::max(goneAt, workingTime + std::min(told.timeLeft, reannounceTime()));
        }
    }
    const bool mayHaveLapsed = goneAt > workingTime;
    if (mayHaveLapsed) {
        m_lapsedServers.emplace(id, LapsedServer{change.key, goneAt, goneAt + reannounceTime()});
    } else {
        m_lapsedServers.erase(id);
        m_quarantine.addEndOfProcess(id);
        m_backends.remove(id);
    }
    m_ports.journal.log(core::LogEvent{
        "server_gone", {}}.with("server", id.value())
                            .with("is_held", mayHaveLapsed ? "true" : "false")
                            .with("revision", absl::StrCat(change.revision))
                            .with("held_ms", absl::StrCat(absl::ToInt64Milliseconds(mayHaveLapsed ? goneAt - workingTime : absl::ZeroDuration())))
                            .with("is_store_away", m_storeContact.isAway() ? "true" : "false"));
}

void Gateway::applyBackendServerRecord(const RecordChange &change, RecordOrigin origin)
{
    const core::BackendServerId id = m_ports.records.backendServerOf(change.key);
    core::Expected<BackendServer> server = m_ports.records.decodeBackendServer(change.key, *change.value);
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
    if (origin == RecordOrigin::ReturnedStore && isKnownToLeave(*server)) {
        // The copy is older than its leaving. Where it is alive after all, its announcement outlasts the reports that it would miss.
        server->isDraining = true;
        m_heldRecords[{Topic::BackendServers, change.key}] = m_ports.timers.now() + REANNOUNCE_TIMEOUT + MISSED_REPORTS * m_settings.serverReportPeriod;
        m_ports.journal.log(core::LogEvent{"server_leaving_kept", {}}.with("server", id.value()));
    } else {
        m_heldRecords.erase({Topic::BackendServers, change.key});
    }
    if (server->isDraining) {
        m_leftServers[id] = {server->startedAtMs, m_ports.timers.now()};
    }
    const BackendServer *known = m_backends.find(id);
    if (known != nullptr && known->startedAtMs != server->startedAtMs) {
        m_quarantine.addEndOfProcess(id);
    }
    const bool isFirst = known == nullptr;
    m_backends.announce(*server);
    if (isFirst) {
        m_restarts.noteFirstAnnouncement(*server);
    }
    m_ports.journal.log(core::LogEvent{"server_announced", {}}
                            .with("server", id.value())
                            .with("started_at_ms", absl::StrCat(server->startedAtMs))
                            .with("service", server->service.value())
                            .with("version", server->version.value())
                            .with("is_draining", server->isDraining ? "true" : "false")
                            .with("cold_ms", absl::StrCat(absl::ToInt64Milliseconds(server->coldLeft)))
                            .with("revision", absl::StrCat(change.revision)));
}

absl::Duration Gateway::reannounceTime() const
{
    return std::min(REANNOUNCE_TIMEOUT, m_settings.serverDrainTime * REANNOUNCE_DRAIN_FRACTION);
}

absl::Duration Gateway::lapsedUntil() const
{
    // No backend server can renew its announcement while the store is away.
    const absl::Duration returnedAt = m_storeContact.isAway() ? m_storeContact.workingTime() : m_storeContact.workingTimeAtReturn();
    return returnedAt + reannounceTime();
}

std::vector<LapsedRecord> Gateway::lapsedRecords(Topic topic) const
{
    std::vector<LapsedRecord> records;
    if (topic != Topic::BackendServers) {
        return records;
    }
    const absl::Duration workingTime = m_storeContact.workingTime();
    for (const auto &entry : m_lapsedServers) {
        records.push_back({entry.second.key, entry.second.goneAt - workingTime});
    }
    return records;
}

void Gateway::removeLapsedServers()
{
    const absl::Duration workingTime = m_storeContact.workingTime();
    for (auto it = m_lapsedServers.begin(); it != m_lapsedServers.end();) {
        if (workingTime < it->second.goneAt) {
            ++it;
            continue;
        }
        m_backends.remove(it->first);
        m_ports.journal.log(core::LogEvent{"server_gone", {}}.with("server", it->first.value()).with("is_held", "false"));
        it = m_lapsedServers.erase(it);
    }
    removeHeldRecords();
    updateInstances();
}

void Gateway::applyRolloutNotice(const RecordChange &change)
{
    if (!change.value.has_value()) {
        return;
    }
    const core::Expected<RolloutNotice> notice = m_ports.records.decodeRolloutNotice(*change.value);
    if (!notice) {
        m_ports.journal.log(core::LogEvent{"rollout_notice_unreadable", {}}.with("key", change.key).with("error", notice.error().message));
        return;
    }
    m_ports.journal.log(core::LogEvent{"rollout_notice_read", {}}
                            .with("service", notice->service.value())
                            .with("order", absl::StrCat(notice->order))
                            .with("state", nlohmann::json(notice->state).get<std::string>())
                            .with("revision", absl::StrCat(change.revision)));
    m_rollouts.decisionStored(*notice);
}

void Gateway::applyMemberRecord(const RecordChange &change)
{
    if (m_ports.records.isQuarantineKey(change.key)) {
        applyQuarantineRecord(change);
        return;
    }
    if (m_ports.records.isRolloutNoticeKey(change.key)) {
        applyRolloutNotice(change);
        return;
    }
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

} // namespace snipeferry::gateway
