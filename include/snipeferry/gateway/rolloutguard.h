#pragma once

#include "snipeferry/core/signal.h"
#include "snipeferry/core/timerservice.h"
#include "snipeferry/gateway/model.h"
#include "snipeferry/gateway/versionevidence.h"

#include <absl/container/flat_hash_map.h>

#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace snipeferry::gateway {

/** State of a rollout. */
enum class RolloutState {
    /** The new version receives a small share of the requests. */
    Trial,
    /** The time limit is close and the trial was good: the new version receives all requests. */
    Takeover,
    Completed,
    Reverted,
    /** Failed beyond doubt after it was completed: the version receives no more requests, although there may be no other. */
    Abandoned,
};

NLOHMANN_JSON_SERIALIZE_ENUM(RolloutState,
    {{RolloutState::Trial, "trial"}, {RolloutState::Takeover, "takeover"}, {RolloutState::Completed, "completed"}, {RolloutState::Reverted, "reverted"},
        {RolloutState::Abandoned, "abandoned"}})

/** What an instance reports to the others about one rollout. */
struct RolloutReport
{
    core::ServiceId service;
    /** Revision of the operator's order. */
    core::Revision order = 0;
    RolloutState state = RolloutState::Trial;
    /** Time since the sender learned of the order. */
    absl::Duration age;
    /** Statistics of the requests that the sender, or its region, has sent to backend servers. */
    std::vector<VersionEvidence> evidence;
    /** The same of processes that have ended, as far as the sender remembers them. */
    std::vector<VersionEvidence> former;

    SNIPEFERRY_EXTENDED_VALUE(RolloutReport, former, service, order, state, age, evidence)
};

/** Bounds on what a bad version may receive. */
struct RolloutSettings
{
    /** Fraction of the service's requests between the order and its time limit, and the number of requests beyond it. */
    double exposureShare = 0.1;
    double exposureSlack = 50;
    /** How long a version is judged after its time limit. */
    absl::Duration judgingTime = absl::Seconds(5);
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
    /** Versions that are excluded. */
    std::vector<core::VersionId> never;

    bool permits(const core::VersionId &version) const;
};

/** A new state of a rollout that has to be stored for the operator. */
struct RolloutDecision
{
    RolloutOrder order;
    core::Revision revision = 0;
    RolloutState state = RolloutState::Trial;
    std::string reason;
};

/** @brief Whether nothing has been decided yet. */
inline bool isOpen(RolloutState state)
{
    return state == RolloutState::Trial || state == RolloutState::Takeover;
}

/** @brief Whether the version must not receive requests. */
inline bool isRejected(RolloutState state)
{
    return state == RolloutState::Reverted || state == RolloutState::Abandoned;
}

/** The latest decision on a service's rollouts, as instances keep it in the store for those that start later. */
struct RolloutNotice
{
    core::ServiceId service;
    /** Position of the operator's order when the notice was written. A store that comes back from a copy gives the order another one. */
    core::Revision order = 0;
    RolloutState state = RolloutState::Trial;
    /** Version that was ordered; empty in notices of earlier builds. */
    core::VersionId target = {};

    SNIPEFERRY_COMPARED_BY(RolloutNotice, service, order, state, target)

    template<typename BasicJson>
    friend void to_json(BasicJson &json, const RolloutNotice &notice)
    {
        json = BasicJson{{"service", notice.service}, {"order", notice.order}, {"state", notice.state}};
        if (!notice.target.isEmpty()) {
            json["target"] = notice.target;
        }
    }

    template<typename BasicJson>
    friend void from_json(const BasicJson &json, RolloutNotice &notice)
    {
        json.at("service").get_to(notice.service);
        json.at("order").get_to(notice.order);
        json.at("state").get_to(notice.state);
        notice.target = json.value("target", core::VersionId());
    }
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
    /** Instances of this region whose evidence is included. */
    int instances = 0;
    /** Whether this instance has decided it, and not heard of it. */
    bool isOwnDecision = false;
};

