#include "snipeferry/overload/laterequests.h"

#include <algorithm>

namespace snipeferry::overload {

namespace {

/** Weight of the newest answer in the average time from the first event to the end. */
constexpr double ANSWER_TIME_SMOOTHING = 0.1;

} // namespace

const char *lateDecisionName(LateDecision decision)
{
    switch (decision) {
    case LateDecision::Send:
        return "send";
    case LateDecision::InTime:
        return "in_time";
    case LateDecision::MostUrgent:
        return "most_urgent";
    case LateDecision::ServerFull:
        return "server_full";
    case LateDecision::TimeLimit:
        return "time_limit";
    case LateDecision::CallerPatience:
        return "caller_patience";
    }
    return "";
}

absl::Duration LateRequests::patience(absl::Duration objective, absl::Duration pauseObjective)
{
    return std::max({MIN_PATIENCE, objective * PATIENCE_OBJECTIVES, pauseObjective * PATIENCE_PAUSE_OBJECTIVES});
}

void LateRequests::noteAnswer(const std::string &route, absl::Duration time)
{
    const auto inserted = m_answerTimes.emplace(route, time);
    inserted.first->second += (time - inserted.first->second) * ANSWER_TIME_SMOOTHING;
}

LateDecision LateRequests::decide(const LateCase &lateCase) const
{
    if (lateCase.elapsed + lateCase.estimate <= lateCase.objective) {
        return LateDecision::InTime;
    }
    if (lateCase.routePriority <= lateCase.mostUrgentPriority) {
        return LateDecision::MostUrgent;
    }
    if (lateCase.runs >= MAX_RUNS_PER_SLOT * lateCase.slots) {
        return LateDecision::ServerFull;
    }
    const auto answerTime = m_answerTimes.find(lateCase.route);
    const absl::Duration ownTime = answerTime == m_answerTimes.end() ? absl::ZeroDuration() : answerTime->second;
    if (lateCase.lateEstimate + ownTime > lateCase.timeLeft) {
        return LateDecision::TimeLimit;
    }
    if (lateCase.elapsed + lateCase.lateEstimate > patience(lateCase.objective, lateCase.pauseObjective)) {
        return LateDecision::CallerPatience;
    }
    return LateDecision::Send;
}

} // namespace snipeferry::overload
