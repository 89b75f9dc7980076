#include "snipeferry/gateway/rolloutguard.h"

#include "snipeferry/gateway/rendezvous.h"
#include "snipeferry/gateway/storeposition.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace snipeferry::gateway {

namespace {

/** Smallest and largest fraction of the requests that the new version receives on trial. */
constexpr double MIN_TRIAL_SHARE = 0.03;
constexpr double MAX_TRIAL_SHARE = 0.75;
/** Part of the bound on a bad version's requests that its trial may use; the rest is for a fault that shows after the takeover, and for what others have sent
 * unheard. */
constexpr double TRIAL_BOUND_SHARE = 0.85;
/** Part of the bound's rest that the takeover may use before the rollout is completed. */
constexpr double TAKEOVER_BOUND_SHARE = 0.8;
/** Time that all instances need to learn of the takeover, and largest fraction of the time limit that it may take. */
constexpr absl::Duration MIN_TAKEOVER_TIME = absl::Milliseconds(300);
constexpr double MAX_TAKEOVER_TIME_SHARE = 0.05;
/** Time before the limit for learning of the order late and for a call to the store of another region, and the same as a fraction of the time limit. */
constexpr absl::Duration MIN_STORING_TIME = absl::Milliseconds(600);
constexpr double STORING_TIME_SHARE = 0.015;
/** Time after the order from which the rate of requests is known. */
constexpr absl::Duration MIN_RATE_TIME = absl::Milliseconds(700);
/** An instance that has heard no decision this long after the time limit takes the version back. */
constexpr absl::Duration UNDECIDED_TIME = absl::Seconds(1);
/** Time after a store's return in which the operator writes its orders again. */
constexpr absl::Duration ORDER_REWRITE_TIME = absl::Seconds(10);
constexpr absl::Duration CHECK_PERIOD = absl::Milliseconds(50);

} // namespace

bool VersionChoice::permits(const core::VersionId &version) const
{
    return (only.isEmpty() || version == only) && std::find(never.begin(), never.end(), version) == never.end();
}

RolloutGuard::RolloutGuard(core::InstanceId self, std::uint64_t seed, RolloutSettings settings, core::TimerService &timers)
    : m_self(std::move(self)),
      m_settings(settings),
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

void RolloutGuard::emitChange(const RolloutProgress &progress, const std::string &reason, bool isOwnDecision) const
{
    RolloutChange change{progress.order, progress.revision, progress.state, reason, m_timers.now() - progress.startedAt};
    const EvidenceTotals totals = totalsOf(allEvidence(progress));
    change.targetAnswers = totals.targetAnswers;
    change.targetFailures = totals.targetFailures;
    change.baselineAnswers = totals.baselineAnswers;
    change.baselineFailures = totals.baselineFailures;
    change.instances = 1 + static_cast<int>(progress.peers.size());
    change.isOwnDecision = isOwnDecision;
    m_changed.emit(change);
}

void RolloutGuard::setInstances(std::vector<core::InstanceId> instances, RolloutRole role)
{
    m_instances = std::move(instances);
    m_role = role;
}

void RolloutGuard::order(const RolloutOrder &order, core::Revision revision)
{
    const bool isFirst = m_rollouts.find(order.service) == m_rollouts.end();
    ServiceRollouts &rollouts = m_rollouts[order.service];
    if (!isFirst && (rollouts.current.revision >= revision || isReadAgain(rollouts, order, revision))) {
        return;
    }
    if (!isFirst) {
        rollouts.earlierOrders.push_back(rollouts.current.order);
    }
    // The backend servers of the order before may still be up. What was not completed is not in use.
    std::vector<core::VersionId> &rejected = rollouts.rejected;
    if (!isFirst && rollouts.current.state != RolloutState::Completed) {
        rejected.push_back(rollouts.current.order.target);
    }
    rejected.erase(std::remove(rejected.begin(), rejected.end(), order.target), rejected.end());
    RolloutProgress &progress = rollouts.current;
    progress = RolloutProgress();
    progress.order = order;
    progress.revision = revision;
    progress.startedAt = m_timers.now();
    progress.own = evidenceBefore(m_recentAnswers[order.service]);
    adoptStoredDecision(progress);
    if (m_areDecisionsRead) {
        tellOrdered(progress);
    }
}