/**
 * Moves a service to another version of its backend servers, or reverts the move.
 *
 * Until shortly before the time limit the new version receives as many requests as are needed to judge it, within the bounds of RolloutSettings. It takes
 * over only if the answers at all instances together show that it is good. Every instance may revert a rollout at once. The first stored decision is final;
 * but a version that then fails beyond doubt is abandoned. Versions of earlier orders that were not completed stay excluded.
 */
class RolloutGuard
{
public:
    RolloutGuard(core::InstanceId self, std::uint64_t seed, RolloutSettings settings, core::TimerService &timers);

    /** @brief Starts a rollout, unless this order or a newer one of the service is known already. */
    void order(const RolloutOrder &order, core::Revision revision);
    /** @brief Ends the rollout of a service whose order the operator has withdrawn. A version that was not completed receives no requests. */
    void withdraw(const core::ServiceId &service);

    /**
     * @brief Sets the live instances.
     *
     * The first one in a rollout's rendezvous order decides whether the new version takes over, and stores the decisions. A revert after a regression is
     * decided and stored by every instance that detects it, as its role permits.
     */
    void setInstances(std::vector<core::InstanceId> instances, RolloutRole role = RolloutRole::Equal);

    /**
     * @brief Chooses the versions for one request.
     * @param isHere whether a backend server of a version accepts requests in this region
     */
    VersionChoice choose(const core::ServiceId &service, const std::function<bool(const core::VersionId &)> &isHere);

    /**
     * @brief The versions that a request may go to for which another instance has chosen.
     * @param chosen the version that the other instance has chosen; empty if it has chosen none
     */
    VersionChoice permitted(const core::ServiceId &service, const core::VersionId &chosen) const;

    /** @brief Adds the answer of one run to the statistics. */
    void observe(const core::ServiceId &service, const std::string &route, const core::VersionId &version, bool hasFailed, absl::Duration latency);

    /**
     * @brief Adds the time to the first data of one run's answer.
     * @param expected the time that the run was expected to take at a backend server that is as fast as its service, with the load that it has
     */
    void observeFirstData(const core::ServiceId &service, const core::VersionId &version, absl::Duration latency, absl::Duration expected);

    /** @brief Reports on this instance's own requests. */
    std::vector<RolloutReport> reports() const;

    /** @brief Reports with the evidence of all instances of this region. */
    std::vector<RolloutReport> regionReports() const;
    /** @brief Reports with all evidence that is known here. */
    std::vector<RolloutReport> fleetReports() const;

    /** @brief Takes an instance's reports on its own requests. */
    void receive(const core::InstanceId &from, const std::vector<RolloutReport> &reports);
    /** @brief Takes reports that hold the sums of a whole region. */
    void receiveRegion(const core::RegionId &region, const std::vector<RolloutReport> &reports);
    /** @brief Takes reports that hold the sums of the whole fleet, this instance's own included. */
    void receiveFleet(const std::vector<RolloutReport> &reports);

    /** @brief Adopts a decision from the store, whichever instance has made it. It may come before the order. */
    void decisionStored(const RolloutNotice &notice);
    /** @brief The stored decisions have been read once. Before that, an order that seems to be new may be decided already, so nothing is told of it. */
    void decisionsRead();

    /** @brief The store has come back from a copy: an order that is read again from now on is the same, and an earlier one is no new one. */
    void storeReturned();
    /** @brief Stores again what this instance is to store of all rollouts, since the store may have lost it. */
    void tellAgain();

    /** @brief Emitted when this instance has to store a decision. */
    core::Signal<RolloutDecision> &decided();

    /** @brief Emitted when the state of a rollout has changed here. */
    core::Signal<RolloutChange> &changed();

private:
    using Evidence = std::vector<VersionEvidence>;

    struct RolloutProgress
    {
        RolloutOrder order;
        core::Revision revision = 0;
        absl::Time startedAt;
        RolloutState state = RolloutState::Trial;
        /** Whether the state is the stored decision. */
        bool isStored = false;
        Evidence own;
        std::map<core::InstanceId, Evidence> peers;
        std::map<core::RegionId, Evidence> regions;
        /** Sums of the whole fleet, from a relay; in place of all others. */
        Evidence fleet;
        /** Evidence of processes of this region that have ended. */
        Evidence former;
        /** Sums of all evidence at the last evaluation. */
        EvidenceTotals totals;
        /** Sums when the version was completed. */
        EvidenceTotals totalsAtCompletion;
        /** Requests that this instance has sent to the new version on trial. */
        int ownSends = 0;
    };

