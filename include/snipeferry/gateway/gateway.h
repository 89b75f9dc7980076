#pragma once

#include "snipeferry/core/signal.h"
#include "snipeferry/duties/dutysettings.h"
#include "snipeferry/duties/usageaggregator.h"
#include "snipeferry/duties/usagecounter.h"
#include "snipeferry/gateway/forwardreceiver.h"
#include "snipeferry/gateway/reading.h"
#include "snipeferry/gateway/records.h"
#include "snipeferry/gateway/requestflow.h"
#include "snipeferry/gateway/storecontact.h"

#include <array>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace snipeferry::gateway {

struct GatewaySettings
{
    Member self;
    FlowSettings flow;
    /** Number of the first run of this process. */
    Number firstRunNumber = 1;
    RepeatBudgetSettings repeats;
    AllowanceSettings allowances;
    RolloutSettings rollouts;
    /** Bounds of the duties of one instance at a time; without duties nothing of them runs. */
    duties::DutySettings duties;
    ColdBounds cold;
    /** Whether the stated memory of engines decides what they still hold of prompts and whether they have room. */
    bool isPromptCacheMemoryAware = false;
    /** Longest time for which a backend server may get requests after the store accepted that it leaves. */
    absl::Duration serverDrainTime = absl::Seconds(3);
    /** Interval at which backend servers renew their announcements. */
    absl::Duration serverReportPeriod = absl::Milliseconds(1200);
    /** How long an instance's announcement holds after its last renewal. */
    absl::Duration announcementLifetime = absl::Seconds(9);
    /** Region of each data centre of the fleet. */
    std::map<core::DataCentreId, core::RegionId> regions;
    /** Shortest interval between two pulses to instances of the own region. In a large region the interval is longer. */
    absl::Duration regionPulsePeriod = absl::Milliseconds(200);
    /** Interval between two pulses to instances of other regions. */
    absl::Duration otherRegionsPulsePeriod = absl::Seconds(1);
};

/** Interfaces to timers, codecs, network and logging that the gateway uses. */
struct GatewayPorts
{
    core::TimerService &timers;
    const HeaderCodec &headers;
    const RecordCodec &records;
    RunTransport &runs;
    FleetLinks &links;
    Journal &journal;
};

/** Emitted when the members to connect to may have changed. The transport opens and closes links accordingly. */
struct MembersChanged
{
    std::vector<Member> members;
};

/** Emitted for a record that this instance has to write to the store. */
struct RecordToStore
{
    Record record;
};

/** Emitted for the usage of this instance's region in a window that is over, which this instance has to write to the store. */
struct RegionUsageClosed
{
    core::RegionId region;
    duties::WindowUsage usage;
};

/** Emitted when a new deployment sets the limits for callers. */
struct LimitsChanged
{
    CallerLimits limits;
};

/**
 * The decision logic of one gateway instance.
 *
 * The transport calls its functions to report events from the store, the links, the callers and the backend servers. The gateway acts through
 * GatewayPorts. Not thread-safe.
 */
class Gateway : public RunEvents
{
public:
    Gateway(GatewaySettings settings, GatewayPorts ports);
    ~Gateway() override;

    /**
     * @brief Applies a full read of a topic from the store.
     * @param confirmedAt time at which the store confirmed that the records were the newest; InfinitePast if they may be old
     */
    void topicRead(Topic topic, const std::vector<Record> &records, core::Revision revision, absl::Time confirmedAt);

    /** @brief Applies changes of a topic that the store reported. The list is empty if the store only confirmed that nothing changed. */
    void topicChanged(Topic topic, const std::vector<RecordChange> &changes, core::Revision revision, absl::Time confirmedAt);

    /**
     * @brief Whether a copy that was read from the store may be old: neither the store nor another instance has confirmed it since.
     *
     * An old copy may contain backend servers that have left.
     */
    bool isUnconfirmed(Topic topic) const;

    /** @brief Reports that the store did not answer or returned an error. */
    void storeFailed();

    /** @brief Reports any answer of the store that is no error; a topic's reading and its changes count by themselves. */
    void storeAnswered();

    /** @brief Number of instances that this one knows of, itself included. */
    int instanceCount() const;

    /** @brief Revision up to which the copy of a topic is complete; 0 if the topic was never read. */
    core::Revision revision(Topic topic) const;

    /**
     * @brief Whether this instance should read and watch a topic at the store itself.
     *
     * One instance of each data centre watches a topic and sends its changes to the other instances of the region. Each instance selects the watching
     * one by rendezvous hashing among the instances that were heard of recently, and in a large region among the relays. An instance whose copy has not been
     * confirmed for too long also reads the topic itself.
     */
    bool shouldWatch(Topic topic) const;