void RolloutGuard::decisionsRead()
{
    if (std::exchange(m_areDecisionsRead, true)) {
        return;
    }
    for (const auto &item : m_rollouts) {
        tellOrdered(item.second.current);
    }
}

void RolloutGuard::tellOrdered(const RolloutProgress &progress)
{
    if (progress.state == RolloutState::Trial && !progress.isStored && isReporter(progress)) {
        m_decided.emit(RolloutDecision{progress.order, progress.revision, RolloutState::Trial, "ordered"});
    }
}

bool RolloutGuard::isReadAgain(ServiceRollouts &rollouts, const RolloutOrder &order, core::Revision revision)
{
    const bool isNewEra = eraOf(revision) > eraOf(rollouts.current.revision);
    const bool isAfterReturn = m_timers.now() - m_storeReturnedAt < ORDER_REWRITE_TIME;
    if (order == rollouts.current.order && (isNewEra || isAfterReturn)) {
        rollouts.current.revision = revision;
        tellState(rollouts.current);
        return true;
    }
    const std::vector<RolloutOrder> &earlier = rollouts.earlierOrders;
    return isAfterReturn && std::find(earlier.begin(), earlier.end(), order) != earlier.end();
}

void RolloutGuard::storeReturned()
{
    m_storeReturnedAt = m_timers.now();
}

void RolloutGuard::tellAgain()
{
    for (const auto &item : m_rollouts) {
        tellState(item.second.current);
    }
}

void RolloutGuard::tellState(const RolloutProgress &progress)
{
    if (progress.state != RolloutState::Takeover && isReporter(progress)) {
        m_decided.emit(RolloutDecision{progress.order, progress.revision, progress.state, "told again"});
    }
}

void RolloutGuard::withdraw(const core::ServiceId &service)
{
    const auto it = m_rollouts.find(service);
    if (it != m_rollouts.end() && isOpen(it->second.current.state)) {
        decide(it->second.current, RolloutState::Reverted, "withdrawn", isReporter(it->second.current));
    }
}

VersionChoice RolloutGuard::choose(const core::ServiceId &service, const std::function<bool(const core::VersionId &)> &isHere)
{
    const auto it = m_rollouts.find(service);
    if (it == m_rollouts.end()) {
        return {};
    }
    RolloutProgress &progress = it->second.current;
    const core::VersionId &target = progress.order.target;
    VersionChoice choice{{}, it->second.rejected};
    switch (progress.state) {
    case RolloutState::Trial:
        if (std::uniform_real_distribution<double>(0, 1)(m_random) < trialShare(progress) && isHere(target)) {
            ++progress.ownSends;
            choice.only = target;
        }
        break;
    case RolloutState::Takeover:
        if (isHere(target)) {
            choice.only = target;
        }
        break;
    case RolloutState::Completed:
        choice.only = target;
        break;
    case RolloutState::Reverted:
    case RolloutState::Abandoned:
        break;
    }
    if (choice.only.isEmpty()) {
        choice.never.push_back(target);
    }
    return choice;
}

VersionChoice RolloutGuard::permitted(const core::ServiceId &service, const core::VersionId &chosen) const
{
    const auto it = m_rollouts.find(service);
    if (it == m_rollouts.end()) {
        return {chosen, {}};
    }
    const RolloutProgress &progress = it->second.current;
    VersionChoice choice{chosen, it->second.rejected};
    const bool isTrialUnchosen = progress.state == RolloutState::Trial && chosen != progress.order.target;
    if (isRejected(progress.state) || isTrialUnchosen) {
        choice.never.push_back(progress.order.target);
    }
    return choice;
}

