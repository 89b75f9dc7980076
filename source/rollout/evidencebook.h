#pragma once

#include "routetest.h"
#include "snipeferry/configuration/configuration.h"
#include "snipeferry/rollout/messages.h"
#include "snipeferry/rollout/rolloutbook.h"

#include <map>
#include <optional>
#include <string>

/**
 * Statistics on both versions of one rollout, of this instance and merged with those of other instances.
 */
namespace snipeferry::rollout {

/** Sums of both versions on one route. */
struct RouteSums
{
    VersionSums oldVersion;
    VersionSums newVersion;
};

/** The route on which the new version was found to be worse, and in which way. */
struct Alarm
{
    std::string route;
    /** "failures" or "slower". */
    std::string cause;
};

/** Collects the outcomes of requests by interval and route, and tests for each route whether the new version is worse. */
class EvidenceBook
{
public:
    explicit EvidenceBook(configuration::Rollout rollout);

    /** @brief Adds the outcome of a request of this instance. */
    void observe(const Observation &observation);

    /** @brief Adds the statistics of another instance; only its first report of an interval counts. */
    void merge(const core::InstanceId &from, const EvidenceReport &report);

    /**
     * @brief Starts a new interval. The interval that ends is tested one interval later, when the reports of other instances have arrived.
     * @return this instance's statistics of the interval that ended; empty if the instance had no requests in this interval
     */
    std::optional<EvidenceReport> advance(std::uint64_t interval);

    /** @brief The first route on which the score of the new version has reached the alarm threshold, if any. */
    std::optional<Alarm> alarm() const;

    /** @brief Highest score of all routes; a high score means that the new version is probably worse. */
    double score() const;

    /** @brief Number of requests to the new version that were added to the tests since the last reset. */
    double newRequests() const;

    void resetNewRequests();

private:
    void add(std::map<std::string, RouteSums> &routes, const Evidence &evidence);
    void test(const std::map<std::string, RouteSums> &routes);

    configuration::Rollout m_rollout;
    std::uint64_t m_interval = 0;
    /** Requests of this instance in the current interval, by route. */
    std::map<std::string, RouteSums> m_ownSums;
    /** Requests of all instances by interval and route, until the interval is tested. */
    std::map<std::uint64_t, std::map<std::string, RouteSums>> m_mergedSums;
    /** Last interval that each instance has reported. */
    std::map<core::InstanceId, std::uint64_t> m_lastReported;
    std::map<std::string, RouteTest> m_tests;
    double m_newRequests = 0;
};

} // namespace snipeferry::rollout