    /** @brief Whether the local copy of a topic contains a record. */
    bool hasRecord(Topic topic, const std::string &key) const;

    void linkUp(const Member &peer);
    void linkDown(const core::InstanceId &peer);
    void received(const core::InstanceId &from, const FleetMessage &message);

    /** @brief Members to which the transport should keep links, as FleetView::membersToLink(). */
    std::vector<Member> membersToLink() const;

    /** @brief Handles the requests of this instance's callers. */
    RequestFlow &requests();
    /** @brief Addresses of the instances that callers at a location should use, as FleetView::callerAddresses(). */
    std::vector<std::string> callerAddresses(const core::RegionId &region, const core::DataCentreId &dataCentre) const;

    /** @brief Whether this instance accepts callers: it has a recently confirmed deployment, has read the backend servers, and is not draining. */
    bool isReady() const;
    /**
     * @brief Whether the instance runs requests that others forward to it: it has a deployment, has read the backend servers and is not draining.
     *
     * The deployment need not be confirmed: the origin has admitted the request under its own confirmation.
     */
    bool takesForwards() const;

    /** @brief Starts the shutdown: the instance reports itself as not ready, and open requests have the given time to complete. */
    void drain(absl::Duration timeLeft);
    bool isDraining() const;
    /** @brief Number of open requests: those of callers, and those that other instances forwarded here. */
    std::size_t openCount() const;

    /** @brief Current values for the metrics page, for example the age of each topic copy, the backend servers, and the remaining tokens and repeats. */
    std::vector<Reading> readings();

    /** @brief Reports that the store contains a decision about a rollout, written by any instance. */
    void rolloutStored(const RolloutNotice &notice);

    /** @brief Emitted for each rollout decision that this instance has to write to the store. */
    core::Signal<RolloutDecision> &rolloutDecided();

    /** @brief Emitted for each record about a quarantined prompt part that this instance has to write. */
    core::Signal<RecordToStore> &recordToStore();

    /** @brief Emitted for each window of usage that this instance has to write for its region. */
    core::Signal<RegionUsageClosed> &regionUsageClosed();

    /** @brief Clock of the usage windows; null if the settings have no duties. */
    const duties::WallClock *usageClock() const;

    /** @brief Sums of usage that were written may be lost with the history of the store. */
    void usageStoreReturned();

    /** @brief Number of live instances of the fleet that look after the holder of the duties before this one. */
    std::size_t dutyWatchRank() const;

    /** @brief Regions with at least one instance that may be alive. */
    std::vector<core::RegionId> liveRegions() const;

    core::Signal<MembersChanged> &membersChanged();
    core::Signal<LimitsChanged> &limitsChanged();

