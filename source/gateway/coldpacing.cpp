#include "snipeferry/gateway/coldpacing.h"

#include "snipeferry/gateway/rendezvous.h"

#include <algorithm>

namespace snipeferry::gateway {

namespace {

/** Span in which the requests to a cold backend server are counted. */
constexpr absl::Duration BOUND_SPAN = absl::Seconds(1);
/** Part of an announcement's lifetime in which an instance has to hear of the other members, before they can take it for gone. */
constexpr double MEMBERS_AGE_FRACTION = 0.6;
/** Instances that may take themselves for the sender at the same time. */
constexpr double POSSIBLE_SENDERS = 2;
/** A sender at even intervals may have one request more than its rate in a second. */
constexpr double FIRST_REQUEST = 1;
constexpr double MIN_RATE = 0.1;

} // namespace

ColdPacing::ColdPacing(core::InstanceId self, core::TimerService &timers)
    : m_self(std::move(self)),
      m_timers(timers)
{
}

absl::Duration ColdPacing::handoverTime() const
{
    return m_maxMembersAge + SEND_TIME + BOUND_SPAN;
}

void ColdPacing::setBounds(ColdBounds bounds)
{
    m_bounds = bounds;
}

void ColdPacing::setMembers(std::vector<core::InstanceId> members)
{
    const absl::Time now = m_timers.now();
    while (!m_earlierMembers.empty() && now - m_earlierMembers.front().first > handoverTime()) {
        m_earlierMembers.pop_front();
    }
    std::sort(members.begin(), members.end());
    if (members != m_members) {
        m_earlierMembers.emplace_back(now, std::exchange(m_members, std::move(members)));
    }
}

void ColdPacing::setAnnouncementLifetime(absl::Duration lifetime)
{
    m_maxMembersAge = MEMBERS_AGE_FRACTION * lifetime;
}

void ColdPacing::confirmMembers(absl::Time at)
{
    m_membersConfirmedAt = std::max(m_membersConfirmedAt, at);
}

bool ColdPacing::isSender(const core::BackendServerId &server) const
{
    const absl::Time now = m_timers.now();
    if (now - m_membersConfirmedAt > m_maxMembersAge || rendezvousFirst(server.value(), m_members) != m_self) {
        return false;
    }
    return std::all_of(m_earlierMembers.begin(), m_earlierMembers.end(), [&](const std::pair<absl::Time, std::vector<core::InstanceId>> &earlier) {
        return now - earlier.first > handoverTime() || rendezvousFirst(server.value(), earlier.second) == m_self;
    });
}

absl::Duration ColdPacing::interval(double coldRate) const
{
    // What is decided within the span and the time to send may arrive within the span.
    const double counted = absl::FDivDuration(BOUND_SPAN + SEND_TIME, BOUND_SPAN);
    const double shared = ((m_bounds.excess * coldRate + m_bounds.slack) / POSSIBLE_SENDERS - FIRST_REQUEST) / counted;
    return absl::Seconds(1.0 / std::max(MIN_RATE, std::min(coldRate, shared)));
}

} // namespace snipeferry::gateway
