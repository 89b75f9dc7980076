#pragma once

#include "users/usersrunner.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace snipeferry::soak {

/** One request of a caller and what came back. */
struct RequestSeen
{
    std::string attempt;
    std::string gateway;
    std::string path;
    std::string body;
    std::string key;
    std::string tenant;
    /** Events that a stream was asked for; 0 for a plain request. */
    int events = 0;
    /** What the request counts against its tenant's allowance. */
    int tokens = 0;
    absl::Time sentAt;
    absl::Duration timeLimit;
    /** When the answer was complete, the connection ended or the caller gave up. */
    absl::Time endedAt = absl::InfiniteFuture();
    int status = 0;
    bool isComplete = false;
    /** The caller left before an answer, on purpose or because its time was over. */
    bool hasLeft = false;
    bool isOutOfTime = false;
    std::string receipt;
    std::string answer;
};

/** A stretch in which something outside harmed one gateway process, its links or its store. */
struct Disturbance
{
    /** Empty for all of them. */
    std::string gateway;
    absl::Time from;
    absl::Time until = absl::InfiniteFuture();
};

/** Something that the store confirmed at a time: a key taken away, a runner that drains. */
struct Confirmation
{
    std::string name;
    absl::Time at;
    /** When it was taken back. */
    absl::Time until = absl::InfiniteFuture();
};

/** Everything that callers, runners and the operator saw in one run of the soak. */
struct History
{
    std::vector<RequestSeen> requests;
    std::vector<standins::RunSeen> runs;
    std::vector<Disturbance> disturbances;
    std::vector<Confirmation> keysTakenAway;
    std::vector<Confirmation> routesTakenAway;
    std::vector<Confirmation> runnersDraining;
    /** Tokens a second, and as many at once. */
    std::map<std::string, double> rates;
    /** Gateway processes that ended though nobody told them to. */
    std::vector<std::string> ownEnds;
    absl::Time faultsOverAt;
    absl::Time endedAt;

    /** @brief Whether nothing harmed a gateway in the time before a moment that the pages call being in touch. */
    bool isInTouch(const std::string &gateway, absl::Time at) const;
};

/** @brief Value of a header of a run's request; empty without it. */
std::string headerOf(const standins::RunSeen &run, const char *name);

} // namespace snipeferry::soak
