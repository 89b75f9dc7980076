#include "snipeferry/gateway/versionevidence.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <cmath>

namespace snipeferry::gateway {

namespace {

/** Number of answers on one route from which it is judged by itself. */
constexpr int MIN_ROUTE_ANSWERS = 6;
/** A version is bad if its failures exceed the number expected from the old version by more than this many standard deviations. */
constexpr double MAX_FAILURE_DEVIATIONS = 4.0;
/** The same for slow answers, and for slow answers at the time of the takeover. */
constexpr double MAX_SLOW_DEVIATIONS = 3.5;
constexpr double MAX_TAKEOVER_DEVIATIONS = 2.5;
/** Variance that is added because the old version's failure share is only a measurement itself. */
constexpr double EXTRA_VARIANCE = 0.5;
constexpr int MIN_FAILURES = 3;
/** Answers of a route that are remembered from before a rollout. */
constexpr int MAX_REMEMBERED_ANSWERS = 80;
/** A version is bad if its mean latency exceeds this multiple of the old version's. */
constexpr double MAX_LATENCY_RATIO = 3.0;
/** Prefix of the name under which answers with about the same expected time are counted, in place of a route. */
constexpr const char *PACE_PREFIX = "expected time 2^";
/** Prefix of the name under which a route's answers before the rollout are counted. */
const std::string BEFORE_PREFIX = "before ";
/** An answer is slow if its first data takes this multiple of the expected time. */
constexpr double SLOW_FACTOR = 2.0;
/** Fractions of additional failures that a version is tested for, on all routes together and on one route. */
constexpr double FAULTS[] = {SMALLEST_FAULT, 0.4, 0.8};
constexpr double ROUTE_FAULTS[] = {0.4, 0.8};
/** Faults on all routes and on one route to which the answers must at least not point. */
constexpr double SMALL_FAULT = SMALLEST_FAULT / 2;
constexpr double ROUTE_FAULT = 0.4;
/** Logarithm of the odds from which one of these faults is suspected. */
constexpr double MIN_SUSPICION = 2.0;
/** No service is assumed to fail fewer requests than this. */
constexpr double MIN_FAILURE_SHARE = 0.01;
/** Failures, and the fraction beyond the old version's, from which a version in use alone is abandoned. */
constexpr int MIN_ABANDON_FAILURES = 30;
constexpr double MIN_ABANDON_SHARE = 0.25;

bool isPace(const VersionEvidence &evidence)
{
    return absl::StartsWith(evidence.route, PACE_PREFIX);
}

const VersionEvidence *find(const std::vector<VersionEvidence> &all, const std::string &route, bool isTarget)
{
    const auto it
        = std::find_if(all.begin(), all.end(), [&](const VersionEvidence &evidence) { return evidence.route == route && evidence.isTarget == isTarget; });
    return it == all.end() ? nullptr : &*it;
}

struct Comparison
{
    const std::vector<VersionEvidence> &all;
    EvidenceTotals totals;
};

/** The old version's answers on a route, or on all routes where it has too few there. */
VersionEvidence baselineFor(const Comparison &comparison, const std::string &route)
{
    VersionEvidence baseline{route, false, 0, 0, 0};
    for (const std::string &name : {route, BEFORE_PREFIX + route}) {
        const VersionEvidence *found = find(comparison.all, name, false);
        baseline.answers += found == nullptr ? 0 : found->answers;
        baseline.failures += found == nullptr ? 0 : found->failures;
    }
    if (baseline.answers >= MIN_ROUTE_ANSWERS) {
        return baseline;
    }
    return {route, false, comparison.totals.baselineAnswers, comparison.totals.baselineFailures, 0};
}

/**
 * Logarithm of how much more likely the answers are if the version fails a fraction of the requests that the old one answers.
 * @param oldShare fraction of requests that the old version fails
 */
double logLikelihoodRatio(const VersionEvidence &target, double oldShare, double fault)
{
    const double failureGain = std::log1p((1 - oldShare) * fault / oldShare);
    const double successLoss = std::log1p(-fault);
    return target.failures * failureGain + (target.answers - target.failures) * successLoss;
}

/** Failure share of the old version, estimated high: with few answers of it a failure of the new one proves little. */
double highShare(const VersionEvidence &baseline)
{
    return std::max(MIN_FAILURE_SHARE, (baseline.failures + 1.0) / (baseline.answers + 2.0));
}

/** The same estimated low: a failure of the new version counts against it unless the old one is known to fail. */
double lowShare(const VersionEvidence &baseline)
{
    return std::max(MIN_FAILURE_SHARE, static_cast<double>(baseline.failures) / (baseline.answers + 2.0));
}

/** Whether more of the new version's answers were slow than expected of the old one under the same load. */
bool isSlow(const std::vector<VersionEvidence> &all, double deviations)
{
    double slow = 0;
    double expectedSlow = 0;
    double variance = EXTRA_VARIANCE;
    for (const VersionEvidence &target : all) {
        const VersionEvidence *baseline = target.isTarget && isPace(target) ? find(all, target.route, false) : nullptr;
        if (baseline == nullptr || baseline->answers < MIN_ROUTE_ANSWERS) {
            continue;
        }
        const double share = highShare(*baseline);
        slow += target.failures;
        expectedSlow += share * target.answers;
        variance += share * (1 - share) * target.answers;
    }
    return slow >= MIN_FAILURES && slow > expectedSlow + deviations * std::sqrt(variance);
}

bool exceeds(double failures, double expected, double variance)
{
    return failures >= MIN_FAILURES && failures > expected + MAX_FAILURE_DEVIATIONS * std::sqrt(variance + EXTRA_VARIANCE);
}

std::string findRouteRegression(const Comparison &comparison, const VersionEvidence &target)
{
    const VersionEvidence baseline = baselineFor(comparison, target.route);
    const double share = highShare(baseline);
    bool isFailing = exceeds(target.failures, share * target.answers, share * (1 - share) * target.answers);
    for (const double fault : ROUTE_FAULTS) {
        const bool isLikely = logLikelihoodRatio(target, highShare(baseline), fault) > -std::log(MAX_FALSE_ALARM_CHANCE);
        isFailing = isFailing || (target.failures >= MIN_FAILURES && isLikely);
    }
    if (isFailing) {
        return absl::StrCat("failures on ", target.route, ": ", target.failures, " of ", target.answers);
    }
    // Latencies are compared with those of the same time.
    const VersionEvidence *present = find(comparison.all, target.route, false);
    const bool isComparable = present != nullptr && present->answers >= MIN_ROUTE_ANSWERS;
    if (isComparable && target.latencyMs / target.answers > MAX_LATENCY_RATIO * present->latencyMs / present->answers) {
        return absl::StrCat("slow on ", target.route, ": ", static_cast<int>(target.latencyMs / target.answers), " ms");
    }
    return {};
}

/** Sum of the log likelihood ratios of all routes. */
double pooledRatio(const Comparison &comparison, double fault, double (*oldShare)(const VersionEvidence &))
{
    double sum = 0;
    for (const VersionEvidence &target : comparison.all) {
        if (target.isTarget && !isPace(target)) {
            sum += logLikelihoodRatio(target, oldShare(baselineFor(comparison, target.route)), fault);
        }
    }
    return sum;
}

} // namespace

VersionEvidence &evidenceFor(std::vector<VersionEvidence> &all, const std::string &route, bool isTarget)
{
    for (VersionEvidence &evidence : all) {
        if (evidence.route == route && evidence.isTarget == isTarget) {
            return evidence;
        }
    }
    all.push_back({route, isTarget, 0, 0, 0});
    return all.back();
}

void addEvidence(std::vector<VersionEvidence> &sum, const std::vector<VersionEvidence> &added)
{
    for (const VersionEvidence &evidence : added) {
        VersionEvidence &total = evidenceFor(sum, evidence.route, evidence.isTarget);
        total.answers += evidence.answers;
        total.failures += evidence.failures;
        total.latencyMs += evidence.latencyMs;
    }
}

void rememberAnswer(std::vector<VersionEvidence> &recent, const std::string &route, bool hasFailed)
{
    VersionEvidence &evidence = evidenceFor(recent, route, false);
    ++evidence.answers;
    evidence.failures += hasFailed ? 1 : 0;
    if (evidence.answers >= MAX_REMEMBERED_ANSWERS) {
        evidence.answers /= 2;
        evidence.failures /= 2;
    }
}

std::vector<VersionEvidence> evidenceBefore(const std::vector<VersionEvidence> &recent)
{
    std::vector<VersionEvidence> all = recent;
    for (VersionEvidence &evidence : all) {
        evidence.route = BEFORE_PREFIX + evidence.route;
    }
    return all;
}

EvidenceTotals totalsOf(const std::vector<VersionEvidence> &all)
{
    EvidenceTotals totals;
    for (const VersionEvidence &evidence : all) {
        if (isPace(evidence) || absl::StartsWith(evidence.route, BEFORE_PREFIX)) {
            continue;
        }
        (evidence.isTarget ? totals.targetAnswers : totals.baselineAnswers) += evidence.answers;
        (evidence.isTarget ? totals.targetFailures : totals.baselineFailures) += evidence.failures;
    }
    return totals;
}

std::string paceRoute(absl::Duration expected)
{
    // Powers of two: the answers of a lightly loaded version are compared with those of the other that were expected to take as long.
    return absl::StrCat(PACE_PREFIX, static_cast<int>(std::log2(std::max(1.0, absl::ToDoubleMilliseconds(expected)))));
}

bool isSlowAnswer(absl::Duration latency, absl::Duration expected)
{
    return latency > SLOW_FACTOR * expected;
}

std::string findRegression(const std::vector<VersionEvidence> &all)
{
    if (isSlow(all, MAX_SLOW_DEVIATIONS)) {
        return "slower than expected";
    }
    const EvidenceTotals totals = totalsOf(all);
    const Comparison comparison{all, totals};
    double expected = 0;
    double variance = 0;
    for (const VersionEvidence &target : all) {
        if (!target.isTarget || isPace(target)) {
            continue;
        }
        const VersionEvidence baseline = baselineFor(comparison, target.route);
        const double share = highShare(baseline);
        expected += share * target.answers;
        variance += share * (1 - share) * target.answers;
        std::string reason = target.answers >= MIN_ROUTE_ANSWERS ? findRouteRegression(comparison, target) : std::string();
        if (!reason.empty()) {
            return reason;
        }
    }
    bool isFailing = exceeds(totals.targetFailures, expected, variance);
    for (const double fault : FAULTS) {
        isFailing = isFailing || (totals.targetFailures >= MIN_FAILURES && pooledRatio(comparison, fault, highShare) > -std::log(MAX_FALSE_ALARM_CHANCE));
    }
    return isFailing ? absl::StrCat("failures: ", totals.targetFailures, " of ", totals.targetAnswers) : std::string();
}

std::string findDoubt(const std::vector<VersionEvidence> &all)
{
    if (isSlow(all, MAX_TAKEOVER_DEVIATIONS)) {
        return "too slow to take over";
    }
    const EvidenceTotals totals = totalsOf(all);
    const Comparison comparison{all, totals};
    // By the sequential probability ratio test, the chance that the ratio falls so low under the fault is at most the ratio itself.
    const double missChance = std::exp(std::min(0.0, pooledRatio(comparison, SMALLEST_FAULT, lowShare)));
    if (missChance > MAX_MISS_CHANCE) {
        return absl::StrFormat("too few good answers to judge: %d of %d failed, a version that fails %.1f more may pass with a chance of %.3f",
            totals.targetFailures, totals.targetAnswers, SMALLEST_FAULT, missChance);
    }
    if (pooledRatio(comparison, SMALL_FAULT, lowShare) > MIN_SUSPICION) {
        return absl::StrFormat("rather fails %.1f more: %d of %d", SMALL_FAULT, totals.targetFailures, totals.targetAnswers);
    }
    for (const VersionEvidence &target : all) {
        const bool isJudged = target.isTarget && !isPace(target) && target.answers >= MIN_ROUTE_ANSWERS;
        if (isJudged && logLikelihoodRatio(target, lowShare(baselineFor(comparison, target.route)), ROUTE_FAULT) > MIN_SUSPICION) {
            return absl::StrCat("rather fails on ", target.route, ": ", target.failures, " of ", target.answers);
        }
    }
    return {};
}

bool failsBeyondDoubt(const std::vector<VersionEvidence> &all, const EvidenceTotals &before)
{
    const EvidenceTotals totals = totalsOf(all);
    const int answers = totals.targetAnswers - before.targetAnswers;
    const int failures = totals.targetFailures - before.targetFailures;
    const double oldShare = before.baselineAnswers == 0 ? 0.0 : static_cast<double>(before.baselineFailures) / before.baselineAnswers;
    return failures >= MIN_ABANDON_FAILURES && failures > (oldShare + MIN_ABANDON_SHARE) * answers;
}

int trialAnswers()
{
    constexpr double MARGIN = 2.0;
    return static_cast<int>(MARGIN * std::log(MAX_MISS_CHANCE) / std::log1p(-SMALL_FAULT));
}

} // namespace snipeferry::gateway