    /** The latest order of a service, and the versions of earlier ones that must not receive requests. */
    struct ServiceRollouts
    {
        RolloutProgress current;
        std::vector<core::VersionId> rejected;
        std::vector<RolloutOrder> earlierOrders;
    };

    /** What the trial of a rollout may and should send, and when it ends. */
    struct TrialPlan
    {
        /** Requests per second of all instances together. */
        double rate = 0;
        /** Requests that a bad version may have got by now, and by the time limit. */
        double allowedNow = 0;
        double allowedInAll = 0;
        /** Requests to send to the new version on trial. */
        double wanted = 0;
        absl::Duration takeoverAt;
        absl::Duration completionAt;
    };

    /** Whether an order is one that is known already, read from a store that has come back from a copy. */
    bool isReadAgain(ServiceRollouts &rollouts, const RolloutOrder &order, core::Revision revision);
    /** Whether a stored decision is on this order, although the store may have come back from a copy since it was written. */
    static bool isDecisionOn(const RolloutProgress &progress, const RolloutNotice &notice);
    /** Adopts the stored decision that is on this order, if there is one. */
    void adoptStoredDecision(RolloutProgress &progress);
    /** Stores the rollout's state again if this instance is to store it. */
    void tellState(const RolloutProgress &progress);
    /** Tells the operator that the order is being carried out, if this instance is to tell it. */
    void tellOrdered(const RolloutProgress &progress);
    static Evidence regionEvidence(const RolloutProgress &progress);
    static Evidence allEvidence(const RolloutProgress &progress);
    /** Reports with the evidence that a function selects. */
    std::vector<RolloutReport> reportsWith(Evidence (*evidenceOf)(const RolloutProgress &)) const;
    TrialPlan planOf(const RolloutProgress &progress) const;
    /** Fraction of this instance's requests that the new version receives on trial now. */
    double trialShare(const RolloutProgress &progress) const;
    /** Whether this instance stores the rollout's decisions for all instances. */
    bool isReporter(const RolloutProgress &progress) const;
    static void setState(RolloutProgress &progress, RolloutState state);
    /** Changes the state to one that another instance or the store has told. */
    void changeState(RolloutProgress &progress, RolloutState state, const std::string &reason);
    /** Changes the state by this instance's own decision. */
    void decide(RolloutProgress &progress, RolloutState state, const std::string &reason, bool isReported);
    void evaluateRollouts();
    void evaluate(RolloutProgress &progress);
    /** Ends the trial of a rollout for all instances. */
    void endTrial(RolloutProgress &progress, const Evidence &evidence);
    /** Follows the state that another instance reports. */
    void follow(RolloutProgress &progress, const core::InstanceId &from, const RolloutReport &report);
    /** The rollout that a report is about; none if this instance does not know its order. */
    RolloutProgress *findProgress(const RolloutReport &report);
    /** Tells the listeners of changed() a new state and the evidence for it. */
    void emitChange(const RolloutProgress &progress, const std::string &reason, bool isOwnDecision) const;

    core::InstanceId m_self;
    RolloutSettings m_settings;
    core::TimerService &m_timers;
    std::mt19937_64 m_random;
    std::vector<core::InstanceId> m_instances;
    RolloutRole m_role = RolloutRole::Equal;
    absl::flat_hash_map<core::ServiceId, ServiceRollouts> m_rollouts;
    /** This instance's latest answers of services without an open rollout. */
    absl::flat_hash_map<core::ServiceId, Evidence> m_recentAnswers;
    /** The latest stored decision of each service. */
    std::map<core::ServiceId, RolloutNotice> m_storedDecisions;
    bool m_areDecisionsRead = false;
    absl::Time m_storeReturnedAt = absl::InfinitePast();
    core::Signal<RolloutDecision> m_decided;
    core::Signal<RolloutChange> m_changed;
    core::Subscription m_timer;
};

} // namespace snipeferry::gateway
