#include "rollouttrack.h"

#include "snipeferry/platform/keys.h"
#include "stagemerge.h"

#include <absl/strings/str_cat.h>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <utility>

namespace snipeferry::rollout {

namespace {

constexpr int FULL_SHARE_PERMILLE = 1000;
/** Shares of the new version after the trial. The old version keeps a share until Done, so that both can be compared. */
constexpr std::array<int, 4> STEPS_PERMILLE{100, 250, 500, 900};
/** Fraction of the time left that is scheduled for all remaining steps together. */
constexpr double SCHEDULED_FRACTION = 0.6;
constexpr absl::Duration MIN_STEP_DURATION = absl::Seconds(6);
constexpr absl::Duration MAX_STEP_DURATION = absl::Minutes(5);
/** Number of requests that the new version must have served in a step before the share is raised. */
constexpr double MIN_STEP_REQUESTS = 30;
/** The share is not raised while the score is above this fraction of the alarm threshold. */
constexpr double MAX_RAISE_SCORE_FRACTION = 0.34;
/** Done is recorded only if at least this much time remains before the deadline, so that all instances are informed in time. */
constexpr absl::Duration DONE_MARGIN = absl::Seconds(5);
constexpr absl::Duration EVIDENCE_INTERVAL = absl::Seconds(2);
/** Maximum number of instances to which this instance sends its statistics of an interval. */
constexpr std::size_t MAX_EVIDENCE_RECEIVERS = 16;
constexpr absl::Duration READ_INTERVAL = absl::Seconds(2);
constexpr absl::Duration STATE_SEND_INTERVAL = absl::Seconds(2);
/** Instances write the record one after the other; this is the time between the turns of two instances. */
constexpr absl::Duration TURN_INTERVAL = absl::Seconds(1);
constexpr int MAX_TURNS = 30;

std::uint64_t hash(const std::string &text, std::uint64_t seed)
{
    return XXH64(text.data(), text.size(), seed);
}

} // namespace

RolloutTrack::RolloutTrack(configuration::Rollout rollout, TrackContext &context)
    : m_rollout(std::move(rollout)),
      m_context(context),
      m_evidence(m_rollout)
{
    m_state.rollout = m_rollout.id;
    m_state.sharePermille = m_rollout.trialSharePermille;
    startStep();
    readRecord();
}

const configuration::Rollout &RolloutTrack::rollout() const
{
    return m_rollout;
}

void RolloutTrack::replaceRollout(const configuration::Rollout &rollout)
{
    m_rollout = rollout;
}

const StageNotice &RolloutTrack::state() const
{
    return m_state;
}

bool RolloutTrack::isRunning() const
{
    return m_isStateKnown && !isEnded(m_state) && timeLeft() > absl::ZeroDuration();
}

bool RolloutTrack::isNewVersionAllowed() const
{
    return isRunning() || m_state.stage == Stage::Done;
}

bool RolloutTrack::chooseNewVersion(const std::string &route)
{
    if (!isRunning()) {
        return m_state.stage == Stage::Done;
    }
    // Start with a credit that differs by instance and route, so that few requests on many instances add up to the share.
    const auto [it, isNew] = m_credits.try_emplace(route, 0);
    int &credit = it->second;
    if (isNew) {
        credit = static_cast<int>(hash(absl::StrCat(m_rollout.id.value(), "/", route), m_context.seed) % FULL_SHARE_PERMILLE);
    }
    credit += m_state.sharePermille;
    if (credit < FULL_SHARE_PERMILLE) {
        return false;
    }
    credit -= FULL_SHARE_PERMILLE;
    return true;
}

void RolloutTrack::observe(const Observation &observation)
{
    if (!isEnded(m_state)) {
        m_evidence.observe(observation);
        checkEvidence();
    }
}

void RolloutTrack::tick()
{
    const std::int64_t interval = absl::ToUnixMillis(m_context.timers.wallNow()) / absl::ToInt64Milliseconds(EVIDENCE_INTERVAL);
    const std::optional<EvidenceReport> report = m_evidence.advance(static_cast<std::uint64_t>(interval));
    if (report.has_value() && !isEnded(m_state)) {
        sendEvidence(*report);
    }
    checkEvidence();
    checkDeadline();
    // Read the record until the platform has answered once.
    if (!m_recordRevision.has_value() && m_context.timers.now() >= m_nextRead) {
        readRecord();
    }
    raiseIfDue();
    recordEndIfDue();
    // Send the state again to one member after the other, in case a message was lost.
    if (m_context.timers.now() >= m_nextStateSend && !m_context.members.empty()) {
        m_nextStateSend = m_context.timers.now() + STATE_SEND_INTERVAL;
        sendState(m_context.members[++m_memberIndex % m_context.members.size()]);
    }
}

void RolloutTrack::checkEvidence()
{
    if (isEnded(m_state)) {
        return;
    }
    const std::optional<Alarm> alarm = m_evidence.alarm();
    if (alarm.has_value()) {
        endRollout(Stage::TakenBack, alarm->cause + " on route " + alarm->route, false);
    }
}

void RolloutTrack::checkDeadline()
{
    if (!isEnded(m_state) && timeLeft() <= absl::ZeroDuration()) {
        endRollout(Stage::TakenBack, "not done by the deadline", true);
    }
}

absl::Duration RolloutTrack::timeLeft() const
{
    return m_rollout.deadline - m_context.timers.wallNow();
}

/** Delay until this instance's turn to write the record. The order of the instances is different for each rollout. */
absl::Duration RolloutTrack::turnDelay() const
{
    const std::uint64_t own = hash(m_rollout.id.value(), hash(m_context.self.id.value(), 0));
    int precedingMembers = 0;
    for (const core::InstanceId &member : m_context.members) {
        precedingMembers += hash(m_rollout.id.value(), hash(member.value(), 0)) < own ? 1 : 0;
    }
    return std::min(precedingMembers, MAX_TURNS) * TURN_INTERVAL;
}

void RolloutTrack::endRollout(Stage stage, const std::string &reason, bool isOverdue)
{
    StageNotice end = m_state;
    end.stage = stage;
    end.sharePermille = 0;
    end.reason = reason;
    end.isOverdue = isOverdue;
    setState(end);
}

void RolloutTrack::setState(const StageNotice &state)
{
    const bool hasEnded = isEnded(state) && (state.stage != m_state.stage);
    m_state = state;
    m_state.rollout = m_rollout.id;
    m_isStateKnown = true;
    m_dueSince.reset();
    startStep();
    logEvent(hasEnded ? "rollout_ended" : "rollout_share");
    if (hasEnded) {
        m_context.outbox.push(messages::Count{"rollouts_ended", state.stage == Stage::Done ? "done" : "taken_back", 1});
    }
    sendStateToAll();
    m_context.onChange({m_rollout.id, m_state.stage, m_state.sharePermille, m_state.reason});
}

void RolloutTrack::startStep()
{
    const auto next = std::upper_bound(STEPS_PERMILLE.begin(), STEPS_PERMILLE.end(), m_state.sharePermille);
    const std::int64_t remaining = std::distance(next, STEPS_PERMILLE.end()) + 1;
    const absl::Duration length = std::clamp(timeLeft() * SCHEDULED_FRACTION / remaining, MIN_STEP_DURATION, MAX_STEP_DURATION);
    m_stepEnd = m_context.timers.now() + length;
    m_evidence.resetNewRequests();
}

std::optional<StageNotice> RolloutTrack::nextStep() const
{
    if (!isRunning() || timeLeft() <= DONE_MARGIN || m_context.timers.now() < m_stepEnd) {
        return std::nullopt;
    }
    if (m_evidence.newRequests() < MIN_STEP_REQUESTS || m_evidence.score() > RouteTest::ALARM_THRESHOLD * MAX_RAISE_SCORE_FRACTION) {
        return std::nullopt;
    }
    StageNotice step = m_state;
    step.epoch += 1;
    const auto next = std::upper_bound(STEPS_PERMILLE.begin(), STEPS_PERMILLE.end(), m_state.sharePermille);
    if (next == STEPS_PERMILLE.end()) {
        step.stage = Stage::Done;
        step.sharePermille = FULL_SHARE_PERMILLE;
        step.reason = "good at every share";
    } else {
        step.stage = Stage::Raising;
        step.sharePermille = *next;
    }
    return step;
}

void RolloutTrack::raiseIfDue()
{
    if (isEnded(m_state)) {
        return;
    }
    const std::optional<StageNotice> step = nextStep();
    if (!step.has_value()) {
        m_dueSince.reset();
        return;
    }
    if (!m_dueSince.has_value()) {
        m_dueSince = m_context.timers.now();
    }
    const bool isOwnTurn = m_context.timers.now() - *m_dueSince >= turnDelay();
    if (isOwnTurn && m_recordRevision.has_value() && !m_pendingCall.has_value()) {
        writeRecord(*step);
    }
}

/** Writes the end of the rollout to the platform's record if the end is not recorded there yet. */
void RolloutTrack::recordEndIfDue()
{
    if (!isEnded(m_state) || m_pendingCall.has_value() || (m_record.has_value() && !supersedes(m_state, *m_record))) {
        return;
    }
    if (!m_dueSince.has_value()) {
        m_dueSince = m_context.timers.now();
    }
    const absl::Duration delay = m_state.isOverdue ? turnDelay() : absl::ZeroDuration();
    if (m_recordRevision.has_value() && m_context.timers.now() - *m_dueSince >= delay) {
        writeRecord(m_state);
    }
}

void RolloutTrack::sendEvidence(const EvidenceReport &report)
{
    const std::size_t size = m_context.members.size();
    for (std::size_t i = 0; i < std::min(size, MAX_EVIDENCE_RECEIVERS); ++i) {
        m_context.outbox.push(messages::SendToPeer{m_context.members[(m_memberIndex + i) % size], report});
    }
}

void RolloutTrack::sendStateToAll()
{
    for (const core::InstanceId &member : m_context.members) {
        sendState(member);
    }
}

void RolloutTrack::sendState(const core::InstanceId &to)
{
    if (m_isStateKnown) {
        m_context.outbox.push(messages::SendToPeer{to, m_state});
    }
}

void RolloutTrack::sendStateTo(const std::vector<core::InstanceId> &newMembers)
{
    for (const core::InstanceId &member : newMembers) {
        sendState(member);
    }
}

void RolloutTrack::handleNotice(const core::InstanceId &from, const StageNotice &notice)
{
    if (supersedes(notice, m_state)) {
        setState(notice);
        return;
    }
    m_isStateKnown = true;
    if (supersedes(m_state, notice)) {
        sendState(from);
    }
}

void RolloutTrack::handleEvidence(const core::InstanceId &from, const EvidenceReport &report)
{
    if (!isEnded(m_state)) {
        m_evidence.merge(from, report);
    }
}

bool RolloutTrack::handleReply(const platform::Reply &reply)
{
    if (m_pendingCall != reply.id) {
        return false;
    }
    m_pendingCall.reset();
    m_nextRead = m_context.timers.now() + READ_INTERVAL;
    if (reply.outcome != platform::Outcome::Answered) {
        // The outcome is unknown and the record may have changed: read it again before the next write.
        m_recordRevision.reset();
        return true;
    }
    // After a successful write, read the record to learn its new revision.
    if (m_isPendingWrite && reply.succeeded) {
        readRecord();
        return true;
    }
    for (const platform::KeyValue &value : reply.values) {
        if (value.key == key()) {
            updateRecord(value.value, value.modRevision);
            return true;
        }
    }
    updateRecord(std::nullopt, 0);
    return true;
}

void RolloutTrack::updateRecord(const std::optional<std::string> &value, std::int64_t modRevision)
{
    if (m_recordRevision.has_value() && modRevision < *m_recordRevision) {
        return;
    }
    m_recordRevision = modRevision;
    m_record.reset();
    m_isStateKnown = true;
    if (!value.has_value()) {
        return;
    }
    const nlohmann::json json = nlohmann::json::parse(*value, nullptr, false);
    try {
        m_record = json.get<StageNotice>();
    } catch (const nlohmann::json::exception &) {
        logEvent("rollout_record_malformed");
        return;
    }
    if (supersedes(*m_record, m_state)) {
        setState(*m_record);
    }
}

std::string RolloutTrack::key() const
{
    return absl::StrCat(platform::ROLLOUT_PREFIX, m_rollout.id.value());
}

void RolloutTrack::readRecord()
{
    if (m_pendingCall.has_value()) {
        return;
    }
    m_pendingCall = m_context.outbox.nextCallId();
    m_isPendingWrite = false;
    m_nextRead = m_context.timers.now() + READ_INTERVAL;
    m_context.outbox.push(platform::Call{*m_pendingCall, platform::Read{key(), false}});
}

void RolloutTrack::writeRecord(const StageNotice &state)
{
    m_pendingCall = m_context.outbox.nextCallId();
    m_isPendingWrite = true;
    const platform::Transaction transaction{{{key(), *m_recordRevision}}, {{key(), nlohmann::json(state).dump(), 0}}};
    m_context.outbox.push(platform::Call{*m_pendingCall, transaction});
}

void RolloutTrack::logEvent(const char *name) const
{
    core::LogEvent event{name, {}};
    event.with("rollout", m_rollout.id.value()).with("stage", nlohmann::json(m_state.stage).get<std::string>());
    event.with("share_permille", std::to_string(m_state.sharePermille)).with("epoch", std::to_string(m_state.epoch)).with("reason", m_state.reason);
    m_context.outbox.push(messages::Log{std::move(event)});
}

} // namespace snipeferry::rollout
