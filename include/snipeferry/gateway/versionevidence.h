#pragma once

#include "snipeferry/core/value.h"

#include <absl/time/time.h>

#include <string>
#include <vector>

/** What the answers of a new version say about it, compared with those of the old one. */
namespace snipeferry::gateway {

/**
 * Statistics of one version's answers on one route; or of the answers with about the same expected time, whose failures are then those that took far longer;
 * or of the old version's answers before the rollout.
 */
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

/** Answers of both versions on all routes. */
struct EvidenceTotals
{
    int targetAnswers = 0;
    int targetFailures = 0;
    int baselineAnswers = 0;
    int baselineFailures = 0;

    int answers() const
    {
        return targetAnswers + baselineAnswers;
    }
};

/** Chance with which a version that fails SMALLEST_FAULT more of its requests than the old one may pass for good. */
constexpr double MAX_MISS_CHANCE = 0.02;
/** Chance with which a good version may be taken for one with a given fault, however often it is judged. */
constexpr double MAX_FALSE_ALARM_CHANCE = 1.0 / 2000;
/** Smallest fraction of requests that a version fails, beyond those that the old one fails as well, with which it must not pass for good. */
constexpr double SMALLEST_FAULT = 0.2;

/** @brief The evidence on a route, added if it is missing. */
VersionEvidence &evidenceFor(std::vector<VersionEvidence> &all, const std::string &route, bool isTarget);

/** @brief Adds the statistics of one list to another. */
void addEvidence(std::vector<VersionEvidence> &sum, const std::vector<VersionEvidence> &added);

/** @brief Adds an answer to a list that remembers only the latest answers of each route. */
void rememberAnswer(std::vector<VersionEvidence> &recent, const std::string &route, bool hasFailed);

/** @brief The remembered answers as evidence on the old version from before a rollout. */
std::vector<VersionEvidence> evidenceBefore(const std::vector<VersionEvidence> &recent);

/** @brief Sums over all routes since the order. */
EvidenceTotals totalsOf(const std::vector<VersionEvidence> &all);

/** @brief Route under which answers are counted by their expected time, which makes versions with different loads comparable. */
std::string paceRoute(absl::Duration expected);

/** @brief Whether a time to the first data is far longer than expected. */
bool isSlowAnswer(absl::Duration latency, absl::Duration expected);

/**
 * @brief Why the new version is worse than the old one.
 * @return empty if it is not, as far as can be told
 */
std::string findRegression(const std::vector<VersionEvidence> &all);

/**
 * @brief Why the answers do not show that the new version is as good as the old one.
 *
 * A version that fails SMALLEST_FAULT more passes with a chance of at most MAX_MISS_CHANCE.
 * @return empty if they show it
 */
std::string findDoubt(const std::vector<VersionEvidence> &all);

/**
 * @brief Whether a version that is in use alone fails so many requests that no common trouble explains it.
 * @param before the evidence at the time when it was completed
 */
bool failsBeyondDoubt(const std::vector<VersionEvidence> &all, const EvidenceTotals &before);

/** @brief Number of answers that a trial needs to tell a good version from one with half of SMALLEST_FAULT, twice as many as without any failure. */
int trialAnswers();

} // namespace snipeferry::gateway
