#include "routetest.h"

#include <algorithm>
#include <cmath>

namespace snipeferry::rollout {

namespace {

/** Factor by which the sums of the old version's recent requests are multiplied in each interval. */
constexpr double RECENT_DECAY = 0.9;
/** Maximum weight, in requests, of the old version's recent requests when they are combined with those of the interval. */
constexpr double RECENT_WEIGHT = 20;
/** Tolerated failure rate of the new version: the old version's failure rate times this factor, plus this margin. */
constexpr double TOLERATED_FACTOR = 1.5;
constexpr double TOLERATED_MARGIN = 0.01;
constexpr double MAX_RATE = 0.95;
/** Failure rates of a bad version that the tests detect, calculated from the tolerated rate. */
constexpr double MILD_FACTOR = 2;
constexpr double MILD_MARGIN = 0.05;
constexpr double SEVERE_RATE = 0.6;
/** Ratio of the new version's latency to the old version's: the tolerated ratio, and the ratio that the test detects. */
constexpr double TOLERATED_SLOWDOWN = 1.25;
constexpr double DETECTED_SLOWDOWN = 1.75;
/** Minimum standard deviation of the log-latency, and a factor for the variance because latencies of requests are correlated. */
constexpr double MIN_DEVIATION = 0.15;
constexpr double CORRELATION_FACTOR = 2;
/** Number of requests to the old version that a comparison of latencies needs. */
constexpr double MIN_BASELINE_REQUESTS = 10;
/** Maximum log-likelihood ratio that one interval can add to the cumulative sum for latency. */
constexpr double MAX_INTERVAL_GAIN = 7;

/** Log-likelihood ratio of the outcomes under two failure rates: that of a bad version, and the tolerated one. */
double failureLogRatio(double requests, double failures, double tolerated, double bad)
{
    return failures * std::log(bad / tolerated) + (requests - failures) * std::log((1 - bad) / (1 - tolerated));
}

double toleratedRate(double rate)
{
    return std::min(rate * TOLERATED_FACTOR + TOLERATED_MARGIN, MAX_RATE);
}

double mildRate(double tolerated)
{
    return std::min(tolerated * MILD_FACTOR + MILD_MARGIN, (1 + tolerated) / 2);
}

double severeRate(double tolerated)
{
    return std::max(SEVERE_RATE, (1 + tolerated) / 2);
}

/** Adds to a cumulative sum and limits it to zero or more. */
void accumulate(double &sum, double gain)
{
    sum = std::max(0.0, sum + gain);
}

} // namespace

void VersionSums::add(const VersionSums &other)
{
    requests += other.requests;
    failures += other.failures;
    latencySum += other.latencySum;
    latencySquareSum += other.latencySquareSum;
}

void VersionSums::scale(double factor)
{
    requests *= factor;
    failures *= factor;
    latencySum *= factor;
    latencySquareSum *= factor;
}

void RouteTest::addInterval(const VersionSums &oldVersion, const VersionSums &newVersion)
{
    if (newVersion.requests > 0) {
        const double tolerated = toleratedRate(failureRate(oldVersion));
        accumulate(m_mildFailures, failureLogRatio(newVersion.requests, newVersion.failures, tolerated, mildRate(tolerated)));
        accumulate(m_severeFailures, failureLogRatio(newVersion.requests, newVersion.failures, tolerated, severeRate(tolerated)));
        addLatency(oldVersion, newVersion);
    }
    m_recentOldVersion.scale(RECENT_DECAY);
    m_recentOldVersion.add(oldVersion);
    m_currentOldVersion = VersionSums();
}

void RouteTest::addAnswer(bool isNewVersion, bool hasFailed)
{
    if (!isNewVersion) {
        m_currentOldVersion.requests += 1;
        m_currentOldVersion.failures += hasFailed ? 1 : 0;
        return;
    }
    const double tolerated = toleratedRate(failureRate(m_currentOldVersion));
    accumulate(m_localFailures, failureLogRatio(1, hasFailed ? 1 : 0, tolerated, severeRate(tolerated)));
}

double RouteTest::score() const
{
    return std::max({m_mildFailures, m_severeFailures, m_localFailures, m_slowness});
}

const char *RouteTest::cause() const
{
    return m_slowness >= score() ? "slower" : "failures";
}

double RouteTest::failureRate(const VersionSums &interval) const
{
    const double recentWeight = std::min(RECENT_WEIGHT, m_recentOldVersion.requests);
    const double recentRate = m_recentOldVersion.requests > 0 ? m_recentOldVersion.failures / m_recentOldVersion.requests : 0;
    const double weight = interval.requests + recentWeight;
    return weight > 0 ? (interval.failures + recentRate * recentWeight) / weight : 0;
}

void RouteTest::addLatency(const VersionSums &oldVersion, const VersionSums &newVersion)
{
    // Take the variance from all recent requests of the old version, but its mean mostly from the same interval.
    VersionSums varianceSums = m_recentOldVersion;
    varianceSums.add(oldVersion);
    if (varianceSums.requests < MIN_BASELINE_REQUESTS) {
        return;
    }
    const double varianceMean = varianceSums.latencySum / varianceSums.requests;
    const double variance
        = std::max(varianceSums.latencySquareSum / varianceSums.requests - varianceMean * varianceMean, MIN_DEVIATION * MIN_DEVIATION) * CORRELATION_FACTOR;
    VersionSums baseline = m_recentOldVersion;
    baseline.scale(m_recentOldVersion.requests > 0 ? std::min(RECENT_WEIGHT, m_recentOldVersion.requests) / m_recentOldVersion.requests : 0);
    baseline.add(oldVersion);

    // Log-likelihood ratio of the difference between the two means.
    const double shift = std::log(DETECTED_SLOWDOWN / TOLERATED_SLOWDOWN);
    const double difference = newVersion.latencySum / newVersion.requests - baseline.latencySum / baseline.requests - std::log(TOLERATED_SLOWDOWN);
    const double squaredError = variance / newVersion.requests + variance / baseline.requests;
    accumulate(m_slowness, std::min(shift / squaredError * (difference - shift / 2), MAX_INTERVAL_GAIN));
}

} // namespace snipeferry::rollout
