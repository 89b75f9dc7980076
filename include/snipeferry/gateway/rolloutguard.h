#pragma once

#include "snipeferry/core/signal.h"
#include "snipeferry/core/timerservice.h"
#include "snipeferry/gateway/model.h"

#include <absl/container/flat_hash_map.h>

#include <map>
#include <random>
#include <string>
#include <vector>

namespace snipeferry::gateway {

/** How a rollout stands. A decision is never taken back. */
enum class RolloutState {
    /** The new version gets a small share. */
    Trial,
    /** Close to the time limit and found good: the new version gets everything. */
    Takeover,
    Completed,
    Reverted,
};

NLOHMANN_JSON_SERIALIZE_ENUM(RolloutState,
    {{RolloutState::Trial, "trial"}, {RolloutState::Takeover, "takeover"}, {RolloutState::Completed, "completed"}, {RolloutState::Reverted, "reverted"}})

/** Answers of one version on one route. */
struct VersionEvidence
{
    std::string route;
    bool isTarget = false;
    int answers = 0;
    int failures = 0;
    /** Sum over all answers. */
    double latencyMs = 0;

    SNIPEFERRY_VALUE(VersionEvidence, route, isTarget, answers, failures, latencyMs)
};

/** What an instance tells the others of one rollout. */
struct RolloutReport
{
    core::ServiceId service;
    /** Revision of the operator's order. */
    core::Revision order = 0;
    RolloutState state = RolloutState::Trial;
    /** Time since the sender first knew of the order. */
    absl::Duration age;
    /** Seen by the sender itself. */
    std::vector<VersionEvidence> evidence;

    SNIPEFERRY_VALUE(RolloutReport, service, order, state, age, evidence)
};

/** Which versions of a service a request may go to; both empty for any. */
struct VersionChoice
{
    core::VersionId only;
    core::VersionId never;
};

/** A state that the operator has to be told of. */
struct RolloutDecision
{
    RolloutOrder order;
    core::Revision revision = 0;
    RolloutState state = RolloutState::Trial;
    std::string reason;
};

/**
 * Moves a service to another version of its backend servers, or takes the move back.
 *
 * The new version gets a small share until shortly before the time limit; only then, if its answers were good at all
 * instances together, it takes over. So a version whose fault shows late, under load or on one route gets no more than its
 * share of the requests. Every instance may take a rollout back at once; the first decision that is stored stands.
 */
class RolloutGuard
{
public:
    RolloutGuard(core::InstanceId self, std::uint64_t seed, core::TimerService &timers);

    void order(const RolloutOrder &order, core::Revision revision);
    void withdraw(const core::ServiceId &service);

    /** @brief Names the live instances; the first in the rollout's rendezvous order tells the operator. */
    void setInstances(std::vector<core::InstanceId> instances);

    VersionChoice choose(const core::ServiceId &service);
    void observe(const core::ServiceId &service, const std::string &route, const core::VersionId &version, bool hasFailed, absl::Duration latency);

    std::vector<RolloutReport> reports() const;
    void receive(const core::InstanceId &from, const std::vector<RolloutReport> &reports);

    /** @brief The store holds this decision of an order, whoever made it. */
    void stored(const core::ServiceId &service, core::Revision revision, RolloutState state);

    /** @brief Emitted for what this instance has to store. */
    core::Signal<RolloutDecision> &decided();

private:
    struct Track
    {
        RolloutOrder order;
        core::Revision revision = 0;
        absl::Time startedAt;
        RolloutState state = RolloutState::Trial;
        std::vector<VersionEvidence> own;
        std::map<core::InstanceId, std::vector<VersionEvidence>> others;
    };

    static VersionEvidence &entry(std::vector<VersionEvidence> &all, const std::string &route, bool isTarget);
    std::vector<VersionEvidence> merged(const Track &track) const;
    /** Why the target is bad, or empty. */
    std::string fault(const Track &track) const;
    bool hasEvidence(const Track &track) const;
    bool isTeller(const Track &track) const;
    void move(Track &track, RolloutState state, const std::string &reason, bool isTold);
    void check();

    core::InstanceId m_self;
    core::TimerService &m_timers;
    std::mt19937_64 m_random;
    std::vector<core::InstanceId> m_instances;
    absl::flat_hash_map<core::ServiceId, Track> m_tracks;
    core::Signal<RolloutDecision> m_decided;
    core::Subscription m_timer;
};

} // namespace snipeferry::gateway
