#pragma once

#include "evidencebook.h"
#include "snipeferry/core/timerservice.h"
#include "snipeferry/messages/action.h"
#include "snipeferry/messages/event.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

/**
 * State machine of one rollout on one instance.
 */
namespace snipeferry::rollout {

/** Data shared by all rollouts of an instance. */
struct TrackContext
{
    membership::InstanceDescription self;
    std::uint64_t seed = 0;
    core::TimerService &timers;
    messages::Outbox &outbox;
    /** The other usable instances. */
    std::vector<core::InstanceId> members;
    /** Called when the state of a rollout changes. */
    std::function<void(const RolloutStatus &)> onChange;
};

/**
 * Runs one rollout until it is done or rolled back.
 *
 * Every instance can roll back on its own. The share is raised, and the rollout is done, only after a successful
 * compare-and-swap on the rollout's record on the platform, so that a raise by an instance with outdated state fails.
 */
class RolloutTrack
{
public:
    RolloutTrack(configuration::Rollout rollout, TrackContext &context);

    const configuration::Rollout &rollout() const;
    /** @brief Replaces the configuration of the rollout; its state is kept. */
    void replaceRollout(const configuration::Rollout &rollout);
    const StageNotice &state() const;

    /** @brief Whether the new version serves the next request of a route; counts the request towards the share. */
    bool chooseNewVersion(const std::string &route);

    /** @brief Whether the new version may serve requests now. */
    bool isNewVersionAllowed() const;

    void observe(const Observation &observation);
    /** @brief Performs all work that depends on time; called periodically. */
    void tick();

    /** @brief Sends the state to members that have just joined. */
    void sendStateTo(const std::vector<core::InstanceId> &newMembers);

    void handleNotice(const core::InstanceId &from, const StageNotice &notice);
    void handleEvidence(const core::InstanceId &from, const EvidenceReport &report);

    /** @brief Processes a reply of the platform if the reply belongs to this rollout; otherwise returns false. */
    bool handleReply(const platform::Reply &reply);

    /** @brief Processes the platform's current record; no value means that there is no record. */
    void updateRecord(const std::optional<std::string> &value, std::int64_t modRevision);

private:
    bool isRunning() const;
    /** Key of the rollout's record in the platform's store. */
    std::string key() const;
    absl::Duration timeLeft() const;
    absl::Duration turnDelay() const;
    void setState(const StageNotice &state);
    void endRollout(Stage stage, const std::string &reason, bool isOverdue);
    void sendStateToAll();
    void sendState(const core::InstanceId &to);
    void checkEvidence();
    void sendEvidence(const EvidenceReport &report);
    void checkDeadline();
    void raiseIfDue();
    void recordEndIfDue();
    /** The next state to write if the current step is complete: a higher share, or Done. */
    std::optional<StageNotice> nextStep() const;
    void startStep();
    void readRecord();
    void writeRecord(const StageNotice &state);
    void logEvent(const char *name) const;

    configuration::Rollout m_rollout;
    TrackContext &m_context;
    StageNotice m_state;
    /** State and revision of the platform's record, as last read; the revision is empty if the record must be read again. */
    std::optional<StageNotice> m_record;
    std::optional<std::int64_t> m_recordRevision;
    /** Whether the state was received from the platform or from a member that knows the state; until then the new version is not used. */
    bool m_isStateKnown = false;
    EvidenceBook m_evidence;
    /** For each route, the accumulated share in thousandths; the new version serves a request each time the sum reaches 1000. */
    std::map<std::string, int> m_credits;
    std::optional<platform::CallId> m_pendingCall;
    bool m_isPendingWrite = false;
    absl::Time m_nextRead = absl::InfinitePast();
    absl::Time m_stepEnd;
    /** When raising the share, or recording the end, became due on this instance. */
    std::optional<absl::Time> m_dueSince;
    absl::Time m_nextStateSend = absl::InfinitePast();
    /** Index of the member that the state was last sent to. */
    std::size_t m_memberIndex = 0;
};

} // namespace snipeferry::rollout
