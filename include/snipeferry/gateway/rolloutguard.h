#pragma once

#include "snipeferry/core/signal.h"
#include "snipeferry/core/timerservice.h"
#include "snipeferry/gateway/model.h"

#include <absl/container/flat_hash_map.h>

#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace snipeferry::gateway {

/** State of a rollout. Completed and Reverted are final. */
enum class RolloutState {
    /** The new version receives a small share of the requests. */
    Trial,
    /** The time limit is close and the trial was good: the new version receives all requests. */
    Takeover,
    Completed,
    Reverted,
};

NLOHMANN_JSON_SERIALIZE_ENUM(RolloutState,
    {{RolloutState::Trial, "trial"}, {RolloutState::Takeover, "takeover"}, {RolloutState::Completed, "completed"}, {RolloutState::Reverted, "reverted"}})

/** Statistics of one version's answers on one route, or of the answers with about the same expected time: failures are then those that took far longer. */
struct VersionEvidence
{
    std::string route;
    bool isTarget = false;
    int answers = 0;
    int failures = 0;
    /** Sum of the latencies of all answers. */
    double latencyMs = 0;

    SNIPEFERRY_VALUE(VersionEvidence, route, isTarget, answers, failures, latencyMs)
};

/** What an instance reports to the others about one rollout. */
struct RolloutReport
{
    core::ServiceId service;
    /** Revision of the operator's order. */
    core::Revision order = 0;
    RolloutState state = RolloutState::Trial;
    /** Time since the sender learned of the order. */
    absl::Duration age;
    /** Statistics of the sender's own requests. */
    std::vector<VersionEvidence> evidence;

    SNIPEFERRY_VALUE(RolloutReport, service, order, state, age, evidence)
};

/** Which part an instance has in the storing of reverts. */
enum class RolloutRole {
    /** Instance of a small region: stores the reverts that it decides on. */
    Equal,
    /** Stores the reverts that it decides on, and those that instances which report to it have decided on. */
    Relay,
    /** Instance that reports to relays: leaves the storing to them. */
    Reporting,
};

/** Which versions of a service a request may go to; both empty for any. */
struct VersionChoice
{
    /** The only version that is permitted. */
    core::VersionId only;
    /** The version that is excluded. */
    core::VersionId never;
};

/** A new state of a rollout that has to be stored for the operator. */
struct RolloutDecision
{
    RolloutOrder order;
    core::Revision revision = 0;
    RolloutState state = RolloutState::Trial;
    std::string reason;
};

/** A change of a rollout's state at this instance, with the evidence that it rests on. */
struct RolloutChange
{
    RolloutOrder order;
    core::Revision revision = 0;
    RolloutState state = RolloutState::Trial;
    std::string reason;
    /** Time since this instance learned of the order. */
    absl::Duration age;
    /** Answers and failed answers of the new and of the old version that this instance knows of. */
    int targetAnswers = 0;
    int targetFailures = 0;
    int baselineAnswers = 0;
    int baselineFailures = 0;
    /** Instances whose evidence is included. */
    int instances = 0;
};

/**
 * Moves a service to another version of its backend servers, or reverts the move.
 *
 * The new version receives a small share of the requests until shortly before the time limit. Only then does it take over, if
 * its answers at all instances together were good. So a version with a fault that shows late, under load or on one route receives
 * only a limited share of the requests. Every instance may revert a rollout at once. The first stored decision is final.
 */
class RolloutGuard
{
public:
    RolloutGuard(core::InstanceId self, std::uint64_t seed, core::TimerService &timers);

    /** @brief Starts a rollout, unless this order or a newer one of the service is known already. */
    void order(const RolloutOrder &order, core::Revision revision);
    /** @brief Ends the rollout of a service whose order the operator has withdrawn. */
    void withdraw(const core::ServiceId &service);

    /**
     * @brief Sets the live instances.
     *
     * The first one in a rollout's rendezvous order stores its decisions. Only a revert after a regression is stored by every
     * instance that detects it, as its role permits.
     */
    void setInstances(std::vector<core::InstanceId> instances, RolloutRole role = RolloutRole::Equal);

    /** @brief Chooses the versions for one request. */
    VersionChoice choose(const core::ServiceId &service);
    /** @brief Adds the answer of one run to the statistics. */
    void observe(const core::ServiceId &service, const std::string &route, const core::VersionId &version, bool hasFailed, absl::Duration latency);

    /**
     * @brief Adds the time to the first data of one run's answer.
     * @param expected the time that the run was expected to take at a backend server that is as fast as its service, with the load that it has
     */
    void observeFirstData(const core::ServiceId &service, const core::VersionId &version, absl::Duration latency, absl::Duration expected);

    /** @brief Reports on this instance's own requests. */
    std::vector<RolloutReport> reports() const;

    /** @brief Reports with the evidence of this instance and of the peers that the predicate selects. */
    std::vector<RolloutReport> mergedReports(const std::function<bool(const core::InstanceId &)> &includesPeer) const;
    void receive(const core::InstanceId &from, const std::vector<RolloutReport> &reports);

    /** @brief Adopts a decision from the store, whichever instance has made it. */
    void decisionStored(const core::ServiceId &service, core::Revision revision, RolloutState state);

    /** @brief Emitted when this instance has to store a decision. */
    core::Signal<RolloutDecision> &decided();

    /** @brief Emitted when the state of a rollout has changed here. */
    core::Signal<RolloutChange> &changed();

private:
    struct RolloutProgress
    {
        RolloutOrder order;
        core::Revision revision = 0;
        absl::Time startedAt;
        RolloutState state = RolloutState::Trial;
        std::vector<VersionEvidence> ownEvidence;
        std::map<core::InstanceId, std::vector<VersionEvidence>> peerEvidence;
    };

    static VersionEvidence &evidenceFor(std::vector<VersionEvidence> &all, const std::string &route, bool isTarget);
    static std::vector<VersionEvidence> mergedEvidence(const RolloutProgress &progress, const std::function<bool(const core::InstanceId &)> &includesPeer);
    /** Why the new version is worse than the old one; empty if it is not. */
    std::string findRegression(const RolloutProgress &progress) const;
    /**
     * Whether more of the new version's answers were slow than expected of the old one under the same load.
     * @param deviations how many standard deviations more
     */
    static bool isSlow(std::vector<VersionEvidence> evidence, double deviations);
    bool hasEnoughAnswers(const RolloutProgress &progress) const;
    /** Whether this instance stores the rollout's decisions for all instances. */
    bool isReporter(const RolloutProgress &progress) const;
    void changeState(RolloutProgress &progress, RolloutState state, const std::string &reason, bool isReported);
    void evaluateRollouts();
    /** Tells the listeners of changed() a new state and the evidence for it. */
    void emitChange(const RolloutProgress &progress, const std::string &reason) const;

    core::InstanceId m_self;
    core::TimerService &m_timers;
    std::mt19937_64 m_random;
    std::vector<core::InstanceId> m_instances;
    RolloutRole m_role = RolloutRole::Equal;
    absl::flat_hash_map<core::ServiceId, RolloutProgress> m_rollouts;
    core::Signal<RolloutDecision> m_decided;
    core::Signal<RolloutChange> m_changed;
    core::Subscription m_timer;
};

} // namespace snipeferry::gateway
