#include "evidencebook.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace snipeferry::rollout {

namespace {

constexpr std::size_t MAX_ROUTES = 64;
/** Largest difference in intervals between a report and this instance's clock. */
constexpr std::uint64_t MAX_SKEW_INTERVALS = 2;
constexpr double MIN_LATENCY_MS = 0.1;

bool isValid(const Evidence &evidence)
{
    return evidence.requests >= 0 && evidence.failures >= 0 && evidence.failures <= evidence.requests && std::isfinite(evidence.latencySum)
        && std::isfinite(evidence.latencySquareSum);
}

Evidence toEvidence(const std::string &route, const core::VersionId &version, const VersionSums &sums)
{
    return {route, version, std::llround(sums.requests), std::llround(sums.failures), sums.latencySum, sums.latencySquareSum};
}

} // namespace

EvidenceBook::EvidenceBook(configuration::Rollout rollout)
    : m_rollout(std::move(rollout))
{
}

void EvidenceBook::observe(const Observation &observation)
{
    const double logLatency = std::log(std::max(absl::ToDoubleMilliseconds(observation.latency), MIN_LATENCY_MS));
    add(m_ownSums, {observation.route, observation.version, 1, observation.hasFailed ? 1 : 0, logLatency, logLatency * logLatency});
    if (m_tests.count(observation.route) > 0 || m_tests.size() < MAX_ROUTES) {
        m_tests[observation.route].addAnswer(observation.version == m_rollout.toVersion, observation.hasFailed);
    }
}

void EvidenceBook::merge(const core::InstanceId &from, const EvidenceReport &report)
{
    const bool isInRange = report.interval + MAX_SKEW_INTERVALS >= m_interval && report.interval <= m_interval + MAX_SKEW_INTERVALS;
    std::uint64_t &last = m_lastReported[from];
    if (!isInRange || report.interval <= last) {
        return;
    }
    last = report.interval;
    for (const Evidence &evidence : report.evidence) {
        if (isValid(evidence)) {
            add(m_mergedSums[report.interval], evidence);
        }
    }
}

std::optional<EvidenceReport> EvidenceBook::advance(std::uint64_t interval)
{
    if (interval <= m_interval) {
        return std::nullopt;
    }
    // Close this instance's interval and add it to the sums of all instances.
    EvidenceReport report{m_rollout.id, m_interval, {}};
    std::map<std::string, RouteSums> &merged = m_mergedSums[m_interval];
    for (const std::pair<const std::string, RouteSums> &route : std::exchange(m_ownSums, {})) {
        report.evidence.push_back(toEvidence(route.first, m_rollout.fromVersion, route.second.oldVersion));
        report.evidence.push_back(toEvidence(route.first, m_rollout.toVersion, route.second.newVersion));
        merged[route.first].oldVersion.add(route.second.oldVersion);
        merged[route.first].newVersion.add(route.second.newVersion);
    }
    m_interval = interval;

    // Test the intervals that ended at least one interval ago, so that the reports of other instances have arrived.
    while (!m_mergedSums.empty() && m_mergedSums.begin()->first + 1 < m_interval) {
        test(m_mergedSums.begin()->second);
        m_mergedSums.erase(m_mergedSums.begin());
    }
    return report.evidence.empty() ? std::nullopt : std::optional<EvidenceReport>(report);
}

std::optional<Alarm> EvidenceBook::alarm() const
{
    for (const std::pair<const std::string, RouteTest> &test : m_tests) {
        if (test.second.score() >= RouteTest::ALARM_THRESHOLD) {
            return Alarm{test.first, test.second.cause()};
        }
    }
    return std::nullopt;
}

double EvidenceBook::score() const
{
    double highest = 0;
    for (const std::pair<const std::string, RouteTest> &test : m_tests) {
        highest = std::max(highest, test.second.score());
    }
    return highest;
}

double EvidenceBook::newRequests() const
{
    return m_newRequests;
}

void EvidenceBook::resetNewRequests()
{
    m_newRequests = 0;
}

void EvidenceBook::add(std::map<std::string, RouteSums> &routes, const Evidence &evidence)
{
    const bool isNew = evidence.version == m_rollout.toVersion;
    if ((!isNew && evidence.version != m_rollout.fromVersion) || (routes.count(evidence.route) == 0 && routes.size() >= MAX_ROUTES)) {
        return;
    }
    RouteSums &sums = routes[evidence.route];
    (isNew ? sums.newVersion : sums.oldVersion)
        .add({static_cast<double>(evidence.requests), static_cast<double>(evidence.failures), evidence.latencySum, evidence.latencySquareSum});
}

void EvidenceBook::test(const std::map<std::string, RouteSums> &routes)
{
    for (const std::pair<const std::string, RouteSums> &route : routes) {
        m_newRequests += route.second.newVersion.requests;
        if (m_tests.count(route.first) > 0 || m_tests.size() < MAX_ROUTES) {
            m_tests[route.first].addInterval(route.second.oldVersion, route.second.newVersion);
        }
    }
}

} // namespace snipeferry::rollout
