#include "snipeferry/gateway/serverlimits.h"

#include "snipeferry/gateway/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace snipeferry::gateway {

namespace {

/** Requests per second from which an instance's part of a limit is useful. */
constexpr double MIN_PART_PER_SECOND = 2.0;
/** A limit below this is tried at this rate, because only an answer can tell that it has risen. */
constexpr double MIN_PER_SECOND = 0.1;
/** Time's worth of its part that an instance may send at once. */
constexpr absl::Duration BURST_TIME = absl::Milliseconds(250);
/** Part of an announcement's lifetime in which an instance has to hear of the other members, before they can take it for gone. */
constexpr double MEMBERS_AGE_FRACTION = 0.75;
constexpr double UNCONFIRMED_FRACTION = 0.5;
/** Relative change of a limit that the others are told. */
constexpr double MIN_CHANGE = 0.02;

bool isSimilar(std::optional<double> left, std::optional<double> right)
{
    if (!left.has_value() || !right.has_value()) {
        return left.has_value() == right.has_value();
    }
    return std::abs(*left - *right) <= MIN_CHANGE * std::max(*left, *right);
}

} // namespace

ServerLimits::ServerLimits(core::InstanceId self, core::TimerService &timers)
    : m_self(std::move(self)),
      m_timers(timers),
      m_startedAt(timers.now()),
      m_members{m_self}
{
}

bool ServerLimits::note(const BackendServer &server, const RunReport &report, bool isSuccess, absl::Time runStartedAt)
{
    if (report.isLimitUnreadable) {
        return false;
    }
    const auto known = m_limits.find(server.id);
    if (!report.requestLimit.has_value()) {
        const bool isEnded = isSuccess && known != m_limits.end() && known->second.perSecond.has_value() && runStartedAt > known->second.at;
        if (!isEnded) {
            return false;
        }
    }
    const bool hasChanged = set(server.id, server.startedAtMs, report.requestLimit, m_timers.now());
    Entry &entry = m_limits.at(server.id);
    entry.hasNews = entry.hasNews || hasChanged;
    return hasChanged;
}

bool ServerLimits::set(const core::BackendServerId &server, std::int64_t startedAtMs, std::optional<double> perSecond, absl::Time at)
{
    const auto known = m_limits.find(server);
    if (known == m_limits.end()) {
        Entry entry;
        entry.startedAtMs = startedAtMs;
        entry.perSecond = perSecond;
        entry.at = at;
        m_limits.emplace(server, entry);
        return perSecond.has_value();
    }
    Entry &entry = known->second;
    if (at < entry.at || startedAtMs < entry.startedAtMs) {
        return false;
    }
    const bool hasChanged = entry.startedAtMs != startedAtMs || !isSimilar(entry.perSecond, perSecond);
    entry.at = at;
    if (hasChanged) {
        entry.startedAtMs = startedAtMs;
        entry.perSecond = perSecond;
    }
    return hasChanged;
}

std::vector<ServerLimit> ServerLimits::receive(const std::vector<ServerLimit> &limits)
{
    std::vector<ServerLimit> fresh;
    for (const ServerLimit &limit : limits) {
        if (set(limit.server, limit.startedAtMs, limit.perSecond, m_timers.now() - limit.ago)) {
            fresh.push_back(limit);
        }
    }
    return fresh;
}

ServerLimit ServerLimits::describe(const core::BackendServerId &server, const Entry &entry) const
{
    return {server, entry.startedAtMs, entry.perSecond, m_timers.now() - entry.at};
}

std::vector<ServerLimit> ServerLimits::takeNews()
{
    std::vector<ServerLimit> news;
    for (auto &entry : m_limits) {
        if (std::exchange(entry.second.hasNews, false)) {
            news.push_back(describe(entry.first, entry.second));
        }
    }
    return news;
}

std::vector<ServerLimit> ServerLimits::all() const
{
    std::vector<ServerLimit> limits;
    for (const auto &entry : m_limits) {
        if (entry.second.perSecond.has_value()) {
            limits.push_back(describe(entry.first, entry.second));
        }
    }
    return limits;
}

void ServerLimits::remove(const core::BackendServerId &server)
{
    m_limits.erase(server);
}

void ServerLimits::setMembers(std::vector<core::InstanceId> members)
{
    m_members = std::move(members);
}

void ServerLimits::setAnnouncementLifetime(absl::Duration lifetime)
{
    m_maxMembersAge = MEMBERS_AGE_FRACTION * lifetime;
}

void ServerLimits::confirmMembers(absl::Time at)
{
    m_membersConfirmedAt = std::max(m_membersConfirmedAt, at);
}

double ServerLimits::ownPart(const core::BackendServerId &server, double perSecond) const
{
    const absl::Time now = m_timers.now();
    const std::size_t sharing
        = std::clamp<std::size_t>(static_cast<std::size_t>(perSecond / MIN_PART_PER_SECOND), 1, std::max<std::size_t>(1, m_members.size()));
    const double ownWeight = rendezvousWeight(server.value(), m_self.value());
    bool isMember = false;
    std::size_t before = 0;
    for (const core::InstanceId &member : m_members) {
        isMember = isMember || member == m_self;
        before += rendezvousWeight(server.value(), member.value()) > ownWeight ? 1 : 0;
    }
    // The others may not know yet that this instance has started; after the longest age of what they know they do.
    const bool isJoining = now - m_startedAt < m_maxMembersAge;
    if (!isMember || before >= sharing || isJoining) {
        return 0;
    }
    const double part = std::max(perSecond, MIN_PER_SECOND) / static_cast<double>(sharing);
    return now - m_membersConfirmedAt > m_maxMembersAge ? part * UNCONFIRMED_FRACTION : part;
}

absl::Duration ServerLimits::timeUntilDispatch(const core::BackendServerId &server, double lead) const
{
    const auto it = m_limits.find(server);
    if (it == m_limits.end() || !it->second.perSecond.has_value()) {
        return absl::ZeroDuration();
    }
    const double part = ownPart(server, *it->second.perSecond);
    if (part <= 0) {
        return absl::InfiniteDuration();
    }
    return std::max(absl::ZeroDuration(), it->second.nextDueAt - BURST_TIME - absl::Seconds(lead / part) - m_timers.now());
}

bool ServerLimits::mayDispatch(const core::BackendServerId &server, double lead) const
{
    return m_limits.empty() || timeUntilDispatch(server, lead) == absl::ZeroDuration();
}

void ServerLimits::dispatched(const core::BackendServerId &server)
{
    const auto it = m_limits.find(server);
    if (it == m_limits.end() || !it->second.perSecond.has_value()) {
        return;
    }
    const double part = ownPart(server, *it->second.perSecond);
    if (part > 0) {
        // Requests are due at even intervals; the burst time decides how far ahead they may be sent.
        it->second.nextDueAt = std::max(m_timers.now(), it->second.nextDueAt) + absl::Seconds(1.0 / part);
    }
}

std::vector<LimitState> ServerLimits::states() const
{
    std::vector<LimitState> states;
    for (const auto &entry : m_limits) {
        if (entry.second.perSecond.has_value()) {
            states.push_back({entry.first, *entry.second.perSecond, ownPart(entry.first, *entry.second.perSecond), m_timers.now() - entry.second.at});
        }
    }
    return states;
}

} // namespace snipeferry::gateway
