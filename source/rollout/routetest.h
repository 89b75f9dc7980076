#pragma once

#include <cstdint>

/**
 * Sequential statistical test that compares the new version with the old one on one route.
 */
namespace snipeferry::rollout {

/** Number of requests and failures of one version, and the sums of the log-latencies and of their squares. */
struct VersionSums
{
    double requests = 0;
    double failures = 0;
    double latencySum = 0;
    double latencySquareSum = 0;

    void add(const VersionSums &other);
    void scale(double factor);
};

/**
 * CUSUM test: cumulative sums of log-likelihood ratios, three for the failure rate and one for the latency.
 *
 * A sum never falls below zero, so that a version that becomes worse late is detected as fast as one that is bad from the
 * start. For a good version the probability that a sum that starts at zero reaches ALARM_THRESHOLD is at most
 * exp(-ALARM_THRESHOLD).
 */
class RouteTest
{
public:
    static constexpr double ALARM_THRESHOLD = 14;

    /** @brief Adds the sums of all instances for one interval. */
    void addInterval(const VersionSums &oldVersion, const VersionSums &newVersion);

    /** @brief Adds the outcome of one request of this instance immediately, without waiting for the end of the interval. */
    void addAnswer(bool isNewVersion, bool hasFailed);

    /** @brief The highest of the cumulative sums. */
    double score() const;

    /** @brief Which sum is the highest: "failures" or "slower". */
    const char *cause() const;

private:
    /** Failure rate of the old version: the weighted mean of the interval's rate and the recent rate. */
    double failureRate(const VersionSums &interval) const;
    void addLatency(const VersionSums &oldVersion, const VersionSums &newVersion);

    /** Sums of the old version's requests on all instances, in which older intervals count less. */
    VersionSums m_recentOldVersion;
    /** Requests of this instance to the old version since the last interval was added. */
    VersionSums m_currentOldVersion;
    /** Cumulative log-likelihood ratio that detects a moderately higher failure rate. */
    double m_mildFailures = 0;
    /** Cumulative log-likelihood ratio that detects a very high failure rate. */
    double m_severeFailures = 0;
    /** Cumulative log-likelihood ratio that detects a very high failure rate on this instance alone. */
    double m_localFailures = 0;
    /** Cumulative log-likelihood ratio that detects a higher latency. */
    double m_slowness = 0;
};

} // namespace snipeferry::rollout
