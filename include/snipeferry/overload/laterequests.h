#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <string>

namespace snipeferry::overload {

/** Rank of late requests for backend servers, behind all urgency levels. */
constexpr int LATE_RANK = 9;

/** A request that would be refused for its wait, and the backend server that could answer it late. Times are from now on, except the first. */
struct LateCase
{
    std::string route;
    /** Time since the request arrived. */
    absl::Duration elapsed;
    /** Until the caller's time limit. */
    absl::Duration timeLeft;
    absl::Duration objective;
    /** Zero for a route without one. */
    absl::Duration pauseObjective;
    /** Expected time to the first event or to the whole answer, at the urgency level of the request. */
    absl::Duration estimate;
    /** The same behind all other requests. */
    absl::Duration lateEstimate;
    int routePriority = 0;
    /** The most urgent priority of the routes that lead to the service; smaller is more urgent. */
    int mostUrgentPriority = 0;
    /** Runs of all instances at the backend server. */
    int runs = 0;
    int slots = 0;
};

/** Whether a request is sent late, or why not. */
enum class LateDecision {
    Send,
    /** The request can still be answered within its objective. */
    InTime,
    /** Requests of the most urgent routes are worth nothing if they are late. */
    MostUrgent,
    /** The backend server has enough late requests. */
    ServerFull,
    /** The answer would not be complete within the time limit. */
    TimeLimit,
    /** The caller would give up before the first event. */
    CallerPatience,
};

/** @brief Stable name for the log. */
const char *lateDecisionName(LateDecision decision);

/** Decides which requests are answered late instead of being refused. */
class LateRequests
{
public:
    /** Callers wait for a first event at least this long. */
    static constexpr absl::Duration MIN_PATIENCE = absl::Seconds(2);
    /** They wait this many objectives, or this many pause objectives, if that is longer. */
    static constexpr double PATIENCE_OBJECTIVES = 4.0;
    static constexpr double PATIENCE_PAUSE_OBJECTIVES = 8.0;
    /** Runs at a backend server, as a multiple of its slots, from which it gets no late requests: others would find its queue full. */
    static constexpr int MAX_RUNS_PER_SLOT = 2;

    /** @brief How long a caller waits for a first event before it gives up. */
    static absl::Duration patience(absl::Duration objective, absl::Duration pauseObjective);

    /** @brief Records the time from the first event of an answer to its end. */
    void noteAnswer(const std::string &route, absl::Duration time);

    LateDecision decide(const LateCase &lateCase) const;

private:
    /** Time from the first event to the end of an answer, as a moving average, by route. */
    absl::flat_hash_map<std::string, absl::Duration> m_answerTimes;
};

} // namespace snipeferry::overload