    void runHead(Number run, const HttpHead &head) override;
    void runData(Number run, const std::string &data) override;
    void runEnd(Number run, AnswerEnd end) override;
    void runFailed(Number run, bool mayHaveRun, const std::string &reason) override;

private:
    /** Age of a topic's last confirmation beyond which this instance reads the topic itself. */
    absl::Duration maxConfirmationAge(Topic topic) const;
    RecordMirror &mirror(Topic topic);
    const RecordMirror &mirror(Topic topic) const;
    /** Component that started a run and receives its events. */
    RunEvents &ownerOf(Number run);
    /** Replaces the copy of a topic by a full read of the store, of this instance or of another one. Returns the number of changes. */
    std::size_t replaceTopic(Topic topic, const std::vector<Record> &records, core::Revision revision, const std::vector<LapsedRecord> &lapsed = {});
    enum class RecordOrigin {
        /** The record was written since. */
        Written,
        /** The record is one of a store that has come back from a copy, and may be older than what is known. */
        ReturnedStore,
    };
    /** @param lapsed what an instance that told the changes says of missing announcements */
    void applyRecordChanges(
        Topic topic, const std::vector<RecordChange> &changes, RecordOrigin origin = RecordOrigin::Written, const std::vector<LapsedRecord> &lapsed = {});
    /** Applies the differences between the copy and a store that has come back from a copy. What is missing there is mostly written again. */
    void applyReturnedRecords(Topic topic, const std::vector<RecordChange> &changes);
    void applyOperatorRecord(const RecordChange &change);
    /** Tells the rollouts at which positions a returned store has their orders. */
    void readOrdersAgain();
    void applyDeployment(const Deployment &deployment, core::Revision revision);
    void applyBackendServerRecord(const RecordChange &change, RecordOrigin origin);
    /** Handles a missing announcement: its backend server has left, or its announcement may have lapsed in an outage of the store. */
    void applyMissingServer(const RecordChange &change, const std::vector<LapsedRecord> &lapsed);
    /** Whether a returned announcement is one of a backend server that is known to leave or to have left. */
    bool isKnownToLeave(const BackendServer &server) const;
    /** Drops what was held since the store's return and was not written again. */
    void removeHeldRecords();
    void applyMemberRecord(const RecordChange &change);
    void applyQuarantineRecord(const RecordChange &change);
    void applyRolloutNotice(const RecordChange &change);
    /** Logs a rollout's new state and tells it to other instances at once. */
    void announceRolloutChange(const RolloutChange &change);
    /** Writes the record of a quarantined part, if that is this instance's task and the store does not have it. */
    void storeQuarantine(const QuarantineRecord &quarantine);
    void storeMissingQuarantines();
    /** Tells the linked instances this instance's news of crashes and prompt parts. */
    void sendPromptNews();
    /** Tells the region this instance's news of limits. */
    void sendLimitNews();
    /** Linked instances of this region, but for one. */
    std::vector<core::InstanceId> linkedRegionInstances(const core::InstanceId &excluded = {}) const;
    /** How long the store has to work after an outage until a backend server whose announcement is still missing counts as gone. */
    absl::Duration reannounceTime() const;
    /** Working time of the store at which an announcement that is found missing now counts as gone. */
    absl::Duration lapsedUntil() const;
    void removeLapsedServers();
    /** The missing records of a topic that still count, as other instances are told of them. */
    std::vector<LapsedRecord> lapsedRecords(Topic topic) const;
    void contactChanged(StoreContact::Change change);
    /** What confirmed a copy: the store at a revision, or an instance with the revision of the newest change that it knows. */
    struct ConfirmationSource
    {
        core::Revision revision = 0;
        /** Empty for the store. */
        core::InstanceId instance;
    };
    /** Records a time at which the store confirmed that the copy of a topic was up to date. */
    void confirm(Topic topic, absl::Time at, const ConfirmationSource &source);
    /** Tells the others that this instance has lost or regained the backend servers of a service. */
    void pathsChanged(const core::ServiceId &service);
    /** Passes the known instances to the components that depend on them. */
    void updateInstances();
    /** Sends pulses to the own region, unless the region is so large that it is too early for the next ones. */
    void sendRegionPulses();
    void sendPulses(bool isToOwnRegion);
    /** Sends pulses to the instances of this region, or in a large region reports to the relays and answers to those that report here. */
    void sendToRegion();
    /** Processes what every pulse contains, also one in a report to a relay. */
    void receivePulse(const core::InstanceId &from, const Pulse &message);
    /** Whether the next pulses include the allowance reports. If so, notes the current time as the last time they were sent. */
    bool shouldSendAllowances(bool isToOwnRegion);
    void sendChangesToRegion(Topic topic, core::Revision after, core::Revision revision, const std::vector<RecordChange> &changes);
    /** A pulse for one peer: the parts that all peers get, with the peer's time stamps. */
    Pulse addressPulse(const Pulse &common, const core::InstanceId &peer) const;
    /** The parts of a pulse that all peers of this region, or all of other regions, get. */
    Pulse buildPulse(bool isToOwnRegion);

    void handle(const core::InstanceId &from, const Greeting &message);
    void handle(const core::InstanceId &from, const Pulse &message);
    void handle(const core::InstanceId &from, const AllowanceTransfer &message);
    void handle(const core::InstanceId &from, const AllowanceRequest &message);
    void requestTokens(const AllowanceShortage &shortage);
    /** Requests a topic from a peer, unless another peer was asked for it recently. */
    void requestRecords(const core::InstanceId &peer, Topic topic);
    void handle(const core::InstanceId &from, const RecordsRequest &message);
    void handle(const core::InstanceId &from, const RecordsTransfer &message);
    void handle(const core::InstanceId &from, const RecordsUpdate &message);
    void handle(const core::InstanceId &from, const ForwardRequest &message);
    void handle(const core::InstanceId &from, const ForwardHead &message);
    void handle(const core::InstanceId &from, const ForwardData &message);
    void handle(const core::InstanceId &from, const ForwardEnd &message);
    void handle(const core::InstanceId &from, const ForwardFailed &message);
    void handle(const core::InstanceId &from, const ForwardCancel &message);
    void handle(const core::InstanceId &from, const ForwardFlow &message);
    void handle(const core::InstanceId &from, const ForwardResume &message);
    void handle(const core::InstanceId &from, const RelayReport &message);
    void handle(const core::InstanceId &from, const RegionSummary &message);
    void handle(const core::InstanceId &from, const MessagePiece &message);
    void handle(const core::InstanceId &from, const PromptEvidence &message);
    void handle(const core::InstanceId &from, const ServerLimitsNotice &message);
    void handle(const core::InstanceId &from, const duties::UsageNotice &message);

