#pragma once

#include "snipeferry/core/signal.h"
#include "snipeferry/gateway/forwarddesk.h"
#include "snipeferry/gateway/reading.h"
#include "snipeferry/gateway/records.h"
#include "snipeferry/gateway/requestflow.h"

#include <array>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace snipeferry::gateway {

struct GatewaySettings
{
    Member self;
    FlowSettings flow;
    RepeatBudgetSettings repeats;
    AllowanceSettings allowances;
    /** Region of each data centre. */
    std::map<core::DataCentreId, core::RegionId> regions;
    /** Time between pulses to instances of the same region. */
    absl::Duration regionPulsePeriod = absl::Milliseconds(200);
    /** Time between pulses to instances of other regions. */
    absl::Duration distantPulsePeriod = absl::Seconds(1);
};

/** Outside parts that the gateway works with. */
struct GatewayPorts
{
    core::TimerService &timers;
    const HeaderCodec &headers;
    const RecordCodec &records;
    RunTransport &runs;
    FleetLinks &links;
    Journal &journal;
};

/** Emitted when the announced instances change; the transport keeps links to them. */
struct MembersChanged
{
    std::vector<Member> members;
};

/** Emitted when the callers' limits change. */
struct LimitsChanged
{
    CallerLimits limits;
};

/**
 * All decision parts of one instance of the gateway, put together.
 *
 * Store, links, callers and runs report events; what is to be done goes through the ports. Not thread-safe.
 */
class Gateway : public RunEvents
{
public:
    Gateway(GatewaySettings settings, GatewayPorts ports);
    ~Gateway() override;

    /** @brief All records of a topic were read. @param confirmedAt when the store held them for the newest */
    void topicRead(Topic topic, const std::vector<Record> &records, core::Revision revision, absl::Time confirmedAt);

    /** @brief Changes of a topic were seen; none if the store only confirmed that there are none. */
    void topicChanged(Topic topic, const std::vector<RecordChange> &changes, core::Revision revision, absl::Time confirmedAt);

    /** @brief The store did not answer, or refused. */
    void storeFailed();

    /** @brief Revision behind which a topic's changes are of interest; 0 if it was never read. */
    core::Revision revision(Topic topic) const;

    /**
     * @brief Whether this instance should follow a topic at the store itself.
     *
     * One instance of each data centre follows a topic and tells the others. Who that is follows from the live instances
     * alone; where its news stay away, the others read for themselves.
     */
    bool shouldFollow(Topic topic) const;

    /** @brief Whether a topic's copy holds a record. */
    bool hasRecord(Topic topic, const std::string &key) const;

    void linkUp(const Member &peer);
    void linkDown(const core::InstanceId &peer);
    void received(const core::InstanceId &from, const FleetMessage &message);

    RequestFlow &requests();
    std::vector<std::string> callerAddresses(const core::RegionId &region, const core::DataCentreId &dataCentre) const;

    /** @brief Takes callers: knows a deployment that is confirmed and is not draining. */
    bool isReady() const;

    /** @brief Leaves: not ready any more; open requests go on for the time left. */
    void drain(absl::Duration timeLeft);
    bool isDraining() const;
    std::size_t openCount() const;

    /** @brief What the gateway knows, owes and has left: ages of its copies, instances, backend servers, tokens and repeats. */
    std::vector<Reading> readings();

    /** @brief The store holds a decision about a rollout, whoever made it. */
    void rolloutStored(const core::ServiceId &service, core::Revision order, RolloutState state);

    /** @brief Emitted for decisions about rollouts that this instance has to store. */
    core::Signal<RolloutDecision> &rolloutDecided();

    core::Signal<MembersChanged> &membersChanged();
    core::Signal<LimitsChanged> &limitsChanged();

    void runHead(Number run, const HttpHead &head) override;
    void runData(Number run, const std::string &data) override;
    void runEnd(Number run) override;
    void runFailed(Number run, bool mayHaveRun, const std::string &reason) override;

private:
    RecordMirror &mirror(Topic topic);
    const RecordMirror &mirror(Topic topic) const;
    RunEvents &ownerOf(Number run);
    void take(Topic topic, const std::vector<RecordChange> &changes);
    void takeOperator(const RecordChange &change);
    void takeBackendServer(const RecordChange &change);
    void takeMember(const RecordChange &change);
    void removeHeldServers();
    void confirm(Topic topic, absl::Time at);
    void updateInstances();
    void pulseRegion();
    void sendPulses(bool isToRegion);
    /** Whether the next pulses to the region, or to others, tell of allowances. */
    bool isAllowanceTurn(bool isToRegion);
    void tellRegion(Topic topic, core::Revision after, core::Revision revision, const std::vector<RecordChange> &changes);
    Pulse pulseFor(const core::InstanceId &peer, bool isToRegion);

    void handle(const core::InstanceId &from, const Greeting &message);
    void handle(const core::InstanceId &from, const Pulse &message);
    void handle(const core::InstanceId &from, const AllowanceTransfer &message);
    void handle(const core::InstanceId &from, const AllowanceRequest &message);
    void askForTokens(const AllowanceShortage &shortage);
    void handle(const core::InstanceId &from, const RecordsRequest &message);
    void handle(const core::InstanceId &from, const RecordsTransfer &message);
    void handle(const core::InstanceId &from, const RecordsUpdate &message);
    void handle(const core::InstanceId &from, const ForwardRequest &message);
    void handle(const core::InstanceId &from, const ForwardHead &message);
    void handle(const core::InstanceId &from, const ForwardData &message);
    void handle(const core::InstanceId &from, const ForwardEnd &message);
    void handle(const core::InstanceId &from, const ForwardFailed &message);
    void handle(const core::InstanceId &from, const ForwardCancel &message);

    GatewaySettings m_settings;
    GatewayPorts m_ports;
    std::vector<RecordMirror> m_mirrors;
    BackendTable m_backends;
    FleetView m_fleet;
    RateLimiter m_allowances;
    RepeatBudget m_repeats;
    RolloutGuard m_rollouts;
    std::mt19937_64 m_random;
    RequestFlow m_flow;
    ForwardDesk m_desk;
    std::shared_ptr<const RouteTable> m_routes;
    std::map<std::string, core::InstanceId> m_memberKeys;
    /** Backend servers whose announcements lapsed around an outage of the store, with the time at which they count as gone. */
    std::map<core::BackendServerId, absl::Time> m_held;
    absl::Time m_storeFailedAt = absl::InfinitePast();
    bool m_isStoreLost = false;
    bool m_isDraining = false;
    core::Signal<MembersChanged> m_membersChanged;
    core::Signal<LimitsChanged> m_limitsChanged;
    core::Subscription m_regionPulse;
    absl::Time m_regionPulsedAt = absl::InfinitePast();
    absl::Time m_allowancesToldRegion = absl::InfinitePast();
    absl::Time m_allowancesToldOthers = absl::InfinitePast();
    core::Subscription m_distantPulse;
    core::Subscription m_holdTimer;
};

} // namespace snipeferry::gateway
