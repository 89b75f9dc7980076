#pragma once

#include "snipeferry/core/value.h"

#include <string>
#include <vector>

/**
 * Messages between instances about rollouts.
 */
namespace snipeferry::rollout {

/** Statistics of one instance on the answers of one version on one route in one interval. */
struct Evidence
{
    std::string route;
    core::VersionId version;
    std::int64_t requests = 0;
    std::int64_t failures = 0;
    /** Sum, and sum of squares, of the natural logarithm of the latency in milliseconds. */
    double latencySum = 0;
    double latencySquareSum = 0;

    SNIPEFERRY_VALUE(Evidence, route, version, requests, failures, latencySum, latencySquareSum)
};

/** Statistics of one instance for one rollout and interval. Only the first report of an instance for an interval counts. */
struct EvidenceReport
{
    core::RolloutId rollout;
    /** Number of the interval, counted from the Unix epoch. */
    std::uint64_t interval = 0;
    std::vector<Evidence> evidence;

    SNIPEFERRY_VALUE(EvidenceReport, rollout, interval, evidence)
};

/** Stage of a rollout. Done and TakenBack (rolled back) are final. */
enum class Stage {
    /** The new version serves the configured trial share. */
    Trial,
    /** The share of the new version has been raised above the trial share. */
    Raising,
    Done,
    TakenBack,
};

NLOHMANN_JSON_SERIALIZE_ENUM(Stage, {{Stage::Trial, "trial"}, {Stage::Raising, "raising"}, {Stage::Done, "done"}, {Stage::TakenBack, "taken_back"}})

/** State of a rollout as known to an instance; docs/design/rollout.md describes how two states are merged. */
struct StageNotice
{
    core::RolloutId rollout;
    Stage stage = Stage::Trial;
    /** Share of the requests that the new version serves, in thousandths. */
    int sharePermille = 0;
    /** Incremented each time the share is raised. */
    std::int64_t epoch = 0;
    /** Why the rollout has ended. */
    std::string reason;
    /** Rolled back only because the deadline passed, not for a fault. A recorded Done takes precedence over it. */
    bool isOverdue = false;

    SNIPEFERRY_VALUE(StageNotice, rollout, stage, sharePermille, epoch, reason, isOverdue)
};

} // namespace snipeferry::rollout
