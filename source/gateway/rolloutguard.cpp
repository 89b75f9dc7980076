#include "snipeferry/gateway/rolloutguard.h"

#include "snipeferry/gateway/rendezvous.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>

namespace snipeferry::gateway {

namespace {

/** Share of the requests on trial. With the takeover's part of the time it stays under a tenth of all requests. */
constexpr double TRIAL_SHARE = 0.03;
/** Part of the time limit after which a good version takes over, and after which the operator is told. */
constexpr double TAKEOVER_AT = 0.94;
constexpr double COMPLETE_AT = 0.985;
constexpr absl::Duration CHECK_PERIOD = absl::Milliseconds(50);
/** Answers on one route from which its failures or its slowness count. */
constexpr int MIN_ANSWERS = 6;
/** Failures beyond the old version's share, in standard deviations, that make a version bad. */
constexpr double DEVIATIONS = 3.5;
/** Variance that is added because the old version's share is itself measured. */
constexpr double UNCERTAINTY = 0.5;
constexpr int MIN_FAILURES = 3;
/** Mean time, as a multiple of the old version's, that makes a version bad. */
constexpr double SLOWNESS_LIMIT = 3.0;
/** A version that answered fewer requests than this is not found good. */
constexpr int MIN_EVIDENCE = 5;

} // namespace

RolloutGuard::RolloutGuard(core::InstanceId self, std::uint64_t seed, core::TimerService &timers)
    : m_self(std::move(self)),
      m_timers(timers),
      m_random(seed),
      m_instances{m_self},
      m_timer(timers.every(CHECK_PERIOD, [this] { check(); }))
{
}

core::Signal<RolloutDecision> &RolloutGuard::decided()
{
    return m_decided;
}

void RolloutGuard::setInstances(std::vector<core::InstanceId> instances)
{
    m_instances = std::move(instances);
}

void RolloutGuard::order(const RolloutOrder &order, core::Revision revision)
{
    Track &track = m_tracks[order.service];
    if (track.revision >= revision) {
        return;
    }
    track = Track();
    track.order = order;
    track.revision = revision;
    track.startedAt = m_timers.now();
    if (isTeller(track)) {
        m_decided.emit(RolloutDecision{order, revision, RolloutState::Trial, "ordered"});
    }
}

void RolloutGuard::withdraw(const core::ServiceId &service)
{
    m_tracks.erase(service);
}

VersionChoice RolloutGuard::choose(const core::ServiceId &service)
{
    const auto it = m_tracks.find(service);
    if (it == m_tracks.end()) {
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

VersionEvidence &RolloutGuard::entry(std::vector<VersionEvidence> &all, const std::string &route, bool isTarget)
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
    const auto it = m_tracks.find(service);
    if (it == m_tracks.end()) {
        return;
    }
    VersionEvidence &evidence = entry(it->second.own, route, version == it->second.order.target);
    ++evidence.answers;
    evidence.failures += hasFailed ? 1 : 0;
    evidence.latencyMs += absl::ToDoubleMilliseconds(latency);
}

std::vector<VersionEvidence> RolloutGuard::merged(const Track &track) const
{
    std::vector<VersionEvidence> sum = track.own;
    for (const auto &other : track.others) {
        for (const VersionEvidence &evidence : other.second) {
            VersionEvidence &total = entry(sum, evidence.route, evidence.isTarget);
            total.answers += evidence.answers;
            total.failures += evidence.failures;
            total.latencyMs += evidence.latencyMs;
        }
    }
    return sum;
}

std::string RolloutGuard::fault(const Track &track) const
{
    std::vector<VersionEvidence> all = merged(track);
    const std::vector<VersionEvidence> targets = all;
    for (const VersionEvidence &target : targets) {
        if (!target.isTarget || target.answers < MIN_ANSWERS) {
            continue;
        }
        const VersionEvidence &old = entry(all, target.route, false);
        const double oldShare = old.answers == 0 ? 0.0 : static_cast<double>(old.failures) / old.answers;
        // More failures than chance would give a version that is as good as the old one.
        const double expected = oldShare * target.answers;
        const double deviation = std::sqrt(expected * (1 - oldShare) + UNCERTAINTY);
        if (target.failures >= MIN_FAILURES && target.failures > expected + DEVIATIONS * deviation) {
            return absl::StrCat("failures on ", target.route, ": ", target.failures, " of ", target.answers);
        }
        const bool isSlow = old.answers >= MIN_ANSWERS && target.latencyMs / target.answers > SLOWNESS_LIMIT * old.latencyMs / old.answers;
        if (isSlow) {
            return absl::StrCat("slow on ", target.route, ": ", static_cast<int>(target.latencyMs / target.answers), " ms");
        }
    }
    return {};
}

bool RolloutGuard::hasEvidence(const Track &track) const
{
    int answers = 0;
    for (const VersionEvidence &evidence : merged(track)) {
        answers += evidence.isTarget ? evidence.answers : 0;
    }
    return answers >= MIN_EVIDENCE;
}

bool RolloutGuard::isTeller(const Track &track) const
{
    return rendezvousFirst(absl::StrCat(track.order.service.value(), "/", track.revision), m_instances) == m_self;
}

void RolloutGuard::move(Track &track, RolloutState state, const std::string &reason, bool isTold)
{
    track.state = state;
    if (isTold) {
        m_decided.emit(RolloutDecision{track.order, track.revision, state, reason});
    }
}

void RolloutGuard::check()
{
    for (auto &item : m_tracks) {
        Track &track = item.second;
        if (track.state == RolloutState::Completed || track.state == RolloutState::Reverted) {
            continue;
        }
        const std::string found = fault(track);
        if (!found.empty()) {
            move(track, RolloutState::Reverted, found, true);
            continue;
        }
        const absl::Duration age = m_timers.now() - track.startedAt;
        if (track.state == RolloutState::Trial && age >= TAKEOVER_AT * track.order.timeLimit) {
            if (hasEvidence(track)) {
                move(track, RolloutState::Takeover, "good", false);
            } else {
                move(track, RolloutState::Reverted, "too few answers to judge", isTeller(track));
            }
        }
        if (track.state == RolloutState::Takeover && age >= COMPLETE_AT * track.order.timeLimit) {
            move(track, RolloutState::Completed, "good", isTeller(track));
        }
    }
}

std::vector<RolloutReport> RolloutGuard::reports() const
{
    std::vector<RolloutReport> all;
    for (const auto &item : m_tracks) {
        const Track &track = item.second;
        all.push_back({item.first, track.revision, track.state, m_timers.now() - track.startedAt, track.own});
    }
    return all;
}

void RolloutGuard::receive(const core::InstanceId &from, const std::vector<RolloutReport> &reports)
{
    for (const RolloutReport &report : reports) {
        const auto it = m_tracks.find(report.service);
        if (it == m_tracks.end() || it->second.revision != report.order) {
            continue;
        }
        Track &track = it->second;
        track.others[from] = report.evidence;
        // The oldest knowledge of an order is nearest to its time; a restarted instance learns it from the others.
        track.startedAt = std::min(track.startedAt, m_timers.now() - report.age);
        const bool isOpen = track.state == RolloutState::Trial || track.state == RolloutState::Takeover;
        if (isOpen && report.state == RolloutState::Reverted) {
            track.state = RolloutState::Reverted;
        }
    }
}

void RolloutGuard::stored(const core::ServiceId &service, core::Revision revision, RolloutState state)
{
    const auto it = m_tracks.find(service);
    if (it != m_tracks.end() && it->second.revision == revision) {
        it->second.state = state;
    }
}

} // namespace snipeferry::gateway