void RolloutGuard::observe(const core::ServiceId &service, const std::string &route, const core::VersionId &version, bool hasFailed, absl::Duration latency)
{
    const auto it = m_rollouts.find(service);
    if (it == m_rollouts.end() || !isOpen(it->second.current.state)) {
        rememberAnswer(m_recentAnswers[service], route, hasFailed);
    }
    if (it == m_rollouts.end()) {
        return;
    }
    VersionEvidence &evidence = evidenceFor(it->second.current.own, route, version == it->second.current.order.target);
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
    VersionEvidence &evidence = evidenceFor(it->second.current.own, paceRoute(expected), version == it->second.current.order.target);
    ++evidence.answers;
    evidence.failures += isSlowAnswer(latency, expected) ? 1 : 0;
}

RolloutGuard::TrialPlan RolloutGuard::planOf(const RolloutProgress &progress) const
{
    const absl::Duration limit = progress.order.timeLimit;
    const absl::Duration age = m_timers.now() - progress.startedAt;
    TrialPlan plan;
    const double answers = progress.totals.answers();
    plan.rate = age < MIN_RATE_TIME ? 0 : answers / absl::ToDoubleSeconds(age);
    plan.allowedNow = m_settings.exposureSlack + m_settings.exposureShare * answers;
    plan.allowedInAll = m_settings.exposureSlack + m_settings.exposureShare * std::max(answers, plan.rate * absl::ToDoubleSeconds(limit));
    plan.wanted = std::min<double>(trialAnswers(), TRIAL_BOUND_SHARE * plan.allowedInAll);
    plan.completionAt = limit - std::max(MIN_STORING_TIME, STORING_TIME_SHARE * limit);
    // The takeover lasts as long as the rest of the bound permits at the service's rate of requests.
    const double rest = TAKEOVER_BOUND_SHARE * (plan.allowedInAll - plan.wanted);
    const absl::Duration longest = MAX_TAKEOVER_TIME_SHARE * limit;
    const absl::Duration permitted = plan.rate > 0 ? absl::Seconds(rest / plan.rate) : longest;
    plan.takeoverAt = plan.completionAt - std::min(longest, std::max(MIN_TAKEOVER_TIME, permitted));
    return plan;
}

double RolloutGuard::trialShare(const RolloutProgress &progress) const
{
    const TrialPlan plan = planOf(progress);
    const EvidenceTotals own = totalsOf(progress.own);
    // What this instance has sent counts before it is answered; the others' open runs are within the part of the bound that is left.
    const double sent = progress.totals.targetAnswers + std::max(0, progress.ownSends - own.targetAnswers);
    if (sent >= TRIAL_BOUND_SHARE * plan.allowedNow) {
        return 0;
    }
    const absl::Duration left = plan.takeoverAt - (m_timers.now() - progress.startedAt);
    if (plan.rate <= 0 || left <= absl::ZeroDuration()) {
        return MIN_TRIAL_SHARE;
    }
    return std::clamp((plan.wanted - sent) / (plan.rate * absl::ToDoubleSeconds(left)), MIN_TRIAL_SHARE, MAX_TRIAL_SHARE);
}

bool RolloutGuard::isReporter(const RolloutProgress &progress) const
{
    return rendezvousFirst(absl::StrCat(progress.order.service.value(), "/", progress.revision), m_instances) == m_self;
}

void RolloutGuard::setState(RolloutProgress &progress, RolloutState state)
{
    progress.state = state;
    if (state == RolloutState::Completed) {
        progress.totalsAtCompletion = totalsOf(allEvidence(progress));
    }
}

void RolloutGuard::changeState(RolloutProgress &progress, RolloutState state, const std::string &reason)
{
    setState(progress, state);
    emitChange(progress, reason, false);
}

