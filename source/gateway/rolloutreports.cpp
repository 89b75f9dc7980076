#include "snipeferry/gateway/rolloutguard.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

// What instances tell each other about rollouts, and how their evidence is added up.
namespace snipeferry::gateway {

namespace {

/** The evidence with more answers; it is the later one of the same source. */
const std::vector<VersionEvidence> &larger(const std::vector<VersionEvidence> &left, const std::vector<VersionEvidence> &right)
{
    return totalsOf(left).answers() < totalsOf(right).answers() ? right : left;
}

} // namespace

RolloutGuard::Evidence RolloutGuard::regionEvidence(const RolloutProgress &progress)
{
    Evidence sum = progress.own;
    for (const auto &peer : progress.peers) {
        addEvidence(sum, peer.second);
    }
    addEvidence(sum, progress.former);
    return sum;
}

RolloutGuard::Evidence RolloutGuard::allEvidence(const RolloutProgress &progress)
{
    Evidence sum = regionEvidence(progress);
    for (const auto &region : progress.regions) {
        addEvidence(sum, region.second);
    }
    return larger(sum, progress.fleet);
}

std::vector<RolloutReport> RolloutGuard::reports() const
{
    std::vector<RolloutReport> all;
    for (const auto &item : m_rollouts) {
        const RolloutProgress &progress = item.second.current;
        all.push_back({item.first, progress.revision, progress.state, m_timers.now() - progress.startedAt, progress.own, progress.former});
    }
    return all;
}

std::vector<RolloutReport> RolloutGuard::regionReports() const
{
    return reportsWith(&regionEvidence);
}

std::vector<RolloutReport> RolloutGuard::fleetReports() const
{
    return reportsWith(&allEvidence);
}

std::vector<RolloutReport> RolloutGuard::reportsWith(Evidence (*evidenceOf)(const RolloutProgress &)) const
{
    std::vector<RolloutReport> all = reports();
    for (RolloutReport &report : all) {
        report.evidence = evidenceOf(m_rollouts.at(report.service).current);
        report.former.clear();
    }
    return all;
}

RolloutGuard::RolloutProgress *RolloutGuard::findProgress(const RolloutReport &report)
{
    const auto it = m_rollouts.find(report.service);
    return it == m_rollouts.end() || it->second.current.revision != report.order ? nullptr : &it->second.current;
}

void RolloutGuard::follow(RolloutProgress &progress, const core::InstanceId &from, const RolloutReport &report)
{
    // The earliest start is the closest to the time of the order. A restarted instance learns it from the others.
    progress.startedAt = std::min(progress.startedAt, m_timers.now() - report.age);
    const bool isLaterState = report.state == RolloutState::Takeover && progress.state == RolloutState::Trial;
    const bool isCompleted = report.state == RolloutState::Completed && isOpen(progress.state);
    const bool isReverted = report.state == RolloutState::Reverted && !isRejected(progress.state) && !progress.isStored;
    const bool isAbandoned = report.state == RolloutState::Abandoned && progress.state == RolloutState::Completed;
    if (isReverted || isAbandoned) {
        const std::string reason = absl::StrCat("reverted by ", from.value());
        if (m_role == RolloutRole::Relay) {
            decide(progress, report.state, reason, true);
        } else {
            changeState(progress, report.state, reason);
        }
    } else if (isLaterState || isCompleted) {
        changeState(progress, report.state, absl::StrCat("decided by ", from.value()));
    }
}

void RolloutGuard::receive(const core::InstanceId &from, const std::vector<RolloutReport> &reports)
{
    for (const RolloutReport &report : reports) {
        RolloutProgress *progress = findProgress(report);
        if (progress == nullptr) {
            continue;
        }
        Evidence &known = progress->peers[from];
        if (totalsOf(report.evidence).answers() < totalsOf(known).answers()) {
            // The instance has started again. What its process before has seen still counts.
            addEvidence(progress->former, known);
        }
        known = report.evidence;
        progress->former = larger(progress->former, report.former);
        follow(*progress, from, report);
    }
}

void RolloutGuard::receiveRegion(const core::RegionId &region, const std::vector<RolloutReport> &reports)
{
    for (const RolloutReport &report : reports) {
        RolloutProgress *progress = findProgress(report);
        if (progress == nullptr) {
            continue;
        }
        Evidence &known = progress->regions[region];
        known = larger(known, report.evidence);
        follow(*progress, core::InstanceId(region.value()), report);
    }
}

void RolloutGuard::receiveFleet(const std::vector<RolloutReport> &reports)
{
    for (const RolloutReport &report : reports) {
        RolloutProgress *progress = findProgress(report);
        if (progress != nullptr) {
            progress->fleet = larger(progress->fleet, report.evidence);
            follow(*progress, core::InstanceId("relay"), report);
        }
    }
}

} // namespace snipeferry::gateway
