#include "snipeferry/gateway/rolloutguard.h"

#include "snipeferry/gateway/rendezvous.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>

namespace snipeferry::gateway {

namespace {

/** Share of the requests that the new version receives on trial. Including those of the takeover, it receives less than a tenth of all requests. */
constexpr double TRIAL_SHARE = 0.03;
/** Fractions of the time limit after which a good version takes over, and after which its rollout is completed. */
constexpr double TAKEOVER_TIME_SHARE = 0.94;
constexpr double COMPLETION_TIME_SHARE = 0.985;
constexpr absl::Duration CHECK_PERIOD = absl::Milliseconds(50);
/** Number of answers on one route from which a version's failures and latency there are evaluated. */
constexpr int MIN_ROUTE_ANSWERS = 6;
/** A version is bad if its failures exceed the number expected from the old version by more than this many standard deviations. */
constexpr double MAX_FAILURE_DEVIATIONS = 3.5;
/** The same for slow answers at the time of the takeover. */
constexpr double MAX_TAKEOVER_DEVIATIONS = 2.5;
/** Variance that is added because the old version's failure share is only a measurement itself. */
constexpr double EXTRA_VARIANCE = 0.5;
constexpr int MIN_FAILURES = 3;
/** A version is bad if its mean latency exceeds this multiple of the old version's. */
constexpr double MAX_LATENCY_RATIO = 3.0;
/** Prefix of the name under which answers with about the same expected time are counted, in place of a route. */
constexpr const char *PACE_PREFIX = "expected time 2^";
/** An answer is slow if its first data takes this multiple of the expected time. */
constexpr double SLOW_FACTOR = 2.0;
/** A version with fewer answers than this is not accepted as good. */
constexpr int MIN_TARGET_ANSWERS = 5;

bool includeAll(const core::InstanceId & /*peer*/)
{
    return true;
}

} // namespace

RolloutGuard::RolloutGuard(core::InstanceId self, std::uint64_t seed, core::TimerService &timers)
    : m_self(std::move(self)),
      m_timers(timers),
      m_random(seed),
      m_instances{m_self},
      m_timer(timers.every(CHECK_PERIOD, [this] { evaluateRollouts(); }))
{
}

core::Signal<RolloutDecision> &RolloutGuard::decided()
{
    return m_decided;
}

core::Signal<RolloutChange> &RolloutGuard::changed()
{
    return m_changed;
}

void RolloutGuard::emitChange(const RolloutProgress &progress, const std::string &reason) const
{
    RolloutChange change{progress.order, progress.revision, progress.state, reason, m_timers.now() - progress.startedAt};
    change.instances = 1 + static_cast<int>(progress.peerEvidence.size());
    for (const VersionEvidence &evidence : mergedEvidence(progress, includeAll)) {
        if (absl::StartsWith(evidence.route, PACE_PREFIX)) {
            continue;
        }
        (evidence.isTarget ? change.targetAnswers : change.baselineAnswers) += evidence.answers;
        (evidence.isTarget ? change.targetFailures : change.baselineFailures) += evidence.failures;
    }
    m_changed.emit(change);
}

void RolloutGuard::setInstances(std::vector<core::InstanceId> instances, RolloutRole role)
{
    m_instances = std::move(instances);
    m_role = role;
}

void RolloutGuard::order(const RolloutOrder &order, core::Revision revision)
{
    RolloutProgress &progress = m_rollouts[order.service];
    if (progress.revision >= revision) {
        return;
    }
    progress = RolloutProgress();
    progress.order = order;
    progress.revision = revision;
    progress.startedAt = m_timers.now();
    if (isReporter(progress)) {
        m_decided.emit(RolloutDecision{order, revision, RolloutState::Trial, "ordered"});
    }
}

void RolloutGuard::withdraw(const core::ServiceId &service)
{
    m_rollouts.erase(service);
}

VersionChoice RolloutGuard::choose(const core::ServiceId &service)
{
    const auto it = m_rollouts.find(service);
    if (it == m_rollouts.end()) {
        return {};
    }
    const core::VersionId &target = it->second.order.target;
    switch (it->second.state) {
    case RolloutState::Trial:
        if (std::uniform_real_distribution<double>(0, 1)(m_random) < TRIAL_SHARE) {
            return {target, {}};
        }
        return {{}, target};
    case RolloutState::Takeover:
    case RolloutState::Completed:
        return {target, {}};
    case RolloutState::Reverted:
        return {{}, target};
    }
    return {};
}

VersionEvidence &RolloutGuard::evidenceFor(std::vector<VersionEvidence> &all, const std::string &route, bool isTarget)
{
    for (VersionEvidence &evidence : all) {
        if (evidence.route == route && evidence.isTarget == isTarget) {
            return evidence;
        }
    }
    all.push_back({route, isTarget, 0, 0, 0});
    return all.back();
}

void RolloutGuard::observe(const core::ServiceId &service, const std::string &route, const core::VersionId &version, bool hasFailed, absl::Duration latency)
{
    const auto it = m_rollouts.find(service);
    if (it == m_rollouts.end()) {
        return;
    }
    VersionEvidence &evidence = evidenceFor(it->second.ownEvidence, route, version == it->second.order.target);
    ++evidence.answers;
    evidence.failures += hasFailed ? 1 : 0;
    evidence.latencyMs += absl::ToDoubleMilliseconds(latency);
}

void RolloutGuard::observeFirstData(const core::ServiceId &service, const core::VersionId &version, absl::Duration latency, absl::Duration expected)
{
    const auto it = m_rollouts.find(service);
    if (it == m_rollouts.end() || expected == absl::InfiniteDuration()) {
        return;
    }
    // Powers of two: the answers of a lightly loaded version are compared with those of the other that were expected to take as long.
    const int bucket = static_cast<int>(std::log2(std::max(1.0, absl::ToDoubleMilliseconds(expected))));
    VersionEvidence &evidence = evidenceFor(it->second.ownEvidence, absl::StrCat(PACE_PREFIX, bucket), version == it->second.order.target);
    ++evidence.answers;
    evidence.failures += latency > SLOW_FACTOR * expected ? 1 : 0;
}

std::vector<VersionEvidence> RolloutGuard::mergedEvidence(const RolloutProgress &progress, const std::function<bool(const core::InstanceId &)> &includesPeer)
{
    std::vector<VersionEvidence> sum = progress.ownEvidence;
    for (const auto &peer : progress.peerEvidence) {
        if (!includesPeer(peer.first)) {
            continue;
        }
        for (const VersionEvidence &evidence : peer.second) {
            VersionEvidence &total = evidenceFor(sum, evidence.route, evidence.isTarget);
            total.answers += evidence.answers;
            total.failures += evidence.failures;
            total.latencyMs += evidence.latencyMs;
        }
    }
    return sum;
}

std::string RolloutGuard::findRegression(const RolloutProgress &progress) const
{
    std::vector<VersionEvidence> all = mergedEvidence(progress, includeAll);
    if (isSlow(all, MAX_FAILURE_DEVIATIONS)) {
        return "slower than expected";
    }
    const std::vector<VersionEvidence> targets = all;
    for (const VersionEvidence &target : targets) {
        if (!target.isTarget || target.answers < MIN_ROUTE_ANSWERS || absl::StartsWith(target.route, PACE_PREFIX)) {
            continue;
        }
        const VersionEvidence &baseline = evidenceFor(all, target.route, false);
        const double baselineFailureShare = baseline.answers == 0 ? 0.0 : static_cast<double>(baseline.failures) / baseline.answers;
        // A version that is as good as the old one would exceed this number of failures only by an unlikely chance.
        const double expectedFailures = baselineFailureShare * target.answers;
        const double standardDeviation = std::sqrt(expectedFailures * (1 - baselineFailureShare) + EXTRA_VARIANCE);
        if (target.failures >= MIN_FAILURES && target.failures > expectedFailures + MAX_FAILURE_DEVIATIONS * standardDeviation) {
            return absl::StrCat("failures on ", target.route, ": ", target.failures, " of ", target.answers);
        }
        const bool isSlow
            = baseline.answers >= MIN_ROUTE_ANSWERS && target.latencyMs / target.answers > MAX_LATENCY_RATIO * baseline.latencyMs / baseline.answers;
        if (isSlow) {
            return absl::StrCat("slow on ", target.route, ": ", static_cast<int>(target.latencyMs / target.answers), " ms");
        }
    }
    return {};
}

bool RolloutGuard::isSlow(std::vector<VersionEvidence> evidence, double deviations)
{
    const std::vector<VersionEvidence> targets = evidence;
    double slow = 0;
    double expectedSlow = 0;
    double variance = EXTRA_VARIANCE;
    for (const VersionEvidence &target : targets) {
        if (!target.isTarget || !absl::StartsWith(target.route, PACE_PREFIX)) {
            continue;
        }
        const VersionEvidence &baseline = evidenceFor(evidence, target.route, false);
        if (baseline.answers < MIN_ROUTE_ANSWERS) {
            continue;
        }
        const double share = static_cast<double>(baseline.failures) / baseline.answers;
        slow += target.failures;
        expectedSlow += share * target.answers;
        variance += share * (1 - share) * target.answers;
    }
    return slow >= MIN_FAILURES && slow > expectedSlow + deviations * std::sqrt(variance);
}

bool RolloutGuard::hasEnoughAnswers(const RolloutProgress &progress) const
{
    int answers = 0;
    for (const VersionEvidence &evidence : mergedEvidence(progress, includeAll)) {
        answers += evidence.isTarget && !absl::StartsWith(evidence.route, PACE_PREFIX) ? evidence.answers : 0;
    }
    return answers >= MIN_TARGET_ANSWERS;
}

bool RolloutGuard::isReporter(const RolloutProgress &progress) const
{
    return rendezvousFirst(absl::StrCat(progress.order.service.value(), "/", progress.revision), m_instances) == m_self;
}

void RolloutGuard::changeState(RolloutProgress &progress, RolloutState state, const std::string &reason, bool isReported)
{
    progress.state = state;
    emitChange(progress, reason);
    if (isReported) {
        m_decided.emit(RolloutDecision{progress.order, progress.revision, state, reason});
    }
}

void RolloutGuard::evaluateRollouts()
{
    for (auto &item : m_rollouts) {
        RolloutProgress &progress = item.second;
        if (progress.state == RolloutState::Completed || progress.state == RolloutState::Reverted) {
            continue;
        }
        const std::string regression = findRegression(progress);
        if (!regression.empty()) {
            changeState(progress, RolloutState::Reverted, regression, m_role != RolloutRole::Reporting);
            continue;
        }
        const absl::Duration age = m_timers.now() - progress.startedAt;
        if (progress.state == RolloutState::Trial && age >= TAKEOVER_TIME_SHARE * progress.order.timeLimit) {
            // All requests follow the takeover, so it needs more than the absence of proof.
            const bool isSuspect = isSlow(mergedEvidence(progress, includeAll), MAX_TAKEOVER_DEVIATIONS);
            if (isSuspect) {
                changeState(progress, RolloutState::Reverted, "too slow to take over", isReporter(progress));
            } else if (hasEnoughAnswers(progress)) {
                changeState(progress, RolloutState::Takeover, "good", false);
            } else {
                changeState(progress, RolloutState::Reverted, "too few answers to judge", isReporter(progress));
            }
        }
        if (progress.state == RolloutState::Takeover && age >= COMPLETION_TIME_SHARE * progress.order.timeLimit) {
            changeState(progress, RolloutState::Completed, "good", isReporter(progress));
        }
    }
}

std::vector<RolloutReport> RolloutGuard::reports() const
{
    std::vector<RolloutReport> all;
    for (const auto &item : m_rollouts) {
        const RolloutProgress &progress = item.second;
        all.push_back({item.first, progress.revision, progress.state, m_timers.now() - progress.startedAt, progress.ownEvidence});
    }
    return all;
}

std::vector<RolloutReport> RolloutGuard::mergedReports(const std::function<bool(const core::InstanceId &)> &includesPeer) const
{
    std::vector<RolloutReport> all = reports();
    for (RolloutReport &report : all) {
        report.evidence = mergedEvidence(m_rollouts.at(report.service), includesPeer);
    }
    return all;
}

void RolloutGuard::receive(const core::InstanceId &from, const std::vector<RolloutReport> &reports)
{
    for (const RolloutReport &report : reports) {
        const auto it = m_rollouts.find(report.service);
        if (it == m_rollouts.end() || it->second.revision != report.order) {
            continue;
        }
        RolloutProgress &progress = it->second;
        progress.peerEvidence[from] = report.evidence;
        // The earliest start is the closest to the time of the order. A restarted instance learns it from the others.
        progress.startedAt = std::min(progress.startedAt, m_timers.now() - report.age);
        const bool isOpen = progress.state == RolloutState::Trial || progress.state == RolloutState::Takeover;
        if (isOpen && report.state == RolloutState::Reverted) {
            changeState(progress, RolloutState::Reverted, absl::StrCat("reverted by ", from.value()), m_role == RolloutRole::Relay);
        }
    }
}

void RolloutGuard::decisionStored(const core::ServiceId &service, core::Revision revision, RolloutState state)
{
    const auto it = m_rollouts.find(service);
    if (it != m_rollouts.end() && it->second.revision == revision && it->second.state != state) {
        it->second.state = state;
        emitChange(it->second, "stored");
    }
}

} // namespace snipeferry::gateway