    /** The instances of this region that sum up its usage, the first one first. */
    std::vector<core::InstanceId> usageAggregators() const;
    /** Tells this instance's usage to the aggregators of the region. */
    void sendUsage();
    /** Writes the region's usage of windows that are over, if this instance is the first aggregator. */
    void closeUsageWindows();

    /** Checks the relays of this region and tells the components if they have changed. */
    void updateRelays();
    /** Sends this instance's report to the relays of its region. */
    void sendRelayReports();
    /** Sends pulses to the instances that report to this relay, and summaries to those that want them. */
    void answerRelayClients();
    RegionSummary buildSummary();
    /** As a relay, keeps reported prompt parts for the next summaries and, if they are of this region, for other regions. */
    void notePartsAsRelay(const std::vector<ReadPart> &parts, bool isOwnRegion);

    /** An instance that reports to this relay. */
    struct RelayClient
    {
        absl::Time reportedAt;
        bool wantsSummary = false;
    };

    /** The last request for a topic's records. */
    struct RecordsQuery
    {
        core::InstanceId peer;
        absl::Time sentAt = absl::InfinitePast();
    };

    GatewaySettings m_settings;
    GatewayPorts m_ports;
    std::vector<RecordMirror> m_mirrors;
    std::array<RecordsQuery, TOPIC_COUNT> m_recordsQueries;
    BackendTable m_backends;
    FleetView m_fleet;
    RateLimiter m_allowances;
    overload::CustomerShares m_shares;
    RepeatBudget m_repeats;
    RolloutGuard m_rollouts;
    PromptQuarantine m_quarantine;
    std::mt19937_64 m_random;
    RunNumbers m_runNumbers;
    ServerPaths m_paths;
    ServerRestarts m_restarts;
    /** Null if the settings have no duties. */
    std::unique_ptr<duties::UsageCounter> m_usage;
    std::unique_ptr<duties::UsageAggregator> m_usageAggregator;
    RequestFlow m_requestFlow;
    ForwardReceiver m_forwardReceiver;
    std::shared_ptr<const RouteTable> m_routes;
    /** Instance that each record key of the members topic announces. */
    std::map<std::string, core::InstanceId> m_memberKeys;
    /** Prompt part of each record of a quarantine. */
    std::map<std::string, PartKey> m_quarantineKeys;
    /** A backend server that left: its process, and when that was seen. */
    struct LeftServer
    {
        std::int64_t startedAtMs = 0;
        absl::Time seenAt;
    };
    std::map<core::BackendServerId, LeftServer> m_leftServers;
    /** Records that the store lacks, or announces wrongly, since its return, and until when the state before counts. */
    std::map<std::pair<Topic, std::string>, absl::Time> m_heldRecords;
    /** A backend server whose announcement may have lapsed in an outage of the store. */
    struct LapsedServer
    {
        std::string key;
        /** The store's working time at which it counts as gone. */
        absl::Duration goneAt;
        /** Latest goneAt. The store may be lost once more before the announcement is renewed, but not again and again. */
        absl::Duration limit;
    };
    /** They are in use until they count as gone or are announced again. */
    std::map<core::BackendServerId, LapsedServer> m_lapsedServers;
    StoreContact m_storeContact;
    bool m_isDraining = false;
    core::Signal<RecordToStore> m_recordToStore;
    core::Signal<MembersChanged> m_membersChanged;
    core::Signal<LimitsChanged> m_limitsChanged;
    std::map<core::InstanceId, RelayClient> m_relayClients;
    /** Prompt parts that this relay has not yet passed on to its region, and to other regions. */
    std::vector<ReadPart> m_partsForRegion;
    std::vector<ReadPart> m_partsForOtherRegions;
    /** This instance's work as last reported to the relays. */
    std::vector<ServerWork> m_reportedWork;
    core::Subscription m_regionPulseTimer;
    absl::Time m_regionPulseSentAt = absl::InfinitePast();
    /** When allowance reports were last sent to the own region. */
    absl::Time m_allowancesSentToRegionAt = absl::InfinitePast();
    /** When allowance reports were last sent to the instances that report to this relay. */
    absl::Time m_allowancesSentToClientsAt = absl::InfinitePast();
    /** When allowance reports were last sent to other regions. */
    absl::Time m_allowancesSentToOthersAt = absl::InfinitePast();
    core::Subscription m_otherRegionsPulseTimer;
    core::Subscription m_lapsedServerTimer;
    core::Subscription m_newsTimer;
    core::Subscription m_quarantineStoreTimer;
    core::Signal<RegionUsageClosed> m_regionUsageClosed;
    core::Subscription m_usageTimer;
    core::Subscription m_usageCloseTimer;
};

} // namespace snipeferry::gateway