void RolloutGuard::decide(RolloutProgress &progress, RolloutState state, const std::string &reason, bool isReported)
{
    setState(progress, state);
    emitChange(progress, reason, true);
    if (isReported) {
        m_decided.emit(RolloutDecision{progress.order, progress.revision, state, reason});
    }
}

void RolloutGuard::evaluateRollouts()
{
    for (auto &item : m_rollouts) {
        if (!isRejected(item.second.current.state)) {
            evaluate(item.second.current);
        }
    }
}

void RolloutGuard::evaluate(RolloutProgress &progress)
{
    const absl::Duration age = m_timers.now() - progress.startedAt;
    const absl::Duration limit = progress.order.timeLimit;
    if (!isOpen(progress.state)) {
        // Nothing compares the version with another any more, so only what no common trouble explains counts.
        if (age < limit + m_settings.judgingTime && failsBeyondDoubt(allEvidence(progress), progress.totalsAtCompletion)) {
            decide(progress, RolloutState::Abandoned, "fails beyond doubt since it was completed", m_role != RolloutRole::Reporting);
        }
        return;
    }
    const Evidence evidence = allEvidence(progress);
    progress.totals = totalsOf(evidence);
    const std::string regression = findRegression(evidence);
    if (!regression.empty()) {
        decide(progress, RolloutState::Reverted, regression, m_role != RolloutRole::Reporting);
        return;
    }
    const TrialPlan plan = planOf(progress);
    if (progress.state == RolloutState::Trial && age >= plan.takeoverAt && isReporter(progress)) {
        endTrial(progress, evidence);
    }
    if (progress.state == RolloutState::Takeover && age >= plan.completionAt && isReporter(progress)) {
        decide(progress, RolloutState::Completed, "good", true);
    }
    if (progress.state == RolloutState::Trial && age >= limit + UNDECIDED_TIME) {
        decide(progress, RolloutState::Reverted, "no decision heard", false);
    }
}

void RolloutGuard::endTrial(RolloutProgress &progress, const Evidence &evidence)
{
    // All requests follow the takeover, so it needs more than the absence of proof.
    const std::string doubt = findDoubt(evidence);
    if (doubt.empty()) {
        decide(progress, RolloutState::Takeover, "good", false);
    } else {
        decide(progress, RolloutState::Reverted, doubt, true);
    }
}

bool RolloutGuard::isDecisionOn(const RolloutProgress &progress, const RolloutNotice &notice)
{
    if (eraOf(notice.order) == eraOf(progress.revision)) {
        return notice.order == progress.revision;
    }
    // The copy has the order at its earlier revision, unless the operator has written it again. A completed version is in use, whichever of its orders the
    // decision was on; a reverted one may be ordered anew.
    const bool hasSameCounter = counterOf(notice.order) == counterOf(progress.revision);
    if (notice.target.isEmpty()) {
        return hasSameCounter;
    }
    const bool isInUse = notice.state == RolloutState::Completed && isOpen(progress.state);
    return notice.target == progress.order.target && (hasSameCounter || isInUse);
}

void RolloutGuard::decisionStored(const RolloutNotice &notice)
{
    RolloutNotice &stored = m_storedDecisions[notice.service];
    if (stored.order <= notice.order) {
        stored = notice;
    }
    const auto it = m_rollouts.find(notice.service);
    if (it != m_rollouts.end()) {
        adoptStoredDecision(it->second.current);
    }
}

void RolloutGuard::adoptStoredDecision(RolloutProgress &progress)
{
    const auto it = m_storedDecisions.find(progress.order.service);
    if (it == m_storedDecisions.end() || !isDecisionOn(progress, it->second)) {
        return;
    }
    const RolloutNotice &stored = it->second;
    progress.isStored = true;
    if (progress.state != stored.state && progress.state != RolloutState::Abandoned) {
        changeState(progress, stored.state, "stored");
    }
    if (stored.order < progress.revision) {
        tellState(progress);
    }
}

} // namespace snipeferry::gateway
