#include "snipeferry/gateway/servernotices.h"

#include <algorithm>
#include <functional>

namespace snipeferry::gateway {

namespace {

constexpr std::size_t MAX_NOTICES = 4096;
/** Fraction of a pause by which it is prolonged at most, so that the instances do not return to the backend server together. */
constexpr double MAX_PROLONGATION = 0.2;

} // namespace

ServerNotices::ServerNotices(const core::InstanceId &self, core::TimerService &timers)
    : m_timers(timers),
      m_random(std::hash<std::string>{}(self.value()) + 1)
{
}

ServerNotices::Change ServerNotices::note(const BackendServer &server, const RunReport &report, bool isSuccess, absl::Time runStartedAt)
{
    const absl::Time now = m_timers.now();
    const auto known = m_notices.find(server.id);
    if (!report.isLeaving && !report.pauseSeconds.has_value()) {
        // A later run that was served well shows that the backend server takes work again.
        if (isSuccess && known != m_notices.end() && runStartedAt > known->second.pausedAt) {
            known->second.pausedUntil = absl::InfinitePast();
        }
        return {};
    }
    if (known == m_notices.end()) {
        makeRoom();
    }
    Notice &notice = m_notices[server.id];
    Change change;
    change.isLeaving = report.isLeaving && !notice.isLeaving;
    notice.startedAtMs = server.startedAtMs;
    notice.isLeaving = notice.isLeaving || report.isLeaving;
    notice.notedAt = now;
    if (report.pauseSeconds.has_value()) {
        const absl::Duration asked = std::min(absl::Seconds(*report.pauseSeconds), MAX_PAUSE);
        const absl::Duration pause = asked * (1.0 + MAX_PROLONGATION * std::uniform_real_distribution<double>(0, 1)(m_random));
        notice.pausedAt = now;
        if (now + pause > notice.pausedUntil) {
            notice.pausedUntil = now + pause;
            change.pause = pause;
        }
    }
    return change;
}

bool ServerNotices::isLeaving(const BackendServer &server) const
{
    const auto it = m_notices.find(server.id);
    return it != m_notices.end() && it->second.isLeaving && server.startedAtMs <= it->second.startedAtMs;
}

absl::Duration ServerNotices::pauseLeft(const core::BackendServerId &server) const
{
    const auto it = m_notices.find(server);
    return it == m_notices.end() ? absl::ZeroDuration() : std::max(absl::ZeroDuration(), it->second.pausedUntil - m_timers.now());
}

void ServerNotices::restarted(const core::BackendServerId &server)
{
    m_notices.erase(server);
}

void ServerNotices::makeRoom()
{
    if (m_notices.size() < MAX_NOTICES) {
        return;
    }
    const auto oldest
        = std::min_element(m_notices.begin(), m_notices.end(), [](const auto &left, const auto &right) { return left.second.notedAt < right.second.notedAt; });
    m_notices.erase(oldest);
}

} // namespace snipeferry::gateway
